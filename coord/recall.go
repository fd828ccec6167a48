package coord

import (
	"context"
	"time"

	"connectrpc.com/connect"

	"carobpulley"
	"carobpulley/holds"
	"carobpulley/link"
	"carobpulley/meter"
	"carobpulley/wire/relay"
	"carobpulley/work"
)

const (
	// recallWait bounds the time for which asks wait until the peers have told what they hold; those who
	// ask wait for holdTimeout.
	recallWait = 80 * time.Millisecond
	// recallTimeout bounds one call; an answer after recallWait counts for later asks.
	recallTimeout = 2 * holdTimeout
	// repeatAfter is the time without an answer over a connection that was open before after which a call is
	// made over a new one.
	repeatAfter = recallWait / 2
	// startSpread is the time within which the processes of a fleet that starts again, as after a loss of power,
	// come up.
	startSpread = 400 * time.Millisecond
)

var (
	errNoCoordinator = &carobpulley.Error{Op: "held", Kind: carobpulley.KindInvalid, Msg: "the sender is no other coordinator"}
	errNoMembers     = &carobpulley.Error{Op: "hold", Kind: carobpulley.KindUnavailable, Msg: "no coordinators are known yet"}
)

// recall is the recall of the holds of a home from the other coordinators.
type recall struct {
	home  string
	began time.Time
	// since is the time before which own grants may be outdated.
	since time.Time
	// waiting holds the asks that wait for the peers' answers.
	waiting []*holdAsk
	// homeAnswered is set if the home, another process, has answered.
	homeAnswered bool
	// homeEnded is the end of the home's process, if that is all that has ended; othersEnded is set if others
	// have.
	homeEnded   *recalled
	othersEnded bool
	// ended holds the answers of peers whose process has ended, until outlived is set: a coordinator has gone on
	// since. If all have started again, waiting for runs of before would keep every caller waiting.
	ended    []recalled
	outlived bool
	// answered, failed and unsupported count the peers, and learned the holds that they told.
	answered, failed, unsupported, learned int
}

// recalled is the answer of a peer.
type recalled struct {
	peer    string
	reports []holds.Report
	// ended is a process of the peer's name that has ended by endedAt, if one has lately.
	ended   holds.Holder
	endedAt time.Time
	// startedAt is the start of the peer's process; zero without an answer.
	startedAt time.Time
	err       error
}

// recall lets an ask wait for the recall of the holds of its home, which it starts unless one is under way.
// The caller holds the lock.
func (c *Coordinator) recall(now, since time.Time, home string, ask *holdAsk) {
	c.cfg.Meter.Add(meter.Name("holds", "recalled"), 1)
	r := c.holdings.recalls[home]
	if r != nil && !c.holdings.memory.LostSince(r.began) {
		r.waiting = append(r.waiting, ask)
		return
	}
	r = &recall{home: home, began: now, since: since, waiting: []*holdAsk{ask}}
	c.holdings.recalls[home] = r
	c.holdings.memory.Recalled(now, home)
	if home != c.cfg.Self.Name {
		c.holdings.homes.StoodIn(now, home)
	}
	value, err := work.EncodeControl(c.cfg.Self)
	if err != nil {
		c.log.Error().Err(err).Msg("recall")
	}
	m := &relay.HeldRequest{Key: work.CoordinatorKey(c.cfg.Self.Name), Value: value, Home: home}
	results := make(chan recalled, len(c.coordinators))
	calls, awaited := 0, make(map[string]bool)
	for name, a := range c.coordinators {
		if name == c.cfg.Self.Name {
			continue
		}
		calls++
		outSince, out := c.holdings.homes.Out(name)
		awaited[name] = !out || now.Sub(outSince) < holderGoneAfter
		peer := c.peers.At(a.Addr)
		go func() {
			results <- c.callHeld(peer, a, m)
		}()
	}
	c.cfg.Meter.Add("recalls", 1)
	go c.awaitRecall(r, results, calls, awaited)
}

