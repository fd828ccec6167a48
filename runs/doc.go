// Package runs is the decision logic of the agent beside one endpoint: which dispatches of
// coordinators are carried out, how long the endpoint's lease may last, which capacity is free,
// and how each run ended.
//
// It does no input or output: callers pass the time and carry out the commands that it returns.
// A Controller is not safe for concurrent use.
//
// Two concurrent runs of one task are prevented by these rules:
//   - A start needs the current attachment of its shard's owner and an echo of this agent's clock
//     that is younger than MaxEchoAge.
//   - A run is stopped when the proof that its coordinator is alive, or owns the run's shard, is
//     too old; and the lease never outlives the oldest such proof by more than ProofTTL.
//   - Runs that an earlier process of the agent started are stopped first.
//   - An unanswered start is resolved by raising the fencing token and polling the endpoint's run
//     lists: a start that they don't show can no longer take effect.
package runs
