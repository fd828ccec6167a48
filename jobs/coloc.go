package jobs

import (
	"cmp"
	"fmt"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"carobpulley/coloc"
	"carobpulley/work"
)

const (
	// exploreEvery is the number of jobs of which one has a task placed without regard to the pairs in force,
	// so that a pair is confirmed or dropped by runs and not only by its age. A job that may be late for it
	// is left out.
	exploreEvery = 32
	// slowdownWeight is the weight of the time that runs are expected to take longer: it delays their jobs, and
	// holds the capacity that other tasks wait for. Of the jobs that are late for a pair in a pattern of package
	// load (3 seeds, 0.6 of the capacity), 1 saves 0.44, 2 saves 0.74 and 4 saves 0.53.
	slowdownWeight = 2
	// expireInterval is the interval at which pairs that were not confirmed are looked for, and the usual load
	// is measured.
	expireInterval = time.Second
	// usualWeight is the weight of the newest measurement in the usual load.
	usualWeight = 0.2
)

// interference is what a table knows of kinds of tasks that slow each other down.
type interference struct {
	// model is nil unless Config.Sharing is set.
	model    *coloc.Model
	expireAt time.Time
	// usual is the mean load of an endpoint by kind.
	usual []work.KindLoad
	// moved counts the placements that the pairs in force have changed.
	moved int64
}

// InterferenceFigures are counted for docs/metrics.md.
type InterferenceFigures struct {
	// Pairs is the number of pairs in force, Moved that of the placements that they have changed so far.
	Pairs int
	Moved int64
}

// Interference returns the figures, and whether the table looks for pairs at all.
func (t *Table) Interference() (InterferenceFigures, bool) {
	if t.interference.model == nil {
		return InterferenceFigures{}, false
	}
	return InterferenceFigures{Pairs: t.interference.model.InForce(), Moved: t.interference.moved}, true
}

// kindOf returns the kind of a task; empty if the table doesn't look for pairs.
func (t *Table) kindOf(tk *task) string {
	if t.interference.model == nil {
		return ""
	}
	j := tk.job
	if j.kinds == nil {
		j.kinds = make([]string, len(j.spec.Steps))
		for step := range j.kinds {
			j.kinds[step] = j.spec.TaskKind(step)
		}
	}
	return j.kinds[tk.step]
}

// addKind adds the CPU capacity of a task that is placed at an agent, or takes it away.
func (t *Table) addKind(tk *task, a *agentState, cpu int64) {
	kind := t.kindOf(tk)
	if kind == "" {
		return
	}
	i := slices.IndexFunc(a.kinds, func(l work.KindLoad) bool { return l.Kind == kind })
	if i < 0 {
		a.kinds = append(a.kinds, work.KindLoad{Kind: kind, CPU: cpu})
		return
	}
	if a.kinds[i].CPU += cpu; a.kinds[i].CPU <= 0 {
		a.kinds = slices.Delete(a.kinds, i, i+1)
	}
}

// isSample reports whether a task's run counts as evidence: one task of each step does, whatever its run time.
func (tk *task) isSample() bool {
	count := uint64(len(tk.job.tasks[tk.step]))
	return uint64(tk.index) == (xxhash.Sum64String(tk.job.id)+uint64(tk.step))%count
}

// learnFrom takes a run that ended with success as evidence. It returns the factor by which the kinds beside
// it are expected to have slowed it down, which says nothing about its endpoint.
func (t *Table) learnFrom(now time.Time, a *agentState, tk *task, e *work.End) float64 {
	model := t.interference.model
	estimate := float64(tk.estimate().Milliseconds())
	if model == nil || !e.BesideKnown || estimate <= 0 || e.ElapsedMS <= 0 {
		return 1
	}
	kind := t.kindOf(tk)
	slowdown := model.Slowdown(kind, e.Beside)
	model.Observe(now, coloc.Run{
		Kind: kind, Endpoint: a.endpoint.Instance,
		Took: time.Duration(e.ElapsedMS) * time.Millisecond, Ratio: float64(e.ElapsedMS) / estimate,
		Counts: tk.isSample(), Beside: e.Beside,
	})
	t.logPairs()
	return slowdown
}

