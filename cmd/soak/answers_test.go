package main

import (
	"context"
	"io"
	"math/rand/v2"
	"net"
	"net/netip"
	"strings"
	"testing"
	"time"

	"github.com/go-faster/errors"
	"github.com/google/go-cmp/cmp"
	"github.com/google/go-cmp/cmp/cmpopts"

	"carobpulley"
	"carobpulley/emul"
	"carobpulley/work"
)

// testJob returns the first job whose tasks always fail, or don't.
func testJob(fails, bestEffort bool) *work.Job {
	for _, id := range []string{"0000000000000001", "0000000000000002", "0000000000000003", "0000000000000004", "0000000000000005", "0000000000000006"} {
		if alwaysFails(id) == fails {
			return &work.Job{ID: id, BestEffort: bestEffort, Steps: []work.Step{{Count: 1}}}
		}
	}
	panic("no such id")
}

// Guards against an answer with status 200 that is not JSON, not what its call promises, or of another
// job, and passes.
func TestAnswersAreChecked(t *testing.T) {
	best, kept, failing := testJob(false, true), testJob(false, false), testJob(true, true)
	for name, c := range map[string]struct {
		req  request
		body string
		want int
	}{
		"accepted":                  {request{method: "POST", job: kept}, "{}", 0},
		"state for a kept job":      {request{method: "POST", job: kept}, `{"state":"completed"}`, 1},
		"completed":                 {request{method: "POST", job: best}, `{"state":"completed"}`, 0},
		"no state":                  {request{method: "POST", job: best}, "{}", 1},
		"no result":                 {request{method: "POST", job: best}, `{"state":"running"}`, 1},
		"empty":                     {request{method: "POST", job: best}, "", 1},
		"cut":                       {request{method: "POST", job: best}, `{"state":"comp`, 1},
		"two documents":             {request{method: "POST", job: best}, `{"state":"completed"}{}`, 1},
		"another field":             {request{method: "POST", job: best}, `{"state":"completed","pending":3,"x":1}`, 1},
		"failed with attempts left": {request{method: "POST", job: best}, `{"state":"failed"}`, 1},
		"completed, but fails":      {request{method: "POST", job: failing}, `{"state":"completed"}`, 2},
		"running":                   {request{method: "GET", job: kept}, `{"state":"running"}`, 0},
		"no such state":             {request{method: "GET", job: kept}, `{"state":"storing"}`, 1},
		"state is null":             {request{method: "GET", job: kept}, `{"state":null}`, 1},
		"cancelled by nobody":       {request{method: "GET", job: kept}, `{"state":"cancelled"}`, 1},
		"cancelled":                 {request{method: "GET", job: best}, `{"state":"cancelled"}`, 0},
		"DELETE":                    {request{method: "DELETE", job: kept}, "{}", 0},
		"DELETE with a state":       {request{method: "DELETE", job: kept}, `{"state":"running"}`, 1},
		"pending":                   {request{method: "GET"}, `{"pending":0}`, 0},
		"pending of a job":          {request{method: "GET", job: kept}, `{"pending":0}`, 1},
		"state of a queue":          {request{method: "GET"}, `{"state":"queued"}`, 1},
	} {
		s := &soak{fleet: &fleet{checker: emul.NewChecker()}, cancelled: map[string]bool{}}
		if name == "cancelled" {
			s.cancelled[best.ID] = true
		}
		if strings.Contains(c.body, "completed") {
			runTask(t, s, best)
		}
		s.checkAnswer(c.req, response{status: 200, body: []byte(c.body)})
		if got := s.fleet.checker.Violations(); len(got) != c.want {
			t.Errorf("%s: violations %q, want %d", name, got, c.want)
		}
	}
}

