package guard

import (
	"time"

	"carobpulley/meter"
)

// logLosses logs the runs that ended without an end listed by the endpoint. The caller holds a.mu.
func (a *Agent) logLosses() {
	a.logCrashes()
	a.logLost()
	a.logFound()
}

// logLost logs the runs that were judged lost, with the evidence. The caller holds a.mu.
func (a *Agent) logLost() {
	now := a.clock.Now()
	for _, l := range a.controller.Lost() {
		a.cfg.Meter.Add(meter.Name("runs_lost", l.Reason), 1)
		a.log.Warn().Str("task", l.Run.Task).Int64("run", l.Run.Number).Str("reason", l.Reason).
			Int64("confirmed_age_ms", ageMS(now, l.ConfirmedAt)).
			Int64("listed_sent_age_ms", ageMS(now, l.Listed.SentAt)).
			Int64("listed_age_ms", ageMS(now, l.Listed.HandledAt)).
			Int64("listed_clock_ms", l.Listed.ClockMS).
			Int64("missing_sent_age_ms", ageMS(now, l.Missing.SentAt)).
			Int64("missing_clock_ms", l.Missing.ClockMS).
			Msg("run judged lost")
	}
}

// logFound logs the listed runs that this process did not know. The caller holds a.mu.
func (a *Agent) logFound() {
	now := a.clock.Now()
	for _, f := range a.controller.Found() {
		a.cfg.Meter.Add(meter.Name("runs_found", f.Reason), 1)
		a.log.Warn().Str("task", f.Run.Task).Int64("run", f.Run.Number).Str("reason", f.Reason).
			Str("coordinator", f.Coordinator).Int64("ended_age_ms", ageMS(now, f.EndedAt)).
			Int64("generation_age_ms", ageMS(now, f.GenerationAt)).
			Msg("unknown run found")
	}
}

// ageMS returns the time since t in milliseconds, or -1 if t is zero.
func ageMS(now, t time.Time) int64 {
	if t.IsZero() {
		return -1
	}
	return now.Sub(t).Milliseconds()
}
