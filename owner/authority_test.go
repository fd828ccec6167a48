package owner

import (
	"slices"
	"testing"
	"time"

	"carobpulley"
)

// cluster is three authorities that exchange all messages without delay. An isolated entry
// exchanges none.
type cluster struct {
	now         time.Time
	names       []string
	authorities map[string]*Authority
	isolated    map[string]bool
	claims      []carobpulley.ClaimRead
	claimsRead  map[string]int
	openedAt    map[string]time.Time
	closedBy    []string
	// journalShards is the number of shards whose journals were requested, handedOver that
	// of shards opened with a table that was handed over.
	journalShards, handedOver int
	logDown                   bool
}

func newCluster(shards int) *cluster {
	c := &cluster{now: start, names: []string{"a", "b", "c"}}
	c.authorities, c.isolated = map[string]*Authority{}, map[string]bool{}
	c.claimsRead, c.openedAt = map[string]int{}, map[string]time.Time{}
	for _, n := range c.names {
		c.authorities[n] = NewAuthority(start, n, 1, shards)
		c.authorities[n].Step(start, carobpulley.Configured{Entries: c.names})
	}
	return c
}

// run advances the time in steps of ContactInterval.
func (c *cluster) run(d time.Duration) {
	for end := c.now.Add(d); c.now.Before(end); c.now = c.now.Add(carobpulley.ContactInterval) {
		for _, n := range c.names {
			c.step(n)
		}
	}
}

func (c *cluster) step(n string) {
	if c.isolated[n] {
		return
	}
	if !c.logDown {
		for ; c.claimsRead[n] < len(c.claims); c.claimsRead[n]++ {
			c.apply(n, c.authorities[n].Step(c.now, c.claims[c.claimsRead[n]]))
		}
		c.authorities[n].Step(c.now, carobpulley.LogRead{SentAt: c.now})
	}
	for _, p := range c.names {
		if p == n || c.isolated[p] {
			continue
		}
		vouch := c.authorities[p].Step(c.now, carobpulley.ContactAsked{Peer: n, Incarnation: 1})[0].(carobpulley.VouchFor)
		c.authorities[n].Step(c.now, carobpulley.ContactAnswered{Peer: p, Incarnation: 1, SentAt: c.now, Vouch: vouch.Vouch})
	}
	c.apply(n, c.authorities[n].Step(c.now, carobpulley.AuthorityTick{}))
}

func (c *cluster) apply(n string, actions []carobpulley.AuthorityAction) {
	for _, a := range actions {
		switch a := a.(type) {
		case carobpulley.AppendClaim:
			if !c.logDown {
				c.claims = append(c.claims, carobpulley.ClaimRead(a))
			}
		case carobpulley.SendYield:
			if c.isolated[a.Peer] {
				continue
			}
			for _, b := range c.authorities[a.Peer].Step(c.now, carobpulley.YieldAsked{Entry: n, Shards: a.Shards}) {
				if y, ok := b.(carobpulley.YieldFor); ok {
					c.authorities[n].Step(c.now, carobpulley.YieldAnswered{Peer: a.Peer, Incarnation: 1, Shards: y.Shards, Missing: y.Missing, Opened: y.Opened})
				}
			}
		case carobpulley.OpenShards:
			c.openedAt[n] = c.now
			c.handedOver += len(a.HandedOver)
		case carobpulley.ReadJournals:
			c.journalShards += len(a.Shards)
		case carobpulley.CloseShards:
			c.closedBy = append(c.closedBy, n)
		}
	}
}

