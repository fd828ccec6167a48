// Package holds decides which coordinator has a best-effort job. Each job id has up to two replicas among
// the coordinators, which every process computes from the members that it knows. A process may start a job
// once the replicas have granted it the id, each of which grants it to one process at a time, or by the word of
// one of them if the other one is out. The package holds no clock, does no I/O and starts no goroutines.
//
// Answers the pattern of a caller whose connection breaks as it sends a job, and that sends the job
// again at once to another coordinator, while the first one has it too.
package holds
