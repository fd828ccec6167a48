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

// notOwner is the answer code of a process that does not own the shard. It is never
// returned to a caller.
const notOwner carobpulley.AnswerCode = -1

var wireCodes = map[carobpulley.AnswerCode]relay.Code{
	notOwner:                   relay.Code_CODE_NOT_OWNER,
	carobpulley.AnswerUnknown:  relay.Code_CODE_UNKNOWN,
	carobpulley.AnswerOK:       relay.Code_CODE_OK,
	carobpulley.AnswerRefused:  relay.Code_CODE_REFUSED,
	carobpulley.AnswerNotFound: relay.Code_CODE_ABSENT,
	carobpulley.AnswerInvalid:  relay.Code_CODE_INVALID,
	carobpulley.AnswerConflict: relay.Code_CODE_CONFLICT,
}

func replyFromAnswer(a carobpulley.JobAnswer) *relay.JobReply {
	m := &relay.JobReply{Code: wireCodes[a.Code], State: string(a.State), Reason: a.Reason}
	if !a.RetryAt.IsZero() {
		m.RetryMs = max(time.Until(a.RetryAt).Milliseconds(), 1)
	}
	return m
}

func answerFromReply(m *relay.JobReply) carobpulley.JobAnswer {
	a := carobpulley.JobAnswer{Code: carobpulley.AnswerUnknown, State: work.State(m.GetState()), Reason: m.GetReason()}
	for code, wireCode := range wireCodes {
		if wireCode == m.GetCode() {
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
	if !s.c.beginAttempt(attempt{r.Msg.GetCoordinator(), r.Msg.GetIncarnation(), r.Msg.GetNumber()}) {
		return connect.NewResponse(&relay.JobReply{Code: relay.Code_CODE_UNKNOWN, Reason: "the submission arrived twice"}), nil
	}
	return connect.NewResponse(replyFromAnswer(s.c.submitAsOwner(ctx, j))), nil
}

// beginAttempt reports whether a submission that another coordinator forwards or passes on arrives for the first time.
func (c *Coordinator) beginAttempt(a attempt) bool {
	if a.number == 0 {
		return true // the coordinator runs a build that does not number its messages
	}
	c.lock()
	defer c.mu.Unlock()
	return c.attempts.begin(c.now, a)
}

// State implements relay.CoordinatorServiceHandler.
func (s server) State(_ context.Context, r *connect.Request[relay.StateRequest]) (*connect.Response[relay.JobReply], error) {
	return connect.NewResponse(replyFromAnswer(s.c.stateAsOwner(r.Msg.GetQueue(), r.Msg.GetId()))), nil
}

// Cancel implements relay.CoordinatorServiceHandler.
func (s server) Cancel(ctx context.Context, r *connect.Request[relay.CancelRequest]) (*connect.Response[relay.JobReply], error) {
	return connect.NewResponse(replyFromAnswer(s.c.cancelAsOwner(ctx, r.Msg.GetQueue(), r.Msg.GetId()))), nil
}

// Pending implements relay.CoordinatorServiceHandler.
func (s server) Pending(_ context.Context, r *connect.Request[relay.PendingRequest]) (*connect.Response[relay.PendingReply], error) {
	n, err := s.c.pendingAsOwner(r.Msg.GetQueue(), r.Msg.GetShards())
	if err != nil {
		return nil, connect.NewError(connect.CodeUnavailable, err)
	}
	return connect.NewResponse(&relay.PendingReply{Pending: int64(n)}), nil
}

// Ping implements relay.CoordinatorServiceHandler.
func (s server) Ping(_ context.Context, _ *connect.Request[relay.PingRequest]) (*connect.Response[relay.PingReply], error) {
	return connect.NewResponse(s.c.pingReply()), nil
}

// TakeOver implements relay.CoordinatorServiceHandler.
func (s server) TakeOver(_ context.Context, r *connect.Request[relay.TakeOverRequest]) (*connect.Response[relay.PingReply], error) {
	s.c.claimHandedOver(link.EpochsFromWire(r.Msg.GetShards()))
	return connect.NewResponse(s.c.pingReply()), nil
}

// Config implements relay.CoordinatorServiceHandler.
func (s server) Config(_ context.Context, r *connect.Request[relay.ConfigRequest]) (*connect.Response[relay.ConfigReply], error) {
	return connect.NewResponse(s.c.configReply(r.Msg.GetOffset())), nil
}

// Report implements relay.CoordinatorServiceHandler.
func (s server) Report(ctx context.Context, r *connect.Request[relay.ReportRequest]) (*connect.Response[relay.ReportReply], error) {
	return s.c.Report(ctx, r)
}

// server serves peers and agents. It is a type of its own because the methods of
// Coordinator with the same names serve callers.
type server struct{ c *Coordinator }

// Handler returns the implementation of the service for peers and agents.
func (c *Coordinator) Handler() relay.CoordinatorServiceHandler { return server{c} }

func (c *Coordinator) pingReply() *relay.PingReply {
	c.lock()
	defer c.mu.Unlock()
	return &relay.PingReply{
		Domains:     link.DomainsToWire(c.now, c.domains),
		Name:        c.cfg.Self.Name,
		Incarnation: c.cfg.Self.Incarnation,
		Owned:       link.EpochsToWire(c.table.OwnedShards()),
		StoreAgeMs:  c.now.Sub(c.ownershipProof).Milliseconds(),
		Draining:    c.draining,
	}
}

// claimHandedOver claims shards that a draining owner hands over, unless this process
// drains too or a newer claim exists.
func (c *Coordinator) claimHandedOver(epochs map[int]uint64) {
	c.lock()
	defer c.mu.Unlock()
	if c.draining {
		return
	}
	for number, epoch := range epochs {
		if c.claims[number].Epoch == epoch {
			go c.appendClaim(number, c.controlOffset, epoch+1, "its owner is handing it over")
		}
	}
}