// activeShards returns the number of shards for which each entry is active. It fails the
// test if two are active for the same shard.
func (c *cluster) activeShards(t *testing.T, shards int) map[string]int {
	t.Helper()
	out := map[string]int{}
	for s := range shards {
		active := 0
		for _, n := range c.names {
			if c.authorities[n].Active(c.now, s) {
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

// Guards against shards without an owner after a start, and against one entry that owns
// all.
func TestShardsAreSpreadAtStart(t *testing.T) {
	c := newCluster(64)
	c.run(2 * time.Second)
	got := c.activeShards(t, 64)
	for _, n := range c.names {
		if got[n] < 10 {
			t.Errorf("%s owns %d of 64 shards", n, got[n])
		}
	}
	if got["a"]+got["b"]+got["c"] != 64 {
		t.Errorf("owned shards: %v", got)
	}
}

// Guards against a takeover before the vouches and echoes of the old owner have expired,
// and against two active owners when the old one returns.
func TestTakeoverWaitsForOldOwner(t *testing.T) {
	c := newCluster(64)
	c.run(2 * time.Second)
	c.isolated["a"] = true
	lost := c.now
	c.run(carobpulley.VouchValidity)
	if c.authorities["a"].Has(c.now) {
		t.Error("an entry without contacts has authority")
	}
	c.run(10 * time.Second)
	if got := c.activeShards(t, 64); got["b"]+got["c"] != 64 {
		t.Errorf("owned shards: %v", got)
	}
	if c.handedOver != 64 || c.journalShards < 10 {
		t.Errorf("%d shards handed over at the start and later, %d with journals read", c.handedOver, c.journalShards)
	}
	for _, n := range []string{"b", "c"} {
		if d := c.openedAt[n].Sub(lost); d < carobpulley.ContactTimeout+carobpulley.TakeoverDelay-carobpulley.ContactInterval {
			t.Errorf("%s opened shards after %v", n, d)
		}
	}
	c.isolated["a"] = false
	c.run(time.Second)
	c.activeShards(t, 64)
	if !slices.Contains(c.closedBy, "a") {
		t.Error("the old owner did not close its shards")
	}
	c.run(time.Minute)
	if got := c.activeShards(t, 64); got["a"] < 10 {
		t.Errorf("owned shards after the return: %v", got)
	}
}

// Guards against claims while the log is down, and against a vote of a restarted process
// that may have lost the record of its yields.
func TestNoClaimWhileLogIsDown(t *testing.T) {
	c := newCluster(64)
	c.run(2 * time.Second)
	before := c.activeShards(t, 64)
	c.logDown = true
	c.authorities["b"] = NewAuthority(c.now, "b", 2, 64)
	c.authorities["b"].Step(c.now, carobpulley.Configured{Entries: c.names})
	c.isolated["a"], c.isolated["c"] = true, true
	c.run(10 * time.Second)
	if c.authorities["b"].Has(c.now) {
		t.Error("an isolated entry has authority")
	}
	c.isolated["c"] = false
	c.run(10 * time.Second)
	if c.authorities["b"].Has(c.now) || c.authorities["c"].Has(c.now) {
		t.Error("a new process has a vote after the answer of one peer of two")
	}
	c.isolated["a"] = false
	c.run(time.Second)
	if got := c.activeShards(t, 64); got["a"] != before["a"] || got["c"] != before["c"] {
		t.Errorf("owned shards: %v, before %v", got, before)
	}
}

// Guards against shards that stay with a draining entry, and against a handover that reads
// journals.
func TestDrainHandsShardsOver(t *testing.T) {
	c := newCluster(64)
	c.run(2 * time.Second)
	c.authorities["a"].Step(c.now, carobpulley.DrainStarted{})
	c.run(carobpulley.HandoverDelay + time.Second)
	if got := c.activeShards(t, 64); got["b"]+got["c"] != 64 {
		t.Errorf("owned shards: %v", got)
	}
	if c.journalShards != 0 || c.handedOver < 64+10 {
		t.Errorf("journals of %d shards read, %d shards handed over", c.journalShards, c.handedOver)
	}
}

// Guards against a takeover that is treated as a handover although the previous owner lost
// the shard before it opened it: it has no table to hand over, and the owner before it may
// still have authority.
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
