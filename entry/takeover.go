package entry

import (
	"context"
	"time"

	"connectrpc.com/connect"
	"google.golang.org/protobuf/proto"

	"carobpulley"
	"carobpulley/inner"
	"carobpulley/wire"
)

const (
	// yieldTimeout bounds one Yield call; its answer may carry many claims.
	yieldTimeout = 2 * time.Second
	// journalTimeout bounds the reading of all journals at a takeover.
	journalTimeout = 10 * time.Second
)

// takeover collects what is found of one shard that this entry claimed.
type takeover struct {
	epoch   uint64
	claims  []carobpulley.Claim
	started []carobpulley.StartedTask
	// allAgents is set once every known agent answered the fence completely;
	// departed names those that left before.
	allAgents bool
	departed  []uint64
	fenced    chan struct{}
	// journal is closed when the journals have been read; journalOK tells
	// whether all of them could be read.
	journal   chan struct{}
	journalOK bool
	// unknownUntil is the end of an earlier owner's time of unknown keys.
	unknownUntil time.Time
	// ended is set if the journal says that it holds all claims of the shard.
	ended bool
}

// stepAuthority feeds an event to the authority and carries the actions out.
// mu is held.
func (e *Entry) stepAuthority(now time.Time, ev carobpulley.AuthorityEvent) []carobpulley.AuthorityAction {
	acts := e.authority.Step(now, ev)
	for _, a := range acts {
		e.actAuthority(now, a)
	}
	return acts
}

func (e *Entry) actAuthority(now time.Time, a carobpulley.AuthorityAction) {
	switch a := a.(type) {
	case carobpulley.AppendClaim:
		e.appendClaim(a)
	case carobpulley.SendYield:
		e.sendYield(a)
	case carobpulley.SendFence:
		e.sendFence(now, a.Shards)
	case carobpulley.ReadJournals:
		e.sendRead(a.Shards)
	case carobpulley.OpenShards:
		e.openShards(a)
	case carobpulley.CloseShards:
		e.closeShards(now, a.Shards)
	}
}

// collect returns the takeover of a shard at an epoch, a new one if needed.
func (e *Entry) collect(s carobpulley.Ownership) *takeover {
	t := e.opening[s.Shard]
	if t == nil || t.epoch < s.Epoch {
		t = &takeover{
			epoch:   s.Epoch,
			fenced:  make(chan struct{}),
			journal: make(chan struct{}),
		}
		e.opening[s.Shard] = t
		// What this entry itself witnessed for the old owner counts too.
		t.claims = e.witness.Yield([]carobpulley.Ownership{s})
	}
	return t
}

func (e *Entry) sendYield(a carobpulley.SendYield) {
	for _, s := range a.Shards {
		e.collect(s)
	}
	e.goDo(func() {
		ctx, cancel := context.WithTimeout(e.ctx, yieldTimeout)
		defer cancel()
		r, err := e.peer(a.Peer).Yield(ctx, connect.NewRequest(inner.YieldingToWire(inner.Yielding{
			Entry:  e.cfg.Name,
			Shards: a.Shards,
		})))
		if err != nil {
			return
		}
		ans, err := inner.YieldAnswerFromWire(r.Msg)
		if err != nil || !ans.Yielded {
			return
		}
		e.yielded(a, ans)
	})
}

func (e *Entry) yielded(a carobpulley.SendYield, ans inner.YieldAnswer) {
	e.mu.Lock()
	defer e.mu.Unlock()
	for _, c := range ans.Claims {
		if t := e.opening[c.Shard]; t != nil {
			t.claims = append(t.claims, c)
		}
	}
	now := time.Now()
	for _, u := range ans.Unknown {
		if t := e.opening[u.Shard]; t != nil && t.unknownUntil.Before(now.Add(u.Remaining)) {
			t.unknownUntil = now.Add(u.Remaining)
		}
	}
	e.stepAuthority(now, carobpulley.YieldAnswered{
		Peer:        a.Peer,
		Incarnation: ans.Incarnation,
		Shards:      a.Shards,
		Missing:     ans.Missing,
		Opened:      ans.Opened,
	})
}

// yield answers a new owner: this entry vouches no longer for older epochs of
// the shards and hands over the claims that it holds of them, those of shards
// that it owned included.
func (e *Entry) yield(y inner.Yielding) inner.YieldAnswer {
	e.mu.Lock()
	defer e.mu.Unlock()
	out := inner.YieldAnswer{Incarnation: e.cfg.Incarnation}
	now := time.Now()
	for _, a := range e.stepAuthority(now, carobpulley.YieldAsked{Entry: y.Entry, Shards: y.Shards}) {
		v, ok := a.(carobpulley.YieldFor)
		if !ok || len(v.Shards) == 0 {
			continue
		}
		out.Yielded = true
		out.Missing = v.Missing
		out.Opened = v.Opened
		out.Unknown = e.unknownShards(now, v.Shards)
		out.Claims = e.witness.Yield(v.Shards)
	}
	return out
}

// unknownShards lists the shards that this entry owned with claims lost.
func (e *Entry) unknownShards(now time.Time, shards []carobpulley.Ownership) []inner.UnknownShard {
	var out []inner.UnknownShard
	for _, s := range shards {
		if until := e.table.UnknownUntil(s.Shard); now.Before(until) {
			out = append(out, inner.UnknownShard{Shard: s.Shard, Remaining: until.Sub(now)})
		}
	}
	return out
}

// sendRead collects claims from the journals.
func (e *Entry) sendRead(shards []carobpulley.Ownership) {
	takes := make([]*takeover, 0, len(shards))
	for _, s := range shards {
		takes = append(takes, e.collect(s))
	}
	e.goDo(func() { e.readJournals(shards, takes) })
}

