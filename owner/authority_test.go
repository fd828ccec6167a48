package owner

import (
	"slices"
	"testing"
	"time"

	"carobpulley"
)

// ring is three authorities that exchange all messages at once. An entry in
// cut exchanges none.
type ring struct {
	now    time.Time
	names  []string
	all    map[string]*Authority
	cut    map[string]bool
	claims []carobpulley.ClaimRead
	read   map[string]int
	opened map[string]time.Time
	closed []string
	// journals is the number of shards whose journals were asked for, handed that
	// of shards opened with a table that was handed over.
	journals, handed int
	logCut           bool
}

func newRing(shards int) *ring {
	r := &ring{now: start, names: []string{"a", "b", "c"}}
	r.all, r.cut = map[string]*Authority{}, map[string]bool{}
	r.read, r.opened = map[string]int{}, map[string]time.Time{}
	for _, n := range r.names {
		r.all[n] = NewAuthority(start, n, 1, shards)
		r.all[n].Step(start, carobpulley.Configured{Entries: r.names})
	}
	return r
}

// run advances the time in steps of a contact interval.
func (r *ring) run(d time.Duration) {
	for end := r.now.Add(d); r.now.Before(end); r.now = r.now.Add(carobpulley.ContactInterval) {
		for _, n := range r.names {
			r.step(n)
		}
	}
}

func (r *ring) step(n string) {
	if r.cut[n] {
		return
	}
	if !r.logCut {
		for ; r.read[n] < len(r.claims); r.read[n]++ {
			r.do(n, r.all[n].Step(r.now, r.claims[r.read[n]]))
		}
		r.all[n].Step(r.now, carobpulley.LogRead{SentAt: r.now})
	}
	for _, p := range r.names {
		if p == n || r.cut[p] {
			continue
		}
		vouch := r.all[p].Step(r.now, carobpulley.ContactAsked{Peer: n, Incarnation: 1})[0].(carobpulley.VouchFor)
		r.all[n].Step(r.now, carobpulley.ContactAnswered{Peer: p, Incarnation: 1, SentAt: r.now, Vouch: vouch.Vouch})
	}
	r.do(n, r.all[n].Step(r.now, carobpulley.AuthorityTick{}))
}

func (r *ring) do(n string, actions []carobpulley.AuthorityAction) {
	for _, a := range actions {
		switch a := a.(type) {
		case carobpulley.AppendClaim:
			if !r.logCut {
				r.claims = append(r.claims, carobpulley.ClaimRead(a))
			}
		case carobpulley.SendYield:
			if r.cut[a.Peer] {
				continue
			}
			for _, b := range r.all[a.Peer].Step(r.now, carobpulley.YieldAsked{Entry: n, Shards: a.Shards}) {
				if y, ok := b.(carobpulley.YieldFor); ok {
					r.all[n].Step(r.now, carobpulley.YieldAnswered{Peer: a.Peer, Incarnation: 1, Shards: y.Shards, Missing: y.Missing, Opened: y.Opened})
				}
			}
		case carobpulley.OpenShards:
			r.opened[n] = r.now
			r.handed += len(a.HandedOver)
		case carobpulley.ReadJournals:
			r.journals += len(a.Shards)
		case carobpulley.CloseShards:
			r.closed = append(r.closed, n)
		}
	}
}

// owners returns how many shards each entry is active for, and fails if two
// are active for the same one.
func (r *ring) owners(t *testing.T, shards int) map[string]int {
	t.Helper()
	out := map[string]int{}
	for s := range shards {
		active := 0
		for _, n := range r.names {
			if r.all[n].Active(r.now, s) {
				out[n]++
				active++
			}
		}
		if active > 1 {
			t.Fatalf("shard %d has %d active owners", s, active)
		}
	}
	return out
}

// Guards against unowned shards after a start, and against one entry taking all.
func TestShardsAreSpreadAtStart(t *testing.T) {
	r := newRing(64)
	r.run(2 * time.Second)
	got := r.owners(t, 64)
	for _, n := range r.names {
		if got[n] < 10 {
			t.Errorf("%s owns %d of 64 shards", n, got[n])
		}
	}
	if got["a"]+got["b"]+got["c"] != 64 {
		t.Errorf("owned shards: %v", got)
	}
}

