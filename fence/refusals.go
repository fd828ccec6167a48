package fence

import (
	"carobpulley"
)

const opEnter = "enter"

// Refusals are shared and read-only, so that refusing allocates nothing.
var (
	errWrongAgent = refusal(carobpulley.KindWrongAgent, "the dispatch is meant for another endpoint or incarnation")
	errCancelled  = refusal(carobpulley.KindCancelled, "the task was cancelled")
	errWithdrawn  = refusal(carobpulley.KindUnavailable, "the attempt was refused before or withdrawn by a query")
	errDraining   = refusal(carobpulley.KindDraining, "the agent takes no new work")
	errStaleEpoch = refusal(carobpulley.KindStaleEpoch, "a newer owner of the shard is known")
	errDeadline   = refusal(carobpulley.KindDeadline, "the deadline has passed")
	errStaleEcho  = refusal(carobpulley.KindStaleEcho, "the echo of the agent's clock is too old")
	errOutService = refusal(carobpulley.KindOutOfService, "the failure domain is out of service")
	errBusy       = refusal(carobpulley.KindBusy, "no slot is free")

	errStarted = &carobpulley.Error{
		Op: opEnter, Kind: carobpulley.KindStarted, Msg: "the task has started before",
	}
	errDropped = &carobpulley.Error{
		Op: "query", Kind: carobpulley.KindUnknown, Msg: "start records were dropped for lack of memory",
	}
)

func refusal(k carobpulley.Kind, msg string) *carobpulley.Error {
	return &carobpulley.Error{Op: opEnter, Kind: k, Msg: msg, NotRun: true}
}
