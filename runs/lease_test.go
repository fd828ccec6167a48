package runs

import (
	"testing"
	"time"

	"carobpulley"
)

// leaseEnd returns the latest time at which a lease ends by an endpoint's clock that showed reading at
// a time and is as slow as it may be.
func leaseEnd(deadlineMS, reading int64, at time.Time) time.Time {
	span := time.Duration(deadlineMS-reading) * time.Millisecond
	return at.Add(time.Duration(float64(span) / (1 - ClockSlack)))
}

// Guards against a run that is told lost while its lease goes on: the endpoint has answered no poll for
// some seconds, its clock is slow, and the polls renew the lease nevertheless.
func TestLeaseAllowsForTheAgeOfTheClockReading(t *testing.T) {
	f := newFixture(t)
	s := newStart(1, 100)
	f.dispatch("c", s)
	f.confirmStarts()
	f.poll(carobpulley.RunLists{Running: []carobpulley.ListedRun{{Run: s.Run}}})
	read, reading := f.now, int64(5000+f.now.Sub(testStart).Milliseconds())
	var end time.Time
	for f.now.Sub(read) < 8*time.Second {
		f.report("c", nil)
		sent := f.controller.BeginPoll(f.now)
		end = leaseEnd(sent.Lease.DeadlineMS, reading, read)
		f.advance(40 * time.Millisecond)
		f.controller.HandlePollError(f.now, sent, "", &carobpulley.Error{Op: "renew", Kind: carobpulley.KindUnknown})
	}
	for f.controller.HasRun(s.Run) {
		f.controller.Tick(f.now)
		f.advance(time.Millisecond)
	}
	if f.now.Before(end) {
		t.Errorf("the run is told lost %v before its lease ends", end.Sub(f.now))
	}
}
