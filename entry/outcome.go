package entry

import (
	"time"

	"carobpulley"
	"carobpulley/inner"
)

// resolve tells the outcome of a dispatch to the job table or the request.
func (e *Entry) resolve(now time.Time, f *flight, a *inner.DispatchAnswer, err error) {
	d := f.dispatch
	switch {
	case err != nil && inner.NotSent(err):
		e.outcome(now, carobpulley.TaskRefused{ID: d.ID, Attempt: d.Attempt, Kind: carobpulley.KindUnavailable})
	case a == nil:
		e.counters.lost.Add(1)
		e.logger.Warn().Err(err).Str("endpoint", d.Endpoint).Msg("dispatch got no answer")
		e.outcome(now, carobpulley.TaskLost{ID: d.ID, Attempt: d.Attempt})
	default:
		e.answered(now, d, a)
	}
}

// answered tells what an agent said of an attempt.
func (e *Entry) answered(now time.Time, d carobpulley.Dispatch, a *inner.DispatchAnswer) {
	switch {
	case a.Refusal != nil && a.Refusal.Kind == carobpulley.KindStarted:
		e.outcome(now, carobpulley.TaskLost{ID: d.ID, Attempt: d.Attempt})
	case a.Phase == carobpulley.PhaseNotRun || a.Refusal != nil:
		e.refused(now, d, a)
	case a.Incarnation != d.Incarnation:
		e.outcome(now, carobpulley.TaskGone{ID: d.ID, Attempt: d.Attempt})
	case a.Phase == carobpulley.PhaseUnknown:
		e.outcome(now, carobpulley.TaskGone{ID: d.ID, Attempt: d.Attempt})
	case !a.Phase.Ended():
		e.outcome(now, carobpulley.TaskLost{ID: d.ID, Attempt: d.Attempt})
	default:
		e.outcome(now, carobpulley.TaskEnded{
			ID:      d.ID,
			Attempt: d.Attempt,
			Phase:   a.Phase,
			Status:  a.Status,
			Result:  a.Result,
			Err:     a.Err,
		})
	}
}

func (e *Entry) refused(now time.Time, d carobpulley.Dispatch, a *inner.DispatchAnswer) {
	kind := carobpulley.KindCancelled
	if a.Refusal != nil {
		kind = a.Refusal.Kind
	}
	e.counters.refused.Add(1)
	e.outcome(now, carobpulley.TaskRefused{ID: d.ID, Attempt: d.Attempt, Kind: kind})
}

// outcome passes an event on to the request or the job table that it is for.
func (e *Entry) outcome(now time.Time, ev carobpulley.Event) {
	if e.callEvent(now, ev) {
		return
	}
	e.step(now, ev)
}