// expirePairs drops pairs that were not confirmed lately.
func (t *Table) expirePairs(now time.Time) {
	i := &t.interference
	if i.model == nil || now.Before(i.expireAt) {
		return
	}
	i.expireAt = now.Add(expireInterval)
	i.model.Expire(now)
	t.logPairs()
	if i.model.InForce() > 0 {
		t.measureUsual()
	}
}

// measureUsual measures the mean load of the endpoints of a service by kind.
func (t *Table) measureUsual() {
	agents := make(map[string]float64)
	for _, a := range t.active {
		agents[a.endpoint.Service]++
	}
	sums := make(map[string]float64)
	for _, a := range t.active {
		for _, kinds := range [][]work.KindLoad{a.kinds, a.endpoint.Kinds} {
			for _, l := range kinds {
				sums[l.Kind] += float64(l.CPU) / agents[a.endpoint.Service]
			}
		}
	}
	usual := t.interference.usual
	for i := range usual {
		l := &usual[i]
		l.CPU += int64(usualWeight * (sums[l.Kind] - float64(l.CPU)))
		delete(sums, l.Kind)
	}
	usual = slices.DeleteFunc(usual, func(l work.KindLoad) bool { return l.CPU <= 0 })
	for kind, cpu := range sums {
		usual = append(usual, work.KindLoad{Kind: kind, CPU: int64(cpu)})
	}
	slices.SortFunc(usual, func(a, b work.KindLoad) int { return cmp.Compare(a.Kind, b.Kind) })
	t.interference.usual = usual
}

func (t *Table) logPairs() {
	for _, c := range t.interference.model.Changes() {
		event := "pair dropped"
		if c.Found {
			event = "pair found"
		}
		t.logDecision(Decision{Event: event, Reason: fmt.Sprintf("%s beside %s takes %.2f times as long (error %.2f, %d runs): %s",
			c.Kind, c.Beside, c.Slowdown, c.Error, c.Runs, c.Reason)})
	}
}

// apart is the choice of an agent for a task that forms pairs with other kinds.
type apart struct {
	partners *coloc.Partners
	usual    []work.KindLoad
	// free is the best agent with free capacity, and soonest the one at which the task is expected to end first.
	free, soonest         *agentState
	freeCost, soonestTime float64
}

// chooseApart returns the state of a choice. It has no partners if the pairs in force don't matter to the task.
func (t *Table) chooseApart(now time.Time, tk *task) apart {
	if t.interference.model == nil {
		return apart{}
	}
	p := t.interference.model.Partners(t.kindOf(tk))
	if p == nil || t.explores(now, tk, p) {
		return apart{}
	}
	return apart{partners: p, usual: t.interference.usual}
}

// explores reports whether a task is placed without regard to the pairs in force.
func (t *Table) explores(now time.Time, tk *task, p *coloc.Partners) bool {
	if !tk.isSample() || xxhash.Sum64String("explore/"+tk.job.id)%exploreEvery != 0 {
		return false
	}
	slowed := time.Duration(float64(estimateOf(tk)) * p.Slowdown())
	return now.Add(slowed + messageTime).Before(tk.job.due)
}

// consider adds an agent with its cost. The one that the task should avoid is left out.
func (c *apart) consider(tk *task, a *agentState, cost float64) {
	if c.partners == nil || a == tk.avoid {
		return
	}
	estimate := float64(estimateOf(tk))
	own, harm := c.partners.Cost(coloc.Task{CPU: tk.cpu(), Estimate: estimateOf(tk)}, c.usual, a.kinds, a.endpoint.Kinds)
	if end := cost + estimate*own; c.soonest == nil || end < c.soonestTime {
		c.soonest, c.soonestTime = a, end
	}
	cost += slowdownWeight * estimate * (own + harm)
	if tk.resources().Fits(a.free) && (c.free == nil || cost < c.freeCost) {
		c.free, c.freeCost = a, cost
	}
}

// choose returns the agent for a task, given the one that is best without regard to pairs.
//
// Load pattern: endpoints are full but for some that run a kind that the task interferes with. It starts there
// and does not wait: a task for which there is free capacity gets free capacity. Where it has to wait in any case,
// its own end counts alone.
func (t *Table) choose(tk *task, c apart, best *agentState) *agentState {
	if best == nil || best == tk.avoid || c.soonest == nil {
		return best
	}
	chosen := c.soonest
	if tk.resources().Fits(best.free) {
		chosen = c.free
	}
	if chosen != best {
		t.interference.moved++
	}
	return chosen
}
