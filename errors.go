package carobpulley

import (
	"errors"
	"fmt"
	"time"
)

// Kind classifies an error across processes. The values are part of the
// callers' API and of the inner protocol.
type Kind string

// Kinds of errors.
const (
	// KindInvalid is a malformed or oversized input.
	KindInvalid Kind = "invalid"
	// KindUnauthenticated is a missing or wrong token.
	KindUnauthenticated Kind = "unauthenticated"
	// KindForbidden is a job or service of another member.
	KindForbidden Kind = "forbidden"
	// KindNotFound is an unknown job, or a record that does not exist.
	KindNotFound Kind = "not_found"
	// KindConflict is a known key with another body, a stale base version, or an append
	// at an offset that is not the partition's end.
	KindConflict Kind = "conflict"
	// KindImpossible is a job that can never run.
	KindImpossible Kind = "impossible"
	// KindQuota is a member or service over its limit.
	KindQuota Kind = "quota"
	// KindOverload is a full queue or a deadline that cannot be met.
	KindOverload Kind = "overload"
	// KindUnavailable is a shard without an active owner, missing authority, or a call
	// that was not executed.
	KindUnavailable Kind = "unavailable"
	// KindUnknown is an outcome that cannot be determined.
	KindUnknown Kind = "unknown"
	// KindExpired is an answer or record that is no longer stored.
	KindExpired Kind = "expired"
	// KindCancelled is a task or job that its caller cancelled.
	KindCancelled Kind = "cancelled"
	// KindDeadline is a deadline that passed before the start.
	KindDeadline Kind = "deadline"
	// KindDraining is a process that accepts no new work.
	KindDraining Kind = "draining"
	// KindBusy is an endpoint without a free slot.
	KindBusy Kind = "busy"
	// KindStaleEpoch is a dispatch or an append of an older ownership epoch.
	KindStaleEpoch Kind = "stale_epoch"
	// KindStaleEcho is a dispatch whose echo of the agent's clock is too old.
	KindStaleEcho Kind = "stale_echo"
	// KindOutOfService is a dispatch to a failure domain that is out of service.
	KindOutOfService Kind = "out_of_service"
	// KindStarted is a repeated dispatch of a task that has started.
	KindStarted Kind = "started"
	// KindWrongAgent is a dispatch meant for another endpoint or incarnation.
	KindWrongAgent Kind = "wrong_agent"
	// KindFailed is a task that ran and failed at the endpoint.
	KindFailed Kind = "failed"
	// KindGone is a process that no longer listens at its address.
	KindGone Kind = "gone"
	// KindBroken is a call whose connection ended before its answer: the other process has carried it
	// out, or never will.
	KindBroken Kind = "broken"
	// KindInternal is an internal fault of the dispatcher.
	KindInternal Kind = "internal"
)

// Error is the error type of this package. It is also sent between processes.
type Error struct {
	// Op names the failing operation, such as "submit".
	Op string
	// Kind classifies the error.
	Kind Kind
	// Msg is a human-readable description.
	Msg string
	// NotRun is set only if the task or job can no longer start.
	NotRun bool
	// RetryAt is the earliest time at which a retry makes sense; zero if none is known.
	RetryAt time.Time
}

// Error implements error.
func (e *Error) Error() string {
	return fmt.Sprintf("%s: %s: %s", e.Op, e.Kind, e.Msg)
}

// KindOf returns the kind of an Error in err's chain, or KindInternal.
func KindOf(err error) Kind {
	var e *Error
	if errors.As(err, &e) {
		return e.Kind
	}
	return KindInternal
}
