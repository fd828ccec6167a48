package runs

import (
	"carobpulley"
	"carobpulley/work"
)

// provesNotBegun reports whether an endpoint's refusal of a start shows that the call has started nothing and
// that the task has not run under the number: the endpoint refuses a number as old if the run, or a later one
// of its task, has been there.
func provesNotBegun(refusal string) bool {
	switch refusal {
	case carobpulley.RefusalStaleToken, carobpulley.RefusalLeaseExpired, carobpulley.RefusalNoCapacity,
		carobpulley.RefusalUnhealthy, carobpulley.RefusalWrongInstance:
		return true
	}
	return false
}

// neverBegun reports whether a run that ends with an outcome has not begun and never will, so that its job may
// be refused: it was not sent, or each of its starts was refused.
//
// Answers the pattern of endpoints that refuse many starts for lack of capacity: jobs of which nothing has
// run would be answered as if they might have.
func (r *run) neverBegun(outcome work.Outcome) bool {
	return r != nil && !r.mayHaveBegun && (outcome == work.OutcomeNotStarted || outcome == work.OutcomeNoCapacity)
}
