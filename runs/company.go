package runs

import (
	"cmp"
	"slices"
	"time"

	"carobpulley/work"
)

const (
	// maxCompanyKinds bounds the kinds whose presence at the endpoint is followed. Runs of further ones
	// count as of unknown kind.
	maxCompanyKinds = 16
	// minBesideShare is the least part of a run's time for which a kind beside it is reported.
	minBesideShare = 0.02
	// maxUnknownShare is the greatest part of a run's time beside runs of unknown kind, as of a
	// coordinator of an earlier build, at which the kinds beside it count as known.
	maxUnknownShare = 0.1
)

// company follows which kinds of tasks run at the endpoint, and for which part of each run's time.
type company struct {
	at time.Time
	// kinds has an entry with an empty name for runs of unknown kind.
	kinds []*presence
}

// presence is the presence of one kind.
type presence struct {
	kind    string
	running int
	// any is the time with a run of the kind so far, and several that with more than one.
	any, several time.Duration
}

// joined is a run that was confirmed at the endpoint.
type joined struct {
	at time.Time
	// own is the presence of the run's kind.
	own   *presence
	marks []mark
}

// mark is the time with another run of a kind at the time at which the run joined.
type mark struct {
	of   *presence
	time time.Duration
}

func (p *presence) beside(own *presence) time.Duration {
	if p == own {
		return p.several
	}
	return p.any
}

func (c *company) advance(now time.Time) {
	passed := max(now.Sub(c.at), 0)
	c.at = now
	for _, p := range c.kinds {
		if p.running > 0 {
			p.any += passed
		}
		if p.running > 1 {
			p.several += passed
		}
	}
}

// presenceOf returns the entry of a kind, or that of unknown kinds if there is no room for it.
func (c *company) presenceOf(kind string) *presence {
	for _, p := range c.kinds {
		if p.kind == kind {
			return p
		}
	}
	if kind != "" && len(c.kinds) >= maxCompanyKinds {
		c.kinds = slices.DeleteFunc(c.kinds, func(p *presence) bool { return p.running == 0 })
		if len(c.kinds) >= maxCompanyKinds {
			return c.presenceOf("")
		}
	}
	p := &presence{kind: kind}
	c.kinds = append(c.kinds, p)
	return p
}

// join records that a run was confirmed at the endpoint.
func (c *company) join(now time.Time, r *run) {
	if r.joined != nil {
		return
	}
	c.advance(now)
	own := c.presenceOf(r.start.Kind)
	own.running++
	r.joined = &joined{at: now, own: own}
	if r.start.Kind == "" {
		return
	}
	r.joined.marks = make([]mark, 0, len(c.kinds))
	for _, p := range c.kinds {
		r.joined.marks = append(r.joined.marks, mark{p, p.beside(own)})
	}
}

// leave records that a run is over. It returns the kinds beside it, if they are known.
func (c *company) leave(now time.Time, r *run) (beside []work.Beside, known bool) {
	if r == nil || r.joined == nil {
		return nil, false
	}
	c.advance(now)
	j := r.joined
	r.joined = nil
	j.own.running--
	total := now.Sub(j.at)
	if r.start.Kind == "" || j.own.kind == "" || total <= 0 {
		return nil, false
	}
	for _, p := range c.kinds {
		share := min(float64(p.beside(j.own)-j.since(p))/float64(total), 1)
		if p.kind == "" && share > maxUnknownShare {
			return nil, false
		}
		if p.kind != "" && share >= minBesideShare {
			beside = append(beside, work.Beside{Kind: p.kind, Share: share})
		}
	}
	slices.SortFunc(beside, func(a, b work.Beside) int {
		return cmp.Or(cmp.Compare(b.Share, a.Share), cmp.Compare(a.Kind, b.Kind))
	})
	return beside[:min(len(beside), work.MaxBeside)], true
}

// since returns the mark of a kind. One that came later has none.
func (j *joined) since(p *presence) time.Duration {
	for _, m := range j.marks {
		if m.of == p {
			return m.time
		}
	}
	return 0
}

// kindsOfOthers returns the kinds of all runs, including queued ones, except those of one coordinator: those
// that use the most CPU capacity.
func (c *Controller) kindsOfOthers(coordinator string) []work.KindLoad {
	var loads []work.KindLoad
	for _, r := range c.runs {
		if r.start.Kind == "" || c.coordinatorOf(r) == coordinator {
			continue
		}
		i := slices.IndexFunc(loads, func(l work.KindLoad) bool { return l.Kind == r.start.Kind })
		if i < 0 {
			i = len(loads)
			loads = append(loads, work.KindLoad{Kind: r.start.Kind})
		}
		loads[i].CPU += r.start.Resources.CPU
	}
	slices.SortFunc(loads, func(a, b work.KindLoad) int {
		return cmp.Or(cmp.Compare(b.CPU, a.CPU), cmp.Compare(a.Kind, b.Kind))
	})
	return loads[:min(len(loads), work.MaxBeside)]
}
