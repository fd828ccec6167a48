package coord

import (
	"context"
	"fmt"
	"time"

	"carobpulley"
	"carobpulley/holds"
	"carobpulley/meter"
	"carobpulley/wire/relay"
	"carobpulley/work"
)

// peerUseTTL is the time for which another coordinator's word about its processor holds.
const peerUseTTL = time.Second

// peerUse is the part of its processor share that another coordinator has said to use.
type peerUse struct {
	use  float64
	till time.Time
}

// learnUse takes over what another coordinator says about its processor. The caller holds the lock.
func (c *Coordinator) learnUse(name string, permille uint32) {
	if permille == 0 {
		delete(c.peerUse, name)
		return
	}
	c.peerUse[name] = peerUse{use: float64(permille-1) / 1000, till: c.now.Add(peerUseTTL)}
}

// ownUse returns what learnUse takes. The caller holds the lock.
func (c *Coordinator) ownUse() uint32 {
	if !c.processor.takes() {
		return 1001
	}
	return uint32(max(c.processor.use, 0)*1000) + 1
}

// offload passes a submission on to a replica of its id, if this process has too little processor time for it and
// the replica has some left. The replica becomes the holder; this process waits for the result as for that of a
// job that it has joined.
func (c *Coordinator) offload(ctx context.Context, s *submission) (answered bool, a carobpulley.JobAnswer) {
	holder, found := c.offloadTarget(s.job.ID)
	if !found {
		return false, a
	}
	body, err := work.EncodeJob(s.job)
	if err != nil {
		return false, a
	}
	peer := c.peers.At(holder.Addr)
	s.passedTo = holder.Coordinator
	reply, err := c.awaitJoin(ctx, peer, holder, s.job.ID, func() *relay.JoinRequest {
		return &relay.JoinRequest{
			Id: s.job.ID, Job: body, Incarnation: holder.Incarnation, Take: true, AgeMs: c.clock.Now().Sub(s.arrivedAt).Milliseconds(),
			Coordinator: c.cfg.Self.Name, SenderIncarnation: c.cfg.Self.Incarnation, Number: c.lastAttempt.Add(1),
		}
	})
	switch {
	case ctx.Err() != nil: // the caller has left
		s.uncertain = true
		return false, a
	case err != nil:
		err = peer.CallError("offload", err)
		c.log.Warn().Err(err).Str("job", s.job.ID).Str("coordinator", holder.Coordinator).Msg("job passed on without an answer")
		c.cfg.Meter.Add(meter.Name("offloads", "no_answer"), 1)
		c.dropUse(holder.Coordinator)
		if carobpulley.KindOf(err) == carobpulley.KindUnknown { // the peer may run it
			s.joined, s.uncertain, s.leftAt = true, true, c.clock.Now()
		}
		return false, a
	case reply.GetCode() == relay.Code_CODE_DECLINED, reply.GetCode() == relay.Code_CODE_ABSENT:
		c.cfg.Meter.Add(meter.Name("offloads", "declined"), 1)
		c.dropUse(holder.Coordinator)
		return false, a
	case reply.GetCode() == relay.Code_CODE_NOT_OWNER: // the peer has lost the job, or the first call has not arrived
		c.cfg.Meter.Add(meter.Name("offloads", "lost"), 1)
		s.uncertain = true
		return false, a
	}
	c.cfg.Meter.Add(meter.Name("offloads", "answered"), 1)
	return true, answerFromReply(reply)
}

// keeps reports whether this process runs a submission itself although others may have more processor time.
func (c *Coordinator) keeps(id string) bool {
	c.lock()
	defer c.mu.Unlock()
	if c.table.HoldsBestEffort(c.now) { // the caller may have left, which only this process will see
		return true
	}
	return c.table.HasJob(id) || c.holdings.pending[id] != nil || c.processor.keeps()
}

// overloaded returns why a job is refused that this process can't run in time and no other one takes; empty if it is
// not.
func (c *Coordinator) overloaded(j *work.Job) string {
	c.lock()
	defer c.mu.Unlock()
	wait, slack := c.processor.expectedWait(c.now), j.Objective()-j.CriticalPath()
	if c.table.HasJob(j.ID) { // it has run here for another submission
		return ""
	}
	if float64(wait) <= bearableWait*float64(slack) {
		return ""
	}
	return fmt.Sprintf("overload: a wait of %d ms for this process is expected, of %d ms slack", wait.Milliseconds(), slack.Milliseconds())
}

// offloadTarget returns the coordinator that a submission is to be passed on to: the replica of its id that uses the
// least of its processor.
func (c *Coordinator) offloadTarget(id string) (target holds.Holder, found bool) {
	c.lock()
	defer c.mu.Unlock()
	least := targetUse
	for _, name := range c.holdings.members.Ballot(c.now, id, c.self()).Open() {
		known, a := c.peerUse[name], c.coordinators[name]
		if name == c.cfg.Self.Name || c.now.After(known.till) || known.use >= least {
			continue
		}
		least, found = known.use, true
		target = holds.Holder{Coordinator: name, Incarnation: a.Incarnation, Addr: a.Addr}
	}
	return target, found
}

// dropUse forgets what a coordinator has said about its processor.
func (c *Coordinator) dropUse(name string) {
	c.lock()
	defer c.mu.Unlock()
	delete(c.peerUse, name)
}

// takesJobs reports whether this process takes jobs that others pass on. One that reaches no agent has more processor
// time left than any other. The caller holds the lock.
func (c *Coordinator) takesJobs() bool {
	return c.processor.takes() && !c.draining && !c.holdings.apart(c.now, apartAfter) && !c.table.HoldsBestEffort(c.now)
}

// take runs a job that another coordinator has passed on, or joins it, and returns at its end.
func (c *Coordinator) take(ctx context.Context, j *work.Job, age time.Duration) *relay.JobReply {
	c.lock()
	declined := !c.table.HasJob(j.ID) && c.holdings.pending[j.ID] == nil && !c.takesJobs()
	c.mu.Unlock()
	if declined {
		return &relay.JobReply{Code: relay.Code_CODE_DECLINED}
	}
	now := c.clock.Now()
	s := &submission{job: j, arrivedAt: now.Add(-age), receivedAt: now}
	a := c.awaitHere(ctx, s)
	if s.grant.number != 0 {
		c.log.Info().Str("job", j.ID).Int("code", int(a.Code)).Str("state", string(a.State)).Str("why", a.Reason).Func(s.grant.fields).Msg("answered to a coordinator")
	}
	return replyFromAnswer(a)
}
