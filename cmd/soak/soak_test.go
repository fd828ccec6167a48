package main

import (
	"net"
	"net/netip"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"carobpulley"
	"carobpulley/emul"
	"carobpulley/platform/stand"
	"carobpulley/work"
)

// readTimeout bounds the wait for expected data; noDataWait is how long the tests wait to see that
// no data arrives.
const (
	readTimeout = 5 * time.Second
	noDataWait  = 30 * time.Millisecond
)

// newEchoProxy starts an echo server and a proxy to it.
func newEchoProxy(t *testing.T) *proxy {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = ln.Close() })
	go func() {
		for {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			go func() {
				buf := make([]byte, 16)
				for {
					n, err := c.Read(buf)
					if err != nil {
						_ = c.Close()
						return
					}
					_, _ = c.Write(buf[:n])
				}
			}()
		}
	}()
	p, err := newProxy(netip.MustParseAddrPort("127.0.0.1:0"), netip.MustParseAddrPort(ln.Addr().String()))
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(p.close)
	return p
}

func dial(t *testing.T, p *proxy) net.Conn {
	t.Helper()
	c, err := net.Dial("tcp", p.listener.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = c.Close() })
	return c
}

// answered reports whether a byte is echoed within the wait.
func answered(t *testing.T, c net.Conn, wait time.Duration) bool {
	t.Helper()
	if _, err := c.Write([]byte("x")); err != nil {
		return false
	}
	if err := c.SetReadDeadline(time.Now().Add(wait)); err != nil {
		t.Fatal(err)
	}
	_, err := c.Read(make([]byte, 1))
	return err == nil
}

// Guards against proxy modes that have no effect.
func TestProxyFaults(t *testing.T) {
	p := newEchoProxy(t)
	existing := dial(t, p)
	if !answered(t, existing, readTimeout) {
		t.Fatal("no answer without a fault")
	}
	p.setMode(modeDropExisting)
	if answered(t, existing, noDataWait) {
		t.Error("an open connection still passes data in modeDropExisting")
	}
	fresh := dial(t, p)
	if !answered(t, fresh, readTimeout) {
		t.Error("a new connection does not pass data in modeDropExisting")
	}
	p.setMode(modeDropAll)
	if answered(t, fresh, noDataWait) {
		t.Error("a connection passes data in modeDropAll")
	}
	p.setMode(modePass)
	p.resetConns()
	if _, err := existing.Read(make([]byte, 1)); err == nil {
		t.Error("a reset connection can still be read")
	}
}

// Guards against a check that misses a refused job with a run, or a completed job without one.
func TestCheckStarts(t *testing.T) {
	s := &soak{fleet: &fleet{checker: emul.NewChecker()}}
	endpoint := emul.NewEndpoint(s.fleet.checker, work.Resources{CPU: 1}, 1, func(work.Start) (time.Duration, work.Outcome) { return time.Hour, work.OutcomeDone })
	defer endpoint.Close()
	started := &work.Job{ID: "0000000000000001", Steps: []work.Step{{Count: 1}}}
	never := &work.Job{ID: "0000000000000002", Steps: []work.Step{{Count: 1}}}
	run := work.Run{Task: work.TaskName(started.ID, 0, 0), Number: 1}
	// The endpoint's clock starts at 1,000 ms, so this lease is valid.
	if _, err := endpoint.Start(t.Context(), carobpulley.Lease{Token: 1, DeadlineMS: 1900}, work.Start{Run: run}); err != nil {
		t.Fatal(err)
	}
	for _, result := range []jobResult{
		{job: started, state: work.StateCompleted},
		{job: started, refused: true},
		{job: never, state: work.StateCompleted},
		{job: never, refused: true},
	} {
		s.checkStarts(&result)
	}
	want := []string{
		"refused as not run, but started: 0000000000000001.0.0.0",
		"completed, but never started: 0000000000000002.0.0.0",
	}
	if diff := cmp.Diff(want, s.fleet.checker.Violations()); diff != "" {
		t.Errorf("violations (-want +got):\n%s", diff)
	}
}

// Guards against endpoints that run tasks which nobody submitted.
func TestRegistryFindsOnlySubmittedTasks(t *testing.T) {
	jobs := newRegistry()
	jobs.add(&work.Job{ID: "0000000000000001", Steps: []work.Step{{Count: 1, Resources: work.Resources{CPU: 5}}}})
	var lookup stand.TaskLookup = jobs.lookup
	if resources, durable, ok := lookup("0000000000000001.0.0.0"); !ok || !durable || resources.CPU != 5 {
		t.Errorf("found resources %v, durable %t, ok %t", resources, durable, ok)
	}
	for _, task := range []string{"0000000000000002.0.0.0", "0000000000000001.0.1.0", "x"} {
		if _, _, ok := lookup(task); ok {
			t.Errorf("%s was found, but not submitted", task)
		}
	}
}
