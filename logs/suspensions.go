package logs

import (
	"time"

	"github.com/rs/zerolog"

	"carobpulley"
	"carobpulley/meter"
)

// minSuspension is the least time of a suspension that is logged.
const minSuspension = 100 * time.Millisecond

// Suspensions counts and logs the suspensions of the host.
type Suspensions struct {
	clock carobpulley.Clock
	log   zerolog.Logger
	meter *meter.Set
	// known is the longest time that the clock has shown: a pause between its two readings makes it
	// seem shorter.
	known time.Duration
}

// NewSuspensions returns a Suspensions that counts in m and writes to log.
func NewSuspensions(clock carobpulley.Clock, log zerolog.Logger, m *meter.Set) *Suspensions {
	return &Suspensions{clock: clock, log: log, meter: m, known: clock.Suspended()}
}

// Check counts and logs a suspension since the last call.
func (s *Suspensions) Check() {
	gap := s.clock.Suspended() - s.known
	if gap <= 0 {
		return
	}
	s.known += gap
	if gap < minSuspension {
		return
	}
	s.meter.Add("suspensions", 1)
	s.log.Warn().Int64("gap_ms", gap.Milliseconds()).Msg("process was suspended")
}
