// Package shed decides which jobs are admitted, which wait and which are refused while a service lacks
// capacity. More urgent queues go first, and each less urgent one leaves them a part of the capacity. The
// package holds no clock, does no I/O and starts no goroutines.
package shed
