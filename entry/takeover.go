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

// takeover collects the claims and started tasks of one shard that this entry has
// claimed ownership of.
type takeover struct {
	epoch   uint64
	claims  []carobpulley.Claim
	started []carobpulley.StartedTask
	// agentsComplete is set once every agent in the roster has returned a complete
	// list of its started tasks, unless an agent may have been lost recently; departed
	// names the agents that had left before.
	agentsComplete bool
	departed       []uint64
	// fenced is closed when the fence requests to all agents have ended, with or
	// without an answer.
	fenced chan struct{}
	// journalsRead is closed when reading of the journals has ended; journalsComplete
	// is set if all of them could be read.
	journalsRead     chan struct{}
	journalsComplete bool
	// unknownUntil is the time until which a key that is not found may have been
	// started under an earlier owner.
	unknownUntil time.Time
	// journalEnded is set if the previous owner's journal states that it holds all
	// claims of the shard.
	journalEnded bool
}

// stepAuthority feeds an event to the authority and performs the resulting actions.
// mu is held.
func (e *Entry) stepAuthority(now time.Time, ev carobpulley.AuthorityEvent) []carobpulley.AuthorityAction {
	acts := e.authority.Step(now, ev)
	for _, a := range acts {
		e.performAuthorityAction(now, a)
	}
	return acts
}

func (e *Entry) performAuthorityAction(now time.Time, a carobpulley.AuthorityAction) {
	switch a := a.(type) {
	case carobpulley.AppendClaim:
		e.appendClaim(a)
	case carobpulley.SendYield:
		e.sendYield(a)
	case carobpulley.SendFence:
		e.sendFence(now, a.Shards)
	case carobpulley.ReadJournals:
		e.startJournalRead(a.Shards)
	case carobpulley.OpenShards:
		e.openShards(a)
	case carobpulley.CloseShards:
		e.closeShards(now, a.Shards)
	}
}

// takeoverOf returns the takeover of a shard at an epoch and starts one if there is
// none or only that of an older epoch.
func (e *Entry) takeoverOf(s carobpulley.Ownership) *takeover {
	t := e.takeovers[s.Shard]
	if t == nil || t.epoch < s.Epoch {
		t = &takeover{
			epoch:        s.Epoch,
			fenced:       make(chan struct{}),
			journalsRead: make(chan struct{}),
		}
		e.takeovers[s.Shard] = t
		// Include the claims that this entry held as a witness for the old owner.
		t.claims = e.witness.Yield([]carobpulley.Ownership{s})
	}
	return t
}

