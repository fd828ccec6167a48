package inner

import (
	"strconv"
	"time"

	"carobpulley"
	"carobpulley/wire"
)

// DispatchAnswer is the answer to a dispatch, a query or a cancellation.
type DispatchAnswer struct {
	// Phase is the state of the task; PhaseNotRun if it did not start.
	Phase carobpulley.Phase
	// Refusal tells why a task did not start; nil otherwise.
	Refusal *carobpulley.Error
	// Status is the endpoint's HTTP status; 0 if there was none.
	Status int
	Result []byte
	Err    string
	// AgentTime is the agent's clock in nanoseconds, to be echoed.
	AgentTime int64
	Load      carobpulley.Load
	// Run is the time that the endpoint itself took.
	Run time.Duration
	// Incarnation is the agent's own.
	Incarnation uint64
}

// Query asks for the outcome of an attempt.
type Query struct {
	ID      carobpulley.TaskID
	Attempt int
	Shard   int
	Epoch   uint64
	// Wait asks for the answer at the end of a running task.
	Wait bool
	// Endpoint and Incarnation are those that the attempt was sent to.
	Endpoint    string
	Incarnation uint64
}

// Cancel withdraws or stops a task.
type Cancel struct {
	ID    carobpulley.TaskID
	Shard int
	Epoch uint64
	// Endpoint and Incarnation are those that the task was sent to.
	Endpoint    string
	Incarnation uint64
}

// MaxFenceBytes bounds an answer to a Fencing.
const MaxFenceBytes = 8 << 20

// FenceRequest raises the epochs of shards at an agent.
type FenceRequest struct {
	Owner  string
	Shards []carobpulley.Ownership
	// After is the Next of the page before; zero asks for the first page.
	After uint64
}

// FenceAnswer is the answer to a Fencing.
type FenceAnswer struct {
	Fenced  bool
	Started []carobpulley.StartedTask
	// AgentTime is the agent's clock in nanoseconds, to be echoed.
	AgentTime   int64
	Incarnation uint64
	// Complete is false if the agent has dropped starts from its memory.
	Complete bool
	// Next asks for the page after this one; zero on the last page.
	Next uint64
}

// DispatchToWire converts a dispatch.
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

// DispatchFromWire converts a dispatch.
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

// DispatchAnswerToWire converts the answer to a dispatch.
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

// DispatchAnswerFromWire converts the answer to a dispatch. An answer whose
// phase contradicts its refusal is malformed, so that a started task is never
// taken for one that did not run.
func DispatchAnswerFromWire(r *wire.DispatchReply) (DispatchAnswer, error) {
	c := validator{op: "dispatch reply"}
	out := c.taskState(r)
	out.AgentTime = c.agentTime(r.GetAgentTime())
	out.Incarnation = c.positive("incarnation", r.GetIncarnation())
	return out, c.result()
}

// taskState checks the part of a reply that a started task in a fence reply has too.
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

// QueryToWire converts a query.
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

// QueryFromWire converts a query.
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

// CancelTaskToWire converts the cancellation of a task.
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

// CancelTaskFromWire converts the cancellation of a task.
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

// FenceRequestToWire converts a fence request.
func FenceRequestToWire(v FenceRequest) *wire.FenceRequest {
	return &wire.FenceRequest{Owner: v.Owner, Shards: shardsToWire(v.Shards), After: v.After}
}

// FenceRequestFromWire converts a fence request. The owner owns the shards.
func FenceRequestFromWire(r *wire.FenceRequest) (FenceRequest, error) {
	c := validator{op: "fence request"}
	out := FenceRequest{
		Owner:  c.name("owner", r.GetOwner()),
		Shards: c.shards(r.GetOwner(), r.GetShards()),
		After:  r.GetAfter(),
	}
	return out, c.result()
}

// FenceAnswerToWire converts the answer to a fence request. shards is the
// number of parts of the key space.
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

// FenceAnswerFromWire converts the answer of the agent beside an endpoint.
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
