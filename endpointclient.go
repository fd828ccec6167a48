package carobpulley

import (
	"context"
	"time"

	"carobpulley/work"
)

// ListedRun is a run in an endpoint's list of running runs.
type ListedRun struct {
	Run        work.Run
	Checkpoint string
}

// RunLists holds an endpoint's lists of running and finished runs.
type RunLists struct {
	// Clock is the reading of the endpoint's own clock, in milliseconds.
	Clock int64
	// Generation distinguishes restarts of an endpoint under one id; 0 if the
	// endpoint did not report it.
	Generation int64
	Running    []ListedRun
	Finished   []work.End
	// UnreadRunning names the rows of running runs that can't be read. Each may be any
	// run; the same row has the same name in later lists.
	UnreadRunning []string
	// UnreadEnds holds, for each row of a finished run that can't be read, the number of
	// the end listed before it; 0 if there is none.
	UnreadEnds []int64
}

// StartAnswer is an endpoint's answer to a command to start or stop a run.
type StartAnswer struct {
	// Clock is the reading of the endpoint's own clock, in milliseconds; 0 if the
	// endpoint did not report it.
	Clock int64
	// Refusal is empty if the command was accepted, else one of the Refusal
	// constants.
	Refusal string
}

// Reasons for which an endpoint refuses a command.
const (
	// RefusalStaleToken means that the fencing token is below the highest that
	// the endpoint has seen.
	RefusalStaleToken = "fence"
	// RefusalStaleRun means that the run, or a later run of its task, has ended or
	// was stopped.
	RefusalStaleRun = "old"
	// RefusalLeaseExpired means that the lease had expired when the command
	// arrived.
	RefusalLeaseExpired = "late"
	// RefusalNoCapacity means that the endpoint enforces its capacity and has too
	// little free.
	RefusalNoCapacity = "room"
	// RefusalUnhealthy means that the endpoint runs nothing for now.
	RefusalUnhealthy = "unhealthy"
	// RefusalWrongInstance means that the command is for another instance of the
	// endpoint.
	RefusalWrongInstance = "instance"
	// RefusalInvalid means that the endpoint cannot decode the command.
	RefusalInvalid = "invalid"
)

// Lease is sent with every command to an endpoint.
type Lease struct {
	// Instance is the instance of the endpoint that the command is for.
	Instance string
	// Token is the fencing token: an endpoint refuses commands with a token lower
	// than the highest it has seen.
	Token int64
	// DeadlineMS is the time, by the endpoint's clock, at which all its runs are
	// ended; 0 leaves the deadline unchanged.
	DeadlineMS int64
}

// EndpointClient sends commands to the endpoint on the agent's own host. An
// error of kind KindUnknown means that the command may still be executed,
// KindUnavailable that it was not sent, and KindGone that nothing listens at the
// endpoint's address any more.
type EndpointClient interface {
	Start(ctx context.Context, l Lease, s work.Start) (StartAnswer, error)
	Stop(ctx context.Context, l Lease, run work.Run) (StartAnswer, error)
	// Renew renews the lease, acknowledges the ends up to the number acked so that
	// the endpoint drops them, waits up to wait for a new end, and returns both
	// lists. The refusal is set as for Start.
	Renew(ctx context.Context, l Lease, acked int64, wait time.Duration) (RunLists, string, error)
}

// Heartbeat is the state that an endpoint reports about itself periodically.
type Heartbeat struct {
	Instance string
	// Generation grows with each start of an endpoint under one id.
	Generation int64
	// Sequence grows with each heartbeat within a generation.
	Sequence int64
	Service  string
	Domain   string
	Labels   []string
	Capacity work.Resources
	Draining bool
}

// HeartbeatSink receives the heartbeats of the endpoint on the agent's host.
type HeartbeatSink interface {
	HandleHeartbeat(h Heartbeat)
	// HandleShutdown records that the instance has shut down as announced.
	HandleShutdown(instance string)
}
