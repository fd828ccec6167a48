package coord

import (
	"context"
	"math"
	"net/netip"
	"sort"
	"time"

	"connectrpc.com/connect"

	"carobpulley"
	"carobpulley/link"
	"carobpulley/wire/relay"
	"carobpulley/work"
)

const (
	// ownEvery is the step in which owners are watched.
	ownEvery = 120 * time.Millisecond
	// pingLimit bounds one check of an owner.
	pingLimit = 350 * time.Millisecond
	// silentLimit is how long an owner may be silent until it is replaced; three
	// checks fail in that time.
	silentLimit = 700 * time.Millisecond
	// refusedLimit is how often nothing may listen at an owner's address.
	refusedLimit = 2
	// staleOwner is how old an owner's view of the store may be until another one
	// with a view younger than freshView replaces it.
	staleOwner = 1800 * time.Millisecond
	freshView  = 1200 * time.Millisecond
	// rankStep separates the claims of candidates, the largest host first.
	rankStep = 150 * time.Millisecond
	// claimPause follows a claim that was not seen to succeed.
	claimPause = 300 * time.Millisecond
	// loadGrace is the time that a new owner gets for reading its shards.
	loadGrace = 4 * time.Second
	// pauseGap is a gap between two checks that shows that this process was held
	// up itself.
	pauseGap = 4 * ownEvery
)

// watched is what is known of a shard's owner.
type watched struct {
	goodAt  time.Time
	refused int
	// wantedAt is when this process first saw a reason to claim.
	wantedAt time.Time
	claimAt  time.Time
	busy     bool
	why      string
}

// claimed takes a claim from the control topic. The caller holds the lock.
func (c *Coordinator) claimed(claim work.Claim) {
	old, known := c.claims[claim.Shard]
	if known && claim.Epoch <= old.Epoch {
		return
	}
	c.claims[claim.Shard] = claim
	c.watch[claim.Shard] = &watched{goodAt: time.Now()}
	c.log.Info().Int("shard", claim.Shard).Uint64("epoch", claim.Epoch).Str("owner", claim.Owner.Name).Msg("shard claimed")
	if j := c.journals[claim.Shard]; j != nil {
		c.drop(claim.Shard, "a newer claim is in the store")
	}
	if c.mine(claim) {
		go c.load(claim)
	}
}

func (c *Coordinator) mine(claim work.Claim) bool {
	return claim.Owner.Name == c.cfg.Self.Name && claim.Owner.Incarnation == c.cfg.Self.Incarnation
}

// drop gives up a shard. The caller holds the lock.
func (c *Coordinator) drop(number int, why string) {
	j := c.journals[number]
	if j == nil {
		return
	}
	j.stop()
	delete(c.journals, number)
	c.cfg.Meter.Set("shards_owned", int64(len(c.journals)))
	open := c.table.ReleaseShard(number)
	for _, id := range open {
		c.tell(id, waited{lost: true})
	}
	c.log.Warn().Int("shard", number).Int("open", len(open)).Str("why", why).Msg("shard given up")
}

// tell wakes the callers that wait for a job. The caller holds the lock.
func (c *Coordinator) tell(id string, w waited) {
	for _, ch := range c.waiters[id] {
		ch <- w
	}
	delete(c.waiters, id)
}

// load fences the earlier owner and reads the shard.
func (c *Coordinator) load(claim work.Claim) {
	part := carobpulley.Partition{Topic: carobpulley.TopicJobs, Number: claim.Shard}
	writer := carobpulley.Writer{Producer: producer, Epoch: claim.Epoch}
	for c.hard.Err() == nil {
		records, err := c.fenceAndRead(part, writer)
		if err == nil {
			c.loaded(claim, part, records)
			return
		}
		c.storeTrouble("load", err)
		c.mu.Lock()
		current := c.claims[claim.Shard].Epoch == claim.Epoch
		c.mu.Unlock()
		if !current || carobpulley.KindOf(err) == carobpulley.KindStaleEpoch {
			return
		}
		pause(c.hard, readPause)
	}
}

// producer is the one name under which owners append, so that their epochs are
// compared.
const producer = "owner"

func (c *Coordinator) fenceAndRead(part carobpulley.Partition, w carobpulley.Writer) ([]carobpulley.KeyedRecord, error) {
	call, cancel := context.WithTimeout(c.hard, appendLimit)
	defer cancel()
	if _, err := c.store.AppendFenced(call, part, w, nil); err != nil {
		return nil, err
	}
	read, cancelRead := context.WithTimeout(c.hard, readLimit)
	defer cancelRead()
	records, _, err := c.store.Newest(read, part)
	return records, err
}

func (c *Coordinator) loaded(claim work.Claim, part carobpulley.Partition, records []carobpulley.KeyedRecord) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.claims[claim.Shard].Epoch != claim.Epoch || c.journals[claim.Shard] != nil {
		return
	}
	now := time.Now()
	for _, err := range c.table.AcquireShard(now, claim.Shard, claim.Epoch, records) {
		c.log.Error().Err(err).Int("shard", claim.Shard).Msg("record ignored")
	}
	j := newJournal(c, part, claim.Epoch)
	c.journals[claim.Shard] = j
	c.cfg.Meter.Set("shards_owned", int64(len(c.journals)))
	go j.run()
	c.log.Info().Int("shard", claim.Shard).Uint64("epoch", claim.Epoch).Int("records", len(records)).Msg("shard owned")
	clear(c.attaching)
	c.attachDetached(now)
	c.flush()
	c.notify()
}

