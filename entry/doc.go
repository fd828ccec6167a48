// Package entry is the I/O layer of an entry, the process that callers reach. It
// executes the decisions of the state machines in packages owner, admit, place,
// roster and conf, and serves callers, operators, other entries and agents.
//
// All decision logic runs under one lock. Calls to other processes run in
// goroutines of their own; their results are fed back as events.
package entry
