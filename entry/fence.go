package entry

import (
	"context"
	"sync"
	"time"

	"connectrpc.com/connect"

	"carobpulley"
	"carobpulley/inner"
)

const (
	// fenceTimeout bounds one Fence call, which answers with a page.
	fenceTimeout = 2 * time.Second
	// fenceLimit bounds all pages of one agent.
	fenceLimit = 10 * time.Second
)

// sendFence raises the epochs at all agents and collects what they started.
func (e *Entry) sendFence(now time.Time, shards []carobpulley.Ownership) {
	takes := make([]*takeover, 0, len(shards))
	for _, s := range shards {
		takes = append(takes, e.collect(s))
	}
	agents := make([]carobpulley.Endpoint, 0, len(e.agents))
	for _, a := range e.agents {
		agents = append(agents, a.endpoint)
	}
	left, lost := e.departed(now)
	for _, t := range takes {
		t.departed = left
	}
	whole := !lost
	e.goDo(func() { e.fenceAll(shards, takes, agents, whole) })
}

func (e *Entry) fenceAll(shards []carobpulley.Ownership, takes []*takeover, agents []carobpulley.Endpoint, whole bool) {
	var wg sync.WaitGroup
	var mu sync.Mutex
	for _, ep := range agents {
		wg.Add(1)
		go func() {
			defer wg.Done()
			ok := e.fenceOne(shards, ep)
			mu.Lock()
			defer mu.Unlock()
			whole = whole && ok
		}()
	}
	wg.Wait()
	e.mu.Lock()
	defer e.mu.Unlock()
	for _, t := range takes {
		t.allAgents = whole
		close(t.fenced)
	}
	if whole {
		e.stepAuthority(time.Now(), carobpulley.AgentsFenced{Shards: shards})
	}
}

// fenceOne fences one agent and reports whether it told all that it started.
func (e *Entry) fenceOne(shards []carobpulley.Ownership, ep carobpulley.Endpoint) bool {
	ctx, cancel := context.WithTimeout(e.ctx, fenceLimit)
	defer cancel()
	complete := true
	for after := uint64(0); ; {
		a, err := e.fencePage(ctx, inner.FenceRequest{Owner: e.cfg.Name, Shards: shards, After: after}, ep)
		if err != nil {
			e.logger.Warn().Err(err).Str("endpoint", ep.ID).Msg("fence got no answer")
			return false
		}
		// Pages of a new process say nothing of what the one before it started.
		if !a.Fenced || a.Incarnation != ep.Incarnation {
			return false
		}
		complete = complete && a.Complete
		if a.Next == 0 {
			return complete
		}
		if a.Next <= after {
			e.logger.Warn().Str("endpoint", ep.ID).Uint64("next", a.Next).Msg("fence pages do not advance")
			return false
		}
		after = a.Next
	}
}

// fencePage asks an agent for one page of what it started and takes it in.
func (e *Entry) fencePage(ctx context.Context, f inner.FenceRequest, ep carobpulley.Endpoint) (inner.FenceAnswer, error) {
	ctx, cancel := context.WithTimeout(ctx, fenceTimeout)
	defer cancel()
	r, err := e.client.Agent(ep.Addr).Fence(ctx, connect.NewRequest(inner.FenceRequestToWire(f)))
	if err != nil {
		return inner.FenceAnswer{}, err
	}
	a, err := inner.FenceAnswerFromWire(ep.ID, r.Msg)
	if err != nil || !a.Fenced {
		return a, err
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	e.heard(ep.ID, a.Incarnation, a.AgentTime)
	for _, s := range a.Started {
		t := e.opening[carobpulley.ShardOf(s.ID.Job, e.cfg.Shards)]
		if t == nil {
			continue
		}
		s.Incarnation = a.Incarnation
		t.started = append(t.started, s)
	}
	return a, nil
}
