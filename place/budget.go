package place

import (
	"math/rand/v2"
	"time"
)

const (
	// retryShare is the ratio of retries and hedges to a member's recent requests
	// that the budget allows (design section 5).
	retryShare = 0.1
	// The sliding window consists of budgetSlices slices of budgetSlice each.
	budgetSlices = 12
	budgetSlice  = 5 * time.Second
	// The backoff doubles with each attempt, from backoffFirst up to backoffMax.
	backoffFirst = 20 * time.Millisecond
	backoffMax   = 2 * time.Second
)

// Budget limits retries and hedges to a fraction of each member's requests of the
// last minute. It is not safe for concurrent use.
type Budget struct {
	rng     *rand.Rand
	members map[string]*memberWindow
}

// memberWindow counts a member's requests and retries in a ring of time slices.
type memberWindow struct {
	slice             int64
	requests, retries [budgetSlices]int
}

// NewBudget returns a Budget that draws the jitter of its backoff from src.
func NewBudget(src rand.Source) *Budget {
	return &Budget{rng: rand.New(src), members: map[string]*memberWindow{}}
}

// Request counts a request of a member. Retries of it are not counted here.
func (b *Budget) Request(now time.Time, member string) {
	w := b.advance(now, member)
	w.requests[w.slice%budgetSlices]++
}

// Retry takes one retry from a member's budget. It returns false if the budget is
// exhausted.
func (b *Budget) Retry(now time.Time, member string) bool {
	w := b.advance(now, member)
	requests, retries := 0, 0
	for i := range budgetSlices {
		requests += w.requests[i]
		retries += w.retries[i]
	}
	if float64(retries+1) > retryShare*float64(requests) {
		return false
	}
	w.retries[w.slice%budgetSlices]++
	return true
}

// Backoff returns the pause before a retry: the exponential backoff with jitter
// down to half of it. The first attempt is 1.
func (b *Budget) Backoff(attempt int) time.Duration {
	pause := min(backoffMax, backoffFirst<<min(max(0, attempt-1), 10))
	return pause/2 + time.Duration(b.rng.Int64N(int64(pause/2)))
}

// advance moves the member's window to the given time, clears the slices that drop
// out of it and returns the window. The window never moves back: an earlier time
// counts in the latest slice.
func (b *Budget) advance(now time.Time, member string) *memberWindow {
	slice := now.UnixNano() / int64(budgetSlice)
	w, ok := b.members[member]
	if !ok {
		w = &memberWindow{slice: slice}
		b.members[member] = w
	}
	for i := 0; w.slice < slice && i < budgetSlices; i++ {
		w.slice++
		w.requests[w.slice%budgetSlices] = 0
		w.retries[w.slice%budgetSlices] = 0
	}
	w.slice = max(w.slice, slice)
	return w
}