// awaitRecall releases the asks that wait for a recall once the peers have answered, and takes over what
// they tell later too.
func (c *Coordinator) awaitRecall(r *recall, results <-chan recalled, calls int, awaited map[string]bool) {
	wait, cancel := withTimeout(c.baseCtx, recallWait)
	defer cancel()
	open := 0
	for _, is := range awaited {
		if is {
			open++
		}
	}
	var in []recalled
	for waiting := true; waiting && open > 0; {
		select {
		case result := <-results:
			calls--
			if awaited[result.peer] {
				open--
			}
			in = append(in, result)
		case <-wait.Done():
			waiting = false
		}
	}
	c.releaseRecall(r, in, calls)
	for ; calls > 0; calls-- {
		late := <-results
		c.lock()
		c.learn(r, []recalled{late}, nil)
		c.mu.Unlock()
	}
	c.cfg.Meter.Add(meter.Name("recall_answers", "answered"), int64(r.answered))
	c.cfg.Meter.Add(meter.Name("recall_answers", "unanswered"), int64(r.failed))
	c.cfg.Meter.Add(meter.Name("recall_answers", "unsupported"), int64(r.unsupported))
}

// releaseRecall takes over what the peers have told and answers the asks that wait for it.
func (c *Coordinator) releaseRecall(r *recall, in []recalled, missing int) {
	c.lock()
	defer c.mu.Unlock()
	now := c.now
	c.learn(r, in, c.heldHere(now, r.home))
	if c.holdings.recalls[r.home] == r {
		delete(c.holdings.recalls, r.home)
	}
	c.log.Info().Str("home", r.home).Int("answered", r.answered).Int("failed", r.failed).Int("missing", missing).
		Int("unsupported", r.unsupported).Int("holds", r.learned).Int("asks", len(r.waiting)).
		Int64("took_ms", now.Sub(r.began).Milliseconds()).Msg("holds recalled")
	for _, ask := range r.waiting {
		if r.homeAnswered && r.home != c.cfg.Self.Name {
			ask.passedOn = true
			c.submitAsk(now, ask, r.home)
			continue
		}
		c.grant(now, ask, r.home)
	}
	r.waiting = nil
}

// learn takes over what peers have told, and further reports. The caller holds the lock.
func (c *Coordinator) learn(r *recall, in []recalled, reports []holds.Report) {
	for _, result := range in {
		reports = append(reports, result.reports...)
		switch {
		case result.err == nil:
			r.answered++
			c.holdings.homes.Heard(c.now, result.peer)
			r.homeAnswered = r.homeAnswered || result.peer == r.home
		case connect.CodeOf(result.err) == connect.CodeUnimplemented:
			r.unsupported++ // a peer of an earlier build
		default:
			r.failed++
		}
		if !result.endedAt.IsZero() {
			r.ended = append(r.ended, result)
		}
		r.outlived = r.outlived || !result.startedAt.IsZero() && result.startedAt.Before(c.holdings.startedAt.Add(-startSpread))
	}
	if r.outlived || c.now.Sub(c.holdings.startedAt) >= holderGoneAfter {
		for _, result := range r.ended {
			c.learnEnd(r, result)
		}
		r.ended = nil
	}
	learned, contrary := c.holdings.table.Learn(c.now, r.since, reports)
	r.learned += learned
	c.cfg.Meter.Add(meter.Name("recalled_holds", "learned"), int64(learned))
	c.cfg.Meter.Add(meter.Name("recalled_holds", "contrary"), int64(contrary))
	if contrary > 0 {
		c.log.Warn().Str("home", r.home).Int("holds", contrary).Msg("peers know other holders than this home")
	}
}

// learnEnd takes over that a process of a peer has ended, with holds that only the earlier process of the home
// may have known of. The home itself has copied those of its own jobs, which are lost if another process has
// ended too. The caller holds the lock.
func (c *Coordinator) learnEnd(r *recall, result recalled) {
	since, out := c.holdings.homes.Out(result.peer)
	switch {
	case out && since.Before(result.endedAt):
		result.endedAt = since
	case !out && result.err != nil:
		c.holdings.homes.Failed(c.now, result.peer)
	}
	if result.peer == r.home && !r.othersEnded && c.now.Sub(c.holdings.startedAt) >= holderGoneAfter {
		r.homeEnded = &result
		return
	}
	c.holdings.memory.Ended(r.home, result.ended, result.endedAt)
	r.othersEnded = true
	if home := r.homeEnded; home != nil {
		c.holdings.memory.Ended(r.home, home.ended, home.endedAt)
	}
}

