package jobs

import (
	"fmt"
	"slices"
	"strings"
	"testing"
	"time"

	"carobpulley"
	"carobpulley/work"
)

// crashTask lets an agent report that its endpoint has crashed under a run.
func (f *fixture) crashTask(agent string, s work.Start, certain, alone bool) {
	f.t.Helper()
	r := f.newReport(agent, f.table.FollowingAttachment(agent)-1, end(s, 0, work.OutcomeCrashed))
	r.State.Ready = !f.stayDown
	r.Crashes = []work.Crash{{Task: s.Run.Task, Endpoint: fmt.Sprint(agent, "/", s.Run.Number), Certain: certain, Alone: alone}}
	f.table.HandleReport(f.now, r)
	f.takeDispatches()
}

// nextStart returns the only start that was dispatched since the last call, and its agent.
func (f *fixture) nextStart() (string, work.Start) {
	f.t.Helper()
	if f.startCount() != 1 {
		f.t.Fatalf("starts %v, want one", f.started)
	}
	for agent, starts := range f.started {
		if len(starts) == 1 {
			delete(f.started, agent)
			return agent, starts[0]
		}
	}
	return "", work.Start{}
}

// Guards against a job that is given up for crashes which its starts may not have reached, or for two
// at which other jobs ran that may have been the cause.
func TestCrashesThatCountForGivingUp(t *testing.T) {
	type crash struct{ certain, alone bool }
	for _, c := range []struct {
		name    string
		crashes []crash
		givenUp bool
	}{
		{"uncertain", []crash{{}, {}, {}, {}, {}}, false},
		{"one certain", []crash{{}, {}, {true, true}}, false},
		{"two beside others", []crash{{true, false}, {true, false}}, false},
		{"two, the last one alone", []crash{{true, false}, {true, true}}, true},
		{"three", []crash{{true, false}, {true, false}, {true, false}}, true},
	} {
		t.Run(c.name, func(t *testing.T) {
			f := newFixture(t, 3).attach()
			j := testJob(1, 1, true)
			f.submit(j)
			for _, cr := range c.crashes {
				agent, s := f.nextStart()
				f.crashTask(agent, s, cr.certain, cr.alone)
			}
			results := f.table.Results()
			if !c.givenUp {
				if len(results) != 0 || f.startCount() != 1 {
					t.Fatalf("results %v, %d starts, want another try", results, f.startCount())
				}
				return
			}
			if len(results) != 1 || results[0].State != work.StateFailed || !strings.Contains(results[0].Reason, work.TaskName(j.ID, 0, 0)) {
				t.Errorf("results %v, want failed with the task named", results)
			}
			if f.startCount() != 0 {
				t.Errorf("started again: %v", f.started)
			}
		})
	}
}

// Guards against a job whose failure depends on the order of its tasks, or whose reason names other tasks
// than the one that crashes its endpoints.
func TestTaskThatCrashesIsNamed(t *testing.T) {
	for _, crashing := range []int{0, 1} {
		f := newFixture(t, 1).attach()
		j := testJob(1, 2, true)
		f.submit(j)
		cause, other := work.TaskName(j.ID, 0, crashing), work.TaskName(j.ID, 0, 1-crashing)
		f.table.recordCrashes(f.now, []work.Crash{
			{Task: other, Endpoint: "a/1"},
			{Task: other, Endpoint: "b/1"},
			{Task: other, Endpoint: "c/1", Certain: true},
			{Task: cause, Endpoint: "d/1", Certain: true},
			{Task: cause, Endpoint: "e/1", Certain: true, Alone: true},
		})
		results := f.table.Results()
		if len(results) != 1 || results[0].State != work.StateFailed || !strings.Contains(results[0].Reason, cause) {
			t.Errorf("results %+v, want failed with %s named", results, cause)
		}
	}
}

// Guards against jobs that were at a crash together and are placed together again, so that the cause is
// never found, and against other work that is placed beside them.
func TestSuspectsAreApartAndOthersAvoidThem(t *testing.T) {
	f := newFixture(t, 2).attach()
	f.submit(testJob(1, 1, true))
	preferred, s := f.nextStart()
	large := testJob(2, 1, true)
	large.Steps[0].Resources.CPU = 58_000
	f.submit(large)
	crashed, lost := f.nextStart()
	if preferred == crashed {
		t.Fatalf("both jobs at %s, want them apart", crashed)
	}
	f.table.recordCrashes(f.now, []work.Crash{{Task: s.Run.Task, Endpoint: "elsewhere", Certain: true}})
	f.stayDown = true
	f.crashTask(crashed, lost, true, false)
	if f.startCount() != 0 {
		t.Errorf("suspect started beside another one: %v", f.started)
	}
	f.report(crashed)
	at, again := f.nextStart()
	if at != crashed || !again.Suspect {
		t.Errorf("suspect started at %s, flag %t; another one is at %s", at, again.Suspect, preferred)
	}
	f.report(crashed, end(again, 0, work.OutcomeDone))
	f.submit(testJob(3, 1, true))
	if at, fresh := f.nextStart(); at != crashed || fresh.Suspect {
		t.Errorf("other work started at %s, flag %t; a suspect is at %s", at, fresh.Suspect, preferred)
	}
}

