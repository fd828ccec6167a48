package entry

import (
	"context"
	"time"

	"connectrpc.com/connect"

	"carobpulley"
	"carobpulley/inner"
)

// contactLoop sends a contact to one peer every ContactInterval until ctx ends.
// Contacts carry state and renew the peer's lease grant ("vouch").
func (e *Entry) contactLoop(ctx context.Context, peer string) error {
	ticker := time.NewTicker(carobpulley.ContactInterval)
	defer ticker.Stop()
	for {
		e.sendContact(ctx, peer)
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return nil
		}
	}
}

// sendContact sends one contact and handles the answer.
func (e *Entry) sendContact(ctx context.Context, peer string) {
	sentAt := time.Now()
	msg := e.contactMessage()
	ctx, cancel := context.WithTimeout(ctx, carobpulley.VouchValidity)
	defer cancel()
	e.counters.contacts.Add(1)
	r, err := e.peerClient(peer).Contact(ctx, connect.NewRequest(inner.ContactToWire(msg)))
	if err != nil {
		return
	}
	a, err := inner.ContactAnswerFromWire(r.Msg)
	if err != nil || a.Entry != peer {
		e.logger.Warn().Err(err).Str("peer", peer).Msg("contact answer is not valid")
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	now := time.Now()
	e.adoptConfig(now, a.Config)
	e.applyPeerClaims(now, a)
	e.recordPeer(now, a.Contact)
	e.stepAuthority(now, carobpulley.ContactAnswered{
		Peer:        a.Entry,
		Incarnation: a.Incarnation,
		SentAt:      sentAt,
		Vouch:       a.Vouch && e.rollout.VouchCounts(a.ConfigVersion),
		Draining:    a.Draining,
	})
	e.dispatchQueued(now)
}

func (e *Entry) contactMessage() inner.Contact {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.ownContact()
}

// ownContact returns this entry's state for a contact. mu is held.
func (e *Entry) ownContact() inner.Contact {
	return inner.Contact{
		Entry:         e.cfg.Name,
		Incarnation:   e.cfg.Incarnation,
		ConfigVersion: e.cat.Version,
		OwnersOffset:  e.ownership.next,
		Draining:      e.draining,
	}
}

// handleContact answers a peer's contact. The answer includes the configuration
// and the ownership claims that the peer lacks, so that the granted vouch covers
// them.
func (e *Entry) handleContact(c inner.Contact) inner.ContactAnswer {
	e.mu.Lock()
	defer e.mu.Unlock()
	now := time.Now()
	acts := e.stepAuthority(now, carobpulley.ContactAsked{
		Peer:        c.Entry,
		Incarnation: c.Incarnation,
		Draining:    c.Draining,
	})
	e.recordPeer(now, c)
	out := inner.ContactAnswer{
		Contact: e.ownContact(),
		Claims:  e.ownership.from(c.OwnersOffset),
	}
	for _, a := range acts {
		if v, ok := a.(carobpulley.VouchFor); ok {
			out.Vouch = v.Vouch
		}
	}
	if e.rollout.IsOutdated(c.ConfigVersion) {
		out.Config = e.configRecord()
	}
	return out
}

// recordPeer stores the state that a peer reported. It is used for the status and
// for the confirmation of changes.
func (e *Entry) recordPeer(now time.Time, c inner.Contact) {
	p := e.peers[c.Entry]
	if p == nil || c.Incarnation < p.incarnation {
		return
	}
	p.incarnation = c.Incarnation
	p.lastContactAt = now
	p.draining = c.Draining
	if e.rollout.HandlePeerVersion(c.Entry, c.Incarnation, c.ConfigVersion) {
		e.signalVersionChange()
	}
}

// signalVersionChange wakes the goroutines that wait for versionChanged. mu is held.
func (e *Entry) signalVersionChange() {
	close(e.versionChanged)
	e.versionChanged = make(chan struct{})
}

// adoptConfig applies a peer's configuration if it is newer. mu is held.
func (e *Entry) adoptConfig(now time.Time, r *inner.ConfigRecord) {
	if r == nil {
		return
	}
	changed := e.rollout.Adopt(r.Version, r.Document)
	e.applyConfig(now, changed)
}

func (e *Entry) configRecord() *inner.ConfigRecord {
	return &inner.ConfigRecord{
		Version:  e.fold.Version(),
		Document: e.fold.Document(),
	}
}

// applyConfig passes the version in force to the state machines that depend on it,
// if it has changed. mu is held.
func (e *Entry) applyConfig(now time.Time, changed bool) {
	if _, err := e.fold.Catalogue(); err != nil && e.unreadableVersion != e.fold.Version() {
		e.unreadableVersion = e.fold.Version()
		e.logger.Error().Err(err).Uint64("version", e.unreadableVersion).Msg("configuration cannot be read")
	}
	if !changed {
		return
	}
	e.cat = e.rollout.InForce()
	e.stepAuthority(now, carobpulley.Configured{Entries: e.cat.Entries})
	e.placer.Configure(now, e.cat)
	e.admitter.Configure(now, e.cat)
	e.signalVersionChange()
	e.logger.Info().Uint64("version", e.cat.Version).Msg("configuration in force")
}

// configLoop follows the config stream until ctx ends.
func (e *Entry) configLoop(ctx context.Context) error {
	for ctx.Err() == nil {
		from := e.nextConfigOffset()
		sentAt := time.Now()
		page, err := e.readLog(ctx, carobpulley.StreamConfig, from)
		e.recordLogResult(err)
		if err != nil {
			sleepCtx(ctx, time.Now().Add(logRetryDelay))
			continue
		}
		e.mu.Lock()
		now := time.Now()
		read := e.rollout.HandlePage(now, from, page)
		e.applyConfig(now, read.Changed)
		if read.AtEnd {
			e.ownership.configReadAt = sentAt
			e.reportLogRead(now)
		}
		e.signalVersionChange()
		e.dispatchQueued(now)
		e.mu.Unlock()
	}
	return nil
}

func (e *Entry) nextConfigOffset() uint64 {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.fold.Next()
}

const (
	// logWait is how long a read waits at the tail of a stream. Two reads fit
	// into the 800 ms for which the log's vote is valid.
	logWait = 300 * time.Millisecond
	// logTimeout bounds one read of the log.
	logTimeout = 2 * time.Second
	// logRetryDelay is the pause after a read that the log did not answer.
	logRetryDelay = 200 * time.Millisecond
	// logPageSize is the number of records of one read.
	logPageSize = 256
)

func (e *Entry) readLog(ctx context.Context, name string, from uint64) (carobpulley.Page, error) {
	ctx, cancel := context.WithTimeout(ctx, logTimeout)
	defer cancel()
	return e.log.Read(ctx, name, from, logPageSize, time.Now().Add(logWait))
}
