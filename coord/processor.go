package coord

import (
	"time"

	"carobpulley"
)

const (
	// loadInterval is the interval at which the processor load is read.
	loadInterval = 100 * time.Millisecond
	// shortLogInterval is the least time between two log lines about the want of processor time.
	shortLogInterval = time.Second
	// shortUse is the use of the processor share from which this process is short of processor time, and
	// shortWait the wait of its goroutines, which also shows a processor that is slower than its share.
	shortUse  = 0.85
	shortWait = 2 * time.Millisecond
	// targetUse is the use of the processor share up to which this process takes jobs: with more, the waits for the
	// processor grow beyond the slack of jobs.
	targetUse = 0.7
	// minKept is the least part of the submissions that is kept, whose effect shows when more can be kept again. It
	// falls by minKeptFactor and grows by keptGrowth at most with each reading.
	minKept       = 0.05
	minKeptFactor = 0.5
	keptGrowth    = 1.1
	// grantWaitTTL is the time for which a measured wait for grants holds.
	grantWaitTTL = 300 * time.Millisecond
	// bearableWait is the part of a job's slack that the expected wait for this process may take.
	bearableWait = 0.7
)

// processorWatch is what a coordinator knows of its processor load.
type processorWatch struct {
	carobpulley.Processor
	readAt, nextLogAt time.Time
	load              carobpulley.ProcessorLoad
	// use is the part of the process's processor share that was in use.
	use float64
	// kept is the part of the submissions that this process keeps, the others are passed on. credit is what is
	// left of it from earlier submissions.
	kept, credit float64
	// grants and grantTime are the number of submissions that were granted since the last reading and the time that
	// this took them together. grantWait is the mean of an earlier reading, which holds until grantWaitTill.
	grants        int
	grantTime     time.Duration
	grantWait     time.Duration
	grantWaitTill time.Time
}

// recordGrant records the time from a submission to its grant.
func (w *processorWatch) recordGrant(took time.Duration) {
	w.grants++
	w.grantTime += took
}

// expectedWait returns the time for which a job will wait for this process: for its grant, and as long again for the
// handling of its runs.
func (w *processorWatch) expectedWait(now time.Time) time.Duration {
	if !w.short() || now.After(w.grantWaitTill) {
		return 0
	}
	return 2 * w.grantWait
}

// adjust sets the part of the submissions to keep, so that the use approaches targetUse.
func (w *processorWatch) adjust() {
	switch {
	case w.use > targetUse:
		w.kept = max(w.kept*max(targetUse/w.use, minKeptFactor), minKept)
	case w.load.Wait >= shortWait:
		w.kept = max(w.kept*minKeptFactor, minKept)
	default:
		w.kept = min(w.kept*keptGrowth, 1)
	}
}

// keeps reports whether this process keeps a submission.
func (w *processorWatch) keeps() bool {
	if w.credit += w.kept; w.credit < 1 {
		return false
	}
	w.credit--
	return true
}

// takes reports whether the process has processor time left for jobs of others.
func (w *processorWatch) takes() bool { return w.use < targetUse && w.load.Wait < shortWait }

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
	w.adjust()
	if w.grants > 0 {
		w.grantWait, w.grantWaitTill = w.grantTime/time.Duration(w.grants), now.Add(grantWaitTTL)
		w.grants, w.grantTime = 0, 0
	}
	c.cfg.Meter.Add("processor_us", w.load.Used.Microseconds())
	c.cfg.Meter.Observe("processor_wait", w.load.Wait)
	if !w.short() || now.Before(w.nextLogAt) {
		return
	}
	w.nextLogAt = now.Add(shortLogInterval)
	c.log.Warn().Float64("use", w.use).Float64("wait_ms", w.load.Wait.Seconds()*1000).Int("callers", len(c.waiters)).
		Int("asking", len(c.holdings.pending)).Msg("short of processor time")
}