// sendYield requests that a peer revoke its lease grant ("vouch") for older epochs
// of the shards and return the claims that it holds of them.
func (e *Entry) sendYield(a carobpulley.SendYield) {
	for _, s := range a.Shards {
		e.takeoverOf(s)
	}
	e.runBackground(func() {
		ctx, cancel := context.WithTimeout(e.ctx, yieldTimeout)
		defer cancel()
		r, err := e.peerClient(a.Peer).Yield(ctx, connect.NewRequest(inner.YieldingToWire(inner.Yielding{
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
		e.handleYieldAnswer(a, ans)
	})
}

func (e *Entry) handleYieldAnswer(a carobpulley.SendYield, ans inner.YieldAnswer) {
	e.mu.Lock()
	defer e.mu.Unlock()
	for _, c := range ans.Claims {
		if t := e.takeovers[c.Shard]; t != nil {
			t.claims = append(t.claims, c)
		}
	}
	now := time.Now()
	for _, u := range ans.Unknown {
		if t := e.takeovers[u.Shard]; t != nil && t.unknownUntil.Before(now.Add(u.Remaining)) {
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

// handleYieldRequest handles a new owner's yield request: this entry stops vouching
// for older epochs of the shards and returns the claims that it holds of them,
// including those of shards that it owned.
func (e *Entry) handleYieldRequest(y inner.Yielding) inner.YieldAnswer {
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

// unknownShards lists the shards of which claims were lost when this entry or an
// earlier owner took them over, with the time left until UnknownUntil.
func (e *Entry) unknownShards(now time.Time, shards []carobpulley.Ownership) []inner.UnknownShard {
	var out []inner.UnknownShard
	for _, s := range shards {
		if until := e.table.UnknownUntil(s.Shard); now.Before(until) {
			out = append(out, inner.UnknownShard{Shard: s.Shard, Remaining: until.Sub(now)})
		}
	}
	return out
}

// startJournalRead starts to collect the claims of the shards from the journals.
func (e *Entry) startJournalRead(shards []carobpulley.Ownership) {
	takeovers := make([]*takeover, 0, len(shards))
	for _, s := range shards {
		takeovers = append(takeovers, e.takeoverOf(s))
	}
	e.runBackground(func() { e.readJournals(shards, takeovers) })
}

// readJournals collects the claims of the shards from the journals of all entries.
func (e *Entry) readJournals(shards []carobpulley.Ownership, takeovers []*takeover) {
	ctx, cancel := context.WithTimeout(e.ctx, journalTimeout)
	defer cancel()
	ok := true
	names := make([]string, 0, len(e.cfg.Peers)+1)
	names = append(names, e.cfg.Name)
	for name := range e.cfg.Peers {
		names = append(names, name)
	}
	requested := make(map[int]*takeover, len(shards))
	for i, s := range shards {
		requested[s.Shard] = takeovers[i]
	}
	for _, name := range names {
		if err := e.readJournal(ctx, name, requested); err != nil {
			e.logger.Warn().Err(err).Str("entry", name).Msg("journal cannot be read")
			ok = false
		}
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	for _, t := range takeovers {
		t.journalsComplete = ok
		close(t.journalsRead)
	}
}

func (e *Entry) readJournal(ctx context.Context, name string, requested map[int]*takeover) error {
	for from := uint64(0); ; {
		page, err := e.log.Read(ctx, carobpulley.StreamJournalPrefix+name, from, logPageSize, time.Time{})
		if err != nil {
			return err
		}
		for _, rec := range page.Records {
			from = rec.Offset + 1
			if err := e.applyJournalRecord(rec.Data, requested); err != nil {
				return err
			}
		}
		if len(page.Records) == 0 || from >= page.Next {
			return nil
		}
	}
}

func (e *Entry) applyJournalRecord(data []byte, requested map[int]*takeover) error {
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
		if t := requested[c.Shard]; t != nil && c.Epoch < t.epoch {
			t.claims = append(t.claims, c)
		}
	}
	for _, s := range r.End {
		if t := requested[s.Shard]; t != nil && s.Epoch+1 == t.epoch {
			t.journalEnded = true
		}
	}
	return nil
}

// openShards opens shards once the fences and journal reads have ended. A table that
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
		t := e.takeoverOf(s)
		e.runBackground(func() { e.openShard(s, t, missing[s.Shard], handed[s.Shard]) })
	}
}

func (e *Entry) openShard(s carobpulley.Ownership, t *takeover, missing, handed bool) {
	needed := []chan struct{}{t.fenced, t.journalsRead}
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
	if e.takeovers[s.Shard] != t {
		return
	}
	now := time.Now()
	own, ok := e.authority.Owner(s.Shard)
	if !ok || own.Owner != e.cfg.Name || own.Epoch != s.Epoch {
		return
	}
	e.stepTable(now, carobpulley.ShardOpened{
		Shard:        s.Shard,
		Epoch:        s.Epoch,
		Claims:       t.claims,
		Started:      t.started,
		AllAgents:    t.agentsComplete || s.Epoch == 1,
		Departed:     t.departed,
		AllClaims:    handed || t.journalsComplete && (!missing || t.journalEnded) || s.Epoch == 1,
		UnknownUntil: t.unknownUntil,
	})
	delete(e.takeovers, s.Shard)
	e.logger.Info().Int("shard", s.Shard).Uint64("epoch", s.Epoch).Int("claims", len(t.claims)).
		Int("started", len(t.started)).Bool("all_agents", t.agentsComplete).Int("departed", len(t.departed)).Bool("missing", missing).Bool("handed_over", handed).Msg("shard opened")
	e.dispatchQueued(now)
}

// closeShards releases shards that another entry has claimed. Their claims stay
// held here for the new owner, which may repeat its yield request. The goroutines
// that wait for their jobs are woken and call the new owner.
func (e *Entry) closeShards(now time.Time, shards []carobpulley.Ownership) {
	closed := make(map[int]bool, len(shards))
	for _, s := range shards {
		closed[s.Shard] = true
		for _, c := range e.table.Claims(s.Shard) {
			e.witness.HandOver(now, c)
		}
		e.stepTable(now, carobpulley.ShardClosed{Shard: s.Shard})
	}
	e.journalShardEnds(shards)
	for id := range e.waiters {
		if closed[carobpulley.ShardOf(id, e.cfg.Shards)] {
			e.wakeWaiters(id)
		}
	}
}

// journalShardEnds records in the journal that it holds all claims of released
// shards. The record carries the epoch under which this entry owned them. It is
// omitted if a claim could not be journaled.
func (e *Entry) journalShardEnds(shards []carobpulley.Ownership) {
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
		e.logger.Warn().Err(err).Msg("shard ends not journaled")
	}
}
