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
	// orderTime is what a runner takes for an answer.
	orderTime = time.Millisecond
	// listMost is the number of ends that one answer lists.
	listMost = 500
)

// Checker gathers what runners and callers see, and what is wrong with it.
type Checker struct {
	mu      sync.Mutex
	running map[string]int
	starts  map[string]int
	// noted holds the tasks of kept jobs with an end as done that a runner was
	// told to forget.
	noted  map[string]bool
	broken []string
	// Starts counts the runs that began.
	begun int
}

// NewChecker returns a judge that has seen nothing.
func NewChecker() *Checker {
	return &Checker{running: make(map[string]int), starts: make(map[string]int), noted: make(map[string]bool)}
}

func (j *Checker) start(task string) {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.begun++
	j.starts[task]++
	j.running[task]++
	if j.running[task] > 1 {
		j.broken = append(j.broken, "two runs of "+task+" at a time")
	}
	if j.noted[task] {
		j.broken = append(j.broken, task+" started after its end was taken note of")
	}
}

// note takes an end that a runner was told to forget.
func (j *Checker) note(s work.Start, how work.Outcome) {
	if !s.Durable || how != work.OutcomeDone {
		return
	}
	j.mu.Lock()
	defer j.mu.Unlock()
	j.noted[s.Run.Task] = true
}

func (j *Checker) stop(task string) {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.running[task]--
}

// Fail records that something is wrong.
func (j *Checker) Fail(what string) {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.broken = append(j.broken, what)
}

// Starts returns the number of runs of a task.
func (j *Checker) Starts(task string) int {
	j.mu.Lock()
	defer j.mu.Unlock()
	return j.starts[task]
}

// Begun returns the number of runs so far, and Broken what was wrong.
func (j *Checker) Begun() int {
	j.mu.Lock()
	defer j.mu.Unlock()
	return j.begun
}

// Broken returns what was wrong so far.
func (j *Checker) Broken() []string {
	j.mu.Lock()
	defer j.mu.Unlock()
	return append([]string(nil), j.broken...)
}

type live struct {
	start work.Start
	timer *time.Timer
}

// Endpoint is a runner beside an agent. Its clock counts milliseconds from its
// start and is up to 2% slow.
type Endpoint struct {
	judge    *Checker
	capacity work.Resources
	// run returns how long a task runs and how it ends.
	run func(work.Start) (time.Duration, work.Outcome)

	mu       sync.Mutex
	rng      *rand.Rand
	born     time.Time
	life     int64
	token    int64
	deadline time.Time
	lapse    *time.Timer
	live     map[work.Run]*live
	ended    map[string]int64
	finished []work.End
	// over holds the starts of the runs in finished since whose end the lease has
	// not lapsed: RULES.md counts no others as taken note of.
	over  map[work.Run]work.Start
	count int64
	grown chan struct{}
	down  bool
	// lost is the share of orders without an answer; half of them are carried out
	// late.
	lost float64
}

// NewEndpoint returns a runner. Run says what becomes of a start.
func NewEndpoint(judge *Checker, capacity work.Resources, seed uint64, run func(work.Start) (time.Duration, work.Outcome)) *Endpoint {
	r := &Endpoint{judge: judge, capacity: capacity, run: run, rng: rand.New(rand.NewPCG(seed, 1))}
	r.reset()
	return r
}

func (r *Endpoint) reset() {
	r.born = time.Now()
	r.life = r.born.UnixMilli()
	r.token = 0
	r.deadline = time.Time{}
	r.live = make(map[work.Run]*live)
	r.ended = make(map[string]int64)
	r.finished = nil
	r.over = make(map[work.Run]work.Start)
	r.count = 0
	r.grown = make(chan struct{})
}

