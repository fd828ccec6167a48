// Package link implements the transport of the protocol between coordinators and
// agents: clients that drop their idle connections after an unanswered call, and the
// conversion between wire and domain types.
package link
