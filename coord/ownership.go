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
	// ownerCheckInterval is the interval at which owners are checked.
	ownerCheckInterval = 120 * time.Millisecond
	// watchers is the number of candidates that check an owner at each ownerCheckInterval;
	// the others check it every backupChecks intervals, so that the pings at an owner don't
	// grow with the number of coordinators.
	watchers     = 4
	backupChecks = 8
	// pingTimeout bounds one ping of a coordinator.
	pingTimeout = 350 * time.Millisecond
	// ownerUnresponsiveAfter is how long an owner may leave pings unanswered before it is
	// replaced; three checks fail in that time.
	ownerUnresponsiveAfter = 700 * time.Millisecond
	// maxRefusedPings is the number of refused connections after which an owner is
	// replaced.
	maxRefusedPings = 2
	// ownerStaleAfter is the age of an owner's last read of the control topic from which a
	// coordinator whose own read is younger than freshProofAge replaces it.
	ownerStaleAfter = 1800 * time.Millisecond
	freshProofAge   = 1200 * time.Millisecond
	// claimRankDelay staggers the claims of the candidates, the largest CPU share first.
	claimRankDelay = 150 * time.Millisecond
	// claimRetryInterval is the pause before another claim while the topic shows no
	// success of the last one.
	claimRetryInterval = 300 * time.Millisecond
	// maxClaimTries bounds the tries of one claim at the end of the topic.
	maxClaimTries = 12
	// loadGrace is the time in which a new owner has to load its shards.
	loadGrace = 4 * time.Second
	// stallThreshold is the gap between two checks from which this process itself counts
	// as stalled. All owners then count as healthy at first, since this process may have
	// missed their answers.
	stallThreshold = 4 * ownerCheckInterval
)

// ownerHealth holds the results of the checks of a shard's owner.
type ownerHealth struct {
	healthyAt    time.Time
	refusedPings int
	// reasonSince is the time since which this process has had a reason to claim the
	// shard.
	reasonSince time.Time
	nextClaimAt time.Time
	pinging     bool
	// nextPingAt is the time of the next ping, and interval the time between two.
	nextPingAt time.Time
	interval   time.Duration
	reason     string
}

// handleClaim applies a claim of the control topic: an owned shard is released, and a
// shard that this process has claimed is loaded. The caller holds the lock.
func (c *Coordinator) handleClaim(claim work.Claim) {
	old, known := c.claims[claim.Shard]
	if known && claim.Epoch <= old.Epoch {
		return
	}
	c.claims[claim.Shard] = claim
	c.health[claim.Shard] = &ownerHealth{healthyAt: c.now}
	c.log.Info().Int("shard", claim.Shard).Uint64("epoch", claim.Epoch).Str("owner", claim.Owner.Name).Msg("shard claimed")
	if j := c.journals[claim.Shard]; j != nil {
		c.releaseShard(claim.Shard, "the control topic holds a newer claim")
	}
	if c.claimedBySelf(claim) {
		go c.loadShard(claim)
	}
}

func (c *Coordinator) claimedBySelf(claim work.Claim) bool {
	return claim.Owner.Name == c.cfg.Self.Name && claim.Owner.Incarnation == c.cfg.Self.Incarnation
}

// releaseShard releases a shard and answers the callers that wait for its jobs. The
// caller holds the lock.
func (c *Coordinator) releaseShard(number int, reason string) {
	j := c.journals[number]
	if j == nil {
		return
	}
	j.cancel()
	delete(c.journals, number)
	c.cfg.Meter.Set("shards_owned", int64(len(c.journals)))
	open := c.table.ReleaseShard(number)
	for _, id := range open {
		c.notifyWaiters(id, waitResult{shardReleased: true})
	}
	c.log.Warn().Int("shard", number).Int("open", len(open)).Str("why", reason).Msg("shard given up")
}

// notifyWaiters delivers a result to the callers that wait for a job. The caller holds
// the lock.
func (c *Coordinator) notifyWaiters(id string, w waitResult) {
	for _, ch := range c.waiters[id] {
		ch <- w
	}
	delete(c.waiters, id)
}

// loadShard fences the earlier owner and reads the shard's records. It retries until it
// succeeds or a newer claim replaces this one.
func (c *Coordinator) loadShard(claim work.Claim) {
	partition := carobpulley.Partition{Topic: carobpulley.TopicJobs, Number: claim.Shard}
	writer := carobpulley.Writer{Producer: producer, Epoch: claim.Epoch}
	for c.baseCtx.Err() == nil {
		records, err := c.fenceAndRead(partition, writer)
		if err == nil {
			c.acquireShard(claim, partition, records)
			return
		}
		c.recordStoreError("load", err)
		c.lock()
		current := c.claims[claim.Shard].Epoch == claim.Epoch
		c.mu.Unlock()
		if !current || carobpulley.KindOf(err) == carobpulley.KindStaleEpoch {
			return
		}
		sleep(c.baseCtx, readRetryInterval)
	}
}

