// Package emul emulates the users' platform as its protocol pages describe it: the
// store and endpoints beside agents, on a network in memory. Tests run
// the real coordinators and agents on it in virtual time under testing/synctest.
// Rules are checked only by the calls at the endpoints' interface, which the Checker
// records, and by the answers to callers.
package emul
