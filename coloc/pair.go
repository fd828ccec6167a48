package coloc

import (
	"math"
	"time"
)

const (
	// firstLook and lastLook are the numbers of runs at which a batch is judged for the first and for the
	// last time. Between them it is judged at each power of two.
	firstLook, lastLook = 64, 512
	// batchAge is the age at which a batch starts again: older evidence says little about now.
	batchAge = 5 * time.Minute
	// keepFor is how long a pair stays in force without a batch that confirms it.
	keepFor = 10 * time.Minute
	// minInformation is the least sum of squared deviations of the shares of a batch. It takes 24 runs on
	// each side, or 12 on one side and many on the other, so that a few runs that take seven times as
	// long can't make a side slow.
	minInformation = 12
	// minScore is the least number of standard errors of the slowdown. Chance exceeds it with a probability
	// of 3e-5 at one look, and at one of a batch's four looks in two batches in a row with 1.6e-8.
	minScore = 4
	// batchesNeeded is the number of batches in a row that have to show a slowdown.
	batchesNeeded = 2
	// retained is the weight that older batches keep in the slowdown when one is added.
	retained = 0.8
)

// minSlowdown is the logarithm of the least slowdown that counts: 15% of the run time is a fourth of the
// slack of a queue with a stretch of 1.6, and less than what a wait for a better endpoint costs.
var minSlowdown = math.Log(1.15)

// pair is the evidence on the slowdown of one kind by another.
type pair struct {
	batch
	began time.Time
	seen  time.Time
	// passed counts the batches in a row that showed a slowdown.
	passed  int
	inForce bool
	// slowdown is the logarithm of the slowdown of a pair in force, up to the time keepUntil.
	slowdown, err float64
	keepUntil     time.Time
	runs          int
}

// batch holds the sums of a linear regression of log ratios on shares.
type batch struct {
	n                                 int
	shares, shareSquares              float64
	logs, logSquares, sharesTimesLogs float64
}

func (p *pair) add(now time.Time, share, log float64) {
	if !p.inForce && now.Sub(p.began) > batchAge {
		p.restart(now)
		p.reset()
	}
	p.n++
	p.shares += share
	p.shareSquares += share * share
	p.logs += log
	p.logSquares += log * log
	p.sharesTimesLogs += share * log
}

func (p *pair) restart(now time.Time) {
	p.batch = batch{}
	p.began = now
}

// information returns the sum of squared deviations of the shares.
func (b *batch) information() float64 {
	return b.shareSquares - b.shares*b.shares/float64(b.n)
}

// slope returns the estimated logarithm of the slowdown and its standard error.
func (b *batch) slope() (slope, err float64) {
	n, info := float64(b.n), b.information()
	cross := b.sharesTimesLogs - b.shares*b.logs/n
	slope = cross / info
	rest := b.logSquares - b.logs*b.logs/n - slope*cross
	return slope, math.Sqrt(max(rest, 0) / (n - 2) / info)
}

// judge finds and drops pairs of a kind. Of several kinds that seem to slow it down the one with the strongest
// evidence counts: kinds that often run together with that one seem to slow it down too, and are judged
// anew on runs without its slowdown.
func (m *Model) judge(now time.Time, name string, k *kind) {
	var found string
	var best float64
	for beside, p := range k.pairs {
		if p.inForce {
			m.judgeInForce(now, name, beside, p)
			continue
		}
		score, passed := p.look(now)
		if passed && p.passed >= batchesNeeded && (found == "" || score > best || score == best && beside < found) {
			found, best = beside, score
		}
	}
	if found == "" {
		return
	}
	m.put(now, name, found, k.pairs[found])
	for _, p := range k.pairs {
		if !p.inForce {
			p.restart(now)
			p.reset()
		}
	}
}

// look judges the batch of a pair that is not in force if it is time to, and reports whether it shows a
// slowdown, and by how many standard errors.
func (p *pair) look(now time.Time) (score float64, passed bool) {
	if p.n < firstLook || p.n&(p.n-1) != 0 {
		return 0, false
	}
	last := p.n >= lastLook
	if p.information() >= minInformation {
		slope, err := p.slope()
		if slope >= minSlowdown && slope >= minScore*err {
			p.passed++
			p.runs += p.n
			p.include(slope, err)
			p.restart(now)
			return slope / max(err, 1e-9), true
		}
	}
	if last {
		p.restart(now)
		p.reset()
	}
	return 0, false
}

// include adds the slowdown of a batch, weighted by its precision, to that of earlier ones.
func (p *pair) include(slope, err float64) {
	const least = 1e-3
	added := 1 / max(err*err, least*least)
	old := 0.0
	if p.err > 0 {
		old = retained / (p.err * p.err)
	}
	p.slowdown = (p.slowdown*old + slope*added) / (old + added)
	p.err = math.Sqrt(1 / (old + added))
}

// reset forgets the batches before the current one.
func (p *pair) reset() {
	p.passed, p.runs = 0, 0
	p.slowdown, p.err = 0, 0
}

// put puts a pair in force.
func (m *Model) put(now time.Time, name, beside string, p *pair) {
	p.inForce = true
	p.keepUntil = now.Add(keepFor)
	p.passed = 0
	m.inForce++
	clear(m.partners)
	m.changes = append(m.changes, Change{
		Kind: name, Beside: beside, Found: true, Slowdown: math.Exp(p.slowdown), Error: p.err, Runs: p.runs,
		Reason: "runs beside it take longer",
	})
}

func (m *Model) drop(name, beside string, p *pair, reason string) {
	m.changes = append(m.changes, Change{
		Kind: name, Beside: beside, Slowdown: math.Exp(p.slowdown), Error: p.err, Runs: p.n, Reason: reason,
	})
	p.inForce = false
	p.reset()
	m.inForce--
	clear(m.partners)
}

// judgeInForce confirms or drops a pair in force once there is as much information as it takes to find one.
func (m *Model) judgeInForce(now time.Time, name, beside string, p *pair) {
	if p.n < firstLook || p.information() < minInformation {
		return
	}
	slope, err := p.slope()
	switch {
	case slope < minSlowdown/2:
		p.slowdown, p.err = slope, err
		m.drop(name, beside, p, "runs beside it no longer take longer")
	case slope >= minSlowdown:
		p.include(slope, err)
		p.keepUntil = now.Add(keepFor)
		clear(m.partners)
	}
	p.restart(now)
}

// Expire drops the pairs that were not confirmed for keepFor, so that they run together again.
func (m *Model) Expire(now time.Time) {
	if m.inForce == 0 {
		return
	}
	for name, k := range m.kinds {
		for beside, p := range k.pairs {
			if p.inForce && now.After(p.keepUntil) {
				m.drop(name, beside, p, "not confirmed lately")
				p.restart(now)
			}
		}
	}
}
