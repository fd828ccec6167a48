package emul

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"carobpulley"
	"carobpulley/work"
)

const (
	// commandLatency is the time that an endpoint takes to answer a command.
	commandLatency = time.Millisecond
	// maxListedEnds is the maximum number of ends in one run list.
	maxListedEnds = 500
	// capacityGrace is how long an endpoint's capacity counts that was larger before it shrank: the
	// stability-ms of RULES.md and the next heartbeat.
	capacityGrace = 3*time.Second + heartbeatInterval
	// crashDowntime is the time after which an endpoint that a run has crashed is back.
	crashDowntime = 3300 * time.Millisecond
)

// outcomeCrash is the outcome of a run that crashes its endpoint.
const outcomeCrash work.Outcome = "crash"

type activeRun struct {
	start work.Start
	timer *time.Timer
	// due is the time at which the run ends by itself, and end ends it.
	due time.Time
	end func()
}

// Endpoint emulates an endpoint beside an agent. Its clock counts milliseconds from its
// start and is 2% slow.
type Endpoint struct {
	checker *Checker
	// number is the endpoint's number in the checker's histories.
	number int
	// behavior returns the duration and the outcome of a run.
	behavior func(work.Start) (time.Duration, work.Outcome)

	mu       sync.Mutex
	capacity work.Resources
	// largerCapacity is the capacity before the last change that made it smaller, and shrunkAt its
	// time.
	largerCapacity work.Resources
	shrunkAt       time.Time

	rng        *rand.Rand
	startedAt  time.Time
	generation int64
	token      int64
	deadline   time.Time
	leaseTimer *time.Timer
	running    map[work.Run]*activeRun
	lastEnded  map[string]int64
	finished   []work.End
	// acknowledgeable holds the starts of those runs in finished since whose end the lease
	// has not expired: RULES.md counts only the ends of these as acknowledged.
	acknowledgeable map[work.Run]work.Start
	endCount        int64
	endAdded        chan struct{}
	// crashed is closed when the endpoint crashes.
	crashed chan struct{}
	down    bool
	// lateByLease makes a start late if the lease in force has expired, and not by its own deadline alone.
	lateByLease bool
	standstill  standstill
	// lossRate is the share of commands that are not answered; half of these are applied after
	// a delay, the others never.
	lossRate float64
	// troubles holds the trouble of each kind of command.
	troubles [commandCount]Trouble
}

// NewEndpoint returns an endpoint without runs. behavior returns the duration and the outcome of
// a run.
func NewEndpoint(checker *Checker, capacity work.Resources, seed uint64, behavior func(work.Start) (time.Duration, work.Outcome)) *Endpoint {
	e := &Endpoint{checker: checker, number: checker.addEndpoint(), capacity: capacity, behavior: behavior, rng: rand.New(rand.NewPCG(seed, 1))}
	e.lateByLease = e.number%2 == 1 // PROTOCOL.md permits both
	e.reset()
	return e
}

func (e *Endpoint) reset() {
	e.startedAt = time.Now()
	e.standstill.since, e.standstill.total = e.startedAt, 0
	e.generation = e.startedAt.UnixMilli()
	e.token = 0
	e.deadline = time.Time{}
	e.running = make(map[work.Run]*activeRun)
	e.lastEnded = make(map[string]int64)
	e.finished = nil
	e.acknowledgeable = make(map[work.Run]work.Start)
	e.endCount = 0
	e.endAdded = make(chan struct{})
	e.crashed = make(chan struct{})
}

// Heartbeat returns a heartbeat of the endpoint's current generation.
func (e *Endpoint) Heartbeat(instance, service, domain string, sequence int64) carobpulley.Heartbeat {
	e.mu.Lock()
	defer e.mu.Unlock()
	return carobpulley.Heartbeat{
		Instance: instance, Generation: e.generation, Sequence: sequence, Service: service,
		Domain: domain, Capacity: e.capacity,
	}
}

// SetCapacity changes the capacity while the endpoint runs.
func (e *Endpoint) SetCapacity(r work.Resources) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if !e.capacity.Fits(r) {
		e.largerCapacity, e.shrunkAt = e.capacity, time.Now()
	}
	e.capacity = r
}

// exceedsCapacity reports whether resources in use are beyond the capacity. The caller holds the lock.
func (e *Endpoint) exceedsCapacity(used work.Resources) bool {
	if time.Since(e.shrunkAt) < capacityGrace && used.Fits(e.largerCapacity) {
		return false
	}
	return !used.Fits(e.capacity)
}

// SetLossRate sets the share of commands that are not answered.
func (e *Endpoint) SetLossRate(share float64) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.lossRate = share
}

// Crash ends all runs without listing their ends; commands fail until Restart.
func (e *Endpoint) Crash() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.crash()
}

