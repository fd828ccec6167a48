package entry

import (
	"time"

	"carobpulley"
	"carobpulley/inner"
)

// reportResult reports the result of a dispatch to the job table or to the single
// request: a is nil if there was no answer, and err is the reason.
func (e *Entry) reportResult(now time.Time, f *inFlightDispatch, a *inner.DispatchAnswer, err error) {
	d := f.dispatch
	switch {
	case err != nil && inner.NotSent(err):
		e.reportEvent(now, carobpulley.TaskRefused{ID: d.ID, Attempt: d.Attempt, Kind: carobpulley.KindUnavailable})
	case a == nil:
		e.counters.lost.Add(1)
		e.logger.Warn().Err(err).Str("endpoint", d.Endpoint).Msg("dispatch got no answer")
		e.reportEvent(now, carobpulley.TaskLost{ID: d.ID, Attempt: d.Attempt})
	default:
		e.reportAnswer(now, d, a)
	}
}

// reportAnswer reports an agent's answer about an attempt.
func (e *Entry) reportAnswer(now time.Time, d carobpulley.Dispatch, a *inner.DispatchAnswer) {
	switch {
	case a.Refusal != nil && a.Refusal.Kind == carobpulley.KindStarted:
		e.reportEvent(now, carobpulley.TaskLost{ID: d.ID, Attempt: d.Attempt})
	case a.Phase == carobpulley.PhaseNotRun || a.Refusal != nil:
		e.reportRefusal(now, d, a)
	case a.Incarnation != d.Incarnation:
		e.reportEvent(now, carobpulley.TaskGone{ID: d.ID, Attempt: d.Attempt})
	case a.Phase == carobpulley.PhaseUnknown:
		e.reportEvent(now, carobpulley.TaskGone{ID: d.ID, Attempt: d.Attempt})
	case !a.Phase.Ended():
		e.reportEvent(now, carobpulley.TaskLost{ID: d.ID, Attempt: d.Attempt})
	default:
		e.reportEvent(now, carobpulley.TaskEnded{
			ID:      d.ID,
			Attempt: d.Attempt,
			Phase:   a.Phase,
			Status:  a.Status,
			Result:  a.Result,
			Err:     a.Err,
		})
	}
}

func (e *Entry) reportRefusal(now time.Time, d carobpulley.Dispatch, a *inner.DispatchAnswer) {
	kind := carobpulley.KindCancelled
	if a.Refusal != nil {
		kind = a.Refusal.Kind
	}
	e.counters.refused.Add(1)
	e.reportEvent(now, carobpulley.TaskRefused{ID: d.ID, Attempt: d.Attempt, Kind: kind})
}

// reportEvent passes an event to the single request it belongs to, or else to the
// job table.
func (e *Entry) reportEvent(now time.Time, ev carobpulley.Event) {
	if e.handleRequestEvent(now, ev) {
		return
	}
	e.stepTable(now, ev)
}
