package place

import (
	"math/rand/v2"
	"time"
)

const (
	// breakerFailures is the weighted number of failures in a row that opens
	// the breaker.
	breakerFailures = 4.5
	// breakerDecay is the part of the failures that counts on after an
	// announcement, about a second later, so that rare failures without a
	// success in between do not add up.
	breakerDecay = 0.98
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
	failures  float64
	trips     int
	probing   bool
	openUntil time.Time
}

func (b *breaker) isOpen(now time.Time) bool {
	return b.trips > 0 && (now.Before(b.openUntil) || b.probing)
}

func (b *breaker) halfOpen() bool {
	return b.trips > 0
}

func (b *breaker) startProbe() {
	b.probing = b.trips > 0
}

// cancelProbe ends a probe that did not start.
func (b *breaker) cancelProbe() {
	b.probing = false
}

// countSuccess reports whether the success closed the breaker.
func (b *breaker) countSuccess() bool {
	closed := b.trips > 0
	*b = breaker{}
	return closed
}

// countFailure counts a failure. Tasks sent before the breaker opened may fail while
// it is open; they do not lengthen the pause.
func (b *breaker) countFailure(now time.Time, weight float64, rng *rand.Rand) {
	b.failures += weight
	if b.trips == 0 && b.failures < breakerFailures {
		return
	}
	if b.trips > 0 && !b.probing {
		return
	}
	pause := min(breakerPauseMax, breakerPause<<min(b.trips, 10))
	b.trips++
	b.probing = false
	b.openUntil = now.Add(pause + time.Duration(breakerJitter*rng.Float64()*float64(pause)))
}

// decayFailures weakens the failures of a closed breaker.
func (b *breaker) decayFailures() {
	if b.trips == 0 {
		b.failures *= breakerDecay
	}
}

// tick lets the time pass; an open breaker becomes half open at b.until.
func (b *breaker) tick(now time.Time) {
	if !b.openUntil.After(now) {
		b.openUntil = time.Time{}
	}
}
