// Package entry is the shell of an entry: it carries out what the decision
// logic in packages owner, admit, place, roster and conf decides, and serves
// callers, operators, other entries and agents.
//
// All decision logic runs under one lock. Calls to other processes run in
// goroutines of their own, and their outcomes come back as events.
package entry
