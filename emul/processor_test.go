package emul

import (
	"context"
	"sync"
	"testing"
	"time"

	"carobpulley"
	"carobpulley/work"
)

// load is a series of submissions at one coordinator, at a rate that is higher during a burst.
type load struct {
	at                 int
	perSecond, inBurst float64
	first              int
}

// outcome is what became of a submission.
type outcome struct {
	sentAt, answeredAt time.Time
	answer             carobpulley.JobAnswer
}

// play submits jobs until a time and returns what became of them. The burst is between two times.
func (l load) play(f *Fleet, job func(n int) *work.Job, burstFrom, burstUntil, until time.Time) []outcome {
	var (
		mu       sync.Mutex
		outcomes []outcome
		wg       sync.WaitGroup
	)
	for n := l.first; time.Now().Before(until); n++ {
		rate := l.perSecond
		if now := time.Now(); !now.Before(burstFrom) && now.Before(burstUntil) {
			rate = l.inBurst
		}
		wg.Go(func() {
			ctx, cancel := context.WithTimeout(f.ctx, 1440*time.Millisecond)
			defer cancel()
			o := outcome{sentAt: time.Now()}
			p := f.coordinator(l.at)
			f.Net.Handle(p.Addr)
			o.answer = p.Coordinator.Submit(ctx, job(n))
			o.answeredAt = time.Now()
			mu.Lock()
			defer mu.Unlock()
			outcomes = append(outcomes, o)
		})
		time.Sleep(time.Duration(float64(time.Second) / rate))
	}
	wg.Wait()
	return outcomes
}

// Guards against a coordinator with little processor time that takes more jobs than it has processor time for:
// all of them get late together, and stay late for seconds after a burst is over.
func TestBurstAtACoordinatorWithLittleProcessorTime(t *testing.T) {
	const (
		burst = 4 * time.Second
		// inTime is the share of jobs that is to meet its objective, recovery the time after the burst from which
		// all are to.
		inTime   = 0.91
		recovery = time.Second
	)
	spec := testSpec()
	spec.Endpoints = 8
	spec.Shares, spec.MessageCost = []float64{0.2, 2, 2}, time.Millisecond
	job := func(n int) *work.Job {
		j := testJob(n, true, 4)
		j.Steps[0].Resources.CPU = 500
		return j
	}
	runFleet(t, spec, func(t *testing.T, f *Fleet) {
		began := time.Now()
		from, until := began.Add(2*time.Second), began.Add(2*time.Second+burst)
		var wg sync.WaitGroup
		for n := range 2 {
			wg.Go(func() {
				load{at: n + 1, perSecond: 16, inBurst: 60, first: (n + 1) << 20}.play(f, job, from, until, until.Add(4*time.Second))
			})
		}
		outcomes := load{at: 0, perSecond: 16, inBurst: 60}.play(f, job, from, until, until.Add(4*time.Second))
		wg.Wait()
		objective := job(0).Objective()
		met, lateAfter := 0, 0
		for _, o := range outcomes {
			took := o.answeredAt.Sub(o.sentAt)
			ok := o.answer.State == work.StateCompleted && took <= objective
			if ok {
				met++
			} else if o.sentAt.After(until.Add(recovery)) {
				lateAfter++
			}
			t.Logf("%s took %s %d %s %s", o.sentAt.Sub(began), took, o.answer.Code, o.answer.State, o.answer.Reason)
		}
		if got := float64(met) / float64(len(outcomes)); got < inTime || lateAfter > 0 {
			t.Errorf("%d of %d jobs met their objective, want %.2f; %d of those sent over %s after the burst did not", met, len(outcomes), inTime, lateAfter, recovery)
		}
	})
}
