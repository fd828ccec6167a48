package runs

import (
	"time"

	"carobpulley/work"
)

// Report is what a coordinator is told.
type Report struct {
	Attachment uint64
	// SentAt is the stamp of this report.
	SentAt int64
	State  work.EndpointState
	Ends   []work.End
	// Running is filled in the answer to an Attach.
	Running []work.Run
}

// Busy reports whether a run or an end of the coordinator's is here.
func (g *Gate) Busy(coordinator string) bool {
	for _, r := range g.runs {
		if g.ownerOf(r) == coordinator {
			return true
		}
	}
	for _, e := range g.ends {
		if g.endOwner(e) == coordinator {
			return true
		}
	}
	return false
}

// Report returns what the coordinator has not been told yet.
func (g *Gate) Report(now time.Time, coordinator string) Report {
	r := Report{SentAt: g.stamp(now), State: g.State(coordinator)}
	if o := g.owners[coordinator]; o != nil {
		r.Attachment = o.attachment
	}
	for _, e := range g.ends {
		again := e.told && e.Sequence > 0 && !e.acked && now.Sub(e.toldAt) > tellAgain
		if (!e.told || again) && g.endOwner(e) == coordinator {
			r.Ends = append(r.Ends, e.End)
		}
	}
	return r
}

// FullReport returns all that runs or ended unstored for the coordinator's shards.
func (g *Gate) FullReport(now time.Time, coordinator string) Report {
	r := g.Report(now, coordinator)
	for key, run := range g.runs {
		if g.ownerOf(run) == coordinator && g.ownIncarnation(run) {
			r.Running = append(r.Running, key)
		}
	}
	return r
}

// ownIncarnation reports whether a run belongs to the present process of its
// coordinator.
func (g *Gate) ownIncarnation(r *run) bool {
	if r.start.Durable {
		return true
	}
	o := g.owners[r.owner]
	return o != nil && o.incarnation == r.incarnation
}

// Settled reports whether the runner's lists have been read and nothing runs that
// an earlier process of this agent started, so that an Attach can be answered.
func (g *Gate) Settled(now time.Time) bool {
	return !g.strangers() && g.settledClock() && (g.read || now.After(g.inherited()))
}

// inherited returns when the last lease that an earlier process of this agent can
// have given has lapsed.
func (g *Gate) inherited() time.Time {
	span := g.cfg.MaxLease
	return g.origin.Add(span + time.Duration(float64(span)*ClockSlack) + lapseMargin)
}

func (g *Gate) settledClock() bool {
	return g.clockMS != 0 || g.silent || !g.beaten || g.gone
}

// Reply is a coordinator's answer to a report.
type Reply struct {
	Epochs map[int]uint64
	Acked  []int64
	// AckedGeneration is the runner's life that the numbers in Acked belong to.
	AckedGeneration string
}

// HandleReportReply takes the answer to a report.
func (g *Gate) HandleReportReply(now time.Time, coordinator string, sent Report, reply Reply) {
	o := g.owners[coordinator]
	if o == nil || o.attachment != sent.Attachment {
		return
	}
	at := g.unstamp(sent.SentAt)
	g.prove(coordinator, at)
	for number, epoch := range reply.Epochs {
		s := g.shards[number]
		if s != nil && s.owner == coordinator && s.epoch == epoch && at.After(s.proof) {
			s.proof = at
		}
	}
	told := make(map[work.Run]bool, len(sent.Ends))
	for i := range sent.Ends {
		told[sent.Ends[i].Run] = true
	}
	for _, e := range g.ends {
		if told[e.Run] {
			e.told = true
			e.toldAt = now
		}
	}
	g.HandleAcks(reply.AckedGeneration, reply.Acked)
	g.forget()
}