// Heartbeat returns what the runner says of itself.
func (r *Endpoint) Heartbeat(instance, service, domain string, sequence int64) carobpulley.Heartbeat {
	r.mu.Lock()
	defer r.mu.Unlock()
	return carobpulley.Heartbeat{
		Instance: instance, Generation: r.life, Sequence: sequence, Service: service,
		Domain: domain, Capacity: r.capacity,
	}
}

// Lose sets the share of orders without an answer.
func (r *Endpoint) Lose(share float64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.lost = share
}

// Crash ends everything that runs; nothing listens until Restart.
func (r *Endpoint) Crash() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.down = true
	for key := range r.live {
		r.drop(key)
	}
}

// Down reports whether the runner has crashed and not restarted.
func (r *Endpoint) Down() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.down
}

// Restart begins another life of the runner.
func (r *Endpoint) Restart() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.down = false
	r.reset()
}

// Close ends what runs, at the end of a test.
func (r *Endpoint) Close() { r.Crash() }

func (r *Endpoint) clock() int64 {
	return time.Since(r.born).Milliseconds()*98/100 + 1000
}

// drop removes a run without listing its end. The caller holds the lock.
func (r *Endpoint) drop(key work.Run) {
	l := r.live[key]
	l.timer.Stop()
	delete(r.live, key)
	r.judge.stop(key.Task)
}

// end lists the end of a run. The caller holds the lock.
func (r *Endpoint) end(key work.Run, how work.Outcome) {
	l := r.live[key]
	if l == nil {
		return
	}
	r.drop(key)
	r.over[key] = l.start
	r.ended[key.Task] = max(r.ended[key.Task], key.Number)
	r.count++
	r.finished = append(r.finished, work.End{Sequence: r.count, Run: key, Outcome: how})
	close(r.grown)
	r.grown = make(chan struct{})
}

func (r *Endpoint) extend(deadlineMS int64) {
	if deadlineMS == 0 {
		return
	}
	left := time.Duration(deadlineMS-r.clock()) * time.Millisecond * 100 / 98
	left = min(left, time.Second*100/98)
	at := time.Now().Add(left)
	if !at.After(r.deadline) {
		return
	}
	r.deadline = at
	if r.lapse != nil {
		r.lapse.Stop()
	}
	r.lapse = time.AfterFunc(left, r.lapsed)
}

func (r *Endpoint) lapsed() {
	r.mu.Lock()
	defer r.mu.Unlock()
	if time.Now().Before(r.deadline) {
		return
	}
	for key := range r.live {
		r.end(key, work.OutcomeLeaseExpired)
	}
	clear(r.over)
}

// order carries out an order, or loses it.
func (r *Endpoint) order(ctx context.Context, do func() carobpulley.StartAnswer) (carobpulley.StartAnswer, error) {
	r.mu.Lock()
	if r.down {
		r.mu.Unlock()
		return carobpulley.StartAnswer{}, &carobpulley.Error{Op: "order", Kind: carobpulley.KindGone}
	}
	chance := r.rng.Float64()
	life := r.life
	lost := chance < r.lost
	late := chance < r.lost/2
	r.mu.Unlock()
	carry := func() carobpulley.StartAnswer {
		r.mu.Lock()
		defer r.mu.Unlock()
		if r.down || r.life != life {
			return carobpulley.StartAnswer{Refusal: carobpulley.RefusalWrongInstance}
		}
		a := do()
		a.Clock = r.clock()
		return a
	}
	if lost {
		if late {
			after := time.Duration(2000+int(chance*10000)) * time.Millisecond
			time.AfterFunc(after, func() { carry() })
		}
		<-ctx.Done()
		return carobpulley.StartAnswer{}, &carobpulley.Error{Op: "order", Kind: carobpulley.KindUnknown}
	}
	if err := wait(ctx, orderTime); err != nil {
		return carobpulley.StartAnswer{}, err
	}
	return carry(), nil
}

