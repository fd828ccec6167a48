// Package carobpulley holds the domain types of a dispatcher for short tasks
// and the interfaces of its decision logic.
//
// The packages below it implement the interfaces without I/O: they take an
// event and a time and return actions. Other programs can embed them one by
// one, or drive them from a bench:
//
//   - owner.Table implements JobTable: which keys are known, what starts, what
//     an answer may say. owner.Authority implements Authority: which entry owns
//     which shard, and whether it may act. owner.Witness holds claims for others.
//   - fence.Gate implements Gate, the check right before each start.
//   - place.Placer implements Placer, the choice of an endpoint.
//   - admit.Admitter implements Admitter: quotas, classes, fair shares.
//   - roster.Roster implements Roster, the membership of endpoints.
//   - conf.Fold turns the change records of a log into versions of a Catalogue.
//
// Each of these packages but conf has a naive twin behind the same interface,
// as the reference of differential tests and the baseline of measurements, and
// owner, place, admit and conf have runnable examples. The shells in packages
// entry and agent carry the actions out over the network; package stream is the
// client of the log, package memlog a log in memory.
//
// docs/design.md explains the design and the words.
package carobpulley
