// Package jobs implements the decisions of a coordinator for the shards that it
// owns: the table of jobs, the records to store, the placement of tasks and the
// answers to callers.
//
// The package does no I/O and reads no clock: callers pass the time, send the
// dispatches and store the batches that it returns. A Table is not safe for
// concurrent use.
//
// Invariants:
//   - A durable job is acknowledged and its tasks are placed only after its record
//     is stored.
//   - The end of a durable job's run is stored before it is acknowledged to the
//     endpoint and before the job is shown as ended.
//   - A task is placed again only after its earlier run is over: its agent has
//     refused the start or reported the end, does not list the run in its answer to
//     an attachment, or has not reported for AgentTimeout.
//   - A caller is told that a job has not run only if no run of it has begun or may
//     have, none of its starts is in flight, and none is sent afterwards.
//   - After a takeover, tasks of older jobs are not placed until every known agent
//     has reported what it runs or the ownership proofs of the earlier owner have
//     expired.
package jobs