// producer is the producer name under which all owners append, so that the store
// compares their epochs.
const producer = "owner"

func (c *Coordinator) fenceAndRead(partition carobpulley.Partition, w carobpulley.Writer) ([]carobpulley.KeyedRecord, error) {
	call, cancel := context.WithTimeout(c.baseCtx, appendTimeout)
	defer cancel()
	if _, err := c.store.AppendFenced(call, partition, w, nil); err != nil {
		return nil, err
	}
	read, cancelRead := context.WithTimeout(c.baseCtx, readTimeout)
	defer cancelRead()
	records, _, err := c.store.Newest(read, partition)
	return records, err
}

func (c *Coordinator) acquireShard(claim work.Claim, partition carobpulley.Partition, records []carobpulley.KeyedRecord) {
	c.lock()
	defer c.mu.Unlock()
	if c.claims[claim.Shard].Epoch != claim.Epoch || c.journals[claim.Shard] != nil {
		return
	}
	now := c.now
	for _, err := range c.table.AcquireShard(now, claim.Shard, claim.Epoch, records) {
		c.rejects.Add(now, "jobs", 1, work.ClaimKey(claim.Shard), err)
	}
	j := newJournal(c, partition, claim.Epoch)
	c.journals[claim.Shard] = j
	c.cfg.Meter.Set("shards_owned", int64(len(c.journals)))
	go j.run()
	c.log.Info().Int("shard", claim.Shard).Uint64("epoch", claim.Epoch).Int("records", len(records)).Msg("shard owned")
	clear(c.nextAttachAt)
	c.attachDetached(now)
	c.flush()
	c.notifyOwnershipChange()
}

// watchOwners checks the owners of all shards and claims the shards that need another
// one.
func (c *Coordinator) watchOwners(ctx context.Context) error {
	last := c.clock.Now()
	for ctx.Err() == nil {
		sleep(ctx, ownerCheckInterval)
		c.lock()
		now := c.now
		if now.Sub(last) > stallThreshold {
			for _, h := range c.health {
				h.healthyAt = now
				h.reasonSince = time.Time{}
			}
		}
		last = now
		if c.controlOffset > 0 && c.routing != nil && !c.draining {
			for number := range c.cfg.Shards {
				c.checkShardOwner(now, number)
			}
		}
		c.mu.Unlock()
	}
	return nil
}

// checkShardOwner checks one shard's owner. The caller holds the lock.
func (c *Coordinator) checkShardOwner(now time.Time, number int) {
	h := c.health[number]
	if h == nil {
		h = &ownerHealth{healthyAt: now}
		c.health[number] = h
	}
	claim, known := c.claims[number]
	if known && c.claimedBySelf(claim) && h.reason == "" {
		return
	}
	if reason := c.takeoverReason(now, h, claim, known); reason != "" {
		c.claimInTurn(now, number, h, reason)
	} else {
		h.reasonSince = time.Time{}
	}
	if known && !h.pinging && !c.claimedBySelf(claim) && !now.Before(h.nextPingAt) {
		h.pinging = true
		h.interval = ownerCheckInterval
		if c.claimRank(number) >= watchers {
			h.interval *= backupChecks
		}
		h.nextPingAt = now.Add(h.interval - ownerCheckInterval/2)
		go c.pingOwner(number, claim, h)
	}
}

// takeoverReason returns the reason for which a shard needs another owner; empty if it
// does not.
func (c *Coordinator) takeoverReason(now time.Time, h *ownerHealth, claim work.Claim, known bool) string {
	switch {
	case !known:
		return "the shard was never claimed"
	case c.claimedBySelf(claim):
		return h.reason
	case claim.Owner.Name == c.cfg.Self.Name:
		return "its owner was an earlier process on this host"
	case h.reason != "":
		return h.reason
	case h.refusedPings >= maxRefusedPings:
		return "nothing listens at its owner's address"
	case now.Sub(h.healthyAt) > ownerUnresponsiveAfter+h.interval-min(h.interval, ownerCheckInterval):
		return "its owner is silent"
	}
	return ""
}

