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

// readLimit bounds the wait for data that must come; dataWait is how long data
// that must not come is waited for.
const (
	readLimit = 5 * time.Second
	dataWait  = 30 * time.Millisecond
)

// echo starts a server that returns what it reads, and a proxy before it.
func echo(t *testing.T) *proxy {
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
	c, err := net.Dial("tcp", p.ln.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = c.Close() })
	return c
}

// answered reports whether a byte that is sent comes back.
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

// Guards against faults that are injected in name only.
func TestProxyFaults(t *testing.T) {
	p := echo(t)
	old := dial(t, p)
	if !answered(t, old, readLimit) {
		t.Fatal("no answer without a fault")
	}
	p.set(modeStale)
	if answered(t, old, dataWait) {
		t.Error("an open connection works after it went silent")
	}
	fresh := dial(t, p)
	if !answered(t, fresh, readLimit) {
		t.Error("a new connection does not work beside silent ones")
	}
	p.set(modeSilent)
	if answered(t, fresh, dataWait) {
		t.Error("data passes a silent proxy")
	}
	p.set(modePass)
	p.resetAll()
	if _, err := old.Read(make([]byte, 1)); err == nil {
		t.Error("a reset connection still delivers")
	}
}

// Guards against a verdict that misses a refused job that ran, and an answer
// without a run.
func TestVerdictCompares(t *testing.T) {
	s := &soak{fleet: &fleet{judge: emul.NewChecker()}}
	r := emul.NewEndpoint(s.fleet.judge, work.Resources{CPU: 1}, 1, func(work.Start) (time.Duration, work.Outcome) { return time.Hour, work.OutcomeDone })
	defer r.Close()
	started := &work.Job{ID: "0000000000000001", Steps: []work.Step{{Count: 1}}}
	never := &work.Job{ID: "0000000000000002", Steps: []work.Step{{Count: 1}}}
	run := work.Run{Task: work.TaskName(started.ID, 0, 0), Number: 1}
	// The model's clock begins at 1,000 ms.
	if _, err := r.Start(t.Context(), carobpulley.Lease{Token: 1, DeadlineMS: 1900}, work.Start{Run: run}); err != nil {
		t.Fatal(err)
	}
	for _, o := range []outcome{
		{job: started, state: work.StateCompleted},
		{job: started, refused: true},
		{job: never, state: work.StateCompleted},
		{job: never, refused: true},
	} {
		s.compare(&o)
	}
	want := []string{
		"refused as not run, but started: 0000000000000001.0.0.0",
		"completed, but never started: 0000000000000002.0.0.0",
	}
	if diff := cmp.Diff(want, s.fleet.judge.Broken()); diff != "" {
		t.Errorf("broken promises (-want +got):\n%s", diff)
	}
}

// Guards against runners that carry out what nobody submitted.
func TestRegistryFindsOnlySubmittedTasks(t *testing.T) {
	g := newRegistry()
	g.put(&work.Job{ID: "0000000000000001", Steps: []work.Step{{Count: 1, Resources: work.Resources{CPU: 5}}}})
	var find stand.TaskLookup = g.find
	if need, kept, ok := find("0000000000000001.0.0.0"); !ok || !kept || need.CPU != 5 {
		t.Errorf("found need %v, kept %t, ok %t", need, kept, ok)
	}
	for _, task := range []string{"0000000000000002.0.0.0", "0000000000000001.0.1.0", "x"} {
		if _, _, ok := find(task); ok {
			t.Errorf("%s was found", task)
		}
	}
}
