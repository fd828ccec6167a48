//go:build review

package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/netip"
	"strconv"
	"sync"
	"time"

	"carobpulley/platform/stand"
	"carobpulley/work"
)

// callTimeout is how long a client waits for an answer.
const callTimeout = 4 * time.Second

// runState is what a runner has of a task.
type runState struct {
	runner int
	run    int64
	began  time.Time
}

// jobs knows the submitted jobs, and the runs of their tasks at the runners.
type jobs struct {
	mu   sync.Mutex
	jobs map[string]*job
	// on holds the runs at work, and starts and ends count those of each task.
	on      map[string]runState
	starts  map[string]int
	failed  map[string]int
	lastOff map[string]time.Time
	// startedAt holds the times of the starts of each task, beganAt that of each run.
	startedAt map[string][]time.Time
	beganAt   map[work.Run]time.Time
	// at holds the runner of each run, and acked the runs whose end was acknowledged.
	at    map[work.Run]int
	acked map[work.Run]bool
	// noted holds the tasks with an end done of which note was taken, and again those that were started after such an
	// end, of which note was taken then or later.
	noted, again map[string]bool
	// beside counts the starts of each task while a run of it is on.
	beside map[string]int
	// sheds counts the starts that runners have refused as unhealthy.
	sheds int
}

// job is a submission with what its tasks do.
type job struct {
	work.Job
	duration time.Duration
	accepted time.Time
}

func newJobs() *jobs {
	return &jobs{
		jobs: make(map[string]*job), on: make(map[string]runState), starts: make(map[string]int), failed: make(map[string]int), lastOff: make(map[string]time.Time),
		startedAt: make(map[string][]time.Time), beganAt: make(map[work.Run]time.Time), at: make(map[work.Run]int), acked: make(map[work.Run]bool), beside: make(map[string]int), noted: make(map[string]bool), again: make(map[string]bool),
	}
}

// lookup implements stand.TaskLookup.
func (j *jobs) lookup(task string) (work.Resources, bool, bool) {
	id, step, _, err := work.ParseTaskName(task)
	j.mu.Lock()
	defer j.mu.Unlock()
	known := j.jobs[id]
	if err != nil || known == nil || step >= len(known.Steps) {
		return work.Resources{}, false, false
	}
	return known.Steps[step].Resources, !known.BestEffort, true
}

// begin notes a start at a runner. It returns how long the run takes.
func (j *jobs) begin(rec *record, runner int, s work.Start) time.Duration {
	j.mu.Lock()
	defer j.mu.Unlock()
	id := work.JobOfTask(s.Run.Task)
	if old, on := j.on[s.Run.Task]; on {
		j.beside[s.Run.Task]++
		rec.add("TWICE: two runs of %s: run %d is on at runner %d", s.Run.Task, old.run, old.runner)
	}
	j.on[s.Run.Task] = runState{runner: runner, run: s.Run.Number, began: time.Now()}
	j.starts[s.Run.Task]++
	if j.noted[s.Run.Task] {
		j.again[s.Run.Task] = true
		rec.add("TWICE: %s has ended done, note was taken of that end, and it is started again", s.Run.Task)
	}
	j.startedAt[s.Run.Task] = append(j.startedAt[s.Run.Task], time.Now())
	j.beganAt[s.Run], j.at[s.Run] = time.Now(), runner
	rec.add("runner %d starts %s run %d", runner, s.Run.Task, s.Run.Number)
	return j.jobs[id].duration
}

// ended notes an end that a runner lists.
func (j *jobs) ended(rec *record, runner int, e *work.End) {
	j.mu.Lock()
	defer j.mu.Unlock()
	if e.Outcome == work.OutcomeFailed {
		j.failed[e.Run.Task]++
	}
	j.off(e.Run.Task, runner, e.Run.Number)
	rec.add("runner %d lists the end of %s run %d: %s", runner, e.Run.Task, e.Run.Number, e.Outcome)
}

// acknowledged notes that an end was acknowledged. Note is taken of it unless the lease has lapsed since the end.
func (j *jobs) acknowledged(rec *record, runner int, e work.End, lapsedAt time.Time) {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.acked[e.Run] = true
	if e.Outcome != work.OutcomeDone || j.jobs[work.JobOfTask(e.Run.Task)].BestEffort {
		return // a job that needn't be kept may run again
	}
	ended := j.endOf(e.Run)
	if !lapsedAt.Before(ended) {
		return
	}
	j.noted[e.Run.Task] = true
	rec.add("runner %d: the end of %s run %d is taken note of, done %s ago", runner, e.Run.Task, e.Run.Number, time.Since(ended).Round(time.Millisecond))
	for _, at := range j.startedAt[e.Run.Task] {
		if at.After(ended) && !j.again[e.Run.Task] {
			j.again[e.Run.Task] = true
			rec.add("TWICE: %s was started again %s after that end", e.Run.Task, at.Sub(ended).Round(time.Millisecond))
		}
	}
}

// endOf returns the time at which a run that has ended done did so. The caller holds the lock.
func (j *jobs) endOf(run work.Run) time.Time {
	return j.beganAt[run].Add(j.jobs[work.JobOfTask(run.Task)].duration)
}

// off notes that a run is no longer on. The caller holds the lock.
func (j *jobs) off(task string, runner int, run int64) {
	if s, on := j.on[task]; on && s.runner == runner && s.run == run {
		delete(j.on, task)
		j.lastOff[task] = time.Now()
	}
}

