package emul

import (
	"fmt"
	"testing"
	"time"

	"carobpulley"
	"carobpulley/work"
)

// sendOddMessages sends an agent, as another writer, what it takes for its endpoint's heartbeats and
// shutdown, until stop is closed.
func sendOddMessages(f *Fleet, n int, stop <-chan struct{}) {
	instance := fmt.Sprintf("runner-%d", n)
	for kind := 0; ; kind++ {
		select {
		case <-stop:
			return
		case <-time.After(37 * time.Millisecond):
		}
		hb := f.Endpoints[n].Heartbeat(instance, service, "domain-0", 0)
		switch kind % 4 {
		case 0:
			hb.Generation += time.Hour.Milliseconds()
		case 1:
			hb.Generation -= time.Hour.Milliseconds()
		case 2:
			hb.Generation = 0
		default:
			// The endpoint gets no starts until its next heartbeat, so one endpoint at a time is shut down.
			if kind/4%(10*len(f.Endpoints)) == 10*n {
				f.Agents[n].Agent.HandleShutdown(instance)
			}
			continue
		}
		f.Agents[n].Agent.HandleHeartbeat(hb)
	}
}

// Guards against runs that are started again, beside those at work, since another writer sent an agent
// a heartbeat with a wrong birth, or a shutdown.
func TestMessagesOfAnotherWriterRestartNoRun(t *testing.T) {
	runFleet(t, testSpec(), func(t *testing.T, f *Fleet) {
		stop := make(chan struct{})
		for n := range f.Endpoints {
			go sendOddMessages(f, n, stop)
		}
		const jobs, tasks = 30, 4
		answers := make(chan carobpulley.JobAnswer, jobs)
		for n := range jobs {
			go func() { answers <- f.runToEnd(n%len(f.Coordinators), testJob(n, n%2 == 0, tasks)) }()
			time.Sleep(150 * time.Millisecond)
		}
		for range jobs {
			if a := <-answers; a.Code != carobpulley.AnswerOK || a.State != work.StateCompleted {
				t.Errorf("answer %+v", a)
			}
		}
		close(stop)
		if got := f.Checker.RunCount(); got != jobs*tasks {
			t.Errorf("%d runs of %d tasks", got, jobs*tasks)
		}
	})
}
