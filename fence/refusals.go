package fence

import (
	"carobpulley"
)

const opEnter = "enter"

// Errors of the gate. They are shared and read-only, so that a refusal allocates
// nothing.
var (
	errWrongAgent   = newRefusal(carobpulley.KindWrongAgent, "the dispatch is meant for another endpoint or incarnation")
	errCancelled    = newRefusal(carobpulley.KindCancelled, "the task was cancelled")
	errWithdrawn    = newRefusal(carobpulley.KindUnavailable, "the attempt was refused before or withdrawn by a query")
	errDraining     = newRefusal(carobpulley.KindDraining, "the agent takes no new work")
	errStaleEpoch   = newRefusal(carobpulley.KindStaleEpoch, "a newer owner of the shard is known")
	errDeadline     = newRefusal(carobpulley.KindDeadline, "the deadline has passed")
	errStaleEcho    = newRefusal(carobpulley.KindStaleEcho, "the echo of the agent's clock is too old")
	errOutOfService = newRefusal(carobpulley.KindOutOfService, "the failure domain is out of service")
	errBusy         = newRefusal(carobpulley.KindBusy, "no slot is free")

	errStarted = &carobpulley.Error{
		Op: opEnter, Kind: carobpulley.KindStarted, Msg: "the task has started before",
	}
	errDropped = &carobpulley.Error{
		Op: "query", Kind: carobpulley.KindUnknown, Msg: "start records were dropped for lack of memory",
	}
)

func newRefusal(k carobpulley.Kind, msg string) *carobpulley.Error {
	return &carobpulley.Error{Op: opEnter, Kind: k, Msg: msg, NotRun: true}
}
