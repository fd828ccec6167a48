package emul

import (
	"fmt"
	"math"
	"strings"
	"sync"
	"time"

	"carobpulley/work"
)

// Checker records the runs at the endpoints and collects violations of the rules.
type Checker struct {
	mu      sync.Mutex
	running map[string]int
	starts  map[string]int
	// acknowledged holds the tasks of durable jobs whose successful end an agent has
	// acknowledged to an endpoint.
	acknowledged map[string]bool
	// failed counts the runs of each task that ended failed, and acknowledgedFailures those of durable
	// jobs whose end an agent has acknowledged.
	failed map[string]int
	// broken counts the runs of each task that were on when their endpoint crashed.
	broken               map[string]int
	acknowledgedFailures map[string]int
	// maxAttempts is the number of failed runs after which no run of a task may start.
	maxAttempts int
	// done holds the tasks of which a run has ended successfully.
	done map[string]bool
	// ended holds the ends of each task's runs.
	ended      map[string][]endedRun
	violations []string
	// runCount is the number of runs that have started.
	runCount int
	// histories holds the starts and ends of each task's runs, for the text of a violation.
	histories map[string][]runEvent
	endpoints int
	// crashes holds the generations of endpoints that a task has crashed, and startsAfterCrashes the
	// starts of the task after it had crashed crashLimit of them.
	crashes            map[string]map[crashedEndpoint]bool
	startsAfterCrashes map[string]int
}

// eventStarted and eventEnded are the kinds of a runEvent.
const (
	eventStarted = "started"
	eventEnded   = "ended"
)

// runEvent is the start or the end of a run.
type runEvent struct {
	at       time.Time
	what     string
	run      int64
	endpoint int
	// lease is the time at which the endpoint's lease expires.
	lease time.Time
}

// history returns a task's events as text. The caller holds the lock.
func (c *Checker) history(task string) string {
	var b strings.Builder
	for _, e := range c.histories[task] {
		fmt.Fprintf(&b, "; %s run %d %s at endpoint %d, lease until %s", e.at.Format("15:04:05.000"), e.run, e.what, e.endpoint, e.lease.Format("15:04:05.000"))
	}
	return b.String()
}

// NewChecker returns a checker without recorded runs.
func NewChecker() *Checker {
	return &Checker{
		running: make(map[string]int), starts: make(map[string]int), acknowledged: make(map[string]bool),
		histories: make(map[string][]runEvent), done: make(map[string]bool), ended: make(map[string][]endedRun),
		crashes: make(map[string]map[crashedEndpoint]bool), startsAfterCrashes: make(map[string]int),
		failed: make(map[string]int), broken: make(map[string]int), acknowledgedFailures: make(map[string]int), maxAttempts: math.MaxInt,
	}
}

// LimitAttempts sets the number of failed runs after which no run of a task may start.
func (c *Checker) LimitAttempts(n int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.maxAttempts = n
}

// addEndpoint returns the number of a new endpoint.
func (c *Checker) addEndpoint() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.endpoints++
	return c.endpoints - 1
}

func (c *Checker) recordStart(e runEvent, task string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.histories[task] = append(c.histories[task], e)
	c.runCount++
	c.starts[task]++
	c.running[task]++
	if c.running[task] > 1 {
		c.violations = append(c.violations, "two runs of "+task+" at a time"+c.history(task))
	}
	c.checkCrashes(task)
	if c.acknowledgedFailures[task] >= c.maxAttempts {
		c.violations = append(c.violations, task+" started after its attempts were used up"+c.history(task))
	}
	if c.acknowledged[task] {
		c.violations = append(c.violations, task+" started after its end was acknowledged"+c.history(task))
	}
}

// recordAck records that an agent acknowledged an end to an endpoint. Only ends of durable jobs
// count.
func (c *Checker) recordAck(start work.Start, outcome work.Outcome) {
	if !start.Durable {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	switch outcome {
	case work.OutcomeDone:
		c.acknowledged[start.Run.Task] = true
	case work.OutcomeFailed:
		c.acknowledgedFailures[start.Run.Task]++
	default:
	}
}

func (c *Checker) recordStop(e runEvent, task string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.histories[task] = append(c.histories[task], e)
	c.running[task]--
}

// recordDone records the successful end of a run.
func (c *Checker) recordDone(task string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.done[task] = true
}

// recordFailed records a run that ended failed.
func (c *Checker) recordFailed(task string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.failed[task]++
}

// recordBroken records a run that was on when its endpoint crashed.
func (c *Checker) recordBroken(task string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.broken[task]++
}

// CheckFailed records a violation for a job that is shown as failed although no task of it has used up
// its attempts, or was on at as many crashes as permit to give it up.
func (c *Checker) CheckFailed(j *work.Job) {
	c.mu.Lock()
	defer c.mu.Unlock()
	var histories strings.Builder
	for step := range j.Steps {
		for n := range j.Steps[step].Count {
			task := work.TaskName(j.ID, step, n)
			if c.failed[task] >= c.maxAttempts || c.broken[task] >= crashesToGiveUp {
				return
			}
			histories.WriteString(c.history(task))
		}
	}
	c.violations = append(c.violations, "job "+j.ID+" is shown as failed with attempts left"+histories.String())
}

// CheckCompleted records a violation for each task of a job that was answered as completed although
// no run of the task has ended successfully.
func (c *Checker) CheckCompleted(j *work.Job) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for step := range j.Steps {
		for n := range j.Steps[step].Count {
			if task := work.TaskName(j.ID, step, n); !c.done[task] {
				c.violations = append(c.violations, task+" was answered as completed without such a run"+c.history(task))
			}
		}
	}
}

// AddViolation records a violation of a rule, or a failure of the emulation.
func (c *Checker) AddViolation(violation string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.violations = append(c.violations, violation)
}

// StartCount returns the number of runs of a task that have started.
func (c *Checker) StartCount(task string) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.starts[task]
}

// StartsAt returns the number of runs that have started at an endpoint.
func (c *Checker) StartsAt(endpoint int) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	n := 0
	for _, events := range c.histories {
		for i := range events {
			if events[i].endpoint == endpoint && events[i].what == eventStarted {
				n++
			}
		}
	}
	return n
}

// StartsAfter returns the number of runs that have started at an endpoint after a time.
func (c *Checker) StartsAfter(endpoint int, after time.Time) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	n := 0
	for _, events := range c.histories {
		for i := range events {
			if events[i].endpoint == endpoint && events[i].what == eventStarted && events[i].at.After(after) {
				n++
			}
		}
	}
	return n
}

// RunCount returns the number of runs that have started.
func (c *Checker) RunCount() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.runCount
}

// Violations returns the violations recorded so far.
func (c *Checker) Violations() []string {
	c.mu.Lock()
	defer c.mu.Unlock()
	return append([]string(nil), c.violations...)
}
