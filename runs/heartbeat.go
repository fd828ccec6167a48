package runs

import (
	"time"

	"carobpulley"
)

const (
	// minStreak is the number of successive heartbeats with rising sequence numbers, and
	// minStreakTime the least time from the first to the last of them, that replace one with a higher
	// number. Heartbeats that were delayed arrive together, and the newest one follows them.
	minStreak     = 3
	minStreakTime = 2 * time.Second
)

// claim is a heartbeat whose instance or generation no answer of the endpoint has shown.
type claim struct {
	carobpulley.Heartbeat
	at time.Time
}

// streak counts successive heartbeats with rising sequence numbers below that of the heartbeat in
// force.
type streak struct {
	sequence int64
	length   int
	since    time.Time
}

// RejectedHeartbeat is a heartbeat that the endpoint, or its later heartbeats, contradict.
type RejectedHeartbeat struct {
	carobpulley.Heartbeat
	Reason string
}

// Reasons for which a heartbeat is rejected.
const (
	// RejectedInstance means that another instance answers at the endpoint's address.
	RejectedInstance = "another instance answers"
	// RejectedGeneration means that the endpoint's lists show another generation.
	RejectedGeneration = "the lists show another generation"
	// RejectedSequence means that heartbeats with lower numbers go on.
	RejectedSequence = "heartbeats with lower numbers follow"
)

// HandleHeartbeat handles a heartbeat of the endpoint. Anyone may have sent it, so it ends no run: one
// of another instance or generation than the endpoint has shown is a claim that the next answer to a
// poll decides. It reports whether this is the first heartbeat, also after a shutdown, or the
// endpoint's instance, generation or draining state has changed.
func (c *Controller) HandleHeartbeat(now time.Time, hb carobpulley.Heartbeat) bool {
	switch {
	case c.isSameGeneration(hb):
		return c.refresh(now, hb)
	case c.hasHeartbeat && hb.Instance == c.heartbeat.Instance && hb.Generation != 0 && hb.Generation < c.generation:
		// It was delayed, and its sender has restarted.
		return false
	case c.hasHeartbeat && (c.confirmed && !c.gone || hb.Generation < c.heartbeat.Generation):
		c.claim = &claim{Heartbeat: hb, at: now}
		return false
	case c.hasHeartbeat && !c.confirmed:
		c.claim = &claim{Heartbeat: c.heartbeat, at: c.adoptedAt}
	}
	c.adopt(now, hb)
	return true
}

// isSameGeneration reports whether a heartbeat is of the instance and the generation in force.
func (c *Controller) isSameGeneration(hb carobpulley.Heartbeat) bool {
	if !c.hasHeartbeat || hb.Instance != c.heartbeat.Instance {
		return false
	}
	if c.confirmed && c.generation != 0 {
		return hb.Generation == c.generation
	}
	return hb.Generation == c.heartbeat.Generation
}

// restartClaimed reports whether the heartbeat in force is of another generation than the lists have
// shown, which the next answer to a poll decides.
func (c *Controller) restartClaimed() bool {
	return c.hasHeartbeat && !c.confirmed && c.generation != 0 && c.heartbeat.Generation != 0 && c.heartbeat.Generation != c.generation
}

// adopt puts a heartbeat of an instance or generation in force that the endpoint has yet to show.
func (c *Controller) adopt(now time.Time, hb carobpulley.Heartbeat) {
	c.heartbeat = hb
	c.hasHeartbeat = true
	c.shutDown = false
	c.confirmed = false
	c.adoptedAt = now
	c.streak = streak{}
}

