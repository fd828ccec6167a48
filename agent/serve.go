package agent

import (
	"context"
	"time"

	"connectrpc.com/connect"

	"carobpulley"
	"carobpulley/inner"
	"carobpulley/wire"
)

var _ wire.AgentServiceHandler = (*Agent)(nil)

// errWrongAgent is the answer to a query or a cancellation meant for another agent.
// NotRun is not set, since this agent has no records of what the other one started.
var errWrongAgent = &carobpulley.Error{
	Op: "query", Kind: carobpulley.KindWrongAgent, Msg: "the message is meant for another endpoint or incarnation",
}

// Dispatch implements wire.AgentServiceHandler. It returns when the task has ended
// or was refused. A repeated dispatch returns when the task that the first one
// started has ended.
func (a *Agent) Dispatch(ctx context.Context, r *connect.Request[wire.DispatchRequest]) (*connect.Response[wire.DispatchReply], error) {
	in, err := inner.DispatchFromWire(r.Msg)
	if err != nil {
		a.vars.Add("malformed", 1)
		return nil, err
	}
	t, err := a.admit(ctx, in)
	switch {
	case err == nil:
		a.vars.Add("started", 1)
		return a.reply(a.runTask(t, in.Dispatch)), nil
	case kindOf(err) == carobpulley.KindStarted:
		a.vars.Add("repeated", 1)
		return a.answerRepeated(ctx, in)
	default:
		a.vars.Add("refused_"+string(kindOf(err)), 1)
		return a.reply(refusedAnswer(err)), nil
	}
}

// answerRepeated answers a dispatch of a task that had started before, after the
// end of that task.
func (a *Agent) answerRepeated(ctx context.Context, in carobpulley.Entering) (*connect.Response[wire.DispatchReply], error) {
	if err := a.waitForEnd(ctx, in.Dispatch.ID); err != nil {
		return nil, err
	}
	a.mu.Lock()
	state, ok := a.gate.State(in.Dispatch.ID)
	var err error
	if !ok {
		err = a.gate.RefuseBusy(time.Now(), in)
	}
	a.mu.Unlock()
	if !ok {
		return a.reply(refusedAnswer(err)), nil
	}
	return a.reply(stateAnswer(state)), nil
}

// Query implements wire.AgentServiceHandler.
func (a *Agent) Query(ctx context.Context, r *connect.Request[wire.QueryRequest]) (*connect.Response[wire.DispatchReply], error) {
	q, err := inner.QueryFromWire(r.Msg)
	if err != nil {
		a.vars.Add("malformed", 1)
		return nil, err
	}
	a.vars.Add("queries", 1)
	state, err := a.query(q)
	if err != nil {
		return nil, err
	}
	if !q.Wait || state.Phase.Ended() {
		return a.reply(stateAnswer(state)), nil
	}
	if err := a.waitForEnd(ctx, q.ID); err != nil {
		return nil, err
	}
	state, err = a.query(q)
	if err != nil {
		return nil, err
	}
	return a.reply(stateAnswer(state)), nil
}

func (a *Agent) query(q inner.Query) (carobpulley.StartedTask, error) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if !a.gate.IsAddressee(q.Endpoint, q.Incarnation) {
		return carobpulley.StartedTask{}, errWrongAgent
	}
	now := time.Now()
	state, err := a.gate.Query(now, q.ID, q.Shard, q.Epoch, q.Attempt)
	a.rejectWaiters(now)
	return state, err
}

// CancelTask implements wire.AgentServiceHandler. A running task is stopped by
// closing the request to the endpoint; the answer is its final state.
func (a *Agent) CancelTask(ctx context.Context, r *connect.Request[wire.CancelTaskRequest]) (*connect.Response[wire.DispatchReply], error) {
	c, err := inner.CancelTaskFromWire(r.Msg)
	if err != nil {
		a.vars.Add("malformed", 1)
		return nil, err
	}
	a.vars.Add("cancels", 1)
	state, err := a.cancel(c)
	if err != nil {
		return nil, err
	}
	if state.Phase != carobpulley.PhaseRunning {
		return a.reply(stateAnswer(state)), nil
	}
	if err := a.waitForEnd(ctx, c.ID); err != nil {
		return nil, err
	}
	state, err = a.cancel(c)
	if err != nil {
		return nil, err
	}
	return a.reply(stateAnswer(state)), nil
}

