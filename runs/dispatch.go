package runs

import (
	"maps"
	"time"

	"carobpulley/work"
)

// AttachRequest is the message by which a coordinator attaches to the agent with its shards.
type AttachRequest struct {
	Coordinator string
	Incarnation uint64
	Addr        string
	Attachment  uint64
	// Epochs maps shards to their epochs.
	Epochs map[int]uint64
}

// Reasons for which a start is refused.
const (
	ReasonEpoch    = "epoch"
	ReasonStopped  = "stopped"
	ReasonCapacity = "room"
	ReasonEndpoint = "runner"
	ReasonOwner    = "owner"
	// ReasonDomain means that the failure domain is out of service, and ReasonDomainAge that it is
	// not known recently enough that it isn't.
	ReasonDomain    = "domain"
	ReasonDomainAge = "domain age"
	// ReasonSuspect means that a run of another job under which an endpoint has crashed is there.
	ReasonSuspect = "suspect"
	// ReasonProof means that the coordinator is not known recently enough to live.
	ReasonProof = "proof"
)

// HandleAttach handles the attachment of a coordinator with its claims to shards. It reports false
// if a newer owner of one of them, or a later attachment, is known.
func (c *Controller) HandleAttach(now time.Time, a AttachRequest) bool {
	for number, epoch := range a.Epochs {
		if s := c.shards[number]; s != nil && epoch < s.epoch {
			return false
		}
	}
	co := c.coordinators[a.Coordinator]
	if co != nil && (a.Incarnation < co.incarnation || co.incarnation == a.Incarnation && a.Attachment <= co.attachment) {
		return false
	}
	c.recordAttachment(now, a)
	for number, epoch := range a.Epochs {
		c.recordShardOwner(number, epoch, a.Coordinator)
	}
	for _, e := range c.ends {
		if c.coordinatorOfEnd(e) == a.Coordinator {
			e.reported = false
		}
	}
	return true
}

func (c *Controller) recordAttachment(now time.Time, a AttachRequest) {
	co := c.coordinators[a.Coordinator]
	if co == nil || co.incarnation != a.Incarnation {
		// The request may have been delayed, so it proves little; the first report gives a newer
		// proof.
		co = &attachedCoordinator{proof: now.Add(-orphanTimeout)}
		c.coordinators[a.Coordinator] = co
	}
	co.addr = a.Addr
	co.attachment = a.Attachment
	co.incarnation = a.Incarnation
	co.released = false
	co.crashesReported = 0
}

// Release ends the attachment of a coordinator that no longer works with this agent, unless the
// agent holds runs or ends of it.
func (c *Controller) Release(coordinator string) {
	if co := c.coordinators[coordinator]; co != nil && !c.HasRunsOrEnds(coordinator) {
		co.released = true
	}
}

// recordShardOwner records an owner of a shard. The proof of an earlier owner stays: until it
// expires the runs of the shard go on, as the new owner expects.
func (c *Controller) recordShardOwner(number int, epoch uint64, coordinator string) {
	s := c.shards[number]
	if s == nil {
		s = &shard{}
		c.shards[number] = s
	}
	s.epoch = epoch
	s.owner = coordinator
}

// CoordinatorAddress is the destination of the reports to a coordinator.
type CoordinatorAddress struct {
	Name       string
	Addr       string
	Attachment uint64
}

// Coordinators returns the attached coordinators.
func (c *Controller) Coordinators() []CoordinatorAddress {
	out := make([]CoordinatorAddress, 0, len(c.coordinators))
	for name, co := range c.coordinators {
		if !co.released {
			out = append(out, CoordinatorAddress{name, co.addr, co.attachment})
		}
	}
	return out
}

// Dispatch is the message by which a coordinator starts and stops runs.
type Dispatch struct {
	Coordinator string
	Incarnation uint64
	Attachment  uint64
	// Echo is the SentAt of the latest report of this agent that the coordinator received.
	Echo   int64
	Starts []work.Start
	Stops  []work.Run
	Acked  []int64
	// AckedGeneration is the endpoint generation that the numbers in Acked belong to.
	AckedGeneration string
}

// RefusedStart is a start that the agent refuses.
type RefusedStart struct {
	Run    work.Run
	Reason string
}

// HandleDispatch handles a dispatch. stale is set if all of it is rejected.
func (c *Controller) HandleDispatch(now time.Time, d Dispatch) (refused []RefusedStart, stale bool) {
	sender := c.coordinators[d.Coordinator]
	if sender == nil || sender.released || sender.attachment != d.Attachment || sender.incarnation != d.Incarnation {
		return nil, true
	}
	if !c.validEcho(now, d.Echo) {
		return nil, true
	}
	for _, key := range d.Stops {
		c.stop(now, d.Coordinator, key) // before the proof, which is newer than the decision to stop
	}
	c.recordProof(d.Coordinator, c.decodeTime(d.Echo))
	for i := range d.Starts {
		run := d.Starts[i].Run
		key := startKey{run, d.Coordinator, d.Incarnation}
		reason := ReasonStopped
		if _, again := c.refusedStarts[key]; !again {
			reason = c.start(now, d.Coordinator, &d.Starts[i])
		}
		if reason != "" {
			c.refusedStarts[key] = now
			refused = append(refused, RefusedStart{run, reason})
		}
	}
	c.HandleAcks(d.AckedGeneration, d.Acked)
	return refused, false
}

