package jobs

import (
	"fmt"
	"time"

	"carobpulley/work"
)

const (
	// minHandBackPause is how long an agent that hands back a start, for another cause than a lack of
	// capacity, gets no further ones. Each time that this happens again doubles the pause, up to
	// maxHandBackPause: the interval of the reports of an idle agent, so that a coordinator learns of a
	// recovery about as early as from a report.
	minHandBackPause = 25 * time.Millisecond
	maxHandBackPause = 400 * time.Millisecond
	// handBacksBeforeProbe is the number of such times in a row from which an agent gets one start at a
	// time; single ones also happen at sound endpoints.
	handBacksBeforeProbe = 3
	// handBackAnswerTime is the time after which a start that was not handed back counts as taken: the
	// longest wait at the agent, a message's transit and a start's call.
	handBackAnswerTime = maxAgentWait + 50*time.Millisecond

	// pacedFrom is the number of a task's starts by one owner from which the starts are paced. Tasks reach
	// it only if something is wrong: jobs seldom need more than ten.
	pacedFrom = 100
	// minRunPause is the least time between two starts from then on. It doubles with each pacedFrom
	// further starts up to maxRunPause, so that the numbers last for over an hour.
	minRunPause = 100 * time.Millisecond
	maxRunPause = minRunPause << ((runsPerEpoch - 1 - pacedFrom) / pacedFrom)
)

// handBacks are the starts that an agent has handed back in a row for another cause than a lack of capacity.
//
// Answers the pattern of an endpoint that refuses each start at once: it would get starts as fast as messages
// travel. Starts that are handed back for lack of capacity are no sign of a fault and are not counted.
type handBacks struct {
	count int
	// last is the time of the last one that counted, until that up to which the agent gets no starts.
	last  time.Time
	until time.Time
	// probeEnd is the time from which the start that was sent as a probe counts as taken.
	probeEnd time.Time
}

// blocks reports whether the agent gets no start now.
func (h *handBacks) blocks(now time.Time) bool {
	return now.Before(h.until) || h.probing() && now.Before(h.probeEnd)
}

// probing reports whether the agent gets one start at a time.
func (h *handBacks) probing() bool { return h.count >= handBacksBeforeProbe }

// recordStart records a start that is sent to the agent.
func (h *handBacks) recordStart(now time.Time) {
	switch {
	case !h.probing():
	case h.probeEnd.IsZero():
		h.probeEnd = now.Add(handBackAnswerTime)
	default:
		*h = handBacks{} // the probe was not handed back
	}
}

// recordBegun records that a run that was placed at a time has begun.
func (h *handBacks) recordBegun(placedAt time.Time) {
	if placedAt.After(h.last) {
		*h = handBacks{}
	}
}

// record counts a hand-back. It reports whether a new pause begins: starts that were sent together count once.
func (h *handBacks) record(now time.Time) bool {
	h.probeEnd = time.Time{}
	if now.Before(h.until) {
		return false
	}
	pause := min(minHandBackPause<<min(h.count, 10), maxHandBackPause)
	h.count++
	h.last = now
	h.until = now.Add(pause)
	return true
}

// recordHandBack counts a start that an agent has refused or handed back for a cause that may concern the next
// start too.
func (t *Table) recordHandBack(now time.Time, a *agentState) {
	if a.handBacks.record(now) && a.handBacks.probing() {
		t.logDecision(Decision{
			Agent: a.name, Event: "backed off",
			Reason: fmt.Sprintf("starts were handed back %d times in a row, no start for %d ms", a.handBacks.count, a.handBacks.until.Sub(now).Milliseconds()),
		})
	}
}

// observeEnd takes the outcome of a task's run into the hand-backs of its agent. A start that was stopped
// here tells nothing.
func (t *Table) observeEnd(now time.Time, a *agentState, tk *task, e *work.End) {
	switch {
	case e.Outcome == work.OutcomeNoCapacity || tk.stopping:
	case e.Outcome == work.OutcomeNotStarted:
		t.recordHandBack(now, a)
	default:
		a.handBacks.recordBegun(tk.placedAt)
	}
}

// runBase returns the number that all runs of this owner exceed. An owner of an earlier build may have used more
// numbers than it had.
func (tk *task) runBase() int64 { return max(tk.job.runBase, tk.inheritedRun) }

// usedRuns returns how many run numbers this owner has used for a task.
func (tk *task) usedRuns() int64 { return max(tk.run-tk.runBase(), 0) }

// nextRun returns the number of the next run. The last number that the owner has is used again; see mayNumber.
func (tk *task) nextRun() int64 { return tk.runBase() + min(tk.usedRuns()+1, runsPerEpoch) }

// mayNumber reports whether a task has a number for its next run and may use it now. The last number is used
// again only if no run has begun under it, and after a pause in which agents forget that they refused it.
//
// Answers the pattern of a task that is started again and again for hours: numbers beyond those of an owner
// are the next one's, whose starts would be refused as old.
func (tk *task) mayNumber(now time.Time) bool {
	used := tk.usedRuns()
	if used < pacedFrom {
		return true
	}
	if used >= runsPerEpoch && !tk.neverBegun {
		return false
	}
	pause := min(minRunPause<<min((used-pacedFrom)/pacedFrom, 10), maxRunPause)
	return !now.Before(tk.placedAt.Add(pause))
}

// logPaced logs the use of each hundredth run number of a task.
func (t *Table) logPaced(tk *task) {
	if used := tk.usedRuns(); used > 0 && used%pacedFrom == 0 {
		t.logDecision(Decision{
			Job: tk.job.id, Task: tk.name(), Run: tk.run, Agent: tk.agent.name, Event: "paced",
			Reason: fmt.Sprintf("%d of %d run numbers are used", used, runsPerEpoch),
		})
	}
}