// Start implements carobpulley.Runner.
func (r *Endpoint) Start(ctx context.Context, l carobpulley.Lease, s work.Start) (carobpulley.StartAnswer, error) {
	return r.order(ctx, func() carobpulley.StartAnswer { return r.begin(l, s) })
}

func (r *Endpoint) begin(l carobpulley.Lease, s work.Start) carobpulley.StartAnswer {
	if l.Token < r.token {
		return carobpulley.StartAnswer{Refusal: carobpulley.RefusalStaleToken}
	}
	r.token = l.Token
	if r.live[s.Run] != nil {
		return carobpulley.StartAnswer{}
	}
	if s.Run.Number <= r.ended[s.Run.Task] {
		return carobpulley.StartAnswer{Refusal: carobpulley.RefusalStaleRun}
	}
	if l.DeadlineMS <= r.clock() {
		return carobpulley.StartAnswer{Refusal: carobpulley.RefusalLeaseExpired}
	}
	r.extend(l.DeadlineMS)
	used := s.Resources
	for _, other := range r.live {
		used = used.Add(other.start.Resources)
	}
	if !used.Fits(r.capacity) {
		r.judge.Fail("a start of " + s.Run.Task + " over the room")
	}
	d, how := r.run(s)
	r.judge.start(s.Run.Task)
	key := s.Run
	r.live[key] = &live{start: s, timer: time.AfterFunc(d, func() {
		r.mu.Lock()
		defer r.mu.Unlock()
		r.end(key, how)
	})}
	return carobpulley.StartAnswer{}
}

// Stop implements carobpulley.Runner.
func (r *Endpoint) Stop(ctx context.Context, l carobpulley.Lease, key work.Run) (carobpulley.StartAnswer, error) {
	return r.order(ctx, func() carobpulley.StartAnswer {
		if l.Token < r.token {
			return carobpulley.StartAnswer{Refusal: carobpulley.RefusalStaleToken}
		}
		r.token = l.Token
		r.ended[key.Task] = max(r.ended[key.Task], key.Number)
		r.end(key, work.OutcomeStopped)
		return carobpulley.StartAnswer{}
	})
}

// Renew implements carobpulley.Runner.
func (r *Endpoint) Renew(ctx context.Context, l carobpulley.Lease, seen int64, longest time.Duration) (carobpulley.RunLists, string, error) {
	var grown chan struct{}
	a, err := r.order(ctx, func() carobpulley.StartAnswer {
		if l.Token < r.token {
			return carobpulley.StartAnswer{Refusal: carobpulley.RefusalStaleToken}
		}
		r.token = l.Token
		r.extend(l.DeadlineMS)
		r.forget(seen)
		grown = r.grown
		return carobpulley.StartAnswer{}
	})
	if err != nil || a.Refusal != "" {
		return carobpulley.RunLists{}, a.Refusal, err
	}
	r.mu.Lock()
	waiting := len(r.finished) == 0
	r.mu.Unlock()
	if waiting {
		select {
		case <-grown:
		case <-time.After(longest):
		case <-ctx.Done():
			return carobpulley.RunLists{}, "", &carobpulley.Error{Op: "hold", Kind: carobpulley.KindUnknown}
		}
	}
	return r.lists(), "", nil
}

func (r *Endpoint) forget(seen int64) {
	kept := r.finished[:0]
	for _, e := range r.finished {
		if e.Sequence > seen {
			kept = append(kept, e)
			continue
		}
		r.judge.note(r.over[e.Run], e.Outcome)
		delete(r.over, e.Run)
	}
	r.finished = kept
}

func (r *Endpoint) lists() carobpulley.RunLists {
	r.mu.Lock()
	defer r.mu.Unlock()
	out := carobpulley.RunLists{Clock: r.clock(), Generation: r.life}
	for key := range r.live {
		out.Running = append(out.Running, carobpulley.ListedRun{Run: key})
	}
	out.Finished = append(out.Finished, r.finished[:min(len(r.finished), listMost)]...)
	return out
}