// refresh handles a heartbeat of the generation in force. It reports whether its generation or the draining
// state has changed, or a shutdown was announced before.
func (c *Controller) refresh(now time.Time, hb carobpulley.Heartbeat) bool {
	sameGeneration := hb.Generation == c.heartbeat.Generation
	if sameGeneration && hb.Sequence <= c.heartbeat.Sequence {
		if !c.outweighs(now, hb) {
			// An endpoint that drains never gets ready again, so this holds however late it is.
			changed := hb.Draining && !c.heartbeat.Draining
			c.heartbeat.Draining = c.heartbeat.Draining || hb.Draining
			return changed
		}
		c.reject(c.heartbeat, RejectedSequence)
	}
	changed := !sameGeneration || c.shutDown || c.heartbeat.Draining != hb.Draining
	c.streak = streak{}
	c.heartbeat = hb
	c.shutDown = false
	return changed
}

// outweighs reports whether a heartbeat with a lower sequence number than the one in force ends a
// streak that replaces that one.
func (c *Controller) outweighs(now time.Time, hb carobpulley.Heartbeat) bool {
	s := &c.streak
	switch {
	case hb.Sequence == c.heartbeat.Sequence:
		return false
	case s.length == 0 || hb.Sequence <= s.sequence:
		*s = streak{sequence: hb.Sequence, length: 1, since: now}
		return false
	}
	s.sequence = hb.Sequence
	s.length++
	return s.length >= minStreak && now.Sub(s.since) >= minStreakTime
}

// HandleShutdown handles the announcement that the endpoint has shut down. Nothing starts from now on;
// the runs end when the endpoint's address refuses connections. It reports whether it changed the
// state.
func (c *Controller) HandleShutdown(now time.Time, instance string) bool {
	if !c.hasHeartbeat || c.shutDown || c.heartbeat.Instance != instance {
		return false
	}
	c.shutDown = true
	c.processQueue(now)
	return true
}

// BeginProbe returns the parameters of a poll that decides a claim. Without a claim of another instance
// they are those of the next poll.
func (c *Controller) BeginProbe(now time.Time) Poll {
	if c.claim == nil || c.claim.Instance == c.heartbeat.Instance {
		return c.BeginPoll(now)
	}
	return Poll{SentAt: now, Lease: carobpulley.Lease{Instance: c.claim.Instance, Token: c.token}, claim: c.claim}
}

// NeedsProbe reports whether a claim waits for an answer of the endpoint.
func (c *Controller) NeedsProbe() bool { return c.claim != nil }

// handleProbe handles the lists of an endpoint that has answered as the instance of a claim. It reports
// whether the endpoint has been replaced by it.
func (c *Controller) handleProbe(now time.Time, sent Poll, generation int64) bool {
	if sent.claim != c.claim || sent.SentAt.Before(c.adoptedAt) {
		return false
	}
	c.claim = nil
	if generation != 0 && generation != sent.claim.Generation {
		c.reject(sent.claim.Heartbeat, RejectedGeneration)
		return false
	}
	if !c.gone {
		c.handleRestart(now, !c.announced())
	}
	c.adopt(now, sent.claim.Heartbeat)
	c.adopted = true
	c.confirmed = true
	c.gone = false
	c.setGeneration(now, generation)
	return true
}

// handleProbeError handles a refused or unanswered poll that was to decide a claim. A claim without an
// answer is kept: if it is true, the polls of the instance in force are refused.
func (c *Controller) handleProbeError(sent Poll, refusal string) {
	if refusal == carobpulley.RefusalWrongInstance && sent.claim == c.claim {
		c.claim = nil
		c.reject(sent.claim.Heartbeat, RejectedInstance)
	}
}

// observeGeneration handles the generation that the endpoint's lists show. It reports whether the lists can
// be used, which those of an earlier generation can't, and whether the endpoint has restarted.
func (c *Controller) observeGeneration(now time.Time, sent Poll, generation int64) (usable, restarted bool) {
	if sent.claim != nil {
		replaced := c.handleProbe(now, sent, generation)
		return replaced, replaced
	}
	if sent.Lease.Instance != c.heartbeat.Instance || generation != 0 && generation < c.generation && !sent.SentAt.After(c.generationAt) {
		return false, false
	}
	restarted = c.generation != 0 && generation != 0 && generation != c.generation && !c.gone
	if restarted {
		c.handleRestart(now, !c.announced())
	}
	c.gone = false
	c.setGeneration(now, generation)
	c.confirm(now, sent, generation)
	return true, restarted
}

