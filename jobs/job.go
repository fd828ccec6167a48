package jobs

import (
	"time"

	"carobpulley/work"
)

// runsPerEpoch separates the numbers of runs that different owners give out. It
// exceeds the starts that one owner can make of a task.
const runsPerEpoch = 1000

type phase int

const (
	// phaseStoring is a job whose record is not known to be stored.
	phaseStoring phase = iota
	phaseActive
	phaseEnded
)

type taskPhase int

const (
	// taskWaiting is a task that runs nowhere.
	taskWaiting taskPhase = iota
	taskPlaced
	taskDone
)

type task struct {
	job   *job
	step  int
	index int
	phase taskPhase
	// run is the number of the last run.
	run   int64
	fails int
	host  *host
	// avoid is the host of the last failure.
	avoid    *host
	placedAt time.Time
	// expected is when a run on a sound host would have ended by far.
	expected time.Time
	stopping bool
}

type ack struct {
	host   string
	life   string
	number int64
}

type job struct {
	id    string
	queue string
	spec  *work.Job
	shard int
	phase phase
	// state is the state as decided, shown the one that is stored.
	state work.State
	shown work.State
	tasks [][]task
	left  []int
	// started is set once a task was placed.
	started bool
	old     bool
	runBase int64
	dirty   bool
	inBatch bool
	acks    []ack
	// due is when the job's objective ends, late when its end is worth nothing.
	due     time.Time
	late    time.Time
	endedAt time.Time
}

// kept reports whether the job is kept in the store.
func (j *job) kept() bool { return j.shard != volatileShard }

// lateFactor times the objective is when a job's answer is worth nothing any
// more, as RULES.md gives it.
const lateFactor = 3

func newJob(spec *work.Job, shard int, accepted time.Time) *job {
	j := &job{id: spec.ID, queue: spec.Queue.Name, spec: spec, shard: shard, state: work.StateQueued}
	objective := spec.Objective()
	j.due = accepted.Add(objective)
	j.late = accepted.Add(lateFactor * objective)
	j.tasks = make([][]task, len(spec.Steps))
	j.left = make([]int, len(spec.Steps))
	for step := range spec.Steps {
		count := spec.Steps[step].Count
		j.left[step] = count
		j.tasks[step] = make([]task, count)
		for i := range j.tasks[step] {
			j.tasks[step][i] = task{job: j, step: step, index: i}
		}
	}
	return j
}

// restore applies what the store holds of the job's progress.
func (j *job) restore(p work.Progress) {
	for _, d := range p.Done {
		if tk := j.task(d[0], d[1]); tk != nil && tk.phase != taskDone {
			tk.phase = taskDone
			j.left[d[0]]--
			j.started = true
		}
	}
	for _, f := range p.Failed {
		if tk := j.task(f[0], f[1]); tk != nil {
			tk.fails = f[2]
			j.started = true
		}
	}
}

func (j *job) task(step, index int) *task {
	if step < 0 || step >= len(j.tasks) || index < 0 || index >= len(j.tasks[step]) {
		return nil
	}
	return &j.tasks[step][index]
}

// progress returns what the store is to hold.
func (j *job) progress() work.Progress {
	p := work.Progress{State: j.state, Queue: j.queue}
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
			if tk.fails > 0 {
				p.Failed = append(p.Failed, [3]int{step, i, tk.fails})
			}
		}
	}
	return p
}

// unlocked reports whether all earlier steps of a step are done.
func (j *job) unlocked(step int) bool {
	for _, a := range j.spec.Steps[step].After {
		if j.left[a] > 0 {
			return false
		}
	}
	return true
}

func (j *job) done() bool {
	for _, n := range j.left {
		if n > 0 {
			return false
		}
	}
	return true
}

func (tk *task) need() work.Resources { return tk.job.spec.Steps[tk.step].Resources }

func (tk *task) estimate() time.Duration {
	return time.Duration(tk.job.spec.Steps[tk.step].EstimateMS) * time.Millisecond
}

func (tk *task) name() string { return work.TaskName(tk.job.id, tk.step, tk.index) }

func (tk *task) key() work.Run { return work.Run{Task: tk.name(), Number: tk.run} }
