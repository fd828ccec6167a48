package jobs

import (
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"carobpulley/work"
)

// Guards against a task that is placed again, while its last run was only taken to be over, without the
// reason in the log.
func TestPlacementAfterAnInferredEndIsLogged(t *testing.T) {
	for _, c := range []struct {
		basis string
		infer func(f *fixture)
	}{
		{basisSilent, func(f *fixture) {
			f.now = f.now.Add(testAgentTimeout + time.Millisecond)
			f.table.Tick(f.now)
			f.table.HandleAttachment(f.now, f.newReport("h0", f.table.FollowingAttachment("h0")), nil)
		}},
		{basisUnlisted, func(f *fixture) {
			f.table.HandleAttachment(f.now, f.newReport("h0", f.table.FollowingAttachment("h0")), nil)
		}},
		{basisRestarted, func(f *fixture) {
			r := f.newReport("h0", f.table.FollowingAttachment("h0"))
			r.Incarnation = 2
			f.table.HandleAttachment(f.now, r, nil)
		}},
		{string(work.OutcomeLost), func(f *fixture) { f.report("h0", end(f.started["h0"][0], 0, work.OutcomeLost)) }},
		{string(work.OutcomeCrashed), func(f *fixture) { f.report("h0", end(f.started["h0"][0], 0, work.OutcomeCrashed)) }},
	} {
		t.Run(c.basis, func(t *testing.T) {
			f := newOwner(t, 1)
			f.submit(testJob(1, 1, true))
			f.table.Decisions()
			c.infer(f)
			f.table.PlaceReady(f.now)
			var got []string
			for _, d := range f.table.Decisions() {
				if d.Event == "placed again" {
					got = append(got, d.Basis)
				}
			}
			if diff := cmp.Diff([]string{c.basis}, got); diff != "" {
				t.Errorf("bases of placements (-want +got):\n%s", diff)
			}
		})
	}
}
