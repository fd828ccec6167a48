// Package work holds the types of jobs that run on the platform's endpoints: the
// submission of a caller, the records in the store, and the messages about runs
// that coordinators, agents and endpoints exchange.
//
// All functions are free of side effects. The package imports no other package of
// the project, so that the root package's interfaces and every package below it
// can use its types.
package work