// crash implements Crash. The caller holds the lock.
func (e *Endpoint) crash() {
	if !e.down {
		close(e.crashed)
	}
	e.down = true
	for key := range e.running {
		e.checker.recordBroken(key.Task)
		e.checker.recordEnd(&e.running[key].start, outcomeBroken)
		e.removeRun(key)
	}
}

// Down reports whether the endpoint has crashed and not restarted.
func (e *Endpoint) Down() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.down
}

// Restart starts a new generation of the endpoint, without runs or ends.
func (e *Endpoint) Restart() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.down = false
	e.reset()
}

// Close ends all runs, so that their timers stop.
func (e *Endpoint) Close() { e.Crash() }

func (e *Endpoint) clockMS() int64 {
	return (e.standstill.now().Sub(e.startedAt)-e.standstill.total).Milliseconds()*98/100 + 1000
}

// runEvent returns an event of a run for the checker. The caller holds the lock.
func (e *Endpoint) runEvent(what string, key work.Run) runEvent {
	return runEvent{at: time.Now(), what: what, run: key.Number, endpoint: e.number, lease: e.deadline}
}

// removeRun removes a run without listing its end. The caller holds the lock.
func (e *Endpoint) removeRun(key work.Run) {
	run := e.running[key]
	run.timer.Stop()
	delete(e.running, key)
	e.checker.recordStop(e.runEvent(eventEnded, key), key.Task)
}

// endRun removes a run and lists its end. The caller holds the lock.
func (e *Endpoint) endRun(key work.Run, outcome work.Outcome) {
	run := e.running[key]
	if run == nil {
		return
	}
	if outcome == outcomeCrash {
		e.checker.recordCrash(key.Task, e.number, e.generation)
		e.crash()
		time.AfterFunc(crashDowntime, e.Restart)
		return
	}
	e.removeRun(key)
	e.checker.recordEnd(&run.start, outcome)
	switch outcome {
	case work.OutcomeDone:
		e.checker.recordDone(key.Task)
	case work.OutcomeFailed:
		e.checker.recordFailed(key.Task)
	default:
	}
	e.acknowledgeable[key] = run.start
	e.lastEnded[key.Task] = max(e.lastEnded[key.Task], key.Number)
	e.endCount++
	e.finished = append(e.finished, work.End{Sequence: e.endCount, Run: key, Outcome: outcome})
	close(e.endAdded)
	e.endAdded = make(chan struct{})
}

func (e *Endpoint) extendLease(deadlineMS int64) {
	if deadlineMS == 0 {
		return
	}
	remaining := time.Duration(deadlineMS-e.clockMS()) * time.Millisecond * 100 / 98
	remaining = min(remaining, time.Second*100/98)
	deadline := time.Now().Add(remaining)
	if !deadline.After(e.deadline) {
		return
	}
	e.deadline = deadline
	if e.leaseTimer != nil {
		e.leaseTimer.Stop()
	}
	e.leaseTimer = time.AfterFunc(remaining, e.handleLeaseExpiry)
}

func (e *Endpoint) handleLeaseExpiry() {
	e.mu.Lock()
	defer e.mu.Unlock()
	if time.Now().Before(e.deadline) {
		return
	}
	for key := range e.running {
		e.endRun(key, work.OutcomeLeaseExpired)
	}
	clear(e.acknowledgeable)
}

// execute carries out a command. A share of lossRate of the commands gets no answer; half of
// these are applied 2 s or more later, the others never. A delayed command has no effect if the
// endpoint has crashed in the meantime.
func (e *Endpoint) execute(ctx context.Context, apply func() carobpulley.StartAnswer) (carobpulley.StartAnswer, error) {
	e.mu.Lock()
	if e.down {
		e.mu.Unlock()
		return carobpulley.StartAnswer{}, commandError(carobpulley.KindGone)
	}
	draw := e.rng.Float64()
	generation := e.generation
	unanswered := draw < e.lossRate
	delayed := draw < e.lossRate/2
	e.mu.Unlock()
	applyIfUp := func() carobpulley.StartAnswer {
		e.mu.Lock()
		defer e.mu.Unlock()
		if e.down {
			return carobpulley.StartAnswer{}
		}
		if e.generation != generation {
			return carobpulley.StartAnswer{Refusal: carobpulley.RefusalWrongInstance}
		}
		a := apply()
		a.Clock = e.clockMS()
		return a
	}
	if err := e.awaitWake(ctx, func() { applyIfUp() }); err != nil {
		return carobpulley.StartAnswer{}, err
	}
	if unanswered {
		if delayed {
			delay := time.Duration(2000+int(draw*10000)) * time.Millisecond
			time.AfterFunc(delay, func() { applyIfUp() })
		}
		<-ctx.Done()
		return carobpulley.StartAnswer{}, commandError(carobpulley.KindUnknown)
	}
	if err := sleep(ctx, commandLatency); err != nil {
		return carobpulley.StartAnswer{}, err
	}
	if err := e.awaitWake(ctx, func() { applyIfUp() }); err != nil {
		return carobpulley.StartAnswer{}, err
	}
	a := applyIfUp()
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.down {
		return carobpulley.StartAnswer{}, commandError(carobpulley.KindBroken)
	}
	return a, nil
}

