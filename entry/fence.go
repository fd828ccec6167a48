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
	// fencePageTimeout bounds one Fence call, which returns one page.
	fencePageTimeout = 2 * time.Second
	// fenceAgentTimeout bounds all pages of one agent.
	fenceAgentTimeout = 10 * time.Second
)

// sendFence raises the shards' epochs at all agents and collects the tasks that
// they have started.
func (e *Entry) sendFence(now time.Time, shards []carobpulley.Ownership) {
	takeovers := make([]*takeover, 0, len(shards))
	for _, s := range shards {
		takeovers = append(takeovers, e.takeoverOf(s))
	}
	agents := make([]carobpulley.Endpoint, 0, len(e.agents))
	for _, a := range e.agents {
		agents = append(agents, a.endpoint)
	}
	left, lost := e.recentDepartures(now)
	for _, t := range takeovers {
		t.departed = left
	}
	complete := !lost
	e.runBackground(func() { e.fenceAll(shards, takeovers, agents, complete) })
}

func (e *Entry) fenceAll(shards []carobpulley.Ownership, takeovers []*takeover, agents []carobpulley.Endpoint, complete bool) {
	var wg sync.WaitGroup
	var mu sync.Mutex
	for _, ep := range agents {
		wg.Add(1)
		go func() {
			defer wg.Done()
			ok := e.fenceAgent(shards, ep)
			mu.Lock()
			defer mu.Unlock()
			complete = complete && ok
		}()
	}
	wg.Wait()
	e.mu.Lock()
	defer e.mu.Unlock()
	for _, t := range takeovers {
		t.agentsComplete = complete
		close(t.fenced)
	}
	if complete {
		e.stepAuthority(time.Now(), carobpulley.AgentsFenced{Shards: shards})
	}
}

// fenceAgent raises the epochs at one agent and reports whether the agent returned
// a complete list of the tasks that it has started.
func (e *Entry) fenceAgent(shards []carobpulley.Ownership, ep carobpulley.Endpoint) bool {
	ctx, cancel := context.WithTimeout(e.ctx, fenceAgentTimeout)
	defer cancel()
	complete := true
	for after := uint64(0); ; {
		a, err := e.fencePage(ctx, inner.FenceRequest{Owner: e.cfg.Name, Shards: shards, After: after}, ep)
		if err != nil {
			e.logger.Warn().Err(err).Str("endpoint", ep.ID).Msg("fence request failed")
			return false
		}
		// A new process has no record of the tasks that its predecessor started.
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

// fencePage requests one page of started tasks from an agent and adds them to the
// takeovers of their shards.
func (e *Entry) fencePage(ctx context.Context, f inner.FenceRequest, ep carobpulley.Endpoint) (inner.FenceAnswer, error) {
	ctx, cancel := context.WithTimeout(ctx, fencePageTimeout)
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
	e.recordAgentClock(ep.ID, a.Incarnation, a.AgentTime)
	for _, s := range a.Started {
		t := e.takeovers[carobpulley.ShardOf(s.ID.Job, e.cfg.Shards)]
		if t == nil {
			continue
		}
		s.Incarnation = a.Incarnation
		t.started = append(t.started, s)
	}
	return a, nil
}
