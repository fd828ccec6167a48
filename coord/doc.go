// Package coord is the I/O layer of the coordinator, the process that serves
// callers. Every coordinator accepts callers' requests. The owner of a shard of
// the job ids schedules its jobs with package jobs, stores them in the platform's
// store and dispatches their runs to the agents.
//
// Ownership depends on the store alone: a claim is a record of the control topic,
// appended only if the topic ends at the offset up to which the claimant has read
// it, and its epoch fences all later appends to the shard's partition. A read of
// that topic that returns no newer claim is the owner's proof of ownership.
package coord
