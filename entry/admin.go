package entry

import (
	"context"
	"slices"
	"time"

	"connectrpc.com/connect"

	"carobpulley"
	"carobpulley/conf"
	"carobpulley/inner"
	"carobpulley/oper"
)

var _ oper.Backend = (*Entry)(nil)

const (
	// publishTimeout bounds one Publish call to a peer.
	publishTimeout = 500 * time.Millisecond
	// snapshotPoll is how often the need of a snapshot record is looked at.
	snapshotPoll = 10 * time.Second
)

// noteLog keeps whether the log answers.
func (e *Entry) noteLog(err error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	up := err == nil
	if up != e.platform.Up {
		e.platform.Up = up
		e.platform.Since = time.Now()
	}
	e.platform.Error = ""
	if !up {
		e.platform.Error = err.Error()
	}
}

// Catalogue implements oper.Backend.
func (e *Entry) Catalogue() oper.Current {
	e.mu.Lock()
	defer e.mu.Unlock()
	c := oper.Current{Version: e.fold.Version(), Document: string(e.fold.Document())}
	if _, err := e.fold.Catalogue(); err != nil {
		c.Error = err.Error()
	}
	return c
}

// Version implements oper.Backend.
func (e *Entry) Version(version uint64) (oper.Current, bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	doc, ok := e.fold.DocumentAt(version)
	return oper.Current{Version: version, Document: string(doc)}, ok
}

// History implements oper.Backend.
func (e *Entry) History() []conf.Result {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.fold.History()
}

// Publish implements oper.Backend.
func (e *Entry) Publish(ctx context.Context, c conf.Change) oper.Answer {
	if a, stop := e.refuseChange(c); stop {
		return a
	}
	data, err := c.Encode()
	if err != nil {
		return oper.Answer{Outcome: oper.OutcomeUnavailable, ChangeID: c.ID, Message: err.Error()}
	}
	if _, err := e.log.Append(ctx, carobpulley.StreamConfig, c.ID, data); err != nil {
		kind := inner.AsError(err).Kind
		if kind == carobpulley.KindUnavailable || kind == carobpulley.KindInvalid {
			return oper.Answer{
				Outcome:  oper.OutcomeUnavailable,
				ChangeID: c.ID,
				Message:  "the log did not take the change: " + err.Error(),
			}
		}
	}
	return e.awaitChange(ctx, c.ID)
}

// refuseChange answers a change that is decided already or cannot be appended.
func (e *Entry) refuseChange(c conf.Change) (oper.Answer, bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if _, known := e.fold.Outcome(c.ID); known {
		return e.changeState(c.ID), true
	}
	if !e.platform.Up {
		return oper.Answer{
			Outcome:  oper.OutcomeUnavailable,
			ChangeID: c.ID,
			Version:  e.fold.Version(),
			Message:  "the log is down; the change was not accepted",
		}, true
	}
	return oper.Answer{}, false
}

// awaitChange waits until a change is decided and a majority has confirmed it.
func (e *Entry) awaitChange(ctx context.Context, id string) oper.Answer {
	pushed := false
	for {
		e.mu.Lock()
		a := e.changeState(id)
		changed := e.versionChanged
		e.mu.Unlock()
		if a.Outcome == oper.OutcomeAccepted || a.Outcome == oper.OutcomeConflict {
			return a
		}
		if a.Outcome == oper.OutcomePublished && !pushed {
			pushed = true
			e.pushConfig()
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return a
		}
	}
}

// Change implements oper.Backend.
func (e *Entry) Change(_ context.Context, id string) oper.Answer {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.changeState(id)
}

// changeState is the state of a change as this entry knows it. mu is held.
func (e *Entry) changeState(id string) oper.Answer {
	r, ok := e.fold.Outcome(id)
	a := oper.Answer{ChangeID: id, Version: e.fold.Version()}
	switch {
	case !ok:
		a.Outcome = oper.OutcomeUnknown
		a.Message = "the change has not been read back from the log; ask again by its id"
	case r.Outcome == conf.Conflict:
		a.Outcome = oper.OutcomeConflict
		a.Document = string(e.fold.Document())
		a.Message = "the change was made against another version"
	case e.confirmed(r.Version):
		a.Outcome = oper.OutcomeAccepted
		a.Version = r.Version
	default:
		a.Outcome = oper.OutcomePublished
		a.Version = r.Version
		a.Message = "in the log; not confirmed by a majority of the entries yet"
	}
	return a
}

// confirmed reports whether majorities of the entries before and after a change
// have its version, so that no majority can act without it.
func (e *Entry) confirmed(version uint64) bool {
	return e.majorityHas(version, e.entriesAt(version)) && e.majorityHas(version, e.entriesAt(version-1))
}

// entriesAt returns the entries of a version; none for version 0.
func (e *Entry) entriesAt(version uint64) []string {
	if version == e.cat.Version {
		return e.cat.Entries
	}
	doc, ok := e.fold.DocumentAt(version)
	if !ok {
		return nil
	}
	cat, err := conf.Parse(doc)
	if err != nil {
		return nil
	}
	return cat.Entries
}

