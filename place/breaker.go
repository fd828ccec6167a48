package place

import (
	"math/rand/v2"
	"time"
)

const (
	// breakerFailures is the weighted number of consecutive failures that opens
	// the breaker.
	breakerFailures = 4.5
	// breakerDecay is the factor applied to the failure count at each announcement,
	// about every second, so that rare failures without a success in between do not
	// add up.
	breakerDecay = 0.98
	// breakerPause is how long the breaker stays open at first. The time doubles
	// with each failed probe up to breakerPauseMax.
	breakerPause    = time.Second
	breakerPauseMax = 30 * time.Second
	// breakerJitter is the largest random fraction added to a pause, so that
	// entries do not probe at the same time.
	breakerJitter = 0.25
)

// breaker is the circuit breaker of one endpoint. It is open until openUntil, then
// half open with one probe at a time.
type breaker struct {
	failures float64
	// trips counts how often the breaker has opened since it was last closed.
	trips     int
	probing   bool
	openUntil time.Time
}

func (b *breaker) isOpen(now time.Time) bool {
	return b.trips > 0 && (now.Before(b.openUntil) || b.probing)
}

// halfOpen reports whether the breaker is half open, provided that isOpen is false.
func (b *breaker) halfOpen() bool {
	return b.trips > 0
}

// startProbe makes a reserved task the probe if the breaker is half open.
func (b *breaker) startProbe() {
	b.probing = b.trips > 0
}

// cancelProbe allows another probe after one was refused.
func (b *breaker) cancelProbe() {
	b.probing = false
}

// countSuccess resets the breaker and reports whether that closed it.
func (b *breaker) countSuccess() bool {
	closed := b.trips > 0
	*b = breaker{}
	return closed
}

// countFailure counts a failure. Tasks sent before the breaker opened may fail
// while it is open; they do not lengthen the pause.
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

// decayFailures reduces the failure count of a closed breaker.
func (b *breaker) decayFailures() {
	if b.trips == 0 {
		b.failures *= breakerDecay
	}
}

// clearElapsed clears openUntil once it has passed; the breaker is then half open.
func (b *breaker) clearElapsed(now time.Time) {
	if !b.openUntil.After(now) {
		b.openUntil = time.Time{}
	}
}
