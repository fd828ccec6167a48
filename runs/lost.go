package runs

import (
	"time"

	"carobpulley/work"
)

// Reasons for which a run is taken to be over although its end was not listed.
const (
	// LostUnlisted means that the endpoint answers and no longer lists the run.
	LostUnlisted = "not listed"
	// LostLeft means that the endpoint has left as announced.
	LostLeft = "left"
	// LostLeaseExpired means that the endpoint doesn't answer and its lease has expired.
	LostLeaseExpired = "lease expired"
)

// Listing is an answer of the endpoint to a poll: when the poll was sent, when its answer was handled,
// and the reading of the endpoint's clock in it, which tells the order in which lists were made.
type Listing struct {
	SentAt    time.Time
	HandledAt time.Time
	ClockMS   int64
}

// LostRun is a run that ended as lost, with the evidence.
type LostRun struct {
	Run    work.Run
	Reason string
	// Listed is the last answer that listed the run while its start was unconfirmed, and Missing the
	// one that lacks it. They are zero if there is none.
	Listed  Listing
	Missing Listing
	// ConfirmedAt is the time at which the endpoint confirmed the start.
	ConfirmedAt time.Time
}

// loseRun ends a run as lost.
func (c *Controller) loseRun(now time.Time, key work.Run, r *run, reason string, missing Listing) {
	c.lost = append(c.lost, LostRun{Run: key, Reason: reason, Listed: r.listed, Missing: missing, ConfirmedAt: r.confirmedAt})
	c.endRun(now, key, r, work.OutcomeLost)
}

// Lost returns the runs that ended as lost since the last call.
func (c *Controller) Lost() []LostRun {
	lost := c.lost
	c.lost = nil
	return lost
}
