package place

import (
	"math/rand/v2"
	"time"
)

const (
	// retryShare is the part of a member's recent requests that may be retries
	// or hedges (design section 5).
	retryShare = 0.1
	// budgetSlices slices of budgetSlice make up the time that counts as recent.
	budgetSlices = 12
	budgetSlice  = 5 * time.Second
	// The backoff doubles from backoffFirst up to backoffMax.
	backoffFirst = 20 * time.Millisecond
	backoffMax   = 2 * time.Second
)

// Budget limits retries and hedges to a part of each member's requests of the
// last minute. It is not safe for concurrent use.
type Budget struct {
	rng     *rand.Rand
	members map[string]*memberWindow
}

// memberWindow counts a member's requests and retries by slices of time.
type memberWindow struct {
	slice             int64
	requests, retries [budgetSlices]int
}

// NewBudget returns a Budget that draws its jitter from the source.
func NewBudget(src rand.Source) *Budget {
	return &Budget{rng: rand.New(src), members: map[string]*memberWindow{}}
}

// Request counts a member's request, not its retries.
func (b *Budget) Request(now time.Time, member string) {
	r := b.advance(now, member)
	r.requests[r.slice%budgetSlices]++
}

// Retry takes a retry from a member's budget. It returns false if none is left.
func (b *Budget) Retry(now time.Time, member string) bool {
	r := b.advance(now, member)
	requests, retries := 0, 0
	for i := range budgetSlices {
		requests += r.requests[i]
		retries += r.retries[i]
	}
	if float64(retries+1) > retryShare*float64(requests) {
		return false
	}
	r.retries[r.slice%budgetSlices]++
	return true
}

// Backoff returns the pause before a retry, the first being attempt 1: between
// half and the whole of the exponential backoff.
func (b *Budget) Backoff(attempt int) time.Duration {
	pause := min(backoffMax, backoffFirst<<min(max(0, attempt-1), 10))
	return pause/2 + time.Duration(b.rng.Int64N(int64(pause/2)))
}

// advance clears the slices that are no longer recent. A time before the last
// one counts as the last one.
func (b *Budget) advance(now time.Time, member string) *memberWindow {
	slice := now.UnixNano() / int64(budgetSlice)
	r, ok := b.members[member]
	if !ok {
		r = &memberWindow{slice: slice}
		b.members[member] = r
	}
	for i := 0; r.slice < slice && i < budgetSlices; i++ {
		r.slice++
		r.requests[r.slice%budgetSlices] = 0
		r.retries[r.slice%budgetSlices] = 0
	}
	r.slice = max(r.slice, slice)
	return r
}
