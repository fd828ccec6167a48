// Package memnet is a network in memory. Tests run real clients and servers on it in
// virtual time under testing/synctest, where a socket of the system would stop the clock.
package memnet
