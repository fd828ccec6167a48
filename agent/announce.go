package agent

import (
	"context"
	"net/netip"
	"sync"
	"time"

	"connectrpc.com/connect"

	"carobpulley/inner"
	"carobpulley/wire"
)

const (
	// announceInterval is the time between two announcements to an entry. An
	// entry suspects an endpoint after 2 s of silence.
	announceInterval = time.Second
	// announceTimeout bounds one announcement.
	announceTimeout = time.Second
	// newConnDuration is how long connections of their own are used after a failure.
	newConnDuration = inner.DeadConnTimeout + announceInterval
)

// EntryClients gives the calls of the entry at an address. With fresh set, the call
// opens a connection of its own.
type EntryClients func(addr netip.AddrPort, fresh bool) wire.EntryServiceClient

// NewEntryClients returns the entries reached by a client.
func NewEntryClients(c *inner.Client) EntryClients {
	beside := c.WithNewConns()
	return func(addr netip.AddrPort, fresh bool) wire.EntryServiceClient {
		if fresh {
			return beside.Entry(addr)
		}
		return c.Entry(addr)
	}
}

// Announce tells all entries of the endpoint, every second and at once when the
// agent starts to drain, until ctx ends.
func (a *Agent) Announce(ctx context.Context) {
	var wg sync.WaitGroup
	for i, addr := range a.cfg.Entries {
		wg.Go(func() { a.announceLoop(ctx, addr, a.wake[i]) })
	}
	wg.Wait()
}

// Leave tells all entries that the endpoint is gone. Entries count on it that
// nothing starts here from then on.
func (a *Agent) Leave(ctx context.Context) {
	a.mu.Lock()
	a.gate.Drain()
	a.mu.Unlock()
	var wg sync.WaitGroup
	for _, addr := range a.cfg.Entries {
		wg.Go(func() {
			if err := a.announce(ctx, addr, true, true); err != nil {
				a.log.Warn().Stringer("entry", addr).Err(err).Msg("leave not announced")
			}
		})
	}
	wg.Wait()
}

// announceLoop announces to one entry, so that a silent one delays no other.
// After a failure it uses new connections until a silent one has been given up.
func (a *Agent) announceLoop(ctx context.Context, addr netip.AddrPort, kick <-chan struct{}) {
	ticker := time.NewTicker(announceInterval)
	defer ticker.Stop()
	failed := false
	var freshUntil time.Time
	for {
		err := a.announce(ctx, addr, time.Now().Before(freshUntil), false)
		if ctx.Err() != nil {
			return
		}
		if (err != nil) != failed {
			a.log.Info().Stringer("entry", addr).AnErr("error", err).Bool("reached", err == nil).Msg("entry state changed")
		}
		failed = err != nil
		if failed {
			a.vars.Add("announce_failures", 1)
			freshUntil = time.Now().Add(newConnDuration)
		}
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		case <-kick:
		}
	}
}

func (a *Agent) announce(ctx context.Context, addr netip.AddrPort, fresh, leaving bool) error {
	ctx, cancel := context.WithTimeout(ctx, announceTimeout)
	defer cancel()
	msg := inner.AnnouncementToWire(a.announcement(leaving))
	res, err := a.entryClients(addr, fresh).Announce(ctx, connect.NewRequest(msg))
	if err != nil {
		return err
	}
	v := inner.AnnounceAnswerFromWire(res.Msg)
	a.configure(v.ConfigVersion, v.InService)
	return nil
}

func (a *Agent) announcement(leaving bool) inner.Announcement {
	a.mu.Lock()
	defer a.mu.Unlock()
	v := inner.Announcement{
		Endpoint:  a.cfg.Endpoint,
		Load:      a.load(),
		AgentTime: a.gate.Clock(time.Now()),
		Leaving:   leaving,
	}
	v.Endpoint.Draining = a.draining
	v.ConfigVersion, _ = a.gate.Config()
	return v
}

// wakeAnnouncers wakes the announcers.
func (a *Agent) wakeAnnouncers() {
	for _, c := range a.wake {
		select {
		case c <- struct{}{}:
		default:
		}
	}
}
