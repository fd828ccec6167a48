package inner

import (
	"strconv"
	"time"

	"carobpulley"
	"carobpulley/wire"
)

// DispatchAnswer is the answer to a dispatch, a query or a cancellation.
type DispatchAnswer struct {
	// Phase is the state of the task; PhaseNotRun if it did not start and never will.
	Phase carobpulley.Phase
	// Refusal is the reason why a task did not start; nil if it started.
	Refusal *carobpulley.Error
	// Status is the endpoint's HTTP status; 0 if there was none.
	Status int
	Result []byte
	Err    string
	// AgentTime is a reading of the agent's clock in nanoseconds. Later dispatches
	// return it as their echo.
	AgentTime int64
	Load      carobpulley.Load
	// Run is the duration of the call to the endpoint, as the agent measured it.
	Run time.Duration
	// Incarnation is that of the answering agent.
	Incarnation uint64
}

// Query requests the state of a task. If the task has not started, the agent refuses
// the attempt and all earlier ones from then on.
type Query struct {
	ID      carobpulley.TaskID
	Attempt int
	Shard   int
	Epoch   uint64
	// Wait delays the answer until a running task has ended.
	Wait bool
	// Endpoint and Incarnation identify the agent that the attempt was sent to.
	Endpoint    string
	Incarnation uint64
}

// Cancel requests that a task is stopped if it runs, and never started otherwise.
type Cancel struct {
	ID    carobpulley.TaskID
	Shard int
	Epoch uint64
	// Endpoint and Incarnation identify the agent that the task was sent to.
	Endpoint    string
	Incarnation uint64
}

// MaxFenceBytes bounds the encoded size of an answer to a FenceRequest.
const MaxFenceBytes = 8 << 20

// FenceRequest raises the epochs of shards at an agent, which then refuses dispatches
// of older epochs, and requests the tasks of these shards that the agent started.
type FenceRequest struct {
	Owner  string
	Shards []carobpulley.Ownership
	// After is the Next of the previous page; zero requests the first page.
	After uint64
}

// FenceAnswer is one page of the answer to a FenceRequest.
type FenceAnswer struct {
	// Fenced is false if the agent has seen a newer epoch of one of the shards.
	Fenced  bool
	Started []carobpulley.StartedTask
	// AgentTime is a reading of the agent's clock in nanoseconds. Later dispatches
	// return it as their echo.
	AgentTime   int64
	Incarnation uint64
	// Complete is false if the agent has dropped start records early.
	Complete bool
	// Next is the After that requests the next page; zero on the last page.
	Next uint64
}

// DispatchToWire converts a dispatch to its wire type.
func DispatchToWire(v carobpulley.Entering) *wire.DispatchRequest {
	d := v.Dispatch
	out := &wire.DispatchRequest{
		Attempt:       strconv.Itoa(d.Attempt),
		Id:            idToWire(d.ID.Job),
		Index:         indexToWire(d.ID.Index),
		Service:       d.Service,
		Payload:       d.Payload,
		Deadline:      timeToWire(d.Deadline),
		Echo:          v.Echo,
		ConfigVersion: v.ConfigVersion,
		InService:     v.InService,
		Request:       v.Request,
		Incarnation:   v.Incarnation,
		Endpoint:      d.Endpoint,
	}
	if !v.Request {
		out.Shard = uint32(d.Shard)
		out.Epoch = d.Epoch
	}
	return out
}

// DispatchFromWire converts a dispatch from its wire type and checks it.
func DispatchFromWire(r *wire.DispatchRequest) (carobpulley.Entering, error) {
	c := validator{op: "dispatch request"}
	d := carobpulley.Dispatch{
		ID:       c.task(r.GetId(), r.GetIndex(), r.GetRequest()),
		Attempt:  c.attempt(r.GetAttempt()),
		Endpoint: c.name("endpoint", r.GetEndpoint()),
		Service:  c.name("service", r.GetService()),
		Payload:  c.bytes("payload", r.GetPayload(), carobpulley.MaxPayloadBytes),
		Deadline: c.time("deadline", r.GetDeadline()),
	}
	d.Shard, d.Epoch = c.shard(r.GetShard(), r.GetEpoch(), r.GetRequest())
	out := carobpulley.Entering{
		Dispatch:      d,
		Request:       r.GetRequest(),
		Echo:          r.GetEcho(),
		Incarnation:   c.positive("incarnation", r.GetIncarnation()),
		ConfigVersion: r.GetConfigVersion(),
		InService:     r.GetInService(),
	}
	return out, c.result()
}

