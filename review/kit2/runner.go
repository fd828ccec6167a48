//go:build review

package main

import (
	"context"
	_ "embed"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"net/netip"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"carobpulley"
	"carobpulley/emul"
	"carobpulley/platform/stand"
	"carobpulley/work"
)

//go:embed heartbeat.json
var heartbeatText string

const (
	heartbeatInterval = 1500 * time.Millisecond
	capacityCPU       = 64_000
	capacityMB        = 131_072
	// failTime is the time after which a runner that fails all its runs ends one.
	failTime = 20 * time.Millisecond
)

// runner is a stand-in of a runner: the project's emulation of an endpoint behind its HTTP protocol. It notes
// starts and ends.
type runner struct {
	*emul.Endpoint
	// checker is the project's own judge of what runs here.
	checker *emul.Checker
	fleet   *fleet
	number  int
	labels  []string
	heard   atomic.Bool
	// sheds makes the runner refuse each start as unhealthy, with status 503 and nothing done.
	sheds atomic.Bool
	// fails makes the runner fail each run that it starts, a moment after the start.
	fails atomic.Bool

	mu     sync.Mutex
	server *http.Server
	life   int
	// sameID is set if the next life has the id of this one.
	sameID bool
	// noted is the number of the last end in this life that was noted.
	noted int64
	// leaseEnd is the time at which the lease ends, lapsedAt that of its latest lapse, and open holds the listed ends
	// that are not acknowledged.
	leaseEnd, lapsedAt time.Time
	open               map[int64]work.End
}

// leaseMargin is the time before leaseEnd from which the lease counts as lapsed, to be on the safe side.
const leaseMargin = 50 * time.Millisecond

// extend handles the lease of a call that was carried out.
func (r *runner) extend(l carobpulley.Lease) {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := time.Now()
	if now.After(r.leaseEnd.Add(-leaseMargin)) {
		r.lapsedAt = now
	}
	if l.DeadlineMS == 0 {
		return
	}
	// The emulated clock is 2% slow and begins at 1,000 ms with the life.
	born := r.Heartbeat("", "", "", 0).Generation
	clock := (now.UnixMilli()-born)*98/100 + 1000
	left := min(time.Duration(l.DeadlineMS-clock)*time.Millisecond, maxLease) * 100 / 98
	if end := now.Add(left); end.After(r.leaseEnd) {
		r.leaseEnd = end
	}
}

// Start implements carobpulley.EndpointClient.
func (r *runner) Start(ctx context.Context, l carobpulley.Lease, s work.Start) (carobpulley.StartAnswer, error) {
	if s.Durable && r.fleet.delays.CompareAndSwap(true, false) {
		r.fleet.rec.add("runner %d holds the start of %s run %d back", r.number, s.Run.Task, s.Run.Number)
		go r.crashBeside(l, s)
		<-ctx.Done() // the connection ends with the runner
		return carobpulley.StartAnswer{}, ctx.Err()
	}
	a, err := r.Endpoint.Start(ctx, l, s)
	if err == nil && a.Refusal == "" {
		r.extend(l)
	}
	return a, err
}

func newRunner(f *fleet, number int, labels []string) (*runner, error) {
	r := &runner{checker: emul.NewChecker(), fleet: f, number: number, labels: labels}
	r.Endpoint = emul.NewEndpoint(r.checker, work.Resources{CPU: capacityCPU, MemMB: capacityMB}, uint64(number), func(s work.Start) (time.Duration, work.Outcome) {
		d := f.jobs.begin(f.rec, number, s)
		if r.fails.Load() {
			return failTime, work.OutcomeFailed
		}
		return d, work.OutcomeDone
	})
	return r, r.serve()
}

func (r *runner) addr() netip.AddrPort {
	return netip.AddrPortFrom(r.fleet.addr(2, r.number), runnerPort)
}

func (r *runner) serve() error {
	ln, err := net.Listen("tcp", r.addr().String()) //nolint:noctx // a listener of the test
	if err != nil {
		return err
	}
	calls := stand.EndpointHandler(r, r.fleet.jobs.lookup)
	srv := &http.Server{ReadHeaderTimeout: time.Minute, Handler: http.HandlerFunc(func(w http.ResponseWriter, req *http.Request) {
		if r.sheds.Load() && strings.HasSuffix(req.URL.Path, "start") {
			r.fleet.jobs.countShed()
			http.Error(w, "unhealthy", http.StatusServiceUnavailable)
			return
		}
		calls.ServeHTTP(w, req)
	})}
	r.mu.Lock()
	r.server = srv
	if !r.sameID {
		r.life++
	}
	r.noted = 0
	r.open = make(map[int64]work.End)
	r.mu.Unlock()
	go func() { _ = srv.Serve(ln) }() // ends at a crash or with the fleet
	return nil
}

