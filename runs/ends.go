package runs

import (
	"time"

	"carobpulley/work"
)

type end struct {
	work.End
	// coordinator and incarnation are those of the run of a best-effort job. Without them the end
	// belongs to the owner of the run's shard.
	coordinator string
	incarnation uint64
	// reported is set once the coordinator has received the end under its current attachment, at
	// reportedAt, or the end has been dropped.
	reported   bool
	reportedAt time.Time
	// acked is set once the owner has stored the end.
	acked bool
	// leaseExpired is set once the endpoint's lease has expired after the end.
	leaseExpired bool
}

// coordinatorOfEnd returns the coordinator to which an end is reported; empty if there is none. A later
// process of a best-effort run's coordinator may have given the same number to a run of its own.
func (c *Controller) coordinatorOfEnd(e *end) string {
	if e.coordinator == "" {
		return c.shardOwner(e.Run.Task)
	}
	if co := c.coordinators[e.coordinator]; co == nil || co.incarnation != e.incarnation {
		return ""
	}
	return e.coordinator
}

// newEnd returns an end that belongs to its run's coordinator.
func newEnd(e work.End, r *run) *end {
	// Only an end by the run itself counts for a durable job: its owner has to store it before the
	// endpoint drops it. A task whose run was stopped runs again in any case.
	out := &end{End: e, acked: e.Outcome != work.OutcomeDone && e.Outcome != work.OutcomeFailed}
	if r != nil && !r.start.Durable {
		out.coordinator = r.coordinator
		out.incarnation = r.incarnation
		// Best-effort jobs aren't stored: the endpoint may drop the end, as this process retains it
		// until the coordinator has received it.
		out.acked = true
	}
	return out
}

type endedRun struct {
	at          time.Time
	coordinator string
	incarnation uint64
	// inferred is set if the endpoint has not shown that the run is over: its lease seemed to have expired.
	inferred bool
}

// recordEnded records that a run has ended. One that has been told before stays its coordinator's.
func (c *Controller) recordEnded(now time.Time, key work.Run, r *run) {
	ended := c.endedRuns[key]
	ended.at = now
	if r != nil {
		ended.coordinator = r.coordinator
		ended.incarnation = r.incarnation
	}
	c.endedRuns[key] = ended
}

// endRun ends a run without an end listed by the endpoint.
func (c *Controller) endRun(now time.Time, key work.Run, r *run, outcome work.Outcome) {
	delete(c.runs, key)
	c.company.leave(now, r)
	c.recordEnded(now, key, r)
	c.ends = append(c.ends, newEnd(work.End{Run: key, Outcome: outcome, ElapsedMS: elapsed(now, r), NeverBegun: r.neverBegun(outcome)}, r))
}

func elapsed(now time.Time, r *run) int64 {
	if r == nil || r.confirmedAt.IsZero() {
		return 0
	}
	return now.Sub(r.confirmedAt).Milliseconds()
}