func (a *Agent) cancel(c inner.Cancel) (carobpulley.StartedTask, error) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if !a.gate.IsAddressee(c.Endpoint, c.Incarnation) {
		return carobpulley.StartedTask{}, errWrongAgent
	}
	now := time.Now()
	state, err := a.gate.Cancel(now, c.ID, c.Shard, c.Epoch)
	a.rejectWaiters(now)
	if t := a.running[c.ID]; t != nil {
		t.cancelled = true
		t.cancel()
	}
	return state, err
}

// fenceReplyOverhead is an upper bound of the encoded size of a fence reply without
// its started tasks.
const fenceReplyOverhead = 1 << 10

// Fence implements wire.AgentServiceHandler. Fenced is false in the reply if the
// agent has seen a newer epoch of one of the shards.
func (a *Agent) Fence(_ context.Context, r *connect.Request[wire.FenceRequest]) (*connect.Response[wire.FenceReply], error) {
	f, err := inner.FenceRequestFromWire(r.Msg)
	if err != nil {
		a.vars.Add("malformed", 1)
		return nil, err
	}
	a.vars.Add("fences", 1)
	return connect.NewResponse(inner.FenceAnswerToWire(a.fence(f), carobpulley.Shards)), nil
}

func (a *Agent) fence(f inner.FenceRequest) inner.FenceAnswer {
	a.mu.Lock()
	defer a.mu.Unlock()
	now := time.Now()
	out := inner.FenceAnswer{
		Fenced:      true,
		AgentTime:   a.gate.Clock(now),
		Incarnation: a.cfg.Endpoint.Incarnation,
	}
	out.Started, out.Next, out.Complete = a.gate.Fence(now, f.Shards, f.After, inner.MaxFenceBytes-fenceReplyOverhead)
	for _, s := range f.Shards {
		if a.gate.Epoch(s.Shard) > s.Epoch {
			out.Fenced = false
		}
	}
	a.rejectWaiters(now)
	return out
}

// waitForEnd returns once a task is not running, or an error when ctx ends.
func (a *Agent) waitForEnd(ctx context.Context, id carobpulley.TaskID) error {
	a.mu.Lock()
	t := a.running[id]
	a.mu.Unlock()
	if t == nil {
		return nil
	}
	select {
	case <-t.done:
		return nil
	case <-ctx.Done():
		return &carobpulley.Error{
			Op: "await", Kind: carobpulley.KindUnavailable, Msg: "the task still runs at the end of the call",
		}
	}
}

// reply converts an answer and adds the agent's clock, load and incarnation.
func (a *Agent) reply(v inner.DispatchAnswer) *connect.Response[wire.DispatchReply] {
	a.mu.Lock()
	v.AgentTime = a.gate.Clock(time.Now())
	v.Load = a.load()
	a.mu.Unlock()
	v.Incarnation = a.cfg.Endpoint.Incarnation
	return connect.NewResponse(inner.DispatchAnswerToWire(v))
}

// refusedAnswer returns the answer to a dispatch that the gate refused.
func refusedAnswer(err error) inner.DispatchAnswer {
	return inner.DispatchAnswer{Phase: carobpulley.PhaseNotRun, Refusal: inner.AsError(err)}
}

// stateAnswer returns the answer for the state of a task. For a task that did not
// start it holds a refusal.
func stateAnswer(t carobpulley.StartedTask) inner.DispatchAnswer {
	v := inner.DispatchAnswer{Phase: t.Phase, Status: t.Status, Result: t.Result, Err: t.Err}
	if t.Phase == carobpulley.PhaseNotRun {
		v.Refusal = &carobpulley.Error{
			Op: "query", Kind: carobpulley.KindUnavailable, Msg: "the task has not started and will not", NotRun: true,
		}
	}
	return v
}
