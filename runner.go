package carobpulley

import (
	"context"
	"time"

	"carobpulley/work"
)

// ListedRun is one line of a runner's list of what runs.
type ListedRun struct {
	Run        work.Run
	Checkpoint string
}

// RunLists is what a runner says of its runs.
type RunLists struct {
	// Clock is the runner's own clock, in milliseconds.
	Clock int64
	// Generation tells two lives of a runner under one id apart; 0 if it did not say.
	Generation int64
	Running    []ListedRun
	Finished   []work.End
}

// StartAnswer is a runner's answer to the order to start a run.
type StartAnswer struct {
	// Clock is the runner's own clock, in milliseconds; 0 if it did not say.
	Clock int64
	// Refusal is empty if the run is there, else one of the Refusal constants.
	Refusal string
}

// Reasons for which a runner refuses a start.
const (
	// RefusalStaleToken is a token below the highest that the runner has seen.
	RefusalStaleToken = "fence"
	// RefusalStaleRun is a run that ended, was stopped, or is below such a run.
	RefusalStaleRun = "old"
	// RefusalLeaseExpired is a lease that had passed on arrival.
	RefusalLeaseExpired = "late"
	// RefusalNoCapacity is a runner that guards its room and is full.
	RefusalNoCapacity = "room"
	// RefusalUnhealthy is a runner that does nothing for now.
	RefusalUnhealthy = "unhealthy"
	// RefusalWrongInstance is another life of the runner than the one meant.
	RefusalWrongInstance = "instance"
	// RefusalInvalid is an order that the runner cannot read.
	RefusalInvalid = "invalid"
)

// Lease is what every order to a runner carries.
type Lease struct {
	// Instance is the life of the runner that is meant.
	Instance string
	// Token fences orders: a runner does nothing for a lower one than it has seen.
	Token int64
	// DeadlineMS ends everything that runs, by the runner's clock; 0 leaves the
	// deadline as it is.
	DeadlineMS int64
}

// EndpointClient is the machine's own runner. Errors of kind KindUnknown say that the
// order may still be carried out, KindUnavailable that it was not sent, KindGone
// that nothing listens there any more.
type EndpointClient interface {
	Start(ctx context.Context, l Lease, s work.Start) (StartAnswer, error)
	Stop(ctx context.Context, l Lease, run work.Run) (StartAnswer, error)
	// Renew renews the lease, forgets ends up to seen, waits up to wait for an
	// end, and returns both lists. The refusal is set as for Start.
	Renew(ctx context.Context, l Lease, seen int64, wait time.Duration) (RunLists, string, error)
}

// Heartbeat is what a runner says of itself every now and then.
type Heartbeat struct {
	Instance string
	// Generation rises with each start of a runner under one id.
	Generation int64
	// Sequence rises with each beat of one life.
	Sequence int64
	Service  string
	Domain   string
	Labels   []string
	Capacity work.Resources
	Draining bool
}

// HeartbeatSink takes the beats of the host's own runner.
type HeartbeatSink interface {
	HandleHeartbeat(b Heartbeat)
	// HandleShutdown says that the runner has ended as it announced.
	HandleShutdown(instance string)
}
