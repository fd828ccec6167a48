package place

import (
	"math/rand/v2"
	"time"
)

const (
	// breakerFailures is the weighted number of failures in a row that opens
	// the breaker.
	breakerFailures = 4.5
	// breakerForget is the part of the failures that counts on after an
	// announcement, about a second later, so that rare failures without a
	// success in between do not add up.
	breakerForget = 0.98
	// breakerPause is the first pause of an open breaker. It doubles with each
	// failed probe up to breakerPauseMax.
	breakerPause    = time.Second
	breakerPauseMax = 30 * time.Second
	// breakerJitter is the random share added to a pause, so that entries do
	// not probe at the same time.
	breakerJitter = 0.25
)

// breaker is the circuit breaker of one endpoint. It is open until a time, then
// half open with one probe at a time.
type breaker struct {
	failures float64
	opened   int
	probing  bool
	until    time.Time
}

func (b *breaker) isOpen(now time.Time) bool {
	return b.opened > 0 && (now.Before(b.until) || b.probing)
}

func (b *breaker) halfOpen() bool {
	return b.opened > 0
}

func (b *breaker) reserve() {
	b.probing = b.opened > 0
}

// released ends a probe that did not start.
func (b *breaker) released() {
	b.probing = false
}

// succeeded reports whether the success closed the breaker.
func (b *breaker) succeeded() bool {
	closed := b.opened > 0
	*b = breaker{}
	return closed
}

// failed counts a failure. Tasks sent before the breaker opened may fail while
// it is open; they do not lengthen the pause.
func (b *breaker) failed(now time.Time, weight float64, rng *rand.Rand) {
	b.failures += weight
	if b.opened == 0 && b.failures < breakerFailures {
		return
	}
	if b.opened > 0 && !b.probing {
		return
	}
	pause := min(breakerPauseMax, breakerPause<<min(b.opened, 10))
	b.opened++
	b.probing = false
	b.until = now.Add(pause + time.Duration(breakerJitter*rng.Float64()*float64(pause)))
}

// forget weakens the failures of a closed breaker.
func (b *breaker) forget() {
	if b.opened == 0 {
		b.failures *= breakerForget
	}
}

// tick lets the time pass; an open breaker becomes half open at b.until.
func (b *breaker) tick(now time.Time) {
	if !b.until.After(now) {
		b.until = time.Time{}
	}
}