func (e *Endpoint) startRun(lease carobpulley.Lease, start work.Start) carobpulley.StartAnswer {
	if lease.Token < e.token {
		return carobpulley.StartAnswer{Refusal: carobpulley.RefusalStaleToken}
	}
	e.token = lease.Token
	if e.running[start.Run] != nil {
		return carobpulley.StartAnswer{}
	}
	e.extendLease(lease.DeadlineMS)
	if start.Run.Number <= e.lastEnded[start.Run.Task] {
		return carobpulley.StartAnswer{Refusal: carobpulley.RefusalStaleRun}
	}
	if lease.DeadlineMS <= e.clockMS() && (!e.lateByLease || !time.Now().Before(e.deadline)) {
		return carobpulley.StartAnswer{Refusal: carobpulley.RefusalLeaseExpired}
	}
	used := start.Resources
	for _, other := range e.running {
		used = used.Add(other.start.Resources)
	}
	if e.exceedsCapacity(used) {
		e.checker.recordOverload(e, start, lease.Token)
	}
	d, outcome := e.behavior(start)
	e.checker.recordStart(e.runEvent(eventStarted, start.Run), start.Run.Task)
	key := start.Run
	end := func() {
		e.mu.Lock()
		defer e.mu.Unlock()
		e.endRun(key, outcome)
	}
	e.running[key] = &activeRun{start: start, timer: time.AfterFunc(d, end), due: time.Now().Add(d), end: end}
	return carobpulley.StartAnswer{}
}

func (e *Endpoint) stopRun(lease carobpulley.Lease, run work.Run) carobpulley.StartAnswer {
	if lease.Token < e.token {
		return carobpulley.StartAnswer{Refusal: carobpulley.RefusalStaleToken}
	}
	e.token = lease.Token
	e.lastEnded[run.Task] = max(e.lastEnded[run.Task], run.Number)
	e.endRun(run, work.OutcomeStopped)
	return carobpulley.StartAnswer{}
}

func (e *Endpoint) renew(ctx context.Context, lease carobpulley.Lease, acknowledged int64, maxWait time.Duration) (carobpulley.RunLists, string, error) {
	var added chan struct{}
	a, err := e.execute(ctx, func() carobpulley.StartAnswer {
		if lease.Token < e.token {
			return carobpulley.StartAnswer{Refusal: carobpulley.RefusalStaleToken}
		}
		e.token = lease.Token
		e.extendLease(lease.DeadlineMS)
		e.removeAcknowledged(acknowledged)
		added = e.endAdded
		return carobpulley.StartAnswer{}
	})
	if err != nil || a.Refusal != "" {
		return carobpulley.RunLists{}, a.Refusal, err
	}
	e.mu.Lock()
	empty := len(e.finished) == 0
	e.mu.Unlock()
	if empty {
		select {
		case <-added:
		case <-time.After(maxWait):
		case <-ctx.Done():
			return carobpulley.RunLists{}, "", &carobpulley.Error{Op: "hold", Kind: carobpulley.KindUnknown}
		}
	}
	if err := e.awaitWake(ctx, func() {}); err != nil {
		return carobpulley.RunLists{}, "", err
	}
	if e.Down() {
		return carobpulley.RunLists{}, "", &carobpulley.Error{Op: "hold", Kind: carobpulley.KindUnknown, Msg: "the connection ended"}
	}
	return e.runLists(), "", nil
}

func (e *Endpoint) removeAcknowledged(acknowledged int64) {
	remaining := e.finished[:0]
	for _, end := range e.finished {
		if end.Sequence > acknowledged {
			remaining = append(remaining, end)
			continue
		}
		e.checker.recordAck(e.acknowledgeable[end.Run], end.Outcome)
		delete(e.acknowledgeable, end.Run)
	}
	e.finished = remaining
}

func (e *Endpoint) runLists() carobpulley.RunLists {
	e.mu.Lock()
	defer e.mu.Unlock()
	out := carobpulley.RunLists{Clock: e.clockMS(), Generation: e.generation}
	for key := range e.running {
		out.Running = append(out.Running, carobpulley.ListedRun{Run: key})
	}
	out.Finished = append(out.Finished, e.finished[:min(len(e.finished), maxListedEnds)]...)
	return out
}