// runTask runs a job's only task to its successful end.
func runTask(t *testing.T, s *soak, j *work.Job) {
	t.Helper()
	e := emul.NewEndpoint(s.fleet.checker, work.Resources{CPU: 1}, 1, func(work.Start) (time.Duration, work.Outcome) { return 0, work.OutcomeDone })
	defer e.Close()
	// The endpoint's clock starts at 1,000 ms, so this lease is valid.
	lease := carobpulley.Lease{Token: 1, DeadlineMS: 1900}
	if _, err := e.Start(t.Context(), lease, work.Start{Run: work.Run{Task: work.TaskName(j.ID, 0, 0), Number: 1}}); err != nil {
		t.Fatal(err)
	}
	if lists, _, err := e.Renew(t.Context(), lease, 0, readTimeout); err != nil || len(lists.Finished) == 0 {
		t.Fatalf("the run has not ended: %v", err)
	}
}

// Guards against a response that was cut and counts as malformed, and the reverse.
func TestSocketTellsCutFromMalformed(t *testing.T) {
	const whole = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n{}"
	for name, c := range map[string]struct {
		sent string
		want error
	}{
		"whole":                    {whole, nil},
		"nothing":                  {"", io.EOF},
		"cut in the status":        {whole[:11], errPartial},
		"cut in the header":        {whole[:30], errPartial},
		"cut in the body":          {whole[:len(whole)-1], errPartial},
		"no Content-Length":        {"HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n{}", errMalformed},
		"chunked":                  {"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\n{}\r\n0\r\n\r\n", errMalformed},
		"rest of another response": {"d\"}HTTP/1.1 200 OK\r\n" + whole, errMalformed},
	} {
		near, far := net.Pipe()
		go func() {
			_, _ = io.WriteString(far, c.sent)
			_ = far.Close()
		}()
		got, err := newSocket(near).receive(readTimeout, "GET")
		if !errors.Is(err, c.want) || err == nil && string(got.body) != "{}" {
			t.Errorf("%s: error %v, body %q, want error %v", name, err, got.body, c.want)
		}
		_ = near.Close()
	}
}

// Guards against proxy modes that cut or hold back nothing.
func TestProxyCutsAndFreezes(t *testing.T) {
	for _, m := range []mode{modeCut, modeCutReset} {
		p := newEchoProxy(t)
		p.setMode(m)
		ended := 0
		for range 20 {
			c := dial(t, p)
			_, _ = io.WriteString(c, "0123456789")
			_ = c.SetReadDeadline(time.Now().Add(noDataWait))
			_, err := io.Copy(io.Discard, c)
			if netErr := net.Error(nil); !errors.As(err, &netErr) || !netErr.Timeout() {
				ended++
			}
		}
		if ended == 0 || ended == 20 {
			t.Errorf("mode %d: %d of 20 connections ended", m, ended)
		}
	}
	p := newEchoProxy(t)
	c := dial(t, p)
	p.setMode(modeFreeze)
	if answered(t, c, noDataWait) {
		t.Error("a frozen connection passes data")
	}
	p.setMode(modePass)
	_ = c.SetReadDeadline(time.Now().Add(readTimeout))
	if _, err := c.Read(make([]byte, 1)); err != nil {
		t.Errorf("what was frozen does not arrive: %v", err)
	}
}

// Guards against calls that are not sent back to back on one connection, and answers that are given to
// the wrong one.
func TestCallsShareAConnection(t *testing.T) {
	near, far := net.Pipe()
	defer func() { _ = far.Close() }()
	go func() {
		buf := make([]byte, 4096)
		n, _ := far.Read(buf)
		if strings.Count(string(buf[:n]), "HTTP/1.1\r\n") == 2 {
			_, _ = io.WriteString(far, "HTTP/1.1 200 OK\r\nContent-Length: 13\r\n\r\n{\"pending\":3}HTTP/1.1 410 Gone\r\nContent-Length: 2\r\nConnection: close\r\n\r\n{}")
		}
	}()
	s := &soak{fleet: &fleet{checker: emul.NewChecker()}}
	c := &caller{soak: s, socket: newSocket(near)}
	got := c.exchange(readTimeout, request{method: "GET"}, request{method: "GET", job: testJob(false, false)})
	want := []attempt{{response: response{status: 200, body: []byte(`{"pending":3}`)}}, {response: response{status: 410, body: []byte("{}"), last: true}}}
	if diff := cmp.Diff(want, got, cmp.AllowUnexported(attempt{}, response{}), cmpopts.EquateErrors()); diff != "" {
		t.Errorf("attempts (-want +got):\n%s", diff)
	}
	if c.socket != nil {
		t.Error("the connection is kept after its last response")
	}
}