// callHeld asks a peer what it knows of the holds of a home. A call that fails over a connection that was
// open before is made again over a new one.
func (c *Coordinator) callHeld(peer *link.Peer, a work.Address, m *relay.HeldRequest) recalled {
	call, cancel := withTimeout(c.baseCtx, recallTimeout)
	defer cancel()
	first, cancelFirst := context.WithCancel(call)
	defer cancelFirst()
	traced, reused := link.WithReuseTrace(first)
	repeat := time.AfterFunc(repeatAfter, func() {
		if reused() {
			cancelFirst()
		}
	})
	defer repeat.Stop()
	reply, err := peer.Coordinator.Held(traced, connect.NewRequest(m))
	if err != nil && reused() && connect.CodeOf(err) != connect.CodeUnimplemented {
		peer.CloseIdleConnections()
		reply, err = peer.Coordinator.Held(call, connect.NewRequest(m))
	}
	now := c.clock.Now()
	holder := holds.Holder{Coordinator: a.Name, Incarnation: a.Incarnation, Addr: a.Addr}
	result := recalled{peer: a.Name, err: err}
	if err != nil {
		c.log.Warn().Err(err).Str("coordinator", a.Name).Str("home", m.GetHome()).Msg("recall not answered")
		if link.ConnectionRefused(err) {
			result.ended, result.endedAt = holder, now
		}
		return result
	}
	age := time.Duration(reply.Msg.GetAgeMs()) * time.Millisecond
	result.startedAt = now.Add(-age)
	if reply.Msg.GetRestarted() && age < agentTimeout {
		// The incarnation of the process before it is not known.
		result.ended, result.endedAt = holds.Holder{Coordinator: a.Name, Addr: a.Addr}, result.startedAt
	}
	result.reports, result.err = link.HeldFromWire(now, holder, reply.Msg)
	return result
}

// Held implements relay.CoordinatorServiceHandler.
func (s server) Held(_ context.Context, r *connect.Request[relay.HeldRequest]) (*connect.Response[relay.HeldReply], error) {
	c, home := s.c, r.Msg.GetHome()
	record, err := work.DecodeControl(r.Msg.GetKey(), r.Msg.GetValue())
	if err != nil || record.Coordinator == nil || record.Coordinator.Name == c.cfg.Self.Name {
		return nil, connect.NewError(connect.CodeInvalidArgument, errNoCoordinator)
	}
	c.lock()
	defer c.mu.Unlock()
	c.handleCaller(*record.Coordinator)
	switch home {
	case record.Coordinator.Name:
	case c.cfg.Self.Name:
		c.holdings.memory.PassedOver(c.now, c.now)
		c.log.Info().Str("coordinator", record.Coordinator.Name).Msg("another coordinator stands in for this home")
	default:
		c.holdings.homes.StoodIn(c.now, home)
	}
	reply := link.HeldToWire(c.now, c.self(), c.heldHere(c.now, home))
	reply.AgeMs, reply.Restarted = c.now.Sub(c.holdings.startedAt).Milliseconds(), !c.holdings.firstProcess
	return connect.NewResponse(reply), nil
}

// handleCaller takes over the address of a coordinator that has called: it may be newer than the store's
// record as this process knows it. The caller holds the lock.
func (c *Coordinator) handleCaller(a work.Address) {
	switch known, is := c.coordinators[a.Name]; {
	case !is || known.Incarnation < a.Incarnation:
		c.handleCoordinatorAddress(a)
	case known.Incarnation == a.Incarnation:
		c.holdings.homes.Heard(c.now, a.Name)
	}
}

// heldHere returns what this process knows of the holds of a home: of jobs that it has or asks for, and of
// ids that it has granted. The caller holds the lock.
func (c *Coordinator) heldHere(now time.Time, home string) []holds.Report {
	var reports []holds.Report
	own := make(map[string]bool)
	add := func(id string, e holds.Evidence) {
		if !own[id] && holds.First(id, c.holdings.members) == home {
			own[id] = true
			reports = append(reports, holds.Report{ID: id, Evidence: e, Hold: holds.Hold{Holder: c.self(), At: now, Seen: now}})
		}
	}
	for _, id := range c.table.BestEffortIDs() {
		add(id, holds.Present)
	}
	for id := range c.holdings.pending {
		add(id, holds.Pending)
	}
	for _, r := range c.holdings.table.Grants(now.Add(-holderGoneAfter), func(id string) bool { return holds.First(id, c.holdings.members) == home }) {
		if !r.Hold.Holder.Same(c.self()) {
			reports = append(reports, r)
		}
	}
	return reports
}
