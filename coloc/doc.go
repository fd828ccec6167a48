// Package coloc finds kinds of tasks that slow each other down at one endpoint, from the run times of a
// coordinator's own tasks.
//
// Load pattern: kinds of tasks share endpoints whose capacity is respected, and yet a run of one kind takes
// longer while a task of another kind runs beside it. Estimates are off by up to 40% and 3% of the runs take
// seven times as long, so the decision needs many runs and bounded influence of each.
//
// The package does no I/O and reads no clock. A Model is not safe for concurrent use.
package coloc
