package emul

import (
	"testing"
	"time"
)

// Guards against a run that outlives its job because its endpoint does not carry the stop out, while
// the agent's polls go on renewing the endpoint's lease.
func TestStopsThatAreNotCarriedOut(t *testing.T) {
	playElsewhereCases(t,
		faultAndLeave("late", troubled(Trouble{Late: 1}, CommandStop), noFault),
		faultAndLeave("unsent", troubled(Trouble{Unsent: 1}, CommandStop), noFault))
}

// Guards against an endpoint's lease that is extended by renewals which were sent before its last proof
// expired and are carried out later, with a time that counts from their arrival.
func TestLateRenewalsExtendNoLease(t *testing.T) {
	playElsewhereCases(t, faultAndLeave("coordinator killed, stops late", func(f *Fleet) {
		troubled(Trouble{Late: 1}, CommandStop)(f)
		troubled(Trouble{Late: 0.5, FromArrival: true}, CommandRenew)(f)
	}, killFirst))
}

// Guards against a run that counts as lost while it is at work, because half of the endpoints' answers
// are lost and the others overtake each other.
func TestOvertakenAnswersDays(t *testing.T) {
	playSeeds(t, 3, randomBehavior, func(f *Fleet, seed uint64) {
		troubled(Trouble{Lost: 0.5, MaxDelay: 12 * time.Millisecond}, CommandStart, CommandStop, CommandRenew)(f)
		f.callers(seed, 2*callerInterval, 24)
	})
}
