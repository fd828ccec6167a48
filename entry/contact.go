package entry

import (
	"context"
	"time"

	"connectrpc.com/connect"

	"carobpulley"
	"carobpulley/inner"
)

// contactLoop exchanges contacts with one peer until ctx ends.
func (e *Entry) contactLoop(ctx context.Context, peer string) error {
	ticker := time.NewTicker(carobpulley.ContactInterval)
	defer ticker.Stop()
	for {
		e.contact(ctx, peer)
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return nil
		}
	}
}

// contact sends one contact and takes the answer.
func (e *Entry) contact(ctx context.Context, peer string) {
	sentAt := time.Now()
	msg := e.contactMessage()
	ctx, cancel := context.WithTimeout(ctx, carobpulley.VouchValidity)
	defer cancel()
	e.counters.contacts.Add(1)
	r, err := e.peer(peer).Contact(ctx, connect.NewRequest(inner.ContactToWire(msg)))
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
	e.adopt(now, a.Config)
	e.ownersFromPeer(now, a)
	e.notePeer(now, a.Contact)
	e.stepAuthority(now, carobpulley.ContactAnswered{
		Peer:        a.Entry,
		Incarnation: a.Incarnation,
		SentAt:      sentAt,
		Vouch:       a.Vouch && e.spread.VouchCounts(a.ConfigVersion),
		Draining:    a.Draining,
	})
	e.pump(now)
}

func (e *Entry) contactMessage() inner.Contact {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.ownContact()
}

// ownContact is what this entry says of itself. mu is held.
func (e *Entry) ownContact() inner.Contact {
	return inner.Contact{
		Entry:         e.cfg.Name,
		Incarnation:   e.cfg.Incarnation,
		ConfigVersion: e.cat.Version,
		OwnersOffset:  e.owners.next,
		Draining:      e.draining,
	}
}

// contacted answers a peer's contact with what the peer does not know yet, so
// that the vouch covers it.
func (e *Entry) contacted(c inner.Contact) inner.ContactAnswer {
	e.mu.Lock()
	defer e.mu.Unlock()
	now := time.Now()
	acts := e.stepAuthority(now, carobpulley.ContactAsked{
		Peer:        c.Entry,
		Incarnation: c.Incarnation,
		Draining:    c.Draining,
	})
	e.notePeer(now, c)
	out := inner.ContactAnswer{
		Contact: e.ownContact(),
		Claims:  e.owners.after(c.OwnersOffset),
	}
	for _, a := range acts {
		if v, ok := a.(carobpulley.VouchFor); ok {
			out.Vouch = v.Vouch
		}
	}
	if e.spread.IsOutdated(c.ConfigVersion) {
		out.Config = e.configRecord()
	}
	return out
}

// notePeer keeps what a peer said of itself, for status and for the
// confirmation of changes.
func (e *Entry) notePeer(now time.Time, c inner.Contact) {
	p := e.peers[c.Entry]
	if p == nil || c.Incarnation < p.incarnation {
		return
	}
	p.incarnation = c.Incarnation
	p.answeredAt = now
	p.draining = c.Draining
	if e.spread.HandlePeerVersion(c.Entry, c.Incarnation, c.ConfigVersion) {
		e.signalVersions()
	}
}

// signalVersions wakes those who wait for versions to spread. mu is held.
func (e *Entry) signalVersions() {
	close(e.versionChanged)
	e.versionChanged = make(chan struct{})
}

// adopt takes a newer configuration from a peer.
func (e *Entry) adopt(now time.Time, r *inner.ConfigRecord) {
	if r == nil {
		return
	}
	changed := e.spread.Adopt(r.Version, r.Document)
	e.configured(now, changed)
}

func (e *Entry) configRecord() *inner.ConfigRecord {
	return &inner.ConfigRecord{
		Version:  e.fold.Version(),
		Document: e.fold.Document(),
	}
}

// configured hands the version in force to the parts that act by it. mu is
// held.
func (e *Entry) configured(now time.Time, changed bool) {
	if _, err := e.fold.Catalogue(); err != nil && e.unreadable != e.fold.Version() {
		e.unreadable = e.fold.Version()
		e.logger.Error().Err(err).Uint64("version", e.unreadable).Msg("configuration cannot be read")
	}
	if !changed {
		return
	}
	e.cat = e.spread.InForce()
	e.stepAuthority(now, carobpulley.Configured{Entries: e.cat.Entries})
	e.placer.Configure(now, e.cat)
	e.admitter.Configure(now, e.cat)
	e.signalVersions()
	e.logger.Info().Uint64("version", e.cat.Version).Msg("configuration in force")
}

// configLoop follows the config stream until ctx ends.
func (e *Entry) configLoop(ctx context.Context) error {
	for ctx.Err() == nil {
		from := e.configNext()
		sentAt := time.Now()
		page, err := e.readLog(ctx, carobpulley.StreamConfig, from)
		e.noteLog(err)
		if err != nil {
			sleepCtx(ctx, time.Now().Add(logRetry))
			continue
		}
		e.mu.Lock()
		now := time.Now()
		read := e.spread.HandlePage(now, from, page)
		e.configured(now, read.Changed)
		if read.AtEnd {
			e.owners.configReadAt = sentAt
			e.logVote(now)
		}
		e.signalVersions()
		e.pump(now)
		e.mu.Unlock()
	}
	return nil
}

func (e *Entry) configNext() uint64 {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.fold.Next()
}

const (
	// logWait is how long a read waits at the tail of a stream. Two reads fit
	// into the 800 ms that the log's vote is valid.
	logWait = 300 * time.Millisecond
	// logTimeout bounds one read of the log.
	logTimeout = 2 * time.Second
	// logRetry is the time between reads of a log that does not answer.
	logRetry = 200 * time.Millisecond
	// logPage is the number of records of one read.
	logPage = 256
)

func (e *Entry) readLog(ctx context.Context, name string, from uint64) (carobpulley.Page, error) {
	ctx, cancel := context.WithTimeout(ctx, logTimeout)
	defer cancel()
	return e.log.Read(ctx, name, from, logPage, time.Now().Add(logWait))
}
