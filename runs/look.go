package runs

import (
	"time"

	"carobpulley"
	"carobpulley/work"
)

// HandleStartReply takes the runner's answer to a start that was sent with a lease.
func (g *Gate) HandleStartReply(now time.Time, key work.Run, l carobpulley.Lease, a carobpulley.StartAnswer, err error) {
	r := g.runs[key]
	if r == nil || r.phase != phaseStarting {
		return
	}
	if err != nil {
		g.startUnanswered(now, key, r, l, err)
		return
	}
	switch a.Refusal {
	case "":
		r.phase = phaseRunning
		r.since = now
		r.begun = now
		if r.stopping {
			g.commands = append(g.commands, Command{Stop: key})
		}
	case carobpulley.RefusalStaleToken, carobpulley.RefusalLeaseExpired:
		g.startAgain(now, key, r, l, a.Refusal)
	case carobpulley.RefusalNoCapacity:
		g.settle(now, key, r, work.OutcomeNoCapacity)
	default:
		g.settle(now, key, r, work.OutcomeNotStarted)
	}
	g.fill(now)
}

// startUnanswered raises the token, so that a start which is still on its way is
// refused by the runner, unless it was never sent.
func (g *Gate) startUnanswered(now time.Time, key work.Run, r *run, l carobpulley.Lease, err error) {
	if kind := carobpulley.KindOf(err); kind == carobpulley.KindUnavailable || kind == carobpulley.KindGone {
		g.settle(now, key, r, work.OutcomeNotStarted)
		return
	}
	r.phase = phaseUncertain
	r.since = now
	r.token = l.Token
	if g.token == l.Token {
		g.token++
	}
}

// giveAgain repeats a start that was not carried out and cannot be any more.
func (g *Gate) giveAgain(now time.Time, key work.Run, r *run) {
	r.tries++
	if r.tries >= startTries || r.stopping || !g.Usable() {
		g.settle(now, key, r, work.OutcomeNotStarted)
		return
	}
	r.phase = phaseStarting
	r.since = now
	g.commands = append(g.commands, Command{Start: &r.start})
}

func (g *Gate) startAgain(now time.Time, key work.Run, r *run, l carobpulley.Lease, why string) {
	if why == carobpulley.RefusalStaleToken {
		g.RaiseToken(l.Token)
	}
	g.giveAgain(now, key, r)
}

// RaiseToken takes a refusal for a token that is too low. Each refusal of the newest
// token doubles the step, since the highest one is not told.
func (g *Gate) RaiseToken(token int64) {
	if token < g.token {
		return
	}
	step := max(1, token-g.cfg.Token)
	g.token = token + 2*step
}

// Poll is what is known of a look when it is sent.
type Poll struct {
	At    time.Time
	Lease carobpulley.Lease
	Seen  int64
}

// BeginPoll returns what to send with the next look at the runner.
func (g *Gate) BeginPoll(now time.Time) Poll {
	return Poll{At: now, Lease: g.Lease(now), Seen: g.seen}
}

// HandlePoll takes the runner's lists. It reports whether something ended or became
// usable.
func (g *Gate) HandlePoll(now time.Time, sent Poll, lists carobpulley.RunLists) bool {
	if sent.Lease.Instance != g.beat.Instance || lists.Generation != 0 && lists.Generation < g.life {
		return false
	}
	if g.life != 0 && lists.Generation > g.life {
		g.restarted(now)
		g.life = lists.Generation
		return true
	}
	g.life = max(g.life, lists.Generation)
	g.read = true
	changed := g.silent || g.clockMS == 0
	g.silent = false
	g.failures = 0
	g.clockMS = lists.Clock
	g.clockAt = now
	for i := range lists.Finished {
		if lists.Finished[i].Sequence > g.listed {
			g.finish(now, lists.Finished[i])
			changed = true
		}
	}
	if changed {
		g.forget()
	}
	changed = g.compare(now, sent, lists) || changed
	return g.fill(now) || changed
}

// compare settles the runs that the runner lists no more, and takes those that
// nobody here ordered.
func (g *Gate) compare(now time.Time, sent Poll, lists carobpulley.RunLists) bool {
	changed := false
	whole := len(lists.Finished) < fullPage
	listed := make(map[work.Run]bool, len(lists.Running))
	for i := range lists.Running {
		listed[lists.Running[i].Run] = true
		g.running(now, sent, lists.Running[i].Run)
	}
	for key, r := range g.runs {
		if whole && !listed[key] && g.vanished(now, sent, key, r) {
			changed = true
		}
	}
	return changed
}

// running takes a run that the runner lists.
func (g *Gate) running(now time.Time, sent Poll, key work.Run) {
	r := g.runs[key]
	if r == nil {
		if p, over := g.over[key]; over && !p.at.Before(sent.At) {
			// The look was answered before an end that another look has shown.
			return
		}
		// An earlier process of this agent started it, or an order reached a later
		// life of the runner. It is stopped before anything else starts.
		g.runs[key] = &run{start: work.Start{Run: key}, phase: phaseRunning, since: sent.At, begun: now, stopping: true}
		g.commands = append(g.commands, Command{Stop: key})
		return
	}
	if r.phase == phaseUncertain {
		r.phase = phaseRunning
		r.since = sent.At
		r.begun = now
	}
}

// vanished settles a run that the runner does not list, if the look was sent
// after all that could still start it.
func (g *Gate) vanished(now time.Time, sent Poll, key work.Run, r *run) bool {
	switch {
	case r.phase == phaseRunning && r.since.Before(sent.At):
		g.settle(now, key, r, work.OutcomeLost)
	case r.phase == phaseUncertain && r.token < sent.Lease.Token && r.since.Before(sent.At):
		// The runner refuses the lower token from now on: the order can be given
		// again.
		g.giveAgain(now, key, r)
		return false
	default:
		return false
	}
	return true
}

// finish takes an end that the runner lists for the first time.
func (g *Gate) finish(now time.Time, e work.End) {
	g.listed = max(g.listed, e.Sequence)
	r := g.runs[e.Run]
	e.ElapsedMS = elapsed(now, r)
	delete(g.runs, e.Run)
	g.bury(now, e.Run, r)
	g.ends = append(g.ends, newEnd(e, r))
}

// HandlePollError takes a look without an answer, or a refusal.
func (g *Gate) HandlePollError(now time.Time, sent Poll, refusal string, err error) bool {
	switch {
	case refusal == carobpulley.RefusalStaleToken:
		g.RaiseToken(sent.Lease.Token)
		return false
	case refusal == carobpulley.RefusalWrongInstance:
		return g.crashed(now)
	case err != nil && carobpulley.KindOf(err) == carobpulley.KindGone:
		return g.crashed(now)
	}
	g.failures++
	if g.failures < silentAfter {
		return false
	}
	changed := !g.silent
	g.silent = true
	return changed
}

// crashed takes a runner that is not there any more.
func (g *Gate) crashed(now time.Time) bool {
	changed := !g.silent || len(g.runs) > 0
	g.restarted(now)
	g.silent = true
	return changed
}
