package coord

import (
	"testing"
	"time"

	"carobpulley"
	"carobpulley/jobs"
	"carobpulley/work"
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

// Guards against a caller that waits on for a submission which another caller of the same job has
// withdrawn: the next job with the id would answer it, also as stored.
func TestWithdrawalLeavesTheJobToItsOtherCallers(t *testing.T) {
	const id = "0000000000000001"
	spec := &work.Job{ID: id, Queue: work.Queue{Name: "q", Service: "s"}, Spec: "x", Steps: []work.Step{{Count: 1}}}
	c := newControlTest(t, &recordedStore{})
	c.lock()
	c.table.AcquireShard(time.Now(), 0, 1, nil)
	c.table.Submit(time.Now(), spec)
	first, second := c.addWaiter(id), c.addWaiter(id)
	c.mu.Unlock()
	if a := c.withdrawSubmission(id, first); a.Code != carobpulley.AnswerUnknown || !c.table.HasJob(id) {
		t.Errorf("answer %+v to the first caller, the job is known: %v, want it to be kept and unknown", a, c.table.HasJob(id))
	}
	if a := c.withdrawSubmission(id, second); a.Code != carobpulley.AnswerRefused || c.table.HasJob(id) {
		t.Errorf("answer %+v to the last caller, the job is known: %v, want a refusal", a, c.table.HasJob(id))
	}
}
