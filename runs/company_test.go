package runs

import (
	"fmt"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"github.com/google/go-cmp/cmp/cmpopts"

	"carobpulley/work"
)

// joinRun returns a run of a kind that joins after a time, in milliseconds.
func joinRun(c *company, begin time.Time, ms int, kind string) *run {
	r := &run{start: work.Start{Kind: kind}}
	c.join(begin.Add(time.Duration(ms)*time.Millisecond), r)
	return r
}

// Guards against a wrong part of a run's time beside other kinds, or its own: it is the evidence by which kinds are
// placed apart.
func TestKindsBesideARun(t *testing.T) {
	begin := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	at := func(ms int) time.Time { return begin.Add(time.Duration(ms) * time.Millisecond) }
	var c company
	early := joinRun(&c, begin, 0, "long")
	r := joinRun(&c, begin, 100, "check")
	c.leave(at(125), early)
	c.leave(at(160), joinRun(&c, begin, 150, "check"))
	c.leave(at(170), joinRun(&c, begin, 165, "")) // of a coordinator of the earlier build, for a short time
	got, known := c.leave(at(200), r)
	want := []work.Beside{{Kind: "long", Share: 0.25}, {Kind: "check", Share: 0.1}}
	if diff := cmp.Diff(want, got, cmpopts.EquateApprox(0, 1e-9)); diff != "" || !known {
		t.Errorf("known %t, kinds (-want +got):\n%s", known, diff)
	}
	unknown := joinRun(&c, begin, 300, "")
	r = joinRun(&c, begin, 300, "check")
	c.leave(at(350), unknown)
	if _, known := c.leave(at(400), r); known {
		t.Error("the kinds beside a run are known, half of its time it ran beside one of unknown kind")
	}
}

// Guards against memory and messages that grow with the kinds that clients name.
func TestKindsAtAnEndpointAreBounded(t *testing.T) {
	begin := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	var c company
	r := joinRun(&c, begin, 0, "check")
	for n := range 500 {
		c.leave(begin.Add(time.Duration(n+1)*time.Second), joinRun(&c, begin, 1000*n, fmt.Sprint(n)))
	}
	if len(c.kinds) > maxCompanyKinds+1 {
		t.Errorf("%d kinds, want at most %d", len(c.kinds), maxCompanyKinds)
	}
	for n := range 40 {
		joinRun(&c, begin, 500_000, fmt.Sprint(n))
	}
	if len(c.kinds) > maxCompanyKinds+1 {
		t.Errorf("%d kinds at a time, want at most %d", len(c.kinds), maxCompanyKinds)
	}
	if got, _ := c.leave(begin.Add(501*time.Second), r); len(got) > work.MaxBeside {
		t.Errorf("%d kinds beside a run, want at most %d", len(got), work.MaxBeside)
	}
}