// Guards against a takeover before the vouches and echoes of the old owner have
// run out, and against two active owners when the old one comes back.
func TestTakeoverWaitsForOldOwner(t *testing.T) {
	r := newRing(64)
	r.run(2 * time.Second)
	r.cut["a"] = true
	lost := r.now
	r.run(carobpulley.VouchValidity)
	if r.all["a"].Has(r.now) {
		t.Error("an entry without contacts has authority")
	}
	r.run(10 * time.Second)
	if got := r.owners(t, 64); got["b"]+got["c"] != 64 {
		t.Errorf("owned shards: %v", got)
	}
	if r.handed != 64 || r.journals < 10 {
		t.Errorf("%d shards handed over at the start and later, %d with journals read", r.handed, r.journals)
	}
	for _, n := range []string{"b", "c"} {
		if d := r.opened[n].Sub(lost); d < carobpulley.ContactTimeout+carobpulley.TakeoverDelay-carobpulley.ContactInterval {
			t.Errorf("%s opened after %v", n, d)
		}
	}
	r.cut["a"] = false
	r.run(time.Second)
	r.owners(t, 64)
	if !slices.Contains(r.closed, "a") {
		t.Error("the old owner did not close its shards")
	}
	r.run(time.Minute)
	if got := r.owners(t, 64); got["a"] < 10 {
		t.Errorf("owned shards after the return: %v", got)
	}
}

// Guards against claims during a log outage and against a vote of a process
// that may have forgotten its promises.
func TestNoClaimWhileLogIsDown(t *testing.T) {
	r := newRing(64)
	r.run(2 * time.Second)
	before := r.owners(t, 64)
	r.logCut = true
	r.all["b"] = NewAuthority(r.now, "b", 2, 64)
	r.all["b"].Step(r.now, carobpulley.Configured{Entries: r.names})
	r.cut["a"], r.cut["c"] = true, true
	r.run(10 * time.Second)
	if r.all["b"].Has(r.now) {
		t.Error("an entry has authority alone")
	}
	r.cut["c"] = false
	r.run(10 * time.Second)
	if r.all["b"].Has(r.now) || r.all["c"].Has(r.now) {
		t.Error("a new process has a vote after the answer of one peer of two")
	}
	r.cut["a"] = false
	r.run(time.Second)
	if got := r.owners(t, 64); got["a"] != before["a"] || got["c"] != before["c"] {
		t.Errorf("owned shards: %v, before %v", got, before)
	}
}

// Guards against shards that stay with an entry that is stopping, and against a
// handover that reads journals.
func TestDrainHandsShardsOver(t *testing.T) {
	r := newRing(64)
	r.run(2 * time.Second)
	r.all["a"].Step(r.now, carobpulley.DrainStarted{})
	r.run(carobpulley.HandoverDelay + time.Second)
	if got := r.owners(t, 64); got["b"]+got["c"] != 64 {
		t.Errorf("owned shards: %v", got)
	}
	if r.journals != 0 || r.handed < 64+10 {
		t.Errorf("journals of %d shards read, %d shards handed over", r.journals, r.handed)
	}
}

// Guards against a takeover that counts as a handover although the previous
// owner lost the shard before it opened it: it has no table to hand over, and the
// owner before it may still have authority.
func TestHandoverNeedsOpenedShard(t *testing.T) {
	for opened, want := range map[uint64]time.Duration{0: carobpulley.TakeoverDelay, 2: 0} {
		c := NewAuthority(start, "c", 1, 1)
		c.Step(start, carobpulley.Configured{Entries: []string{"a", "b", "c"}})
		c.Step(start, carobpulley.LogRead{SentAt: start})
		for i, name := range []string{"a", "b", "c"} {
			c.Step(start, carobpulley.ClaimRead{Entry: name, Incarnation: 1, Shards: []carobpulley.Ownership{{Epoch: uint64(i + 1)}}})
		}
		shards := []carobpulley.Ownership{{Owner: "c", Epoch: 3}}
		c.Step(start, carobpulley.YieldAnswered{
			Peer: "b", Incarnation: 1, Shards: shards, Opened: []carobpulley.Ownership{{Epoch: opened}},
		})
		c.Step(start, carobpulley.AgentsFenced{Shards: shards})
		now := start
		for ; now.Before(start.Add(10 * time.Second)); now = now.Add(100 * time.Millisecond) {
			c.Step(now, carobpulley.ContactAnswered{Peer: "b", Incarnation: 1, SentAt: now, Vouch: true})
			c.Step(now, carobpulley.AuthorityTick{})
			if c.Active(now, 0) {
				break
			}
		}
		if d := now.Sub(start); d != want {
			t.Errorf("previous owner opened epoch %d: open after %v, want %v", opened, d, want)
		}
	}
}