func (c *Controller) setGeneration(now time.Time, generation int64) {
	if generation != 0 && generation != c.generation {
		c.generation = generation
		c.generationAt = now
	}
}

// confirm compares the heartbeat in force, and a claim of the same instance, with the generation that
// the endpoint's lists show; 0 if they show none.
func (c *Controller) confirm(now time.Time, sent Poll, generation int64) {
	shown := func(hb carobpulley.Heartbeat) bool { return generation == 0 || hb.Generation == generation }
	if c.hasHeartbeat && !c.confirmed && !sent.SentAt.Before(c.adoptedAt) {
		c.confirmed = shown(c.heartbeat)
		if !c.confirmed {
			c.dropHeartbeat(now, RejectedGeneration)
		}
	}
	if c.claim == nil || c.claim.Instance != sent.Lease.Instance {
		return
	}
	switch {
	case shown(c.claim.Heartbeat):
		if c.hasHeartbeat && c.confirmed {
			c.adopted = c.refresh(now, c.claim.Heartbeat) || c.adopted
		} else {
			c.adopt(now, c.claim.Heartbeat)
			c.adopted = true
		}
		c.confirmed = true
		c.claim = nil
	case !sent.SentAt.Before(c.claim.at):
		c.reject(c.claim.Heartbeat, RejectedGeneration)
		c.claim = nil
	}
}

// dropHeartbeat rejects the heartbeat in force, which the endpoint has contradicted. The claim that
// waits takes its place.
func (c *Controller) dropHeartbeat(now time.Time, reason string) {
	c.reject(c.heartbeat, reason)
	c.heartbeat = carobpulley.Heartbeat{}
	c.hasHeartbeat = false
	c.shutDown = false
	c.adoptClaim(now)
}

func (c *Controller) adoptClaim(now time.Time) {
	if c.claim != nil {
		c.adopt(now, c.claim.Heartbeat)
		c.adopted = true
		c.claim = nil
	}
}

// handleWrongInstance handles a poll that an endpoint has refused since it is another instance. An
// instance that has never answered did not exist; one that has is gone.
func (c *Controller) handleWrongInstance(now time.Time, sent Poll) bool {
	if sent.Lease.Instance != c.heartbeat.Instance || c.predatesGeneration(sent) {
		return false
	}
	if !c.confirmed {
		c.dropHeartbeat(now, RejectedInstance)
		return false
	}
	return c.handleGone(now, sent)
}

// predatesGeneration reports whether a poll was sent before the generation in force was known. That it
// found no endpoint, or another one, tells nothing of it.
func (c *Controller) predatesGeneration(sent Poll) bool {
	return sent.SentAt.Before(c.adoptedAt) || sent.SentAt.Before(c.generationAt)
}

// reject records a heartbeat that turned out not to be the endpoint's.
func (c *Controller) reject(hb carobpulley.Heartbeat, reason string) {
	c.rejected = append(c.rejected, RejectedHeartbeat{Heartbeat: hb, Reason: reason})
}

// RejectedHeartbeats returns the heartbeats that were rejected since the last call.
func (c *Controller) RejectedHeartbeats() []RejectedHeartbeat {
	rejected := c.rejected
	c.rejected = nil
	return rejected
}

// AdoptedHeartbeat returns the heartbeat in force if a poll has put it in force since the last call.
func (c *Controller) AdoptedHeartbeat() (carobpulley.Heartbeat, bool) {
	adopted := c.adopted
	c.adopted = false
	return c.heartbeat, adopted && c.hasHeartbeat
}
