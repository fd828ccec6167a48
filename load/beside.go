package load

import (
	"fmt"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"

	"carobpulley/jobs"
	"carobpulley/work"
)

// tailFactor is the factor on the run time of the runs that Interference.Tail counts.
const tailFactor = 7

// Slowdown is a factor on the run times of one class while a task of another class runs at the same endpoint.
type Slowdown struct {
	Class, Beside int
	Factor        float64
	// Until is the time since the start at which it ends; 0 if it does not.
	Until time.Duration
}

// Interference is a pattern's tasks that slow each other down, and whether coordinators learn of it.
type Interference struct {
	Slowdowns []Slowdown
	// Tail is the part of the runs that take seven times as long.
	Tail float64
	// Sharing is jobs.Config.Sharing of the coordinators.
	Sharing bool
	// Earlier is the number of agents, from the first one on, of an earlier build, which does not tell what ran
	// beside a run.
	Earlier int
	// Restart is the time since the start at which all coordinators restart; 0 if they don't. Their jobs are
	// lost.
	Restart time.Duration
}

// progress is a run at an endpoint whose speed depends on what runs beside it.
type progress struct {
	run   work.Run
	class int
	// left is the run time that is left at the full speed of the endpoint, as of since.
	left  time.Duration
	since time.Time
	// rate is the part of the full speed.
	rate float64
	// planned counts the changes of the rate: only the latest end that was planned is due.
	planned int
}

func image(class int) string { return fmt.Sprintf("class-%d", class) }

// tail returns the time of a run, which takes longer with the probability of the pattern's tail. Another run of
// the same task may not.
func (s *simulation) tail(run work.Run, took time.Duration) time.Duration {
	const units = 1000
	hash := xxhash.Sum64String(fmt.Sprintf("%s/%d/%d", run.Task, run.Number, s.pattern.Seed))
	if float64(hash%units) < units*s.pattern.Interference.Tail {
		return tailFactor * took
	}
	return took
}

// runBeside lets a run begin at an endpoint at which runs slow each other down.
func (a *agent) runBeside(now time.Time, run work.Run, took time.Duration) {
	a.advance(now)
	took = a.s.tail(run, took)
	a.progress = append(a.progress, &progress{run: run, class: a.s.classes[work.JobOfTask(run.Task)], left: took, since: now})
	a.plan(now)
}

// endBeside removes a run that is over.
func (a *agent) endBeside(now time.Time, run work.Run) {
	for i, p := range a.progress {
		if p.run == run {
			a.advance(now)
			a.progress = append(a.progress[:i], a.progress[i+1:]...)
			a.plan(now)
			return
		}
	}
}

func (a *agent) advance(now time.Time) {
	for _, p := range a.progress {
		p.left -= time.Duration(float64(now.Sub(p.since)) * p.rate)
		p.since = now
	}
}

// plan plans the ends of the runs whose speed has changed.
func (a *agent) plan(now time.Time) {
	for _, p := range a.progress {
		rate := a.rate(now, p)
		if rate == p.rate {
			continue
		}
		p.rate = rate
		p.planned++
		planned := p.planned
		a.s.at(now.Add(time.Duration(float64(max(p.left, 0))/rate)), func(now time.Time) {
			if p.planned == planned {
				a.end(now, p.run, work.OutcomeDone)
			}
		})
	}
}

func (a *agent) rate(now time.Time, p *progress) float64 {
	rate := 1.0
	for _, s := range a.s.pattern.Interference.Slowdowns {
		if s.Class != p.class || s.Until > 0 && now.Sub(a.s.begin) >= s.Until {
			continue
		}
		for _, other := range a.progress {
			if other != p && other.class == s.Beside {
				rate /= s.Factor
				break
			}
		}
	}
	return rate
}

// hideKinds removes what an agent of the earlier build does not report.
func (a *agent) hideKinds(r *jobs.Report) {
	if a.n >= a.s.pattern.Interference.Earlier {
		return
	}
	r.State.Kinds = nil
	ends := make([]work.End, len(r.Ends))
	copy(ends, r.Ends)
	for i := range ends {
		ends[i].Beside, ends[i].BesideKnown = nil, false
	}
	r.Ends = ends
}

// restart begins a new process of the coordinator, which knows nothing of its earlier one.
func (co *coordinator) restart(now time.Time) {
	co.s.countPairs(co.table.Decisions())
	co.incarnation++
	clear(co.arrivals)
	co.open(now)
}

// Pairs counts what coordinators have learned.
type Pairs struct {
	// Found and Dropped count the pairs, InForce those at the end, over all coordinators.
	Found, Dropped, InForce int
	// Moved counts the placements that the pairs changed.
	Moved int64
}

func (s *simulation) countPairs(decisions []jobs.Decision) {
	for i := range decisions {
		switch {
		case !strings.HasPrefix(decisions[i].Event, "pair "):
		case decisions[i].Event == "pair found":
			s.result.Pairs.Found++
		default:
			s.result.Pairs.Dropped++
		}
	}
}

func (s *simulation) sumPairs() {
	for _, co := range s.coordinators {
		figures, _ := co.table.Interference()
		s.result.Pairs.InForce += figures.Pairs
		s.result.Pairs.Moved += figures.Moved
	}
}
