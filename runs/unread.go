package runs

import (
	"slices"
	"time"

	"carobpulley"
)

// unreadEndHold is how long an end that can't be read may be corrected before the endpoint is told to
// drop it, and before a run that is missing from the lists is taken for lost beside it.
const unreadEndHold = 500 * time.Millisecond

// unread is what is known of the rows of the endpoint's lists that can't be read.
type unread struct {
	// lists counts the lists, and running holds the rows of running runs in the last one.
	lists   int64
	running map[string]unreadRun
	// endsSince is the time of the first of successive lists with such an end; zero if the last list
	// had none. firstEnd is the lowest number that the end may have while it is held; 0 if none is.
	endsSince time.Time
	firstEnd  int64
}

// unreadRun is a row that all lists hold from number list on, which was handled at the time at.
type unreadRun struct {
	list int64
	at   time.Time
}

// observeUnread records the rows of the endpoint's lists that can't be read.
func (c *Controller) observeUnread(now time.Time, lists carobpulley.RunLists) {
	u := &c.unread
	u.lists++
	var running map[string]unreadRun
	for _, row := range lists.UnreadRunning {
		if running == nil {
			running = make(map[string]unreadRun, len(lists.UnreadRunning))
		}
		running[row] = unreadRun{list: u.lists, at: now}
		if before, known := u.running[row]; known {
			running[row] = before
		}
	}
	u.running = running
	u.firstEnd = 0
	switch {
	case len(lists.UnreadEnds) == 0:
		u.endsSince = time.Time{}
		return
	case u.endsSince.IsZero():
		u.endsSince = now
	}
	if now.Sub(u.endsSince) < unreadEndHold {
		u.firstEnd = slices.Min(lists.UnreadEnds) + 1
	}
}

// mayBeUnread reports whether a run that the endpoint doesn't list may be a row that can't be read. A row
// that was there before the run's start, or in one list with the run, can't be the run.
func (c *Controller) mayBeUnread(r *run) bool {
	if c.unread.firstEnd > 0 {
		return true
	}
	for _, row := range c.unread.running {
		if r.listedIn < row.list && row.at.After(r.launchedAt) {
			return true
		}
	}
	return false
}

// isNewEnd reports whether the endpoint lists the end with a number for the first time.
func (c *Controller) isNewEnd(sequence int64) bool {
	return sequence > c.ackedUpTo && !c.listedEnds[sequence]
}
