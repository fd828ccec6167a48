// Package emul emulates the users' platform, as its protocol pages describe it:
// the store, endpoints beside agents, and the network between processes. Tests run
// the real coordinators and agents on it in virtual time under testing/synctest.
// The checker sees only the calls at the endpoints' interface and the answers to
// callers.
package emul
