package entry

import (
	"context"
	"time"

	"connectrpc.com/connect"

	"carobpulley"
	"carobpulley/inner"
	"carobpulley/wire"
)

// service implements the internal protocol for other entries and agents.
type service struct {
	e *Entry
}

var _ wire.EntryServiceHandler = service{}

// Service returns the handler of the internal protocol.
func (e *Entry) Service() wire.EntryServiceHandler {
	return service{e: e}
}

// Submit implements wire.EntryServiceHandler.
func (s service) Submit(
	ctx context.Context, r *connect.Request[wire.SubmitRequest],
) (*connect.Response[wire.JobReply], error) {
	in, err := inner.SubmissionFromWire(r.Msg)
	if err != nil {
		return nil, err
	}
	a, err := s.e.submitLocal(ctx, in)
	return s.reply(a, err)
}

// Lookup implements wire.EntryServiceHandler.
func (s service) Lookup(
	ctx context.Context, r *connect.Request[wire.LookupRequest],
) (*connect.Response[wire.JobReply], error) {
	in, err := inner.LookupFromWire(r.Msg)
	if err != nil {
		return nil, err
	}
	a, err := s.e.lookupLocal(ctx, in.ID, in.Wait)
	return s.reply(a, err)
}

// Cancel implements wire.EntryServiceHandler.
func (s service) Cancel(
	_ context.Context, r *connect.Request[wire.CancelRequest],
) (*connect.Response[wire.JobReply], error) {
	id, err := inner.CancelFromWire(r.Msg)
	if err != nil {
		return nil, err
	}
	a, err := s.e.cancelLocal(id)
	return s.reply(a, err)
}

func (s service) reply(a carobpulley.Answer, err error) (*connect.Response[wire.JobReply], error) {
	if err != nil {
		return connect.NewResponse(inner.RefusedJobReply(err, s.e.cfg.Name)), nil
	}
	return connect.NewResponse(inner.JobReplyToWire(inner.JobReply{Answer: a, Owner: s.e.cfg.Name})), nil
}

// Contact implements wire.EntryServiceHandler.
func (s service) Contact(
	_ context.Context, r *connect.Request[wire.ContactRequest],
) (*connect.Response[wire.ContactReply], error) {
	in, err := inner.ContactFromWire(r.Msg)
	if err != nil {
		return nil, err
	}
	return connect.NewResponse(inner.ContactAnswerToWire(s.e.handleContact(in))), nil
}

// Witness implements wire.EntryServiceHandler.
func (s service) Witness(
	_ context.Context, r *connect.Request[wire.WitnessRequest],
) (*connect.Response[wire.WitnessReply], error) {
	in, err := inner.WitnessingFromWire(r.Msg)
	if err != nil {
		return nil, err
	}
	held := make([]bool, len(in.Claims))
	for i, c := range in.Claims {
		held[i] = s.e.holdForOwner(c)
	}
	return connect.NewResponse(inner.WitnessAnswerToWire(held)), nil
}

// Yield implements wire.EntryServiceHandler.
func (s service) Yield(
	_ context.Context, r *connect.Request[wire.YieldRequest],
) (*connect.Response[wire.YieldReply], error) {
	in, err := inner.YieldingFromWire(r.Msg)
	if err != nil {
		return nil, err
	}
	return connect.NewResponse(inner.YieldAnswerToWire(s.e.handleYieldRequest(in))), nil
}

// Publish implements wire.EntryServiceHandler.
func (s service) Publish(
	_ context.Context, r *connect.Request[wire.PublishRequest],
) (*connect.Response[wire.PublishReply], error) {
	in, err := inner.PublishFromWire(r.Msg)
	if err != nil {
		return nil, err
	}
	s.e.mu.Lock()
	defer s.e.mu.Unlock()
	now := time.Now()
	s.e.adoptConfig(now, &in)
	s.e.dispatchQueued(now)
	return connect.NewResponse(inner.PublishAnswerToWire(s.e.cat.Version)), nil
}

// Announce implements wire.EntryServiceHandler.
func (s service) Announce(
	_ context.Context, r *connect.Request[wire.AnnounceRequest],
) (*connect.Response[wire.AnnounceReply], error) {
	in, err := inner.AnnouncementFromWire(r.Msg)
	if err != nil {
		return nil, err
	}
	return connect.NewResponse(inner.AnnounceAnswerToWire(s.e.handleAnnouncement(in))), nil
}
