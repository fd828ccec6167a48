package intake

import "fmt"

// Kind classifies an error of this package.
type Kind string

// Kinds of errors.
const (
	// KindInvalid is a limit out of range or one that contradicts another.
	KindInvalid Kind = "invalid"
	// KindAborted is a request that was aborted before it was received whole.
	KindAborted Kind = "aborted"
	// KindFull is a request that was received whole and for which there is no memory.
	KindFull Kind = "full"
)

// Error is the error type of this package.
type Error struct {
	// Op names the failing operation.
	Op   string
	Kind Kind
	Msg  string
}

// Error implements error.
func (e *Error) Error() string { return fmt.Sprintf("%s: %s: %s", e.Op, e.Kind, e.Msg) }

func invalidf(op, format string, args ...any) error {
	return &Error{Op: op, Kind: KindInvalid, Msg: fmt.Sprintf(format, args...)}
}
