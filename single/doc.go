// Package single holds a random model of one coordinator, a few agents and their endpoints. It asserts
// that a task is placed again only once none of its earlier runs is at work or can still begin.
//
// The decisions are those of packages jobs and runs; endpoints, messages and callers are modelled in
// virtual time.
package single
