package agent

import (
	"context"
	"expvar"
	"net/http"
	"net/netip"
	"net/url"
	"slices"
	"sync"
	"time"

	"github.com/go-faster/errors"
	"github.com/rs/zerolog"

	"carobpulley"
	"carobpulley/fence"
)

// Config holds the settings of an agent.
type Config struct {
	// Endpoint describes the endpoint. Addr is the agent's advertised address,
	// by default the one it listens on; Incarnation is set by New.
	Endpoint carobpulley.Endpoint
	// BaseURL is the URL of the endpoint; tasks are sent to
	// {BaseURL}/run/{service}.
	BaseURL *url.URL
	// QueueLimit is the largest number of dispatches that wait for a slot.
	QueueLimit int
	// RunLimit is the timeout of one call to the endpoint.
	RunLimit time.Duration
	// DrainTimeout is how long running tasks may continue after SIGTERM.
	DrainTimeout time.Duration
	// Entries are the addresses that the agent announces itself to.
	Entries []netip.AddrPort
}

// Agent serves the dispatches for one endpoint and announces the endpoint to the
// entries. It is safe for concurrent use.
type Agent struct {
	cfg          Config
	log          zerolog.Logger
	entryClients EntryClients
	endpoint     http.RoundTripper
	vars         *expvar.Map
	// wake holds one channel per entry. A value on it triggers an announcement at
	// once.
	wake []chan struct{}

	mu      sync.Mutex
	gate    *fence.Gate
	running map[carobpulley.TaskID]*task
	waiting []*waiter
	// granted counts the waiters that were granted a slot and have not started
	// their task yet.
	granted  int
	draining bool
	// idle is closed once the agent is draining and no task runs.
	idle chan struct{}
}

// task is a started task whose end has not been recorded.
type task struct {
	id     carobpulley.TaskID
	ctx    context.Context
	cancel context.CancelFunc
	// cancelled is set if the caller of the job cancelled the task.
	cancelled bool
	// done is closed when the end of the task has been recorded.
	done chan struct{}
}

// waiter is a dispatch that waits for a slot. ready is closed when the waiter is
// granted a slot, or is removed from the queue with err.
type waiter struct {
	in      carobpulley.Entering
	ready   chan struct{}
	granted bool
	err     error
}

// New returns an agent. Its incarnation is the current time. Calls to the
// endpoint go through the round tripper.
func New(cfg Config, entryClients EntryClients, endpoint http.RoundTripper, log zerolog.Logger) *Agent {
	now := time.Now()
	cfg.Endpoint.Incarnation = uint64(now.UnixNano())
	a := &Agent{
		cfg:          cfg,
		log:          log.With().Str("endpoint", cfg.Endpoint.ID).Logger(),
		entryClients: entryClients,
		endpoint:     endpoint,
		vars:         new(expvar.Map).Init(),
		gate: fence.New(fence.Config{
			Endpoint:    cfg.Endpoint.ID,
			Incarnation: cfg.Endpoint.Incarnation,
			Slots:       cfg.Endpoint.Slots,
			Started:     now,
		}),
		running: make(map[carobpulley.TaskID]*task),
		idle:    make(chan struct{}),
	}
	for range cfg.Entries {
		a.wake = append(a.wake, make(chan struct{}, 1))
	}
	a.registerVars()
	return a
}

// Ready returns nil while the agent accepts dispatches.
func (a *Agent) Ready() error {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.draining {
		return &carobpulley.Error{Op: "ready", Kind: carobpulley.KindDraining, Msg: "the agent is stopping"}
	}
	if version, _ := a.gate.Config(); version == 0 {
		return &carobpulley.Error{Op: "ready", Kind: carobpulley.KindUnavailable, Msg: "no entry has answered yet"}
	}
	return nil
}

// Drain refuses new dispatches as not run and waits for the running tasks. Tasks
// that still run when ctx ends are stopped.
func (a *Agent) Drain(ctx context.Context) {
	a.mu.Lock()
	a.draining = true
	a.gate.Drain()
	a.rejectWaiters(time.Now())
	a.closeIfIdle()
	a.mu.Unlock()
	a.wakeAnnouncers()
	select {
	case <-a.idle:
		return
	case <-ctx.Done():
	}
	a.mu.Lock()
	for _, t := range a.running {
		a.log.Warn().Str("key", t.id.Job.Key).Int("index", t.id.Index).Msg("task stopped: drain limit reached")
		t.cancel()
	}
	a.mu.Unlock()
	<-a.idle
}

