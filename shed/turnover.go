package shed

import "time"

// turnoverEnds is the number of ended runs over which the turnover time is measured.
const turnoverEnds = 500

// Turnover measures the time in which the whole capacity of a busy endpoint becomes free once: the mean time
// of the latest runs, weighted by the capacity that they used.
type Turnover struct {
	byPriority map[int]*ended
}

// ended sums the CPU capacity of ended runs, and its product with their times.
type ended struct{ cpu, cpuTime float64 }

// Record takes an ended run into the turnover time.
func (t *Turnover) Record(priority int, cpu int64, took time.Duration) {
	const keep = 1 - 1.0/turnoverEnds
	for _, e := range t.byPriority {
		e.cpu *= keep
		e.cpuTime *= keep
	}
	if t.byPriority == nil {
		t.byPriority = make(map[int]*ended)
	}
	e := t.byPriority[priority]
	if e == nil {
		e = &ended{}
		t.byPriority[priority] = e
	}
	e.cpu += float64(cpu)
	e.cpuTime += float64(cpu) * float64(took)
}

// From returns the turnover time of the runs of a priority and of less urgent ones, whose ends free the
// capacity for a task of that priority. Before the first end it is the given estimate.
func (t *Turnover) From(priority int, estimate time.Duration) time.Duration {
	var sum ended
	for p, e := range t.byPriority {
		if p >= priority {
			sum.cpu += e.cpu
			sum.cpuTime += e.cpuTime
		}
	}
	if sum.cpu < 1 { // the last of these runs ended long ago
		return estimate
	}
	return time.Duration(sum.cpuTime / sum.cpu)
}
