//go:build review

package main

import (
	"bytes"
	"context"
	_ "embed"
	"fmt"
	"net/http"
	"net/netip"
	"sync"
	"text/template"
	"time"

	"carobpulley/emul"
	"carobpulley/platform/stand"
	"carobpulley/work"
)

//go:embed heartbeat.tmpl
var heartbeatText string

var heartbeatTemplate = template.Must(template.New("heartbeat").Parse(heartbeatText))

// start is a task that a runner has begun.
type start struct {
	at     time.Time
	run    work.Run
	runner int
	kind   string
	lacks  string
}

// runner is the stand-in of one runner, on the project's model of an endpoint.
type runner struct {
	f        *fleet
	number   int
	id       string
	endpoint *emul.Endpoint
	watched  *watched

	mu     sync.Mutex
	kind   string
	server *http.Server
	cancel context.CancelFunc
}

func newRunner(f *fleet, n int, kind string, duration func(s work.Start) time.Duration) *runner {
	r := &runner{f: f, number: n, id: fmt.Sprintf("i-%d", n), kind: kind}
	r.endpoint = emul.NewEndpoint(emul.NewChecker(), work.Resources{CPU: runnerCPU, MemMB: runnerMB}, uint64(n), func(s work.Start) (time.Duration, work.Outcome) {
		r.begun(s)
		return duration(s), work.OutcomeDone
	})
	r.watched = &watched{Endpoint: r.endpoint, r: r, listed: make(map[listedEnd]bool)}
	return r
}

// begun records a start. Durations are those of the job's sheet, so no run ends as failed.
func (r *runner) begun(s work.Start) {
	_, step := r.f.jobs.step(s.Run.Task)
	b := start{at: time.Now(), run: s.Run, runner: r.number, kind: r.kindNow()}
	if step != nil && step.Label != "" && step.Label != b.kind {
		b.lacks = step.Label
	}
	r.f.record.begun(b)
}

func (r *runner) kindNow() string {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.kind
}

// start opens the runner's address and sends its heartbeats, the first one after firstBeat.
func (r *runner) start(firstBeat time.Duration) error {
	srv, err := r.f.serve(netip.AddrPortFrom(r.f.addr(2, r.number), runnerPort), stand.EndpointHandler(r.watched, r.f.jobs.lookup))
	if err != nil {
		return err
	}
	ctx, cancel := context.WithCancel(r.f.ctx)
	r.mu.Lock()
	r.server, r.cancel = srv, cancel
	r.mu.Unlock()
	r.f.wg.Go(func() { r.sendHeartbeats(ctx, firstBeat) })
	r.f.record.add("runner %d is up, kind %s", r.number, r.kindNow())
	return nil
}

// crash ends the runner's process: its connections end, and its address refuses others.
func (r *runner) crash() {
	r.mu.Lock()
	srv, cancel := r.server, r.cancel
	r.server = nil
	r.mu.Unlock()
	if srv == nil {
		return
	}
	cancel()
	r.endpoint.Crash()
	_ = srv.Close()
	if r.f.ctx.Err() == nil {
		r.f.record.add("runner %d has crashed", r.number)
	}
}

// restart begins another life under the same id and address.
func (r *runner) restart(kind string, firstBeat time.Duration) error {
	r.mu.Lock()
	r.kind = kind
	r.mu.Unlock()
	r.endpoint.Restart()
	return r.start(firstBeat)
}

func (r *runner) sendHeartbeats(ctx context.Context, first time.Duration) {
	wait := first
	for sequence := int64(1); ; sequence++ {
		select {
		case <-ctx.Done():
			return
		case <-time.After(wait):
		}
		err := r.sendHeartbeat(ctx, sequence)
		if sequence == 1 {
			r.f.record.add("runner %d has sent the first heartbeat of this life, kind %s: %v", r.number, r.kindNow(), err)
		}
		if wait = heartbeatInterval; err != nil {
			wait = 100 * time.Millisecond // its agent may not listen yet
		}
	}
}

func (r *runner) sendHeartbeat(ctx context.Context, sequence int64) error {
	hb := r.endpoint.Heartbeat(r.id, service, zoneOf(r.number), sequence)
	var body bytes.Buffer
	err := heartbeatTemplate.Execute(&body, map[string]any{
		"Service": hb.Service, "Address": netip.AddrPortFrom(r.f.addr(2, r.number), runnerPort), "Zone": hb.Domain, "State": "ready",
		"CPU": hb.Capacity.CPU, "MemMB": hb.Capacity.MemMB, "Kind": r.kindNow(), "Rack": fmt.Sprintf("r1-%d", r.number/3),
		"ClockMS": time.Now().UnixMilli() - hb.Generation + 1000, "Born": hb.Generation, "Sequence": hb.Sequence,
	})
	if err != nil {
		return err
	}
	url := fmt.Sprintf("http://%s/instances/%s", netip.AddrPortFrom(r.f.addr(2, r.number), controlPort), r.id)
	status, _, err := call(ctx, http.MethodPut, url, body.Bytes(), time.Second, 0)
	if err == nil && status != http.StatusOK {
		err = fmt.Errorf("status %d", status)
	}
	return err
}
