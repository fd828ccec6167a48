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
	// snapshotCheckInterval is the time between checks whether a snapshot record is due.
	snapshotCheckInterval = 10 * time.Second
)

// recordLogResult updates the log's state from the result of a read.
func (e *Entry) recordLogResult(err error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	up := err == nil
	if up != e.logState.Up {
		e.logState.Up = up
		e.logState.Since = time.Now()
	}
	e.logState.Error = ""
	if !up {
		e.logState.Error = err.Error()
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

// beginChange returns the answer to a change that is decided already or cannot be
// appended, and true; otherwise it returns false.
func (e *Entry) beginChange(c *conf.Change) (oper.ChangeState, bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	progress, reason := e.rollout.BeginAppend(*c, e.logState.Up)
	c.Confirmed = e.rollout.Confirmed()
	switch {
	case reason == "":
		return oper.ChangeState{}, false
	case progress == conf.ProgressUnavailable:
		return e.changeUnavailable(c.ID, reason), true
	default:
		return e.changeState(c.ID), true
	}
}

// endChange returns the answer to a change that the log rejected, and true;
// otherwise it returns false.
func (e *Entry) endChange(id string, err error) (oper.ChangeState, bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.rollout.EndAppend(id, appendHadNoEffect(err)) != conf.ProgressUnavailable {
		return oper.ChangeState{}, false
	}
	return e.changeUnavailable(id, "the log did not take the change: "+err.Error()), true
}

// appendHadNoEffect reports whether a failed append is certain to have had no effect.
func appendHadNoEffect(err error) bool {
	if err == nil {
		return false
	}
	kind := inner.AsError(err).Kind
	return kind == carobpulley.KindUnavailable || kind == carobpulley.KindInvalid
}

func (e *Entry) changeUnavailable(id, message string) oper.ChangeState {
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

// changeState returns the state of a change as recorded at this entry. mu is held.
func (e *Entry) changeState(id string) oper.ChangeState {
	progress, version := e.rollout.ChangeProgress(id)
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

// pushConfig sends the newest version to all peers in parallel, so that they
// receive it even if the log goes down.
func (e *Entry) pushConfig() {
	e.mu.Lock()
	rec := *e.configRecord()
	e.mu.Unlock()
	for name := range e.cfg.Peers {
		e.runBackground(func() { e.pushConfigTo(name, rec) })
	}
}

func (e *Entry) pushConfigTo(peer string, rec inner.ConfigRecord) {
	ctx, cancel := context.WithTimeout(e.ctx, publishTimeout)
	defer cancel()
	r, err := e.peerClient(peer).Publish(ctx, connect.NewRequest(inner.PublishToWire(rec)))
	if err != nil {
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.rollout.HandlePushReply(peer, inner.PublishAnswerFromWire(r.Msg)) {
		e.signalVersionChange()
	}
}

// snapshotLoop appends a snapshot of the configuration to the log before the
// log's retention drops the current one. The owner of shard 0 appends first; other
// entries append if it does not.
func (e *Entry) snapshotLoop(ctx context.Context) error {
	for sleepCtx(ctx, time.Now().Add(snapshotCheckInterval)) {
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
	s, ok := e.rollout.Snapshot(now, e.cfg.LogRetention, e.authority.Active(now, 0))
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
		Log:       e.logState,
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
		State:       processState(carobpulley.RosterAlive, e.draining),
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
		lag := now.Sub(p.lastContactAt)
		switch {
		case p.lastContactAt.IsZero():
			state = oper.StateMissing
			lag = 0
		case lag > carobpulley.ContactTimeout:
			state = carobpulley.RosterSuspect
		}
		out = append(out, oper.Process{
			Role:        oper.RoleEntry,
			Name:        name,
			Incarnation: p.incarnation,
			State:       processState(state, p.draining),
			Version:     e.rollout.PeerVersion(name),
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
			State:       processState(r.State, r.Endpoint.Draining),
			Running:     r.Load.Running,
			LagMillis:   now.Sub(r.AnnouncedAt).Milliseconds(),
		}
		if s := e.agents[r.Endpoint.ID]; s != nil {
			p.Version = s.configVersion
		}
		out = append(out, p)
	}
	return out
}

// processState returns oper.StateDraining for a process that is alive and draining,
// and s otherwise.
func processState(s carobpulley.RosterState, draining bool) carobpulley.RosterState {
	if draining && s == carobpulley.RosterAlive {
		return oper.StateDraining
	}
	return s
}