// validEcho reports whether the echo of a dispatch is a time of this process that is recent enough.
func (c *Controller) validEcho(now time.Time, echo int64) bool {
	return echo > 0 && echo <= c.encodeTime(now) && now.Sub(c.decodeTime(echo)) <= MaxEchoAge
}

// recordProof records that the coordinator was alive at a time.
func (c *Controller) recordProof(coordinator string, at time.Time) {
	if co := c.coordinators[coordinator]; co != nil && at.After(co.proof) {
		co.proof = at
	}
}

// stop stops a run at a coordinator's request, or keeps it from starting.
func (c *Controller) stop(now time.Time, coordinator string, key work.Run) {
	r := c.runs[key]
	if r == nil || r.belongsToOther(coordinator) {
		c.earlyStops[stopKey{key, coordinator}] = now
		return
	}
	if r.phase == phaseQueued {
		c.endRun(now, key, r, work.OutcomeNotStarted)
		return
	}
	c.requestStop(key, r)
}

// belongsToOther reports whether the run is that of a best-effort job at another coordinator, which
// numbers its runs by itself. The runs of a durable job pass to its next owner.
func (r *run) belongsToOther(coordinator string) bool {
	return !r.start.Durable && r.coordinator != "" && r.coordinator != coordinator
}

// start returns the reason for which a start is refused; empty if it is accepted.
func (c *Controller) start(now time.Time, coordinator string, s *work.Start) string {
	co := c.coordinators[coordinator]
	if r := c.runs[s.Run]; r != nil {
		if r.coordinator != coordinator || r.incarnation != co.incarnation {
			return ReasonStopped
		}
		return ""
	}
	if ended, ok := c.endedRuns[s.Run]; ok && ended.coordinator == coordinator && ended.incarnation == co.incarnation {
		return ""
	}
	if s.Durable && c.shardOwner(s.Run.Task) != coordinator {
		return ReasonOwner
	}
	if _, stopped := c.earlyStops[stopKey{s.Run, coordinator}]; stopped {
		return ReasonStopped
	}
	if reason := c.startRefusal(now); reason != "" {
		return reason
	}
	if s.Suspect && c.hasOtherSuspect(s.Run.Task) {
		return ReasonSuspect
	}
	if _, again := c.endedRuns[s.Run]; again {
		c.token++ // the start of the run that has ended may still get an answer
	}
	return c.launchOrQueue(now, &run{start: *s, coordinator: coordinator, incarnation: co.incarnation, phaseSince: now, minToken: c.token})
}

// launchOrQueue starts a run, or queues it if it has to wait and may. It returns the reason for which
// it does neither.
func (c *Controller) launchOrQueue(now time.Time, r *run) string {
	s := &r.start
	fits := c.reservedResources().Add(s.Resources).Fits(c.heartbeat.Capacity)
	wait := time.Duration(s.WaitMS) * time.Millisecond
	if fits && c.mustWait(s) {
		wait = max(wait, answerWait)
	} else if fits && c.nextQueued(now) == nil {
		c.launch(now, s.Run, r)
		return ""
	}
	if wait <= 0 || !c.fitsQueue(s.Resources) {
		return ReasonCapacity
	}
	r.phase = phaseQueued
	r.latestStart = now.Add(time.Duration(s.SlackMS) * time.Millisecond)
	r.waitUntil = now.Add(wait)
	c.runs[s.Run] = r
	return ""
}

// HandleAcks handles the numbers of ends that their owner has stored.
func (c *Controller) HandleAcks(generation string, numbers []int64) {
	if len(numbers) == 0 || generation != c.EndpointGeneration() {
		return
	}
	stored := make(map[int64]bool, len(numbers))
	for _, n := range numbers {
		stored[n] = true
	}
	for _, e := range c.ends {
		if e.Sequence > 0 && stored[e.Sequence] {
			e.acked = true
		}
	}
	c.pruneEnds()
}

// pruneEnds advances ackedUpTo to the last number before the first unacknowledged end, and drops
// the ends that are both reported and acknowledged.
func (c *Controller) pruneEnds() {
	open := make([]*end, 0, len(c.ends))
	first := c.lastListed + 1
	for _, e := range c.ends {
		if e.Sequence > 0 && !e.acked {
			first = min(first, e.Sequence)
		}
	}
	if held := c.unread.firstEnd; held > 0 {
		first = min(first, held)
	}
	c.ackedUpTo = max(c.ackedUpTo, first-1)
	maps.DeleteFunc(c.listedEnds, func(n int64, _ bool) bool { return n <= c.ackedUpTo })
	for _, e := range c.ends {
		if !e.reported || e.Sequence > 0 && !e.acked {
			open = append(open, e)
		}
	}
	c.ends = open
}