// claimInTurn claims a shard once the delay for this process's rank among the candidates
// is over, if its own ownership proof is younger than freshProofAge. A process that replaces the
// owner on its host claims at once. The caller holds the lock.
func (c *Coordinator) claimInTurn(now time.Time, number int, h *ownerHealth, reason string) {
	if h.reasonSince.IsZero() {
		h.reasonSince = now
	}
	delay := time.Duration(c.claimRank(number)) * claimRankDelay
	if c.claims[number].Owner.Name == c.cfg.Self.Name {
		delay = 0
	}
	if now.Sub(h.reasonSince) < delay || now.Before(h.nextClaimAt) || now.Sub(c.ownershipProof) > freshProofAge {
		return
	}
	h.nextClaimAt = now.Add(claimRetryInterval)
	go c.appendClaim(number, c.controlOffset, c.claims[number].Epoch+1, reason)
}

// claimRank returns this process's rank among the candidates for a shard: larger CPU
// shares first, the present owner last.
func (c *Coordinator) claimRank(number int) int {
	names := make([]string, 0, len(c.coordinators))
	for name := range c.coordinators {
		if name != c.claims[number].Owner.Name {
			names = append(names, name)
		}
	}
	sort.Slice(names, func(i, j int) bool {
		a, b := c.coordinators[names[i]], c.coordinators[names[j]]
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

// appendClaim appends a claim if the control topic still ends at the given offset. After a
// conflict it reads the topic and tries again at its new end, unless that holds a newer claim:
// many processes announce themselves there when a fleet starts. Whether it succeeded is read from
// the topic, not from the answer.
func (c *Coordinator) appendClaim(number int, offset int64, epoch uint64, reason string) {
	value, err := work.EncodeControl(work.Claim{Shard: number, Epoch: epoch, Owner: c.cfg.Self})
	if err != nil {
		c.log.Error().Err(err).Msg("claim")
		return
	}
	call, cancel := context.WithTimeout(c.baseCtx, appendTimeout)
	defer cancel()
	records := []carobpulley.KeyedRecord{{Key: work.ClaimKey(number), Value: value}}
	for range maxClaimTries {
		_, err = c.store.AppendAt(call, controlPartition, offset, records)
		if err == nil || carobpulley.KindOf(err) != carobpulley.KindConflict {
			break
		}
		if _, readErr := c.readControlTail(call, c.clock.Now(), 0); readErr != nil {
			err = readErr
			break
		}
		c.lock()
		offset = c.controlOffset
		newer := c.claims[number].Epoch >= epoch
		c.mu.Unlock()
		if newer {
			break
		}
	}
	c.log.Info().Err(err).Int("shard", number).Uint64("epoch", epoch).Str("why", reason).Msg("claim")
}

// pingOwner pings a shard's owner and updates the shard's health.
func (c *Coordinator) pingOwner(number int, claim work.Claim, h *ownerHealth) {
	reply, err := c.ping(claim.Owner.Addr)
	c.lock()
	defer c.mu.Unlock()
	now := c.now
	h.pinging = false
	c.mergeDomains(link.DomainsFromWire(reply.GetDomains(), time.Time{}), claim.Owner.Name)
	if err != nil {
		if link.ConnectionRefused(err) {
			h.refusedPings++
		}
		return
	}
	h.refusedPings = 0
	h.reason = c.ownerFault(now, number, claim, reply)
	if h.reason == "" {
		h.healthyAt = now
	}
}

// ownerFault returns the reason for which a reply shows that its sender cannot act as
// the owner of a shard; empty if it can.
func (c *Coordinator) ownerFault(now time.Time, number int, claim work.Claim, reply *relay.PingReply) string {
	if reply.GetIncarnation() != claim.Owner.Incarnation {
		return "its owner's process was replaced"
	}
	_, owns := link.EpochsFromWire(reply.GetOwned())[number]
	age := time.Duration(reply.GetStoreAgeMs()) * time.Millisecond
	if !owns && now.Sub(c.health[number].healthyAt) > loadGrace {
		return "its owner does not report it as owned"
	}
	if age > ownerStaleAfter && now.Sub(c.ownershipProof) < freshProofAge {
		return "its owner has no recent read of the store"
	}
	return ""
}

func (c *Coordinator) ping(addr netip.AddrPort) (*relay.PingReply, error) {
	peer := c.peers.At(addr)
	call, cancel := context.WithTimeout(c.baseCtx, pingTimeout)
	defer cancel()
	reply, err := peer.Coordinator.Ping(call, connect.NewRequest(&relay.PingRequest{Name: c.cfg.Self.Name}))
	if err != nil {
		if call.Err() != nil {
			peer.CloseIdleConnections()
		}
		return nil, err
	}
	return reply.Msg, nil
}
