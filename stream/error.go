package stream

import (
	"fmt"

	"github.com/go-faster/errors"

	"carobpulley"
)

// Error is the error type of this package. errors.As also converts it to
// *carobpulley.Error.
type Error struct {
	// Op names the failed operation, such as "append".
	Op string
	// Kind classifies the error. After an append, KindUnavailable means that
	// the record was not added, KindUnknown that it may have been.
	Kind carobpulley.Kind
	// Err is the cause.
	Err error
}

// Error implements error.
func (e *Error) Error() string {
	return fmt.Sprintf("%s: %s: %v", e.Op, e.Kind, e.Err)
}

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Err }

// As converts the error to *carobpulley.Error, the type that is sent between
// processes.
func (e *Error) As(target any) bool {
	out, ok := target.(**carobpulley.Error)
	if !ok {
		return false
	}
	*out = &carobpulley.Error{Op: e.Op, Kind: e.Kind, Msg: e.Err.Error()}
	return true
}

// kindOf returns the kind of an error of any Log. It returns KindUnknown for an
// error without a kind.
func kindOf(err error) carobpulley.Kind {
	var e *carobpulley.Error
	if errors.As(err, &e) {
		return e.Kind
	}
	return carobpulley.KindUnknown
}
