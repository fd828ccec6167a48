// Package holds decides which coordinator has a best-effort job. Each job id has a home, a coordinator
// that every other one computes from the members it knows, and the home lets one coordinator at a time
// hold the id. The package holds no clock, does no I/O and starts no goroutines.
//
// Answers the pattern of a caller whose connection breaks as it sends a job, and that sends the job
// again at once to another coordinator, while the first one has it too.
package holds
