// Package carobpulley holds the domain types of a dispatcher for short tasks
// and the interfaces of its decision logic.
//
// The packages below it implement the interfaces without I/O: they take an
// event and a time and return actions. The shells in packages entry and agent
// carry the actions out. Other programs can embed the parts one by one.
package carobpulley
