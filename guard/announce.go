package guard

import (
	"context"
	"slices"
	"time"

	"carobpulley"
	"carobpulley/work"
)

// announceLoop appends the agent's address to the store until a coordinator has attached, again
// after reannounceAfter without contact with one, and when the endpoint's capacity has changed.
func (a *Agent) announceLoop(ctx context.Context) error {
	select {
	case <-ctx.Done():
		return nil
	case <-a.heartbeats:
	case <-time.After(announceDelay):
	}
	for ctx.Err() == nil {
		pause := reannounceAfter
		if a.announceDue(a.clock.Now()) {
			if err := a.announce(ctx); err != nil {
				a.log.Warn().Err(err).Msg("agent address not appended to the store")
				pause = announceRetryInterval
			}
		}
		select {
		case <-ctx.Done():
		case <-a.heartbeats:
		case <-time.After(pause):
		}
	}
	return nil
}

// announceDue reports whether the address has to be appended to the store.
func (a *Agent) announceDue(now time.Time) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	if now.Sub(a.lastContact) >= reannounceAfter || len(a.controller.Coordinators()) == 0 {
		return true
	}
	return !sameCapacity(a.announced, a.endpointCapacity())
}

func (a *Agent) announce(ctx context.Context) error {
	a.mu.Lock()
	self := a.cfg.Self
	self.Endpoint = a.endpointCapacity()
	a.mu.Unlock()
	value, err := work.EncodeControl(self)
	if err != nil {
		return err
	}
	call, cancel := context.WithTimeout(ctx, announceTimeout)
	defer cancel()
	records := []carobpulley.KeyedRecord{{Key: work.AgentKey(self.Name), Value: value}}
	if err := a.store.Append(call, carobpulley.Partition{Topic: carobpulley.TopicControl}, records); err != nil {
		return err
	}
	a.mu.Lock()
	a.announced = self.Endpoint
	a.mu.Unlock()
	return nil
}

// endpointCapacity returns what the endpoint can run; nil before the first heartbeat. The caller
// holds a.mu.
func (a *Agent) endpointCapacity() *work.EndpointCapacity {
	if a.controller.Instance() == "" {
		return nil
	}
	s := a.controller.State(a.clock.Now(), "")
	return &work.EndpointCapacity{Service: s.Service, Labels: s.Labels, Capacity: s.Capacity}
}

func sameCapacity(a, b *work.EndpointCapacity) bool {
	if a == nil || b == nil {
		return a == b
	}
	return a.Service == b.Service && a.Capacity == b.Capacity && slices.Equal(a.Labels, b.Labels)
}
