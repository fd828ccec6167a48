package jobs

import (
	"time"

	"carobpulley/work"
)

// runsPerEpoch separates the run numbers that different owners assign: each has this many for
// a task; see mayNumber.
const runsPerEpoch = 1000

type phase int

const (
	// phaseStoring is the phase of a job whose record is not confirmed as stored.
	phaseStoring phase = iota
	phaseActive
	phaseEnded
	// phaseUnreadable is the phase of a job whose records in the store can't be read.
	phaseUnreadable
)

type taskPhase int

const (
	// taskWaiting is the phase of a task that is not placed.
	taskWaiting taskPhase = iota
	taskPlaced
	taskDone
)

type task struct {
	job   *job
	step  int
	index int
	phase taskPhase
	// run is the number of the latest run.
	run int64
	// inheritedRun is the highest number of a run that an earlier owner started, as far as it is known.
	inheritedRun int64
	failures     failures
	agent        *agentState
	// avoid is the agent whose run last failed, was lost, did not start or was
	// overdue.
	avoid    *agentState
	placedAt time.Time
	// overdueAt is the time from which the run counts as overdue: on a healthy
	// endpoint it would have ended well before.
	overdueAt time.Time
	// overdueRuns is the number of runs that were stopped as overdue, also by earlier owners, and blamed the agent
	// whose endpoint the first of them counts against.
	overdueRuns int
	blamed      *agentState
	stopping    bool
	// sent is set while the start of a placed run may have reached its agent (see setSent), and neverBegun
	// once the last run that came back is known not to have begun.
	sent       bool
	neverBegun bool
	// proofAfter is the time that the proof of the ownership has to exceed for the next start; see
	// requireProof.
	proofAfter time.Time
	// stopCheckAt is the time from which the agent's list is asked for if no end of the run of an
	// ended job is known; zero until the first check.
	stopCheckAt time.Time
	// inferred is set while the last run was taken to be over, until the task is placed again.
	inferred *inference
}

// ack is an end to acknowledge once the job's changes are stored.
type ack struct {
	agent      string
	generation string
	number     int64
}

type job struct {
	id    string
	queue string
	spec  *work.Job
	// digest is that of the submission; 0 if it is unknown.
	digest uint64
	shard  int
	phase  phase
	// state is the decided state, storedState the one that is stored, and shown to callers.
	state       work.State
	storedState work.State
	tasks       [][]task
	remaining   []int
	// begun is set once a run has begun or may have, by this owner or an earlier one. Starts in flight
	// don't count; see mayHaveBegun.
	begun bool
	// inFlight is the number of placed tasks whose starts may have reached their agents.
	inFlight int
	// kinds holds the kinds of the steps' tasks once they are asked for.
	kinds []string
	// takeoverPending is set while the job's tasks are not queued because runs of an
	// earlier owner may continue.
	takeoverPending bool
	// runBase is the number that all runs of this owner exceed.
	runBase int64
	dirty   bool
	inBatch bool
	// crashUnstored is set while a crash of an endpoint under one of the tasks is not stored.
	crashUnstored bool
	// begunBefore is set if runs of an earlier submission of the best-effort job have begun or may have.
	begunBefore bool
	// cancelRequested is set for a best-effort job that a caller has cancelled.
	cancelRequested bool
	// resubmission is the latest submission of a best-effort job that is being stopped.
	resubmission *resubmission
	// reason is why the job has failed, if not by the outcome of its runs.
	reason string
	// ends holds the ends of runs of an unreadable job; nil if those stored can't be read either.
	ends *work.Progress
	acks []ack
	// due is the time by which the job meets its objective, abandonAt the time from
	// which its answer has no value.
	due       time.Time
	abandonAt time.Time
	// acceptedAt is the time of the submission, or of the latest one of a best-effort job.
	// Nothing of a best-effort job starts from answerBy on, since its caller may have
	// submitted it elsewhere.
	acceptedAt time.Time
	answerBy   time.Time
	endedAt    time.Time
}

// durable reports whether the job is stored, in contrast to a best-effort job.
func (j *job) durable() bool { return j.shard != bestEffortShard }

// difference returns in what a submission under the job's id differs from the job; empty if it
// repeats the job.
func (j *job) difference(spec *work.Job) string {
	switch {
	case j.queue != "" && j.queue != spec.Queue.Name:
		return "queue"
	case j.durable() == spec.BestEffort:
		return "durability"
	case j.digest != 0 && j.digest != spec.Digest():
		return "content"
	}
	return ""
}

