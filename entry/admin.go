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
func (e *Entry) Catalogue() oper.DocumentVersion {
	e.mu.Lock()
	defer e.mu.Unlock()
	c := oper.DocumentVersion{Version: e.fold.Version(), Document: string(e.fold.Document())}
	if _, err := e.fold.Catalogue(); err != nil {
		c.Error = err.Error()
	}
	return c
}

// Version implements oper.Backend.
func (e *Entry) Version(version uint64) (oper.DocumentVersion, bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	doc, ok := e.fold.DocumentAt(version)
	return oper.DocumentVersion{Version: version, Document: string(doc)}, ok
}

// History implements oper.Backend.
func (e *Entry) History() []conf.Result {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.fold.History()
}

// Publish implements oper.Backend.
func (e *Entry) Publish(ctx context.Context, c conf.Change) oper.ChangeState {
	if err := c.Validate(); err != nil {
		return oper.ChangeState{Outcome: oper.OutcomeUnavailable, ChangeID: c.ID, Message: err.Error()}
	}
	if a, stop := e.beginChange(&c); stop {
		return a
	}
	data, err := c.Encode()
	if err == nil {
		_, err = e.log.Append(ctx, carobpulley.StreamConfig, c.ID, data)
	}
	if a, stop := e.endChange(c.ID, err); stop {
		return a
	}
	return e.awaitChange(ctx, c.ID)
}

// beginChange answers a change that is decided already or cannot be appended.
func (e *Entry) beginChange(c *conf.Change) (oper.ChangeState, bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	progress, reason := e.spread.BeginAppend(*c, e.platform.Up)
	c.Confirmed = e.spread.Confirmed()
	switch {
	case reason == "":
		return oper.ChangeState{}, false
	case progress == conf.ProgressUnavailable:
		return e.unavailableChange(c.ID, reason), true
	default:
		return e.changeState(c.ID), true
	}
}

// endChange answers a change that the log did not take.
func (e *Entry) endChange(id string, err error) (oper.ChangeState, bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.spread.EndAppend(id, untaken(err)) != conf.ProgressUnavailable {
		return oper.ChangeState{}, false
	}
	return e.unavailableChange(id, "the log did not take the change: "+err.Error()), true
}

// untaken reports whether an append certainly had no effect.
func untaken(err error) bool {
	if err == nil {
		return false
	}
	kind := inner.AsError(err).Kind
	return kind == carobpulley.KindUnavailable || kind == carobpulley.KindInvalid
}

func (e *Entry) unavailableChange(id, message string) oper.ChangeState {
	return oper.ChangeState{
		Outcome:  oper.OutcomeUnavailable,
		ChangeID: id,
		Version:  e.fold.Version(),
		Message:  message,
	}
}

// awaitChange waits until a change is decided and a majority has confirmed it.
func (e *Entry) awaitChange(ctx context.Context, id string) oper.ChangeState {
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
func (e *Entry) Change(_ context.Context, id string) oper.ChangeState {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.changeState(id)
}

// changeState is the state of a change as this entry knows it. mu is held.
func (e *Entry) changeState(id string) oper.ChangeState {
	progress, version := e.spread.ChangeProgress(id)
	a := oper.ChangeState{ChangeID: id, Outcome: oper.Outcome(progress), Version: version}
	switch progress {
	case conf.ProgressUnknown:
		a.Message = "the change has not been read back from the log; ask again by its id"
	case conf.ProgressConflict:
		a.Document = string(e.fold.Document())
		a.Message = "the change was made against another version"
	case conf.ProgressPublished:
		a.Message = "in the log; not confirmed by a majority of the entries yet"
	}
	return a
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
	if e.spread.HandlePushReply(peer, inner.PublishAnswerFromWire(r.Msg)) {
		e.signalVersions()
	}
}

// snapshotLoop carries the configuration forward in the log before it expires.
// The owner of shard 0 does so first; the others if it does not.
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
	if !e.authority.Has(now) {
		return nil, false
	}
	s, ok := e.spread.Snapshot(now, e.cfg.LogRetention, e.authority.Active(now, 0))
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
			Version:     e.spread.PeerVersion(name),
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
			Running:     r.Load.Running,
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
