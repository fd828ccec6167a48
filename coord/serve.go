package coord

import (
	"context"
	"time"

	"connectrpc.com/connect"

	"carobpulley"
	"carobpulley/link"
	"carobpulley/wire/relay"
	"carobpulley/work"
)

// notOwner is the answer of a process that does not own the shard. It never
// reaches a caller.
const notOwner carobpulley.AnswerCode = -1

var codes = map[carobpulley.AnswerCode]relay.Code{
	notOwner:                   relay.Code_CODE_NOT_OWNER,
	carobpulley.AnswerUnknown:  relay.Code_CODE_UNKNOWN,
	carobpulley.AnswerOK:       relay.Code_CODE_OK,
	carobpulley.AnswerRefused:  relay.Code_CODE_REFUSED,
	carobpulley.AnswerNotFound: relay.Code_CODE_ABSENT,
	carobpulley.AnswerInvalid:  relay.Code_CODE_INVALID,
}

func toReply(a carobpulley.JobAnswer) *relay.JobReply {
	m := &relay.JobReply{Code: codes[a.Code], State: string(a.State), Reason: a.Reason}
	if !a.RetryAt.IsZero() {
		m.RetryMs = max(time.Until(a.RetryAt).Milliseconds(), 1)
	}
	return m
}

func fromReply(m *relay.JobReply) carobpulley.JobAnswer {
	a := carobpulley.JobAnswer{Code: carobpulley.AnswerUnknown, State: work.State(m.GetState()), Reason: m.GetReason()}
	for code, wire := range codes {
		if wire == m.GetCode() {
			a.Code = code
		}
	}
	if m.GetRetryMs() > 0 {
		a.RetryAt = time.Now().Add(time.Duration(m.GetRetryMs()) * time.Millisecond)
	}
	return a
}

// Submit implements relay.CoordinatorServiceHandler.
func (s server) Submit(ctx context.Context, r *connect.Request[relay.SubmitRequest]) (*connect.Response[relay.JobReply], error) {
	j, err := work.DecodeJob(r.Msg.GetJob())
	if err != nil {
		return connect.NewResponse(&relay.JobReply{Code: relay.Code_CODE_INVALID, Reason: err.Error()}), nil
	}
	return connect.NewResponse(toReply(s.c.submitHere(ctx, j))), nil
}

// State implements relay.CoordinatorServiceHandler.
func (s server) State(_ context.Context, r *connect.Request[relay.StateRequest]) (*connect.Response[relay.JobReply], error) {
	return connect.NewResponse(toReply(s.c.stateHere(r.Msg.GetQueue(), r.Msg.GetId()))), nil
}

// Cancel implements relay.CoordinatorServiceHandler.
func (s server) Cancel(ctx context.Context, r *connect.Request[relay.CancelRequest]) (*connect.Response[relay.JobReply], error) {
	return connect.NewResponse(toReply(s.c.cancelHere(ctx, r.Msg.GetQueue(), r.Msg.GetId()))), nil
}

// Pending implements relay.CoordinatorServiceHandler.
func (s server) Pending(_ context.Context, r *connect.Request[relay.PendingRequest]) (*connect.Response[relay.PendingReply], error) {
	s.c.mu.Lock()
	defer s.c.mu.Unlock()
	return connect.NewResponse(&relay.PendingReply{Pending: int64(s.c.table.PendingCount(r.Msg.GetQueue()))}), nil
}

// Ping implements relay.CoordinatorServiceHandler.
func (s server) Ping(_ context.Context, _ *connect.Request[relay.PingRequest]) (*connect.Response[relay.PingReply], error) {
	return connect.NewResponse(s.c.self()), nil
}

// TakeOver implements relay.CoordinatorServiceHandler.
func (s server) TakeOver(_ context.Context, r *connect.Request[relay.TakeOverRequest]) (*connect.Response[relay.PingReply], error) {
	s.c.takeOver(link.EpochsFromWire(r.Msg.GetShards()))
	return connect.NewResponse(s.c.self()), nil
}

// Report implements relay.CoordinatorServiceHandler.
func (s server) Report(ctx context.Context, r *connect.Request[relay.ReportRequest]) (*connect.Response[relay.ReportReply], error) {
	return s.c.Report(ctx, r)
}

// server serves peers and agents. It is apart from Coordinator, whose methods of
// the same names serve callers.
type server struct{ c *Coordinator }

// Handler returns the handler for peers and agents.
func (c *Coordinator) Handler() relay.CoordinatorServiceHandler { return server{c} }

func (c *Coordinator) self() *relay.PingReply {
	c.mu.Lock()
	defer c.mu.Unlock()
	return &relay.PingReply{
		Name:        c.cfg.Self.Name,
		Incarnation: c.cfg.Self.Incarnation,
		Owned:       link.EpochsToWire(c.table.OwnedShards()),
		StoreAgeMs:  time.Since(c.verified).Milliseconds(),
		Draining:    c.draining,
	}
}

// takeOver claims shards that their owner hands over.
func (c *Coordinator) takeOver(epochs map[int]uint64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.draining {
		return
	}
	for number, epoch := range epochs {
		if c.claims[number].Epoch == epoch {
			go c.claim(number, c.control, epoch+1, "its owner hands it over")
		}
	}
}
