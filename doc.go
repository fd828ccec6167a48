// Package carobpulley holds the domain types of a dispatcher for short tasks
// and the interfaces of its decision logic. The dispatcher has two parts that share
// this package.
//
// The first part runs its own entries, agents and log. These packages implement its
// interfaces without I/O: they take an event and a time and return actions. Other
// programs can embed them separately, or drive them from a benchmark:
//
//   - owner.Table implements JobTable: the taken job keys, the tasks to start,
//     and the answers to callers. owner.Authority implements Authority: which
//     entry owns which shard, and whether it may act. owner.Witness holds backup
//     copies of claims for other entries.
//   - fence.Gate implements Gate, the check right before each task start.
//   - place.Placer implements Placer, the choice of an endpoint.
//   - admit.Admitter implements Admitter: quotas, classes and fair shares.
//   - roster.Roster implements Roster, the membership of endpoints.
//   - conf.Fold turns the change records of a log into versions of a Catalogue.
//
// Each of these packages except conf also has a naive implementation of the same
// interface, as the reference for differential tests and the baseline for
// benchmarks. Packages owner, place, admit and conf have runnable examples.
// Packages entry and agent execute the actions over the network; package stream
// is the client of the log, and package memlog an in-memory log.
//
// The second part runs jobs on the endpoints of a platform and stores them there. Package
// work holds its types. Package jobs makes the decisions of a coordinator and package
// runs those of an agent, both without I/O; packages coord and guard execute them, and
// package link is the transport between the two. coord.Coordinator implements
// JobService, guard.Agent implements HeartbeatSink, and package platform implements
// Store, ConfigSource and EndpointClient.
//
// docs/design.md explains the design and the terms.
package carobpulley