// crash ends the runner with all that runs on it. Its port is closed.
func (r *runner) crash() {
	r.fleet.rec.add("runner %d crashes", r.number)
	r.mu.Lock()
	srv := r.server
	r.mu.Unlock()
	r.Crash()
	r.fleet.jobs.crashed(r.fleet.rec, r.number)
	_ = srv.Close() // open connections are closed too
}

// restart starts a new life of the runner at its address.
func (r *runner) restart() error {
	r.Restart()
	if err := r.serve(); err != nil {
		return err
	}
	r.fleet.rec.add("runner %d is back", r.number)
	return nil
}

// crashBeside crashes the runner beside a start that was held back, and carries the start out as the first call of its
// next life, under the same id.
func (r *runner) crashBeside(l carobpulley.Lease, s work.Start) {
	time.Sleep(5 * time.Millisecond)
	r.crash()
	time.Sleep(downTime)
	r.Restart()
	a, err := r.Endpoint.Start(r.fleet.ctx, l, s)
	r.fleet.rec.add("runner %d is back under its id and carries the late start out: refusal %q, error %v", r.number, a.Refusal, err)
	r.sameID = true
	if err := r.serve(); err != nil {
		r.fleet.fail(err)
	}
}

func (r *runner) close() {
	r.Close()
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.server != nil {
		_ = r.server.Close() // open connections are closed too
	}
}

// Renew implements carobpulley.EndpointClient. It notes the ends that are listed for the first time.
func (r *runner) Renew(ctx context.Context, l carobpulley.Lease, acked int64, wait time.Duration) (carobpulley.RunLists, string, error) {
	lists, refusal, err := r.Endpoint.Renew(ctx, l, acked, wait)
	if err != nil || refusal != "" {
		return lists, refusal, err
	}
	r.extend(l)
	r.mu.Lock()
	defer r.mu.Unlock()
	for n, e := range r.open {
		if n <= acked {
			delete(r.open, n)
			r.fleet.jobs.acknowledged(r.fleet.rec, r.number, e, r.lapsedAt)
		}
	}
	for i := range lists.Finished {
		if e := &lists.Finished[i]; e.Sequence > r.noted {
			r.noted = e.Sequence
			r.open[e.Sequence] = *e
			r.fleet.jobs.ended(r.fleet.rec, r.number, e)
		}
	}
	return lists, refusal, err
}

// sendHeartbeats sends the runner's heartbeats to its agent.
func (r *runner) sendHeartbeats() {
	client := &http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	for sequence := int64(1); r.fleet.ctx.Err() == nil; sequence++ {
		if !r.Down() && r.sendHeartbeat(client, sequence) {
			r.heard.Store(true)
		}
		select {
		case <-r.fleet.ctx.Done():
		case <-time.After(heartbeatInterval):
		}
	}
}

func (r *runner) sendHeartbeat(client *http.Client, sequence int64) bool {
	r.mu.Lock()
	id := fmt.Sprintf("i-%d-%d", r.number, r.life)
	r.mu.Unlock()
	hb := r.Heartbeat(id, service, zoneOf(r.number), sequence)
	labels, err := json.Marshal(r.labels)
	if err != nil {
		return false
	}
	text := strings.NewReplacer(
		"SERVICE", service, "ADDRESS", r.addr().String(), "ZONE", hb.Domain, "STATE", "ready", "LABELS", string(labels),
		"CPU", strconv.FormatInt(hb.Capacity.CPU, 10), "MEM", strconv.FormatInt(hb.Capacity.MemMB, 10),
		"CLOCK", strconv.FormatInt(time.Now().UnixMilli()-hb.Generation, 10), "SEQUENCE", strconv.FormatInt(sequence, 10),
		"BORN", strconv.FormatInt(hb.Generation, 10),
	).Replace(heartbeatText)
	to := netip.AddrPortFrom(r.fleet.addr(2, r.number), heartbeatPort)
	req, err := http.NewRequestWithContext(r.fleet.ctx, http.MethodPut, "http://"+to.String()+"/instances/"+id, strings.NewReader(text))
	if err != nil {
		return false
	}
	resp, err := client.Do(req)
	if err != nil {
		return false
	}
	_ = resp.Body.Close() // only the status is used
	return resp.StatusCode == http.StatusOK
}

// unacknowledged returns the number of runs of durable tasks that are over by their duration and whose end is not
// acknowledged.
func (r *runner) unacknowledged() int {
	j := r.fleet.jobs
	j.mu.Lock()
	defer j.mu.Unlock()
	n := 0
	for run, at := range j.beganAt {
		known := j.jobs[work.JobOfTask(run.Task)]
		if !known.BestEffort && !j.acked[run] && j.at[run] == r.number && time.Since(at) > known.duration {
			n++
		}
	}
	return n
}