// crashed notes the end of all runs at a runner.
func (j *jobs) crashed(rec *record, runner int) {
	j.mu.Lock()
	defer j.mu.Unlock()
	for task, s := range j.on {
		if s.runner == runner {
			rec.add("%s run %d has ended with runner %d", task, s.run, runner)
			j.off(task, runner, s.run)
		}
	}
}

// countShed counts a start that a runner has refused as unhealthy.
func (j *jobs) countShed() {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.sheds++
}

// begun reports whether a task of a job has started.
func (j *jobs) begun(id string) bool {
	j.mu.Lock()
	defer j.mu.Unlock()
	for task, n := range j.starts {
		if n > 0 && work.JobOfTask(task) == id {
			return true
		}
	}
	return false
}

// runOf returns the run of a task that is on.
func (j *jobs) runOf(task string) (runState, bool) {
	j.mu.Lock()
	defer j.mu.Unlock()
	s, on := j.on[task]
	return s, on
}

// failures returns the number of runs of a job's tasks that ended failed.
func (j *jobs) failures(id string) int {
	j.mu.Lock()
	defer j.mu.Unlock()
	n := 0
	for task, failed := range j.failed {
		if work.JobOfTask(task) == id {
			n += failed
		}
	}
	return n
}

// newJob returns a job of one step, which is submitted with submit. label may be empty.
func newJob(id string, tasks int, cpu int64, duration time.Duration, label string) *job {
	return &job{
		Job:      work.Job{ID: id, Spec: "task of " + id, Steps: []work.Step{{Count: tasks, Resources: work.Resources{CPU: cpu, MemMB: 64}, EstimateMS: duration.Milliseconds(), Label: label}}},
		duration: duration,
	}
}

// body returns a submission's body.
func (j *job) body() ([]byte, error) {
	b, err := stand.SubmissionBody(&j.Job)
	if err != nil {
		return nil, err
	}
	var doc map[string]any
	if err := json.Unmarshal(b, &doc); err != nil {
		return nil, err
	}
	for i, s := range doc["steps"].([]any) {
		if label := j.Steps[i].Label; label != "" {
			s.(map[string]any)["requirements"] = label
		}
		if most := j.Steps[i].MaxPerEndpoint; most > 0 {
			s.(map[string]any)["anti-affinity"] = most
		}
	}
	return json.Marshal(doc)
}

// answer is an HTTP answer; status 0 stands for none.
type answer struct {
	status  int
	State   string `json:"state"`
	Reason  string `json:"reason"`
	Pending *int   `json:"pending"`
}

// call makes one call to a coordinator over a connection of its own.
func (f *fleet) call(method string, coordinator int, id string, body []byte, timeout time.Duration) answer {
	client := &http.Client{Timeout: timeout, Transport: &http.Transport{DisableKeepAlives: true}}
	to := netip.AddrPortFrom(f.coordinators[coordinator].addr, callersPort)
	req, err := http.NewRequestWithContext(f.ctx, method, "http://"+to.String()+prefix+id, bytes.NewReader(body))
	if err != nil {
		return answer{}
	}
	req.Host = hostName
	req.Header.Set("Content-Type", "application/json")
	req.Header.Set(stand.TimeoutHeader, strconv.FormatInt(timeout.Milliseconds(), 10))
	var a answer
	if resp, err := client.Do(req); err == nil {
		a.status = resp.StatusCode
		b, err := io.ReadAll(resp.Body)
		_ = resp.Body.Close() // read above
		if err != nil {
			a.status = 0
		}
		_ = json.Unmarshal(b, &a) // a body that can't be read leaves the fields empty
	}
	text := a.State + a.Reason
	if a.Pending != nil {
		text = fmt.Sprintf("pending %d", *a.Pending)
	}
	f.rec.add("%s %s%s at coordinator %d: %d %s", method, prefix, id, coordinator, a.status, text)
	return a
}

// submit hands a job in, again after no answer, 502 or 504. It reports whether the job was accepted.
func (f *fleet) submit(coordinator int, j *job) (bool, error) {
	f.jobs.mu.Lock()
	f.jobs.jobs[j.ID] = j
	f.jobs.mu.Unlock()
	body, err := j.body()
	if err != nil {
		return false, err
	}
	for range 5 {
		a := f.call(http.MethodPost, coordinator, j.ID, body, callTimeout)
		switch a.status {
		case http.StatusOK:
			f.jobs.mu.Lock()
			j.accepted = time.Now()
			f.jobs.mu.Unlock()
			return true, nil
		case 0, http.StatusBadGateway, http.StatusGatewayTimeout:
			time.Sleep(1300 * time.Millisecond)
			coordinator = (coordinator + 1) % len(f.coordinators)
		default:
			return false, nil
		}
	}
	return false, nil
}

// awaitState asks for a job's state until it has ended or a time is over, and returns the last one.
func (f *fleet) awaitState(coordinator int, id string, d time.Duration) string {
	state := ""
	for until := time.Now().Add(d); time.Now().Before(until) && f.ctx.Err() == nil; time.Sleep(250 * time.Millisecond) {
		if a := f.call(http.MethodGet, coordinator, id, nil, callTimeout); a.status == http.StatusOK {
			state = a.State
		}
		if work.State(state).Ended() {
			break
		}
	}
	return state
}

// awaitRun waits until a run of a task is on, and returns it.
func (f *fleet) awaitRun(task string, d time.Duration) (runState, error) {
	for until := time.Now().Add(d); f.ctx.Err() == nil; time.Sleep(5 * time.Millisecond) {
		if s, on := f.jobs.runOf(task); on {
			return s, nil
		}
		if time.Now().After(until) {
			break
		}
	}
	return runState{}, fmt.Errorf("no run of %s", task)
}