// DispatchAnswerToWire converts the answer to a dispatch to its wire type. The error
// text is truncated to MaxTextBytes.
func DispatchAnswerToWire(v DispatchAnswer) *wire.DispatchReply {
	out := &wire.DispatchReply{
		Phase:       string(v.Phase),
		Status:      int32(v.Status),
		Result:      v.Result,
		Error:       truncateText(v.Err),
		AgentTime:   v.AgentTime,
		Running:     uint32(v.Load.Running),
		Queued:      uint32(v.Load.Queued),
		RunNanos:    int64(v.Run),
		Incarnation: v.Incarnation,
	}
	if v.Refusal != nil {
		out.Refusal = RefusalToWire(v.Refusal)
	}
	return out
}

// DispatchAnswerFromWire converts the answer to a dispatch from its wire type and
// checks it. An answer whose phase contradicts its refusal is malformed, so that a
// started task is never taken for one that did not run.
func DispatchAnswerFromWire(r *wire.DispatchReply) (DispatchAnswer, error) {
	c := validator{op: "dispatch reply"}
	out := c.taskState(r)
	out.AgentTime = c.agentTime(r.GetAgentTime())
	out.Incarnation = c.positive("incarnation", r.GetIncarnation())
	return out, c.result()
}

// taskState checks the fields of a dispatch reply that are also set for a started
// task in a fence reply.
func (c *validator) taskState(r *wire.DispatchReply) DispatchAnswer {
	refusal, err := RefusalFromWire(r.GetRefusal())
	c.addError(err)
	out := DispatchAnswer{
		Phase:   c.phase(r.GetPhase()),
		Refusal: refusal,
		Status:  int(r.GetStatus()),
		Result:  c.bytes("result", r.GetResult(), carobpulley.MaxResultBytes),
		Err:     c.text("error", r.GetError(), 0, MaxTextBytes),
		Load:    c.load(r.GetRunning(), r.GetQueued()),
		Run:     c.runTime(r.GetRunNanos()),
	}
	notRun := refusal != nil && refusal.NotRun
	if notRun != (out.Phase == carobpulley.PhaseNotRun) {
		c.failf("phase %s contradicts the refusal", out.Phase)
	}
	return out
}

// QueryToWire converts a query to its wire type.
func QueryToWire(v Query) *wire.QueryRequest {
	out := &wire.QueryRequest{
		Id:          idToWire(v.ID.Job),
		Index:       indexToWire(v.ID.Index),
		Attempt:     strconv.Itoa(v.Attempt),
		Wait:        v.Wait,
		Request:     v.ID.IsRequest(),
		Incarnation: v.Incarnation,
		Endpoint:    v.Endpoint,
	}
	if !out.GetRequest() {
		out.Shard = uint32(v.Shard)
		out.Epoch = v.Epoch
	}
	return out
}

// QueryFromWire converts a query from its wire type and checks it.
func QueryFromWire(r *wire.QueryRequest) (Query, error) {
	c := validator{op: "query request"}
	out := Query{
		ID:          c.task(r.GetId(), r.GetIndex(), r.GetRequest()),
		Attempt:     c.attempt(r.GetAttempt()),
		Wait:        r.GetWait(),
		Endpoint:    c.name("endpoint", r.GetEndpoint()),
		Incarnation: c.positive("incarnation", r.GetIncarnation()),
	}
	out.Shard, out.Epoch = c.shard(r.GetShard(), r.GetEpoch(), r.GetRequest())
	return out, c.result()
}

