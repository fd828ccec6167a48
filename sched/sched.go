// Package sched measures the processor time of this process, and how long its goroutines wait for it.
package sched

import (
	"runtime/metrics"
	"time"

	"golang.org/x/sys/unix"

	"carobpulley"
)

const latenciesName = "/sched/latencies:seconds"

// Processor implements carobpulley.Processor for the runtime of this process.
type Processor struct {
	samples []metrics.Sample
	// counts are the counts of the last reading's histogram, and used is the processor time at that reading.
	counts []uint64
	used   time.Duration
}

// New returns a Processor whose first Load covers the time since this call.
func New() *Processor {
	p := &Processor{samples: []metrics.Sample{{Name: latenciesName}}}
	p.Load()
	return p
}

// Load implements carobpulley.Processor.
func (p *Processor) Load() carobpulley.ProcessorLoad {
	load := carobpulley.ProcessorLoad{Wait: p.meanWait()}
	var usage unix.Rusage
	if err := unix.Getrusage(unix.RUSAGE_SELF, &usage); err == nil {
		used := time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
		load.Used, p.used = used-p.used, used
	}
	return load
}

// meanWait returns the mean of the waits since the last reading.
func (p *Processor) meanWait() time.Duration {
	metrics.Read(p.samples)
	if p.samples[0].Value.Kind() != metrics.KindFloat64Histogram {
		return 0
	}
	h := p.samples[0].Value.Float64Histogram()
	if p.counts == nil {
		p.counts = make([]uint64, len(h.Counts))
	}
	var n, sum float64
	for i, count := range h.Counts {
		added := float64(count - p.counts[i])
		n += added
		sum += added * max(h.Buckets[i], 0) // the first bound is infinite
	}
	copy(p.counts, h.Counts)
	if n == 0 {
		return 0
	}
	return time.Duration(sum / n * float64(time.Second))
}
