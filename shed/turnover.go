package shed

import "time"

// turnoverEnds is the number of ended runs over which the turnover time is measured.
const turnoverEnds = 500

// Turnover measures the time in which the whole capacity of a busy endpoint becomes free once: the mean time
// of the latest runs, weighted by the capacity that they used.
type Turnover struct {
	// cpu and cpuTime sum the CPU capacity of the latest ended runs, and its product with their times.
	cpu, cpuTime float64
}

// Record takes an ended run into the turnover time.
func (t *Turnover) Record(cpu int64, took time.Duration) {
	const keep = 1 - 1.0/turnoverEnds
	t.cpu = t.cpu*keep + float64(cpu)
	t.cpuTime = t.cpuTime*keep + float64(cpu)*float64(took)
}

// Time returns the turnover time; before the first end it is the given estimate.
func (t *Turnover) Time(estimate time.Duration) time.Duration {
	if t.cpu <= 0 {
		return estimate
	}
	return time.Duration(t.cpuTime / t.cpu)
}
