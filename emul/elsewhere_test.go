package emul

import (
	"context"
	"testing"
	"time"

	"carobpulley"
	"carobpulley/work"
)

const (
	// resubmitAfter is the platform's time from a broken call to the next one for the same job.
	resubmitAfter = 1300 * time.Millisecond
	// longRun is a run that is at work far beyond resubmitAfter.
	longRun = 12 * time.Second
)

// elsewhereSpec returns a fleet whose runs take a time. Its random numbers differ by seed.
func elsewhereSpec(seed uint64, d time.Duration) Spec {
	spec := testSpec()
	spec.Seed = seed * 100
	spec.Behavior = func(work.Start) (time.Duration, work.Outcome) { return d, work.OutcomeDone }
	return spec
}

func longJob(n, tasks int) *work.Job {
	j := testJob(n, true, tasks)
	j.Steps[0].EstimateMS = longRun.Milliseconds()
	return j
}

// submitUntil submits a job and leaves, as the coordinator sees at once, after a time or at its end.
func (f *Fleet) submitUntil(at int, j *work.Job, leave time.Duration) carobpulley.JobAnswer {
	ctx, cancel := context.WithTimeout(f.ctx, leave)
	defer cancel()
	p := f.coordinator(at)
	ended := make(chan struct{})
	defer close(ended)
	go func() {
		select {
		case <-p.done:
			cancel()
		case <-ended:
		}
	}()
	return p.Coordinator.Submit(ctx, j)
}

// cutFromAgents starts or ends the loss of what a coordinator sends to agents (there) and of what they
// send to it (back).
func (f *Fleet) cutFromAgents(coordinator int, there, back, on bool) {
	for n := range f.spec.Endpoints {
		if there {
			f.Net.SetBlocked(CoordinatorAddr(coordinator), AgentAddr(n), on)
		}
		if back {
			f.Net.SetBlocked(AgentAddr(n), CoordinatorAddr(coordinator), on)
		}
	}
}

// elsewhereCase is a fault that strikes while a job runs at coordinator 0. Its caller leaves soon after
// it, or sees a broken connection, and comes back at coordinator 1.
type elsewhereCase struct {
	name string
	// before sets up trouble soon after the start of the job.
	before func(f *Fleet)
	strike func(f *Fleet)
	// strikeAfter is the time from the submission to the fault, and leaveAfter the time from there until
	// the caller leaves.
	strikeAfter time.Duration
	leaveAfter  time.Duration
}

// faultAndLeave returns a case whose fault strikes after late commands have begun to arrive, and whose
// caller leaves at once.
func faultAndLeave(name string, before, strike func(f *Fleet)) elsewhereCase {
	return elsewhereCase{name, before, strike, 4 * time.Second, 2 * time.Millisecond}
}

func killFirst(f *Fleet) { f.coordinator(0).Kill() }

func noFault(*Fleet) {}

// troubled returns a function that sets the trouble of all endpoints.
func troubled(t Trouble, commands ...Command) func(f *Fleet) {
	return func(f *Fleet) {
		for _, e := range f.Endpoints {
			e.SetTrouble(t, commands...)
		}
	}
}

func (f *Fleet) restartAgents() {
	for n := range f.Agents {
		f.Agents[n].Kill()
		f.StartAgent(n)
	}
}

