package coord

import (
	"time"

	"carobpulley"
)

const (
	// loadInterval is the interval at which the processor load is read.
	loadInterval = 200 * time.Millisecond
	// shortLogInterval is the least time between two log lines about the want of processor time.
	shortLogInterval = time.Second
	// shortUse is the use of the processor share from which this process is short of processor time, and
	// shortWait the wait of its goroutines, which also shows a processor that is slower than its share.
	shortUse  = 0.85
	shortWait = 2 * time.Millisecond
)

// processorWatch is what a coordinator knows of its processor load.
type processorWatch struct {
	carobpulley.Processor
	readAt, nextLogAt time.Time
	load              carobpulley.ProcessorLoad
	// use is the part of the process's processor share that was in use.
	use float64
}

// short reports whether the process is short of processor time.
func (w *processorWatch) short() bool { return w.use >= shortUse || w.load.Wait >= shortWait }

// checkProcessor reads the processor load at intervals. The caller holds the lock.
func (c *Coordinator) checkProcessor() {
	w, now := &c.processor, c.now
	if now.Sub(w.readAt) < loadInterval {
		return
	}
	w.load = w.Load()
	if share := now.Sub(w.readAt).Seconds() * c.cfg.Self.Share; share > 0 {
		w.use = w.load.Used.Seconds() / share
	}
	w.readAt = now
	c.cfg.Meter.Add("processor_us", w.load.Used.Microseconds())
	c.cfg.Meter.Observe("processor_wait", w.load.Wait)
	if !w.short() || now.Before(w.nextLogAt) {
		return
	}
	w.nextLogAt = now.Add(shortLogInterval)
	c.log.Warn().Float64("use", w.use).Float64("wait_ms", w.load.Wait.Seconds()*1000).Int("callers", len(c.waiters)).
		Int("asking", len(c.holdings.pending)).Msg("short of processor time")
}
