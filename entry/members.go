package entry

import (
	"time"

	"carobpulley/inner"
)

const (
	// suspectAfter is how long an agent may be silent before it gets no new work.
	suspectAfter = 2 * time.Second
	// removeAfter is how long an agent may be silent before it is forgotten.
	removeAfter = 10 * time.Second
)

// announced takes an agent's announcement.
func (e *Entry) announced(in inner.Announcement) inner.AnnounceAnswer {
	e.mu.Lock()
	defer e.mu.Unlock()
	now := time.Now()
	ep := in.Endpoint
	a := e.agents[ep.ID]
	switch {
	case a != nil && ep.Incarnation < a.endpoint.Incarnation:
		// A delayed announcement of a process that was replaced.
	case in.Leaving:
		e.removeAgent(now, ep.ID)
	default:
		if a == nil || a.endpoint.Incarnation < ep.Incarnation {
			if a != nil {
				e.departedAt = now
			}
			a = &agentState{}
			e.agents[ep.ID] = a
			e.logger.Info().Str("endpoint", ep.ID).Str("domain", ep.Domain).Msg("endpoint announced itself")
		}
		a.endpoint = ep
		a.heardAt = now
		e.heard(ep.ID, ep.Incarnation, in.AgentTime)
		e.placer.Upsert(now, ep, in.Load)
	}
	e.pump(now)
	return inner.AnnounceAnswer{
		ConfigVersion: e.cat.Version,
		InService:     e.cat.InService(ep.Domain),
	}
}

// sweepMembers suspects and forgets agents that are silent. mu is held.
func (e *Entry) sweepMembers(now time.Time) {
	for id, a := range e.agents {
		silent := now.Sub(a.heardAt)
		switch {
		case silent > removeAfter:
			e.logger.Warn().Str("endpoint", id).Msg("endpoint removed")
			e.removeAgent(now, id)
		case silent > suspectAfter:
			e.placer.Suspect(now, id)
		}
	}
}

func (e *Entry) removeAgent(now time.Time, id string) {
	if _, ok := e.agents[id]; !ok {
		return
	}
	delete(e.agents, id)
	e.placer.Remove(now, id)
	e.departedAt = now
}

// agentsLost reports whether starts of the last ten minutes may be unknown to
// the agents that are here: one has departed, or this entry came later than
// the first owner and has not been here long enough to know.
func (e *Entry) agentsLost(now time.Time) bool {
	since := now.Add(-departedFor)
	if e.departedAt.After(since) {
		return true
	}
	return e.startedAt.After(since) && !e.owners.fromStart
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