func (e *Entry) majorityHas(version uint64, entries []string) bool {
	if len(entries) == 0 {
		return true
	}
	votes := 0
	if len(entries)%2 == 0 {
		// The record is in the log, which has the tie-breaking vote.
		votes++
	}
	for _, name := range entries {
		p := e.peers[name]
		switch {
		case name == e.cfg.Name && e.cat.Version >= version:
			votes++
		case p != nil && p.configVersion >= version:
			votes++
		}
	}
	return votes >= len(entries)/2+1
}

// pushConfig hands the newest version to all peers at once, so that it spreads
// though the log goes down.
func (e *Entry) pushConfig() {
	e.mu.Lock()
	rec := *e.configRecord()
	e.mu.Unlock()
	for name := range e.cfg.Peers {
		e.goDo(func() { e.pushConfigTo(name, rec) })
	}
}

func (e *Entry) pushConfigTo(peer string, rec inner.ConfigRecord) {
	ctx, cancel := context.WithTimeout(e.ctx, publishTimeout)
	defer cancel()
	r, err := e.peer(peer).Publish(ctx, connect.NewRequest(inner.PublishToWire(rec)))
	if err != nil {
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	p := e.peers[peer]
	version := inner.PublishAnswerFromWire(r.Msg)
	if version > p.configVersion {
		p.configVersion = version
		e.signalVersions()
	}
}

// snapshotLoop carries the configuration forward in the log before it expires.
// The owner of shard 0 does so for all.
func (e *Entry) snapshotLoop(ctx context.Context) error {
	for sleepCtx(ctx, time.Now().Add(snapshotPoll)) {
		data, due := e.snapshotDue(time.Now())
		if !due {
			continue
		}
		appendCtx, cancel := context.WithTimeout(ctx, logTimeout)
		_, err := e.log.Append(appendCtx, carobpulley.StreamConfig, e.newID(), data)
		cancel()
		if err != nil {
			e.logger.Warn().Err(err).Msg("configuration snapshot was not confirmed")
		}
	}
	return nil
}

func (e *Entry) snapshotDue(now time.Time) ([]byte, bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if !e.authority.Active(now, 0) || !e.fold.SnapshotDue(now, e.cfg.LogRetention) {
		return nil, false
	}
	s, ok := e.fold.Snapshot()
	if !ok {
		return nil, false
	}
	data, err := s.Encode()
	if err != nil {
		e.logger.Error().Err(err).Msg("configuration snapshot cannot be encoded")
		return nil, false
	}
	return data, true
}

// Status implements oper.Backend.
func (e *Entry) Status() oper.Status {
	e.mu.Lock()
	defer e.mu.Unlock()
	now := time.Now()
	s := oper.Status{
		Entry:     e.cfg.Name,
		Version:   e.cat.Version,
		Authority: e.authority.Has(now),
		Log:       e.platform,
		Processes: append(e.entryStatus(now), e.agentStatus(now)...),
	}
	s.Log.Position = e.fold.Next()
	for i := range e.cfg.Shards {
		own, ok := e.authority.Owner(i)
		if !ok {
			continue
		}
		s.Shards = append(s.Shards, oper.Shard{
			Shard:  i,
			Owner:  own.Owner,
			Epoch:  own.Epoch,
			Active: own.Owner != e.cfg.Name || e.authority.Active(now, i),
		})
	}
	return s
}

func (e *Entry) entryStatus(now time.Time) []oper.Process {
	out := make([]oper.Process, 0, 1+len(e.peers))
	out = append(out, oper.Process{
		Role:        oper.RoleEntry,
		Name:        e.cfg.Name,
		Incarnation: e.cfg.Incarnation,
		Domain:      e.cfg.Domain,
		State:       drainState(carobpulley.RosterAlive, e.draining),
		Version:     e.cat.Version,
	})
	names := make([]string, 0, len(e.peers))
	for name := range e.peers {
		names = append(names, name)
	}
	slices.Sort(names)
	for _, name := range names {
		p := e.peers[name]
		state := carobpulley.RosterAlive
		lag := now.Sub(p.answeredAt)
		switch {
		case p.answeredAt.IsZero():
			state = oper.StateMissing
			lag = 0
		case lag > carobpulley.ContactTimeout:
			state = carobpulley.RosterSuspect
		}
		out = append(out, oper.Process{
			Role:        oper.RoleEntry,
			Name:        name,
			Incarnation: p.incarnation,
			State:       drainState(state, p.draining),
			Version:     p.configVersion,
			LagMillis:   lag.Milliseconds(),
		})
	}
	return out
}

func (e *Entry) agentStatus(now time.Time) []oper.Process {
	all := e.roster.All()
	out := make([]oper.Process, 0, len(all))
	for _, r := range all {
		p := oper.Process{
			Role:        oper.RoleAgent,
			Name:        r.Endpoint.ID,
			Incarnation: r.Endpoint.Incarnation,
			Domain:      r.Endpoint.Domain,
			State:       drainState(r.State, r.Endpoint.Draining),
			LagMillis:   now.Sub(r.HeardAt).Milliseconds(),
		}
		if s := e.agents[r.Endpoint.ID]; s != nil {
			p.Version = s.configVersion
		}
		out = append(out, p)
	}
	return out
}

// drainState is a process's state, or draining if it is alive and stopping.
func drainState(s carobpulley.RosterState, draining bool) carobpulley.RosterState {
	if draining && s == carobpulley.RosterAlive {
		return oper.StateDraining
	}
	return s
}
