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
