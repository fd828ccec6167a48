package jobs

import (
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
	// expireInterval is the interval at which pairs that were not confirmed are looked for.
	expireInterval = time.Second
)

// interference is what a table knows of kinds of tasks that slow each other down.
type interference struct {
	// model is nil unless Config.Sharing is set.
	model    *coloc.Model
	expireAt time.Time
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
		Kind: kind, Endpoint: a.endpoint.Instance, Ratio: float64(e.ElapsedMS) / estimate,
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
	best     *agentState
	least    float64
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
	return apart{partners: p}
}

// explores reports whether a task is placed without regard to the pairs in force.
func (t *Table) explores(now time.Time, tk *task, p *coloc.Partners) bool {
	if !tk.isSample() || xxhash.Sum64String("explore/"+tk.job.id)%exploreEvery != 0 {
		return false
	}
	slowed := time.Duration(float64(estimateOf(tk)) * p.Slowdown())
	return now.Add(slowed + messageTime).Before(tk.job.due)
}

// consider adds an agent with its cost. Those without free capacity, at which the task would wait, and the one
// that it should avoid are left out.
func (c *apart) consider(tk *task, a *agentState, cost float64) {
	if c.partners == nil || a == tk.avoid || !tk.resources().Fits(a.free) {
		return
	}
	cost += float64(estimateOf(tk)) * c.partners.Cost(tk.cpu(), a.kinds, a.endpoint.Kinds)
	if c.best == nil || cost < c.least {
		c.best, c.least = a, cost
	}
}

// choose returns the agent for a task, given the one that is best without regard to pairs.
//
// Load pattern: endpoints are full but for some that run a kind that the task interferes with. It starts there
// and does not wait, so pairs only choose among agents with free capacity.
func (t *Table) choose(tk *task, c apart, best *agentState) *agentState {
	if best == nil || c.best == nil || c.best == best || best == tk.avoid || !tk.resources().Fits(best.free) {
		return best
	}
	t.interference.moved++
	return c.best
}