// listenAsCoordinators answers one call at the address of each coordinator of a caller's fleet, and then
// closes the connection if end is set.
func listenAsCoordinators(t *testing.T, c *caller, answers [coordinators]string, end bool) {
	t.Helper()
	for n, answer := range answers {
		ln, err := net.Listen("tcp", netip.AddrPortFrom(c.soak.fleet.addr(1, n), callersProxyPort).String())
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { _ = ln.Close() })
		go func() {
			far, err := ln.Accept()
			if err != nil {
				return
			}
			_, _ = far.Read(make([]byte, 4096))
			_, _ = io.WriteString(far, answer)
			if !end {
				_, _ = io.Copy(io.Discard, far) // until the caller leaves
			}
			_ = far.Close()
		}()
	}
}

// newTestCaller returns a caller of a fleet whose addresses newFleet does not use.
func newTestCaller(ctx context.Context) *caller {
	s := &soak{fleet: &fleet{checker: emul.NewChecker(), ctx: ctx, subnet: firstSubnet - 1}}
	return &caller{soak: s, rng: rand.New(rand.NewPCG(1, 1))}
}

// Guards against calls whose connection is taken for one that was kept and broke, and the reverse.
func TestBrokenIsAKeptConnectionThatEndsBeforeTheAnswer(t *testing.T) {
	for name, c := range map[string]struct {
		kept      bool
		sent      string
		end, want bool
	}{
		"ends":                        {true, "", true, true},
		"a new one ends":              {false, "", true, false},
		"ends within the answer":      {true, "HTTP/1.1 200", true, false},
		"ends within a malformed one": {true, "d\"}\r\n\r\n", true, false},
		"no answer in time":           {true, "", false, false},
	} {
		t.Run(name, func(t *testing.T) {
			caller := newTestCaller(t.Context())
			listenAsCoordinators(t, caller, [coordinators]string{c.sent}, c.end)
			if c.kept && !caller.connect(readTimeout) {
				t.Fatal("not connected")
			}
			wait := readTimeout
			if !c.end {
				wait = noDataWait
			}
			if got := caller.exchange(wait, submission(testJob(true, true)))[0]; got.err == nil || got.broken != c.want {
				t.Errorf("broken %t (%v), want %t", got.broken, got.err, c.want)
			}
		})
	}
}

// Guards against callers that wait in all cases, go to the same coordinator again, or don't wait for a
// durable job.
func TestSentAgainAtOnceToAnotherCoordinator(t *testing.T) {
	const refusal = "HTTP/1.1 429 Too Many Requests\r\nContent-Length: 2\r\n\r\n{}"
	for name, c := range map[string]struct {
		bestEffort bool
		want       int
	}{"best-effort": {true, 1}, "durable": {false, 0}} {
		t.Run(name, func(t *testing.T) {
			caller := newTestCaller(t.Context())
			listenAsCoordinators(t, caller, [coordinators]string{"", refusal, refusal}, true)
			if !caller.connect(readTimeout) {
				t.Fatal("not connected")
			}
			began := time.Now()
			caller.soak.callDeadline = began.Add(resendDelay / 2)
			got := caller.submit(testJob(true, c.bestEffort), began, nil)
			if got.atOnce != c.want || got.attempts != 1+c.want {
				t.Errorf("%d of %d attempts at once, want %d", got.atOnce, got.attempts, c.want)
			}
			if c.bestEffort && (caller.coordinator == 0 || got.latency >= resendDelay) {
				t.Errorf("sent again to coordinator %d, answered after %s", caller.coordinator, got.latency)
			}
		})
	}
}
