package coord

import (
	"testing"

	"carobpulley"
	"carobpulley/jobs"
)

// Guards against a submission that is refused as not run because its shard was released, or its record
// stored, at the moment at which its wait for the store ended: a newer owner may run it.
func TestEndOfWaitBesideAResultIsNoRefusal(t *testing.T) {
	cases := map[string]struct {
		result waitResult
		want   carobpulley.AnswerCode
	}{
		"the shard is released": {waitResult{shardReleased: true}, carobpulley.AnswerUnknown},
		"the job is stored":     {waitResult{stored: jobs.StoredJob{Job: "0000000000000001", Accepted: true}}, carobpulley.AnswerOK},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			c := newControlTest(t, &recordedStore{})
			c.lock()
			ch := c.addWaiter("0000000000000001")
			c.notifyWaiters("0000000000000001", tc.result) // the table no longer has the job as waiting
			c.mu.Unlock()
			if a := c.withdrawSubmission("0000000000000001", ch); a.Code != tc.want {
				t.Errorf("answer %+v, want code %d", a, tc.want)
			}
		})
	}
}
