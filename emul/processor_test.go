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

// burstTest is a burst at the coordinators of a fleet whose messages take processor time.
type burstTest struct {
	began, from, until time.Time
	objective          time.Duration
}

// The burst begins after burstDelay and lasts for burstTime. All jobs that are sent later than burstRecovery after its
// end are to meet their objective.
const (
	burstDelay    = 2 * time.Second
	burstTime     = 4 * time.Second
	burstRecovery = time.Second
)

func newBurstTest() burstTest {
	began := time.Now()
	return burstTest{began: began, from: began.Add(burstDelay), until: began.Add(burstDelay + burstTime), objective: burstJob(0).Objective()}
}

func burstJob(n int) *work.Job {
	j := testJob(n, true, 4)
	j.Steps[0].Resources.CPU = 500
	return j
}

// play submits the jobs of several loads and returns what became of those of each.
func (b burstTest) play(f *Fleet, loads ...load) [][]outcome {
	outcomes := make([][]outcome, len(loads))
	var wg sync.WaitGroup
	for n, l := range loads {
		l.first = n << 20
		wg.Go(func() { outcomes[n] = l.play(f, burstJob, b.from, b.until, b.until.Add(burstTime)) })
	}
	wg.Wait()
	return outcomes
}

// missed returns the number of jobs that did not meet their objective, and of those that were sent burstRecovery after
// the burst or later.
func (b burstTest) missed(outcomes []outcome) (all, afterwards int) {
	for _, o := range outcomes {
		if o.answer.State == work.StateCompleted && o.answeredAt.Sub(o.sentAt) <= b.objective {
			continue
		}
		all++
		if o.sentAt.After(b.until.Add(burstRecovery)) {
			afterwards++
		}
	}
	return all, afterwards
}

// Guards against a coordinator with little processor time that takes more jobs than it has processor time for,
// while others have some left: all of them get late together.
func TestBurstAtACoordinatorWithLittleProcessorTime(t *testing.T) {
	const inTime = 0.91
	spec := testSpec()
	spec.Endpoints = 8
	spec.Shares, spec.MessageCost = []float64{0.2, 2, 2}, time.Millisecond
	runFleet(t, spec, func(t *testing.T, f *Fleet) {
		b := newBurstTest()
		outcomes := b.play(f, load{at: 0, perSecond: 16, inBurst: 60}, load{at: 1, perSecond: 16, inBurst: 60}, load{at: 2, perSecond: 16, inBurst: 60})
		missed, afterwards := b.missed(outcomes[0])
		if all := len(outcomes[0]); float64(missed) > (1-inTime)*float64(all) || afterwards > 0 {
			t.Errorf("%d of %d jobs missed their objective, %d of them over %s after the burst; want %.2f in time, and all after the burst", missed, all, afterwards, burstRecovery, inTime)
		}
	})
}

// Guards against coordinators that are all short of processor time and take all jobs of a burst: hardly any is in
// time, those that would have come without the burst neither.
func TestBurstAtCoordinatorsThatAreAllShortOfProcessorTime(t *testing.T) {
	const perSecond, inBurst = 10, 45
	spec := testSpec()
	spec.Endpoints = 8
	spec.Shares, spec.MessageCost = []float64{0.2, 0.2, 0.2}, time.Millisecond
	runFleet(t, spec, func(t *testing.T, f *Fleet) {
		b := newBurstTest()
		brought := 3 * (inBurst - perSecond) * int(burstTime/time.Second)
		missed, afterwards := 0, 0
		for _, outcomes := range b.play(f, load{at: 0, perSecond: perSecond, inBurst: inBurst}, load{at: 1, perSecond: perSecond, inBurst: inBurst}, load{at: 2, perSecond: perSecond, inBurst: inBurst}) {
			all, after := b.missed(outcomes)
			missed, afterwards = missed+all, afterwards+after
			for _, o := range outcomes {
				if took := o.answeredAt.Sub(o.sentAt); o.answer.Code == carobpulley.AnswerRefused && took > b.objective {
					t.Errorf("a job was refused after %s (%s), want at most %s", took, o.answer.Reason, b.objective)
				}
			}
		}
		if missed > brought || afterwards > 0 {
			t.Errorf("%d jobs missed their objective, %d of them over %s after the burst; the burst has brought %d", missed, afterwards, burstRecovery, brought)
		}
	})
}
