package emul

import (
	"testing"
	"time"

	"carobpulley"
	"carobpulley/work"
)

// longestSilence is the time for which an agent may stay unheard without losing its runs.
const longestSilence = 600 * time.Millisecond

// Guards against running work that is stopped, and started again elsewhere, because a host was
// silent or slow to report for a while: in each direction, and for every phase of the report
// interval at which the silence begins.
func TestSilenceKeepsRuns(t *testing.T) {
	for _, silence := range []time.Duration{100 * time.Millisecond, 300 * time.Millisecond, 450 * time.Millisecond, longestSilence} {
		for phase := time.Duration(0); phase < 300*time.Millisecond; phase += 60 * time.Millisecond {
			for _, inbound := range []bool{false, true} {
				spec := testSpec()
				spec.Endpoints = 1
				spec.Behavior = func(work.Start) (time.Duration, work.Outcome) { return 1400 * time.Millisecond, work.OutcomeDone }
				runFleet(t, spec, func(t *testing.T, f *Fleet) {
					time.AfterFunc(100*time.Millisecond+phase, func() {
						f.silence(0, inbound, true)
						time.AfterFunc(silence, func() { f.silence(0, inbound, false) })
					})
					if a := submit(f, 0, testJob(1, true, 3)); a.Code != carobpulley.AnswerOK || a.State != work.StateCompleted {
						t.Errorf("silence of %s after %s, inbound %v: answer %+v", silence, phase, inbound, a)
					}
					if got := f.Checker.RunCount(); got != 3 {
						t.Errorf("silence of %s after %s, inbound %v: %d runs of 3 tasks", silence, phase, inbound, got)
					}
				})
			}
		}
	}
}

// silence starts or ends the loss of all that an agent sends to the coordinators or, if inbound is
// set, of all that they send to it.
func (f *Fleet) silence(agent int, inbound, on bool) {
	for n := range f.spec.Coordinators {
		from, to := AgentAddr(agent), CoordinatorAddr(n)
		if inbound {
			from, to = to, from
		}
		f.Net.SetBlocked(from, to, on)
	}
}

// Guards against work that runs again, or is said not to have run, because the answer to a dispatch
// or to the report of its end was lost.
func TestLostAnswersRunNothingAgain(t *testing.T) {
	for _, bestEffort := range []bool{true, false} {
		for phase := time.Duration(0); phase < 240*time.Millisecond; phase += 30 * time.Millisecond {
			for _, inbound := range []bool{false, true} {
				spec := testSpec()
				spec.Endpoints = 1
				runFleet(t, spec, func(t *testing.T, f *Fleet) {
					const silence = 300 * time.Millisecond
					time.AfterFunc(phase, func() {
						f.silence(0, inbound, true)
						time.AfterFunc(silence, func() { f.silence(0, inbound, false) })
					})
					j := testJob(1, bestEffort, 3)
					a := submit(f, 1, j)
					if a.Code != carobpulley.AnswerOK {
						t.Errorf("durable %v, after %s, inbound %v: answer %+v", !bestEffort, phase, inbound, a)
					}
					if !bestEffort {
						awaitEnd(t, f, 1, jobID(1), 5*time.Second)
					}
					if got := f.Checker.RunCount(); got != 3 {
						t.Errorf("durable %v, after %s, inbound %v: %d runs of 3 tasks", !bestEffort, phase, inbound, got)
					}
				})
			}
		}
	}
}

// Guards against a failure domain that was taken out and is in use again after the processes have
// restarted, with or without the store's history.
func TestDomainStaysOutAcrossRestarts(t *testing.T) {
	for _, forget := range []bool{false, true} {
		runFleet(t, testSpec(), func(t *testing.T, f *Fleet) {
			f.SetDomain("domain-1", true)
			time.Sleep(2 * time.Second)
			if forget {
				f.Store.Compact(operatorsPartition)
			}
			for n := range f.Agents {
				f.Agents[n].Kill()
				f.StartAgent(n)
			}
			for n := range f.Coordinators {
				f.Coordinators[n].Kill()
				f.StartCoordinator(n)
			}
			const count = 30
			answers := make(chan carobpulley.JobAnswer, count)
			for n := range count {
				go func() {
					time.Sleep(time.Duration(n) * 100 * time.Millisecond)
					answers <- submit(f, n%len(f.Coordinators), testJob(n, true, 4))
				}()
			}
			served := 0
			for range count {
				if a := <-answers; a.Code == carobpulley.AnswerOK {
					served++
				}
			}
			if served < count/2 {
				t.Errorf("%d of %d jobs served after the restart", served, count)
			}
			for n := range f.Endpoints {
				if out := n%3 == 1; out && f.Checker.StartsAt(n) > 0 {
					t.Errorf("history forgotten %v: %d starts in the domain that is out", forget, f.Checker.StartsAt(n))
				}
			}
		})
	}
}