func elsewhereCases() []elsewhereCase {
	all := []Command{CommandStart, CommandStop, CommandRenew}
	cut := func(there, back bool) func(f *Fleet) {
		return func(f *Fleet) { f.cutFromAgents(0, there, back, true) }
	}
	return []elsewhereCase{
		faultAndLeave("caller leaves", noFault, noFault),
		faultAndLeave("killed", noFault, killFirst),
		faultAndLeave("killed, restarted", noFault, func(f *Fleet) {
			killFirst(f)
			f.StartCoordinator(0)
		}),
		faultAndLeave("cut off both ways", noFault, cut(true, true)),
		faultAndLeave("orders cut off", noFault, cut(true, false)),
		faultAndLeave("reports cut off", noFault, cut(false, true)),
		faultAndLeave("agents restarted", noFault, (*Fleet).restartAgents),
		faultAndLeave("killed, agents restarted", noFault, func(f *Fleet) {
			killFirst(f)
			f.restartAgents()
		}),
		faultAndLeave("two endpoints cut off", func(f *Fleet) {
			for _, e := range f.Endpoints[:2] {
				e.SetTrouble(Trouble{Unsent: 1}, all...)
			}
		}, noFault),
		faultAndLeave("answers lost", troubled(Trouble{Lost: 1}, all...), noFault),
		faultAndLeave("answers lost, agents restarted", troubled(Trouble{Lost: 1}, all...), (*Fleet).restartAgents),
		faultAndLeave("killed, answers of renewals lost", troubled(Trouble{Lost: 1}, CommandRenew), killFirst),
		faultAndLeave("killed, stops unsent", troubled(Trouble{Unsent: 1}, CommandStop), killFirst),
		faultAndLeave("cut off both ways, stops unsent", troubled(Trouble{Unsent: 1}, CommandStop), cut(true, true)),
		faultAndLeave("agents restarted, stops unsent", troubled(Trouble{Unsent: 1}, CommandStop), (*Fleet).restartAgents),
		faultAndLeave("killed, stops late, answers of renewals lost", func(f *Fleet) {
			troubled(Trouble{Late: 1}, CommandStop)(f)
			troubled(Trouble{Lost: 1}, CommandRenew)(f)
		}, killFirst),
		faultAndLeave("killed, half of all late", troubled(Trouble{Late: 0.5}, all...), killFirst),
		faultAndLeave("cut off both ways, half of all late", troubled(Trouble{Late: 0.5}, all...), cut(true, true)),
		faultAndLeave("half of the stops late", troubled(Trouble{Late: 0.5}, CommandStop), noFault),
		{"stopped", noFault, func(f *Fleet) { f.coordinator(0).Stop() }, time.Second, 6 * time.Second},
		{"stopped, half of the stops late", troubled(Trouble{Late: 0.5}, CommandStop), func(f *Fleet) { f.coordinator(0).Stop() }, time.Second, 6 * time.Second},
		{"endpoints reborn, starts late", troubled(Trouble{Late: 0.5}, CommandStart), func(f *Fleet) {
			for _, e := range f.Endpoints {
				e.Crash()
				e.Restart()
			}
		}, 2 * time.Second, time.Second},
	}
}

// Guards against two runs of a task at a time because a caller came back at another coordinator before
// the run of the first one had ended.
func TestResubmittedElsewhere(t *testing.T) {
	playElsewhereCases(t, elsewhereCases()...)
}

func playElsewhereCases(t *testing.T, cases ...elsewhereCase) {
	t.Helper()
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			for seed := uint64(1); seed <= 2; seed++ {
				runFleet(t, elsewhereSpec(seed, longRun), func(t *testing.T, f *Fleet) {
					playElsewhere(t, f, c, time.Duration(seed)*80*time.Millisecond)
				})
			}
		})
	}
}

func playElsewhere(t *testing.T, f *Fleet, c elsewhereCase, phase time.Duration) {
	t.Helper()
	const tasks = 8
	time.AfterFunc(300*time.Millisecond, func() {
		if got := f.Checker.RunCount(); got < tasks {
			t.Errorf("%d runs before the fault, want %d", got, tasks)
		}
		c.before(f)
	})
	struck := make(chan struct{})
	time.AfterFunc(c.strikeAfter+phase, func() {
		c.strike(f)
		close(struck)
	})
	f.submitUntil(0, longJob(1, tasks), c.strikeAfter+phase+c.leaveAfter)
	time.Sleep(resubmitAfter)
	f.submitUntil(1, longJob(1, tasks), 3*time.Second)
	<-struck
}