// readJournals collects the claims of the shards from the journals of all entries.
func (e *Entry) readJournals(shards []carobpulley.Ownership, takes []*takeover) {
	ctx, cancel := context.WithTimeout(e.ctx, journalTimeout)
	defer cancel()
	ok := true
	names := make([]string, 0, len(e.cfg.Peers)+1)
	names = append(names, e.cfg.Name)
	for name := range e.cfg.Peers {
		names = append(names, name)
	}
	asked := make(map[int]*takeover, len(shards))
	for i, s := range shards {
		asked[s.Shard] = takes[i]
	}
	for _, name := range names {
		if err := e.readJournal(ctx, name, asked); err != nil {
			e.logger.Warn().Err(err).Str("entry", name).Msg("journal cannot be read")
			ok = false
		}
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	for _, t := range takes {
		t.journalOK = ok
		close(t.journal)
	}
}

func (e *Entry) readJournal(ctx context.Context, name string, asked map[int]*takeover) error {
	for from := uint64(0); ; {
		page, err := e.log.Read(ctx, carobpulley.StreamJournalPrefix+name, from, logPage, time.Time{})
		if err != nil {
			return err
		}
		for _, rec := range page.Records {
			from = rec.Offset + 1
			if err := e.journalRecord(rec.Data, asked); err != nil {
				return err
			}
		}
		if len(page.Records) == 0 || from >= page.Next {
			return nil
		}
	}
}

func (e *Entry) journalRecord(data []byte, asked map[int]*takeover) error {
	var m wire.JournalRecord
	if err := proto.Unmarshal(data, &m); err != nil {
		return err
	}
	r, err := inner.JournalRecordFromWire(&m)
	if err != nil {
		return err
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	for _, c := range r.Claims {
		if t := asked[c.Shard]; t != nil && c.Epoch < t.epoch {
			t.claims = append(t.claims, c)
		}
	}
	for _, s := range r.End {
		if t := asked[s.Shard]; t != nil && s.Epoch+1 == t.epoch {
			t.ended = true
		}
	}
	return nil
}

// openShards opens shards once all that was asked for has come in. A table that
// was handed over is complete without the journals.
func (e *Entry) openShards(a carobpulley.OpenShards) {
	missing := make(map[int]bool, len(a.Missing))
	for _, s := range a.Missing {
		missing[s] = true
	}
	handed := make(map[int]bool, len(a.HandedOver))
	for _, s := range a.HandedOver {
		handed[s] = true
	}
	for _, s := range a.Shards {
		t := e.collect(s)
		e.goDo(func() { e.openShard(s, t, missing[s.Shard], handed[s.Shard]) })
	}
}

func (e *Entry) openShard(s carobpulley.Ownership, t *takeover, missing, handed bool) {
	needed := []chan struct{}{t.fenced, t.journal}
	if handed {
		needed = needed[:1]
	}
	for _, c := range needed {
		select {
		case <-c:
		case <-e.ctx.Done():
			return
		}
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.opening[s.Shard] != t {
		return
	}
	now := time.Now()
	own, ok := e.authority.Owner(s.Shard)
	if !ok || own.Owner != e.cfg.Name || own.Epoch != s.Epoch {
		return
	}
	e.step(now, carobpulley.ShardOpened{
		Shard:        s.Shard,
		Epoch:        s.Epoch,
		Claims:       t.claims,
		Started:      t.started,
		AllAgents:    t.allAgents || s.Epoch == 1,
		Departed:     t.departed,
		AllClaims:    handed || t.journalOK && (!missing || t.ended) || s.Epoch == 1,
		UnknownUntil: t.unknownUntil,
	})
	delete(e.opening, s.Shard)
	e.logger.Info().Int("shard", s.Shard).Uint64("epoch", s.Epoch).Int("claims", len(t.claims)).
		Int("started", len(t.started)).Bool("all_agents", t.allAgents).Int("departed", len(t.departed)).Bool("missing", missing).Bool("handed_over", handed).Msg("shard opened")
	e.pump(now)
}

// closeShards gives shards up that another entry claimed. Their claims stay
// held here for the new owner, whose request may be repeated. Those who wait
// for their jobs ask the new owner.
func (e *Entry) closeShards(now time.Time, shards []carobpulley.Ownership) {
	closed := make(map[int]bool, len(shards))
	for _, s := range shards {
		closed[s.Shard] = true
		for _, c := range e.table.Claims(s.Shard) {
			e.witness.HandOver(now, c)
		}
		e.step(now, carobpulley.ShardClosed{Shard: s.Shard})
	}
	e.endJournal(shards)
	for id := range e.waiters {
		if closed[carobpulley.ShardOf(id, e.cfg.Shards)] {
			e.wake(id)
		}
	}
}

// endJournal notes that the journal holds all claims of shards given up. The
// end carries the epoch under which this entry owned them.
func (e *Entry) endJournal(shards []carobpulley.Ownership) {
	ended := make([]carobpulley.Ownership, 0, len(shards))
	for _, s := range shards {
		ended = append(ended, carobpulley.Ownership{Shard: s.Shard, Owner: e.cfg.Name, Epoch: s.Epoch - 1})
	}
	data, err := proto.Marshal(inner.JournalRecordToWire(inner.JournalRecord{
		Entry:       e.cfg.Name,
		Incarnation: e.cfg.Incarnation,
		End:         ended,
	}))
	if err != nil || e.journalGap {
		return
	}
	if _, err := e.journal.Add(data); err != nil {
		e.logger.Warn().Err(err).Msg("end of shards is not journaled")
	}
}