// placedCount returns the number of tasks with a run that is not known to have ended.
func (j *job) placedCount() int {
	n := 0
	for step := range j.tasks {
		for i := range j.tasks[step] {
			if j.tasks[step][i].phase == taskPlaced {
				n++
			}
		}
	}
	return n
}

// abandonFactor is the multiple of the objective after which a job's answer has no
// value, according to RULES.md.
const abandonFactor = 3

func newJob(spec *work.Job, shard int, accepted time.Time) *job {
	j := &job{id: spec.ID, queue: spec.Queue.Name, spec: spec, digest: spec.Digest(), shard: shard, state: work.StateQueued}
	objective := spec.Objective()
	j.acceptedAt = accepted
	j.answerBy = spec.AnswerBy
	j.due = submittedAt(accepted, spec).Add(objective)
	j.abandonAt = accepted.Add(abandonFactor * objective)
	j.tasks = make([][]task, len(spec.Steps))
	j.remaining = make([]int, len(spec.Steps))
	for step := range spec.Steps {
		count := spec.Steps[step].Count
		j.remaining[step] = count
		j.tasks[step] = make([]task, count)
		for i := range j.tasks[step] {
			j.tasks[step][i] = task{job: j, step: step, index: i}
		}
	}
	return j
}

// submittedAt returns the time from which the objective of a job counts that was accepted at a time.
func submittedAt(accepted time.Time, spec *work.Job) time.Time {
	if spec.SubmittedAt.IsZero() {
		return accepted
	}
	return spec.SubmittedAt
}

// restore applies the stored progress of the job.
func (j *job) restore(p work.Progress) {
	for _, d := range p.Done {
		if tk := j.task(d[0], d[1]); tk != nil && tk.phase != taskDone {
			tk.phase = taskDone
			j.remaining[d[0]]--
			j.begun = true
		}
	}
	for _, f := range p.Failed {
		if tk := j.task(f[0], f[1]); tk != nil {
			tk.failures.count = f[2]
			j.begun = true
		}
	}
	for _, o := range p.Overdue {
		if tk := j.task(o[0], o[1]); tk != nil {
			tk.overdueRuns = o[2]
		}
	}
	for _, f := range p.FailedRuns {
		if tk := j.task(int(f[0]), int(f[1])); tk != nil {
			tk.failures.runs = append(tk.failures.runs, f[2])
		}
	}
}

func (j *job) task(step, index int) *task {
	if step < 0 || step >= len(j.tasks) || index < 0 || index >= len(j.tasks[step]) {
		return nil
	}
	return &j.tasks[step][index]
}

// progress returns the progress of a job to be stored.
func (t *Table) progress(j *job) work.Progress {
	p := work.Progress{State: j.state, Queue: j.queue, Digest: j.digest, Reason: j.reason}
	if j.state.Ended() {
		p.EndedMS = j.endedAt.UnixMilli()
		return p
	}
	for step := range j.tasks {
		for i := range j.tasks[step] {
			tk := &j.tasks[step][i]
			if tk.phase == taskDone {
				p.Done = append(p.Done, [2]int{step, i})
			}
			if tk.failures.count > 0 {
				p.Failed = append(p.Failed, [3]int{step, i, tk.failures.count})
			}
			if tk.overdueRuns > 0 {
				p.Overdue = append(p.Overdue, [3]int{step, i, tk.overdueRuns})
			}
			for _, run := range tk.failures.runs {
				p.FailedRuns = append(p.FailedRuns, [3]int64{int64(step), int64(i), run})
			}
		}
	}
	if c := t.crashes[j.id]; c != nil {
		p.Crashed = c.crashes
	}
	return p
}

// dependenciesDone reports whether all steps that a step depends on are done.
func (j *job) dependenciesDone(step int) bool {
	for _, earlier := range j.spec.Steps[step].After {
		if j.remaining[earlier] > 0 {
			return false
		}
	}
	return true
}

func (j *job) done() bool {
	for _, n := range j.remaining {
		if n > 0 {
			return false
		}
	}
	return true
}

func (tk *task) resources() work.Resources { return tk.job.spec.Steps[tk.step].Resources }

func (tk *task) estimate() time.Duration {
	return time.Duration(tk.job.spec.Steps[tk.step].EstimateMS) * time.Millisecond
}

func (tk *task) name() string { return work.TaskName(tk.job.id, tk.step, tk.index) }

func (tk *task) key() work.Run { return work.Run{Task: tk.name(), Number: tk.run} }
