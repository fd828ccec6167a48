package inner

import (
	"context"
	"net"

	"connectrpc.com/connect"
	"github.com/go-faster/errors"

	"carobpulley"
	"carobpulley/wire"
)

// RefusalToWire converts an error to a refusal; nil for a nil error. An error
// without a *carobpulley.Error in its chain becomes one of kind KindInternal.
func RefusalToWire(err error) *wire.Refusal {
	if err == nil {
		return nil
	}
	e := AsError(err)
	return &wire.Refusal{
		Kind:    string(e.Kind),
		Message: truncateText(e.Msg),
		NotRun:  e.NotRun,
		RetryAt: timeToWire(e.RetryAt),
		Op:      e.Op,
	}
}

// RefusalFromWire converts a refusal from its wire type and checks it. It returns nil
// for a nil refusal. The second result is the error of the check.
func RefusalFromWire(r *wire.Refusal) (*carobpulley.Error, error) {
	if r == nil {
		return nil, nil
	}
	c := validator{op: "refusal"}
	e := &carobpulley.Error{
		Op:      c.text("op", r.GetOp(), 0, MaxNameBytes),
		Kind:    carobpulley.Kind(c.name("kind", r.GetKind())),
		Msg:     c.text("message", r.GetMessage(), 0, MaxTextBytes),
		NotRun:  r.GetNotRun(),
		RetryAt: c.timeIfSet("retry_at", r.GetRetryAt()),
	}
	if c.err != nil {
		return nil, c.err
	}
	return e, nil
}

// AsError returns the *carobpulley.Error in err's chain. Without one it returns an
// error of kind KindInternal with err's text.
func AsError(err error) *carobpulley.Error {
	if e, ok := errors.Into[*carobpulley.Error](err); ok {
		return e
	}
	return &carobpulley.Error{Op: "call", Kind: carobpulley.KindInternal, Msg: err.Error()}
}

// ToConnect converts an error of a handler to a *connect.Error. The refusal is
// attached as a detail, so that FromConnect can restore every field.
func ToConnect(err error) error {
	if err == nil {
		return nil
	}
	if ce, ok := errors.Into[*connect.Error](err); ok {
		return ce
	}
	e := AsError(err)
	ce := connect.NewError(codeOf(e.Kind), e)
	if detail, derr := connect.NewErrorDetail(RefusalToWire(e)); derr == nil {
		ce.AddDetail(detail)
	}
	return ce
}

// FromConnect converts an error of a call to a *carobpulley.Error. If the other
// process returned no refusal, the kind is KindUnavailable (also if the call timed
// out), KindCancelled, KindInvalid or KindInternal, and NotRun is set only if the
// message was never sent.
func FromConnect(op string, err error) error {
	if err == nil {
		return nil
	}
	if e, ok := errors.Into[*carobpulley.Error](err); ok {
		return e
	}
	ce, ok := errors.Into[*connect.Error](err)
	if !ok {
		return &carobpulley.Error{Op: op, Kind: carobpulley.KindInternal, Msg: err.Error()}
	}
	if e := refusalDetail(ce); e != nil {
		return e
	}
	return &carobpulley.Error{Op: op, Kind: kindOf(ce), Msg: ce.Message(), NotRun: NotSent(err)}
}

// NotSent reports whether a call failed before any part of it was sent, because no
// connection could be opened.
func NotSent(err error) bool {
	op, ok := errors.Into[*net.OpError](err)
	return ok && op.Op == "dial"
}

func refusalDetail(ce *connect.Error) *carobpulley.Error {
	if !connect.IsWireError(ce) {
		return nil
	}
	for _, d := range ce.Details() {
		v, err := d.Value()
		if err != nil {
			continue
		}
		r, ok := v.(*wire.Refusal)
		if !ok {
			continue
		}
		if e, err := RefusalFromWire(r); err == nil {
			return e
		}
	}
	return nil
}

func kindOf(ce *connect.Error) carobpulley.Kind {
	switch ce.Code() {
	case connect.CodeCanceled:
		return carobpulley.KindCancelled
	case connect.CodeInvalidArgument, connect.CodeResourceExhausted:
		return carobpulley.KindInvalid
	case connect.CodeUnavailable, connect.CodeUnknown, connect.CodeDeadlineExceeded:
		return carobpulley.KindUnavailable
	default:
		return carobpulley.KindInternal
	}
}

func codeOf(k carobpulley.Kind) connect.Code {
	switch k {
	case carobpulley.KindInvalid, carobpulley.KindImpossible:
		return connect.CodeInvalidArgument
	case carobpulley.KindUnauthenticated:
		return connect.CodeUnauthenticated
	case carobpulley.KindForbidden:
		return connect.CodePermissionDenied
	case carobpulley.KindNotFound, carobpulley.KindExpired:
		return connect.CodeNotFound
	case carobpulley.KindConflict, carobpulley.KindStarted:
		return connect.CodeAlreadyExists
	case carobpulley.KindQuota, carobpulley.KindOverload, carobpulley.KindBusy:
		return connect.CodeResourceExhausted
	case carobpulley.KindUnavailable, carobpulley.KindDraining, carobpulley.KindOutOfService:
		return connect.CodeUnavailable
	case carobpulley.KindCancelled:
		return connect.CodeCanceled
	case carobpulley.KindDeadline:
		return connect.CodeDeadlineExceeded
	case carobpulley.KindStaleEpoch, carobpulley.KindStaleEcho, carobpulley.KindWrongAgent:
		return connect.CodeFailedPrecondition
	case carobpulley.KindUnknown:
		return connect.CodeUnknown
	default:
		return connect.CodeInternal
	}
}

// convertErrors is an interceptor of handlers that passes their errors through
// ToConnect.
func convertErrors(next connect.UnaryFunc) connect.UnaryFunc {
	return func(ctx context.Context, r connect.AnyRequest) (connect.AnyResponse, error) {
		res, err := next(ctx, r)
		return res, ToConnect(err)
	}
}

// restoreErrors is an interceptor of clients that passes the errors of their calls
// through FromConnect.
func restoreErrors(next connect.UnaryFunc) connect.UnaryFunc {
	return func(ctx context.Context, r connect.AnyRequest) (connect.AnyResponse, error) {
		res, err := next(ctx, r)
		return res, FromConnect(r.Spec().Procedure, err)
	}
}