// admit waits for a slot and records the start if the gate permits it. It returns
// the started task, or the refusal.
func (a *Agent) admit(ctx context.Context, in carobpulley.Entering) (*task, error) {
	w, t, err := a.enqueue(ctx, in)
	if w == nil {
		return t, err
	}
	timer := time.NewTimer(a.maxWait(in))
	defer timer.Stop()
	select {
	case <-w.ready:
	case <-timer.C:
	case <-ctx.Done():
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	if w.err != nil {
		return nil, w.err
	}
	if !w.granted {
		a.waiting = slices.DeleteFunc(a.waiting, func(other *waiter) bool { return other == w })
		return nil, a.gate.RefuseBusy(time.Now(), in)
	}
	a.granted--
	defer a.closeIfIdle()
	defer a.grantSlots()
	if ctx.Err() != nil {
		return nil, a.gate.RefuseBusy(time.Now(), in)
	}
	return a.tryStart(ctx, in)
}

// enqueue starts a task at once if a slot is free. Otherwise it adds a waiter to
// the queue and returns it, or returns the refusal if the queue is full, the
// domain is out of service or the dispatch can never start.
func (a *Agent) enqueue(ctx context.Context, in carobpulley.Entering) (*waiter, *task, error) {
	a.mu.Lock()
	defer a.mu.Unlock()
	now := time.Now()
	if err := a.gate.CheckPermanent(now, in); err != nil {
		return nil, nil, err
	}
	if !slices.Contains(a.cfg.Endpoint.Services, in.Dispatch.Service) {
		return nil, nil, errService
	}
	if _, inService := a.gate.Config(); !inService {
		a.rejectWaiters(now)
		return nil, nil, a.gate.Enter(now, in)
	}
	if len(a.waiting) == 0 && a.freeSlots() > 0 {
		t, err := a.tryStart(ctx, in)
		return nil, t, err
	}
	if len(a.waiting) >= a.cfg.QueueLimit {
		return nil, nil, a.gate.RefuseBusy(now, in)
	}
	w := &waiter{in: in, ready: make(chan struct{})}
	a.waiting = append(a.waiting, w)
	return w, nil, nil
}

// maxWait returns how long a dispatch may wait for a slot: until its deadline
// passes or its echo expires, whichever comes first. After that the gate refuses
// it.
func (a *Agent) maxWait(in carobpulley.Entering) time.Duration {
	now := time.Now()
	echo := carobpulley.EchoValidity - time.Duration(a.gate.Clock(now)-in.Echo)
	return min(echo, in.Dispatch.Deadline.Sub(now))
}

// tryStart records the start of a task if the gate permits it. The caller holds
// mu and calls the endpoint next.
func (a *Agent) tryStart(ctx context.Context, in carobpulley.Entering) (*task, error) {
	if err := a.gate.Enter(time.Now(), in); err != nil {
		return nil, err
	}
	t := &task{id: in.Dispatch.ID, done: make(chan struct{})}
	t.ctx, t.cancel = context.WithTimeout(context.WithoutCancel(ctx), a.cfg.RunLimit)
	a.running[t.id] = t
	return t, nil
}

// endTask records the end of a task and grants its slot to a waiter.
func (a *Agent) endTask(t *task, end carobpulley.StartedTask) {
	a.mu.Lock()
	defer a.mu.Unlock()
	t.cancel()
	a.gate.End(time.Now(), end)
	delete(a.running, t.id)
	close(t.done)
	a.grantSlots()
	a.closeIfIdle()
}

// freeSlots returns the number of slots that are neither in use by a task nor
// granted to a waiter.
func (a *Agent) freeSlots() int {
	return a.cfg.Endpoint.Slots - a.gate.Running() - a.granted
}

// grantSlots grants free slots to waiters in order of arrival.
func (a *Agent) grantSlots() {
	for len(a.waiting) > 0 && a.freeSlots() > 0 {
		w := a.waiting[0]
		a.waiting = a.waiting[1:]
		w.granted = true
		a.granted++
		close(w.ready)
	}
}

// rejectWaiters removes the waiters that the gate no longer permits to start, such
// as cancelled and withdrawn ones. It removes all of them if the agent is draining
// or out of service.
func (a *Agent) rejectWaiters(now time.Time) {
	_, inService := a.gate.Config()
	a.waiting = slices.DeleteFunc(a.waiting, func(w *waiter) bool {
		err := a.gate.CheckPermanent(now, w.in)
		if err == nil && !inService {
			err = a.gate.Enter(now, w.in)
		}
		if err == nil {
			return false
		}
		w.err = err
		close(w.ready)
		return true
	})
}

// configure applies the service state of the agent's domain as an entry reports it.
func (a *Agent) configure(version uint64, inService bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.gate.Configure(version, inService)
	a.rejectWaiters(time.Now())
}

// closeIfIdle closes idle if the agent is draining and no task runs. The caller
// holds mu.
func (a *Agent) closeIfIdle() {
	if !a.draining || len(a.running) > 0 || a.granted > 0 {
		return
	}
	select {
	case <-a.idle:
	default:
		close(a.idle)
	}
}

// load returns the numbers of running and queued tasks. The caller holds mu.
func (a *Agent) load() carobpulley.Load {
	return carobpulley.Load{Running: a.gate.Running(), Queued: len(a.waiting) + a.granted}
}

var errService = &carobpulley.Error{
	Op: "dispatch", Kind: carobpulley.KindImpossible, Msg: "the endpoint does not run the service", NotRun: true,
}

// kindOf returns the kind of an error of the gate, or an empty kind.
func kindOf(err error) carobpulley.Kind {
	e, _ := errors.Into[*carobpulley.Error](err)
	if e == nil {
		return ""
	}
	return e.Kind
}
