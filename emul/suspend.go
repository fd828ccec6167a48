package emul

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"sync"
	"time"

	"carobpulley"
	"carobpulley/link"
	"carobpulley/work"
)

// suspension is the clock of a process whose host can be suspended, and the gate in front of all that
// the process receives and sends. While it is suspended, its clock stands at the beginning, and messages
// and answers to it wait, as do its own calls.
//
// Timers can't be held in virtual time. A timer of the process that fires meanwhile finds the clock
// standing, and what it then sends waits; but the time-outs of calls to other processes run out, and the
// process takes its pauses to be over, at most by the length of the suspension too early.
type suspension struct {
	// steadyAges makes the clock that of carobpulley.SteadyClock: it leaves out the suspensions that are over.
	steadyAges bool

	mu sync.Mutex
	// since is the beginning of the suspension, and awake is closed at its end; zero while the process
	// runs.
	since time.Time
	awake chan struct{}
	// frozen is set if the clock runs on meanwhile, as it does while a process is stopped.
	frozen bool
	// total is the length of all suspensions that are over.
	total time.Duration
	// beforeSending is called before the process sends a command to its endpoint.
	beforeSending func(Command)
}

// Now implements carobpulley.Clock.
func (s *suspension) Now() time.Time {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	if s.awake != nil {
		now = s.since
	}
	if s.steadyAges {
		return now.Add(-s.total)
	}
	return now
}

// Suspended implements carobpulley.Clock.
func (s *suspension) Suspended() time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.steadyAges {
		return 0
	}
	return s.total
}

// steady returns the reading of the clock that doesn't count suspensions.
func (s *suspension) steady() time.Time {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	if s.awake != nil && !s.frozen {
		now = s.since
	}
	return now.Add(-s.total)
}

func (s *suspension) begin(frozen bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.since, s.awake, s.frozen = time.Now(), make(chan struct{}), frozen
}

func (s *suspension) end() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.frozen {
		s.total += time.Since(s.since)
	}
	close(s.awake)
	s.awake = nil
}

// wait waits until the process runs, and reports whether it was suspended.
func (s *suspension) wait() (waited bool) {
	for {
		s.mu.Lock()
		awake := s.awake
		s.mu.Unlock()
		if awake == nil {
			return waited
		}
		<-awake
		waited = true
	}
}

// Suspend suspends the host of a process for a time.
func (p *Process) Suspend(d time.Duration) {
	p.suspension.begin(false)
	time.Sleep(d)
	p.suspension.end()
}

// Freeze stops a process for a time, while the clocks of its host run on.
func (p *Process) Freeze(d time.Duration) {
	p.suspension.begin(true)
	time.Sleep(d)
	p.suspension.end()
}

// SuspendHost suspends the host of an agent and its endpoint for a time.
func (f *Fleet) SuspendHost(n int, d time.Duration) {
	p := f.Agents[n]
	p.suspension.begin(false)
	f.Endpoints[n].suspend()
	time.Sleep(d)
	f.Endpoints[n].wake()
	p.suspension.end()
}

// handler returns a handler whose requests wait while the process is suspended.
func (s *suspension) handler(h http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		body, err := io.ReadAll(r.Body)
		if err != nil {
			http.Error(w, err.Error(), http.StatusBadRequest)
			return
		}
		r.Body = io.NopCloser(bytes.NewReader(body))
		if s.wait() {
			// It waited in the process's socket: the process reads it before it sees that the sender has left.
			r = r.WithContext(context.WithoutCancel(r.Context()))
		}
		h.ServeHTTP(w, r)
	})
}

// dialer returns a dialer whose connections neither send nor receive while the process is suspended.
func (s *suspension) dialer(dial link.DialFunc) link.DialFunc {
	return func(ctx context.Context, network, addr string) (net.Conn, error) {
		s.wait()
		c, err := dial(ctx, network, addr)
		if err != nil {
			return nil, err
		}
		return suspendedConn{c, s}, nil
	}
}

type suspendedConn struct {
	net.Conn
	s *suspension
}

// Read implements net.Conn.
func (c suspendedConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.s.wait()
	return n, err
}

// Write implements net.Conn.
func (c suspendedConn) Write(p []byte) (int, error) {
	c.s.wait()
	return c.Conn.Write(p)
}

// throughSuspension makes a call of the process. Its time limit doesn't run while the process is
// suspended before the call is sent.
func throughSuspension(ctx context.Context, s *suspension, call func(context.Context)) {
	limit, limited := ctx.Deadline()
	remaining := time.Until(limit)
	began := time.Now()
	s.wait()
	if limited && time.Since(began) > 0 {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(context.WithoutCancel(ctx), remaining)
		defer cancel()
	}
	call(ctx)
	s.wait()
}

