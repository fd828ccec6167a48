package entry

import (
	"time"

	"carobpulley"
	"carobpulley/inner"
	"carobpulley/owner"
)

// announced takes an agent's announcement.
func (e *Entry) announced(in inner.Announcement) inner.AnnounceAnswer {
	e.mu.Lock()
	defer e.mu.Unlock()
	now := time.Now()
	e.stepRoster(now, carobpulley.Announced{
		Endpoint:  in.Endpoint,
		Load:      in.Load,
		AgentTime: in.AgentTime,
		Leaving:   in.Leaving,
	})
	e.heard(in.Endpoint.ID, in.Endpoint.Incarnation, in.AgentTime)
	if s := e.agents[in.Endpoint.ID]; s != nil && s.endpoint.Incarnation == in.Endpoint.Incarnation {
		s.configVersion = in.ConfigVersion
	}
	e.pump(now)
	return inner.AnnounceAnswer{
		ConfigVersion: e.cat.Version,
		InService:     e.cat.InService(in.Endpoint.Domain),
	}
}

// stepRoster feeds an event to the roster and carries the actions out. mu is held.
func (e *Entry) stepRoster(now time.Time, ev carobpulley.RosterEvent) {
	for _, a := range e.roster.Step(now, ev) {
		switch a := a.(type) {
		case carobpulley.EndpointUp:
			e.endpointUp(now, a)
		case carobpulley.EndpointLoad:
			if s := e.agents[a.ID]; s != nil {
				e.placer.Upsert(now, s.endpoint, a.Load)
			}
		case carobpulley.EndpointSuspect:
			e.placer.Suspect(now, a.ID)
		case carobpulley.EndpointRemoved:
			e.endpointRemoved(now, a)
		}
	}
}

func (e *Entry) endpointUp(now time.Time, a carobpulley.EndpointUp) {
	ep := a.Endpoint
	s := e.agents[ep.ID]
	if s == nil || s.endpoint.Incarnation != ep.Incarnation {
		s = &agentState{}
		e.agents[ep.ID] = s
		e.logger.Info().Str("endpoint", ep.ID).Str("domain", ep.Domain).Msg("endpoint is up")
	}
	s.endpoint = ep
	e.placer.Upsert(now, ep, a.Load)
}

func (e *Entry) endpointRemoved(now time.Time, a carobpulley.EndpointRemoved) {
	e.logger.Info().Str("endpoint", a.ID).Str("reason", string(a.Reason)).Msg("endpoint removed")
	if a.Reason == carobpulley.RemovedLeft {
		e.departures.AddAnnounced(now, a.ID, a.Incarnation)
	} else {
		e.departures.AddLost(now)
	}
	s := e.agents[a.ID]
	if s == nil || s.endpoint.Incarnation != a.Incarnation {
		return
	}
	delete(e.agents, a.ID)
	e.placer.Remove(now, a.ID)
}

// departed returns the agents that left while open jobs may have started tasks
// there. Lost is set if starts may be unknown beyond them: an agent went without
// announcing it, or this entry came later than the first owner and has not been
// here long enough to know.
func (e *Entry) departed(now time.Time) (left []uint64, lost bool) {
	left, lost = e.departures.Recent(now)
	young := now.Sub(e.startedAt) < owner.DepartureWindow && !e.owners.fromStart
	return left, lost || young
}

// sharer is an Admitter that enforces a part of the quotas: that of the shards
// that this entry owns.
type sharer interface {
	SetShare(now time.Time, share float64)
}

// shareQuotas sets the admitter's part of the quotas. mu is held.
func (e *Entry) shareQuotas(now time.Time) {
	s, ok := e.admitter.(sharer)
	if !ok {
		return
	}
	n := 0
	for i := range e.cfg.Shards {
		own, ok := e.authority.Owner(i)
		if ok && own.Owner == e.cfg.Name {
			n++
		}
	}
	share := float64(n) / float64(e.cfg.Shards)
	if share == e.share || n == 0 {
		return
	}
	e.share = share
	s.SetShare(now, share)
}
