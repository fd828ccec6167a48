package coord

import (
	"testing"

	"github.com/google/go-cmp/cmp"

	"carobpulley/jobs"
	"carobpulley/work"
)

// Guards against a start that gets to an agent before the stop of another run that was sent first: the run
// is kept by what the start proves.
func TestDispatchCarriesDelayedStops(t *testing.T) {
	c := newControlTest(t, &recordedStore{})
	dispatch := func(agent string, attachment uint64, stop string) *jobs.Dispatch {
		d := &jobs.Dispatch{Agent: agent, Attachment: attachment}
		if stop != "" {
			d.Stops = []work.Run{{Task: stop, Number: 1}}
		}
		return d
	}
	delayed, underWay := dispatch("a", 2, "delayed"), dispatch("a", 2, "under way")
	c.unanswered = map[string]map[*jobs.Dispatch]bool{
		"a": {delayed: false, underWay: false, dispatch("a", 1, "earlier attachment"): true},
		"b": {dispatch("b", 2, "other agent"): true},
	}
	c.recordDelayed(delayed)
	c.recordDelayed(dispatch("a", 2, "answered"))
	for name, want := range map[*jobs.Dispatch][]work.Run{
		dispatch("a", 2, ""): {{Task: "delayed", Number: 1}},
		underWay:             {{Task: "delayed", Number: 1}},
		delayed:              nil,
	} {
		c.lock()
		got := c.delayedStops(name)
		c.mu.Unlock()
		if diff := cmp.Diff(want, got); diff != "" {
			t.Errorf("stops (-want +got):\n%s", diff)
		}
	}
}
