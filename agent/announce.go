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
	// entry marks an endpoint as suspect if it receives none for 2 s.
	announceInterval = time.Second
	// announceTimeout bounds one announcement.
	announceTimeout = time.Second
	// newConnDuration is how long announcements use a new connection each after a
	// failure: until a dead shared connection has been closed.
	newConnDuration = inner.DeadConnTimeout + announceInterval
)

// EntryClients returns the client for the entry at an address. If newConn is set,
// each call opens a connection of its own.
type EntryClients func(addr netip.AddrPort, newConn bool) wire.EntryServiceClient

// NewEntryClients returns clients that call entries through c.
func NewEntryClients(c *inner.Client) EntryClients {
	newConns := c.WithNewConns()
	return func(addr netip.AddrPort, newConn bool) wire.EntryServiceClient {
		if newConn {
			return newConns.Entry(addr)
		}
		return c.Entry(addr)
	}
}

// Announce announces the endpoint to all entries until ctx ends: every second, and
// at once when the agent starts to drain.
func (a *Agent) Announce(ctx context.Context) {
	var wg sync.WaitGroup
	for i, addr := range a.cfg.Entries {
		wg.Go(func() { a.announceLoop(ctx, addr, a.wake[i]) })
	}
	wg.Wait()
}

// Leave announces to all entries that the endpoint is gone. Entries rely on it that
// no task starts here from then on.
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

// announceLoop announces the endpoint to one entry. Each entry has a loop of its
// own, so that an unresponsive entry delays no other. After a failure the loop uses
// new connections for newConnDuration.
func (a *Agent) announceLoop(ctx context.Context, addr netip.AddrPort, wake <-chan struct{}) {
	ticker := time.NewTicker(announceInterval)
	defer ticker.Stop()
	failed := false
	var newConnUntil time.Time
	for {
		err := a.announce(ctx, addr, time.Now().Before(newConnUntil), false)
		if ctx.Err() != nil {
			return
		}
		if (err != nil) != failed {
			a.log.Info().Stringer("entry", addr).AnErr("error", err).Bool("reached", err == nil).Msg("entry state changed")
		}
		failed = err != nil
		if failed {
			a.vars.Add("announce_failures", 1)
			newConnUntil = time.Now().Add(newConnDuration)
		}
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		case <-wake:
		}
	}
}

func (a *Agent) announce(ctx context.Context, addr netip.AddrPort, newConn, leaving bool) error {
	ctx, cancel := context.WithTimeout(ctx, announceTimeout)
	defer cancel()
	msg := inner.AnnouncementToWire(a.announcement(leaving))
	res, err := a.entryClients(addr, newConn).Announce(ctx, connect.NewRequest(msg))
	if err != nil {
		return err
	}
	reply := inner.AnnounceAnswerFromWire(res.Msg)
	a.configure(reply.ConfigVersion, reply.InService)
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

// wakeAnnouncers makes all announcement loops announce at once.
func (a *Agent) wakeAnnouncers() {
	for _, c := range a.wake {
		select {
		case c <- struct{}{}:
		default:
		}
	}
}
