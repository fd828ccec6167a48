package work

import "fmt"

// Kind classifies an error of this package.
type Kind string

// Kinds of errors.
const (
	// KindInvalid is a malformed input.
	KindInvalid Kind = "invalid"
	// KindUnsupported is a well-formed job of a kind that is not served.
	KindUnsupported Kind = "unsupported"
)

// Error is the error type of this package.
type Error struct {
	// Op names the failing operation.
	Op   string
	Kind Kind
	Msg  string
}

// Error implements error.
func (e *Error) Error() string {
	return fmt.Sprintf("%s: %s: %s", e.Op, e.Kind, e.Msg)
}

func invalidf(op, format string, args ...any) *Error {
	return &Error{Op: op, Kind: KindInvalid, Msg: fmt.Sprintf(format, args...)}
}