// toEndpoint makes a call of the process to its endpoint. Its time limit runs by the steady clock of the
// process: the answer may have come by the time at which the process wakes.
func toEndpoint(ctx context.Context, s *suspension, c Command, call func(context.Context)) {
	s.mu.Lock()
	before := s.beforeSending
	s.mu.Unlock()
	if before != nil {
		before(c)
	}
	limit, limited := ctx.Deadline()
	remaining := time.Until(limit)
	began := s.steady()
	s.wait()
	inner, cancel := context.WithCancel(context.WithoutCancel(ctx))
	defer cancel()
	defer context.AfterFunc(ctx, func() {
		if !errors.Is(ctx.Err(), context.DeadlineExceeded) {
			cancel()
		}
	})()
	if limited {
		go func() {
			for left := remaining; left > 0; left = remaining - s.steady().Sub(began) {
				if sleep(inner, left) != nil {
					return
				}
				s.wait()
			}
			cancel()
		}()
	}
	call(inner)
	s.wait()
}

// suspendedEndpoint is the endpoint as a process that can be suspended reaches it.
type suspendedEndpoint struct {
	carobpulley.EndpointClient
	s *suspension
}

// Start implements carobpulley.EndpointClient.
func (e suspendedEndpoint) Start(ctx context.Context, l carobpulley.Lease, start work.Start) (a carobpulley.StartAnswer, err error) {
	toEndpoint(ctx, e.s, CommandStart, func(ctx context.Context) { a, err = e.EndpointClient.Start(ctx, l, start) })
	return a, err
}

// Stop implements carobpulley.EndpointClient.
func (e suspendedEndpoint) Stop(ctx context.Context, l carobpulley.Lease, run work.Run) (a carobpulley.StartAnswer, err error) {
	toEndpoint(ctx, e.s, CommandStop, func(ctx context.Context) { a, err = e.EndpointClient.Stop(ctx, l, run) })
	return a, err
}

// Renew implements carobpulley.EndpointClient.
func (e suspendedEndpoint) Renew(ctx context.Context, l carobpulley.Lease, acked int64, wait time.Duration) (lists carobpulley.RunLists, refusal string, err error) {
	toEndpoint(ctx, e.s, CommandRenew, func(ctx context.Context) { lists, refusal, err = e.EndpointClient.Renew(ctx, l, acked, wait) })
	return lists, refusal, err
}

// suspendedStore is the store as a process that can be suspended reaches it.
type suspendedStore struct {
	store carobpulley.Store
	s     *suspension
}

// Append implements carobpulley.Store.
func (v suspendedStore) Append(ctx context.Context, p carobpulley.Partition, records []carobpulley.KeyedRecord) (err error) {
	throughSuspension(ctx, v.s, func(ctx context.Context) { err = v.store.Append(ctx, p, records) })
	return err
}

// AppendAt implements carobpulley.Store.
func (v suspendedStore) AppendAt(ctx context.Context, p carobpulley.Partition, at int64, records []carobpulley.KeyedRecord) (end int64, err error) {
	throughSuspension(ctx, v.s, func(ctx context.Context) { end, err = v.store.AppendAt(ctx, p, at, records) })
	return end, err
}

// AppendFenced implements carobpulley.Store.
func (v suspendedStore) AppendFenced(ctx context.Context, p carobpulley.Partition, w carobpulley.Writer, records []carobpulley.KeyedRecord) (end int64, err error) {
	throughSuspension(ctx, v.s, func(ctx context.Context) { end, err = v.store.AppendFenced(ctx, p, w, records) })
	return end, err
}

// Newest implements carobpulley.Store.
func (v suspendedStore) Newest(ctx context.Context, p carobpulley.Partition) (records []carobpulley.KeyedRecord, end int64, err error) {
	throughSuspension(ctx, v.s, func(ctx context.Context) { records, end, err = v.store.Newest(ctx, p) })
	return records, end, err
}

// Tail implements carobpulley.Store.
func (v suspendedStore) Tail(ctx context.Context, p carobpulley.Partition, from int64, wait time.Duration) (records []carobpulley.KeyedRecord, next int64, err error) {
	throughSuspension(ctx, v.s, func(ctx context.Context) { records, next, err = v.store.Tail(ctx, p, from, wait) })
	return records, next, err
}