// ownLoop watches the owners of all shards and claims those without one.
func (c *Coordinator) ownLoop(ctx context.Context) error {
	last := time.Now()
	for ctx.Err() == nil {
		pause(ctx, ownEvery)
		now := time.Now()
		c.mu.Lock()
		if now.Sub(last) > pauseGap {
			for _, w := range c.watch {
				w.goodAt = now
				w.wantedAt = time.Time{}
			}
		}
		last = now
		if c.control > 0 && c.plan != nil && !c.draining {
			for number := range c.cfg.Shards {
				c.watchShard(now, number)
			}
		}
		c.mu.Unlock()
	}
	return nil
}

// watchShard checks one shard's owner. The caller holds the lock.
func (c *Coordinator) watchShard(now time.Time, number int) {
	w := c.watch[number]
	if w == nil {
		w = &watched{goodAt: now}
		c.watch[number] = w
	}
	claim, known := c.claims[number]
	if known && c.mine(claim) && w.why == "" {
		return
	}
	if why := c.reason(now, w, claim, known); why != "" {
		c.consider(now, number, w, why)
	} else {
		w.wantedAt = time.Time{}
	}
	if known && !w.busy && !c.mine(claim) {
		w.busy = true
		go c.check(number, claim, w)
	}
}

// reason tells why a shard needs another owner; empty if it does not.
func (c *Coordinator) reason(now time.Time, w *watched, claim work.Claim, known bool) string {
	switch {
	case !known:
		return "it was never claimed"
	case c.mine(claim):
		return w.why
	case claim.Owner.Name == c.cfg.Self.Name:
		return "an earlier process of this host owned it"
	case w.why != "":
		return w.why
	case w.refused >= refusedLimit:
		return "nothing listens at its owner's address"
	case now.Sub(w.goodAt) > silentLimit:
		return "its owner is silent"
	}
	return ""
}

// consider claims a shard once this process's turn among the candidates has come.
// The caller holds the lock.
func (c *Coordinator) consider(now time.Time, number int, w *watched, why string) {
	if w.wantedAt.IsZero() {
		w.wantedAt = now
	}
	wait := time.Duration(c.rank(number)) * rankStep
	if now.Sub(w.wantedAt) < wait || now.Before(w.claimAt) || now.Sub(c.verified) > freshView {
		return
	}
	w.claimAt = now.Add(claimPause)
	go c.claim(number, c.control, c.claims[number].Epoch+1, why)
}

// rank orders the candidates for a shard: larger hosts first, the present owner
// last.
func (c *Coordinator) rank(number int) int {
	names := make([]string, 0, len(c.peersAt))
	for name := range c.peersAt {
		if name != c.claims[number].Owner.Name {
			names = append(names, name)
		}
	}
	sort.Slice(names, func(i, j int) bool {
		a, b := c.peersAt[names[i]], c.peersAt[names[j]]
		if math.Abs(a.Share-b.Share) > 1e-9 {
			return a.Share > b.Share
		}
		return a.Name < b.Name
	})
	for i, name := range names {
		if name == c.cfg.Self.Name {
			return i
		}
	}
	return len(names)
}

// claim appends a claim, if the control topic still ends where it was read to.
// Whether it took effect shows in the topic.
func (c *Coordinator) claim(number int, at int64, epoch uint64, why string) {
	value, err := work.EncodeControl(work.Claim{Shard: number, Epoch: epoch, Owner: c.cfg.Self})
	if err != nil {
		c.log.Error().Err(err).Msg("claim")
		return
	}
	call, cancel := context.WithTimeout(c.hard, appendLimit)
	defer cancel()
	_, err = c.store.AppendAt(call, controlPart, at, []carobpulley.KeyedRecord{{Key: work.ClaimKey(number), Value: value}})
	c.log.Info().Err(err).Int("shard", number).Uint64("epoch", epoch).Str("why", why).Msg("claim")
}

// check asks an owner whether it is well.
func (c *Coordinator) check(number int, claim work.Claim, w *watched) {
	reply, err := c.ping(claim.Owner.Addr)
	now := time.Now()
	c.mu.Lock()
	defer c.mu.Unlock()
	w.busy = false
	if err != nil {
		if link.Refused(err) {
			w.refused++
		}
		return
	}
	w.refused = 0
	w.why = c.unfit(now, number, claim, reply)
	if w.why == "" {
		w.goodAt = now
	}
}

func (c *Coordinator) unfit(now time.Time, number int, claim work.Claim, reply *relay.PingReply) string {
	if reply.GetIncarnation() != claim.Owner.Incarnation {
		return "its owner's process was replaced"
	}
	_, owns := link.EpochsFromWire(reply.GetOwned())[number]
	age := time.Duration(reply.GetStoreAgeMs()) * time.Millisecond
	if !owns && now.Sub(c.watch[number].goodAt) > loadGrace {
		return "its owner does not have it"
	}
	if age > staleOwner && now.Sub(c.verified) < freshView {
		return "its owner does not reach the store"
	}
	return ""
}

func (c *Coordinator) ping(addr netip.AddrPort) (*relay.PingReply, error) {
	peer := c.peers.At(addr)
	call, cancel := context.WithTimeout(c.hard, pingLimit)
	defer cancel()
	reply, err := peer.Coordinator.Ping(call, connect.NewRequest(&relay.PingRequest{Name: c.cfg.Self.Name}))
	if err != nil {
		if call.Err() != nil {
			peer.Reset()
		}
		return nil, err
	}
	return reply.Msg, nil
}