// Guards against a kept job whose crashes the next owner of its shard does not count, since a start
// went out before the last crash was stored.
func TestCrashIsStoredBeforeTheNextStart(t *testing.T) {
	f := newOwner(t, 3)
	j := testJob(1, 1, false)
	f.submit(j)
	f.commit()
	agent, s := f.nextStart()
	f.crashTask(agent, s, true, true)
	if f.startCount() != 0 {
		t.Fatal("started before the crash is stored")
	}
	batch, err := f.table.NextBatch(0)
	if err != nil || batch == nil {
		t.Fatalf("batch %v, error %v", batch, err)
	}
	f.table.CommitBatch(f.now, batch)
	f.takeDispatches()
	agent, s = f.nextStart()

	value, err := work.EncodeJob(j)
	if err != nil {
		t.Fatal(err)
	}
	records := slices.Concat(batch.Records, []carobpulley.KeyedRecord{{Key: work.KeyJob + j.ID, Value: value}})
	next := newFixture(t, 3)
	if errs := next.table.AcquireShard(next.now, 0, 2, records); len(errs) > 0 {
		t.Fatal(errs)
	}
	next.attach()
	next.crashTask(agent, s, true, true)
	next.advance(testTakeoverWait + time.Second)
	for next.commit() != nil {
	}
	if state, known := next.table.State(testQueue, j.ID); !known || state != work.StateFailed {
		t.Errorf("state %q at the next owner, want failed", state)
	}
	if reason := next.table.Reason(j.ID); !strings.Contains(reason, s.Run.Task) {
		t.Errorf("reason %q does not name the task", reason)
	}
}

// Guards against memory that grows with each crash of the fleet.
func TestCrashesOfOtherJobsAreForgotten(t *testing.T) {
	f := newFixture(t, 1).attach()
	for n := range 100 {
		f.table.recordCrashes(f.now, []work.Crash{{Task: work.TaskName(testJob(n, 1, true).ID, 0, 0), Endpoint: "e"}})
	}
	f.advance(crashMemory + time.Second)
	if got := len(f.table.crashes); got != 0 {
		t.Errorf("%d jobs with crashes are remembered", got)
	}
}

// Guards against a shard whose changes the store refuses for good, since jobs with many crashes make a
// record or a batch larger than PROTOCOL.md allows.
func TestBatchOfJobsWithCrashesFitsACall(t *testing.T) {
	const (
		jobs, tasks, endpoints = 40, 120, 12
		recordBytes, callBytes = 262_144, 2_097_152
	)
	f := newOwner(t, 2*jobs)
	for n := range jobs {
		if status := f.submit(testJob(n, tasks, false)); status != SubmitPending {
			t.Fatalf("job %d: submit status %d", n, status)
		}
	}
	for f.commit() != nil {
	}
	for n := range jobs {
		crashes := make([]work.Crash, 0, tasks*endpoints)
		for e := range tasks * endpoints {
			crashes = append(crashes, work.Crash{
				Task: work.TaskName(testJob(n, 1, false).ID, 0, e%tasks), Endpoint: fmt.Sprintf("side-somewhere-%d/i-0123456789/1788285345535", e/tasks),
			})
		}
		f.table.recordCrashes(f.now, crashes)
	}
	stored := 0
	for {
		batch, err := f.table.NextBatch(0)
		if err != nil {
			t.Fatal(err)
		}
		if batch == nil {
			break
		}
		sum := 0
		for _, r := range batch.Records {
			stored++
			sum += len(r.Key) + len(r.Value)
			if len(r.Value) > recordBytes {
				t.Fatalf("record of %d bytes, at most %d are allowed", len(r.Value), recordBytes)
			}
		}
		if sum > callBytes {
			t.Fatalf("batch of %d bytes, at most %d are allowed", sum, callBytes)
		}
		f.table.CommitBatch(f.now, batch)
	}
	if stored != jobs {
		t.Errorf("%d records stored, want %d", stored, jobs)
	}
}

// Guards against a suspect task that waits while idle endpoints exist that it can't use: of another service
// or without its label. They hid the busy ones that it could use.
func TestSuspectIsNotHiddenByIdleEndpointsThatItCannotUse(t *testing.T) {
	for name, limit := range map[string]func(step *work.Step, state *work.EndpointState){
		"label":   func(step *work.Step, state *work.EndpointState) { step.Label, state.Labels = "b", []string{"a"} },
		"service": func(_ *work.Step, state *work.EndpointState) { state.Service = "other" },
	} {
		f := newOwner(t, 0)
		j := testJob(1, 1, false)
		for n := range 3 {
			agent := fmt.Sprint("h", n)
			f.agents = append(f.agents, agent)
			f.table.AddAgent(agent, "z"+agent, nil)
			r := f.newReport(agent, f.table.FollowingAttachment(agent))
			r.State.Labels = []string{"b"}
			if n > 0 {
				limit(&j.Steps[0], &r.State)
			} else {
				r.State.Used = work.Resources{CPU: 45_000}
			}
			f.table.HandleAttachment(f.now, r, f.table.OwnedShards())
		}
		f.prove()
		f.submitSuspect(j)
		if got := len(f.started["h0"]); got != 1 {
			t.Errorf("%s: %d starts at the one endpoint that can run the task, want 1", name, got)
		}
	}
}

// submitSuspect submits a stored job under which an endpoint has crashed before.
func (f *fixture) submitSuspect(j *work.Job) {
	f.submit(j)
	f.table.recordCrash(f.now, work.Crash{Task: work.TaskName(j.ID, 0, 0), Endpoint: "elsewhere"})
	f.commit()
}

// Guards against a suspect task that waits for an endpoint with tasks of its job, where its step has reached
// the limit per endpoint.
func TestSuspectIsNotKeptAtAnEndpointAtItsLimit(t *testing.T) {
	f := newOwner(t, 2)
	j := testJob(1, 2, false)
	j.Steps[0].MaxPerEndpoint = 1
	f.submitSuspect(j)
	if got := f.startCount(); got != 2 {
		t.Errorf("%d starts of two tasks at two endpoints, want 2", got)
	}
}