// CancelTaskToWire converts the cancellation of a task to its wire type.
func CancelTaskToWire(v Cancel) *wire.CancelTaskRequest {
	out := &wire.CancelTaskRequest{
		Id:          idToWire(v.ID.Job),
		Index:       indexToWire(v.ID.Index),
		Request:     v.ID.IsRequest(),
		Incarnation: v.Incarnation,
		Endpoint:    v.Endpoint,
	}
	if !out.GetRequest() {
		out.Shard = uint32(v.Shard)
		out.Epoch = v.Epoch
	}
	return out
}

// CancelTaskFromWire converts the cancellation of a task from its wire type and
// checks it.
func CancelTaskFromWire(r *wire.CancelTaskRequest) (Cancel, error) {
	c := validator{op: "cancel task request"}
	out := Cancel{
		ID:          c.task(r.GetId(), r.GetIndex(), r.GetRequest()),
		Endpoint:    c.name("endpoint", r.GetEndpoint()),
		Incarnation: c.positive("incarnation", r.GetIncarnation()),
	}
	out.Shard, out.Epoch = c.shard(r.GetShard(), r.GetEpoch(), r.GetRequest())
	return out, c.result()
}

// FenceRequestToWire converts a fence request to its wire type.
func FenceRequestToWire(v FenceRequest) *wire.FenceRequest {
	return &wire.FenceRequest{Owner: v.Owner, Shards: shardsToWire(v.Shards), After: v.After}
}

// FenceRequestFromWire converts a fence request from its wire type and checks it. The
// shards get the request's owner.
func FenceRequestFromWire(r *wire.FenceRequest) (FenceRequest, error) {
	c := validator{op: "fence request"}
	out := FenceRequest{
		Owner:  c.name("owner", r.GetOwner()),
		Shards: c.shards(r.GetOwner(), r.GetShards()),
		After:  r.GetAfter(),
	}
	return out, c.result()
}

// FenceAnswerToWire converts the answer to a fence request to its wire type. shards
// is the number of shards of the key space.
func FenceAnswerToWire(v FenceAnswer, shards int) *wire.FenceReply {
	out := &wire.FenceReply{
		Fenced:      v.Fenced,
		Started:     make([]*wire.StartedTask, 0, len(v.Started)),
		AgentTime:   v.AgentTime,
		Incarnation: v.Incarnation,
		Complete:    v.Complete,
		Next:        v.Next,
	}
	for _, t := range v.Started {
		out.Started = append(out.Started, &wire.StartedTask{
			Id:    idToWire(t.ID.Job),
			Index: indexToWire(t.ID.Index),
			Shard: uint32(carobpulley.ShardOf(t.ID.Job, shards)),
			State: DispatchAnswerToWire(DispatchAnswer{
				Phase:  t.Phase,
				Status: t.Status,
				Result: t.Result,
				Err:    t.Err,
			}),
		})
	}
	return out
}

// FenceAnswerFromWire converts the answer to a fence request from its wire type and
// checks it. endpoint is the endpoint of the agent that answered.
func FenceAnswerFromWire(endpoint string, r *wire.FenceReply) (FenceAnswer, error) {
	c := validator{op: "fence reply"}
	out := FenceAnswer{
		Fenced:      r.GetFenced(),
		Started:     make([]carobpulley.StartedTask, 0, len(r.GetStarted())),
		AgentTime:   c.agentTime(r.GetAgentTime()),
		Incarnation: c.positive("incarnation", r.GetIncarnation()),
		Complete:    r.GetComplete(),
		Next:        r.GetNext(),
	}
	for _, t := range r.GetStarted() {
		out.Started = append(out.Started, c.startedTask(endpoint, t))
	}
	return out, c.result()
}

// startedTask checks a started task in a fence reply.
func (c *validator) startedTask(endpoint string, t *wire.StartedTask) carobpulley.StartedTask {
	state := c.taskState(t.GetState())
	switch state.Phase {
	case carobpulley.PhaseWaiting, carobpulley.PhaseDispatched, carobpulley.PhaseNotRun:
		c.failf("a started task has phase %s", state.Phase)
	default:
	}
	return carobpulley.StartedTask{
		ID:       c.task(t.GetId(), t.GetIndex(), false),
		Endpoint: endpoint,
		Phase:    state.Phase,
		Status:   state.Status,
		Result:   state.Result,
		Err:      state.Err,
	}
}
