package setup

import (
	"fmt"
	"strings"

	"carobpulley"
)

// Problem is one wrong setting.
type Problem struct {
	// Flag is the name without dashes.
	Flag string
	// Value is what was given.
	Value string
	// Allowed says what is allowed.
	Allowed string
}

// Error is the error type of this package. It lists every wrong setting.
type Error struct {
	Op       string
	Kind     carobpulley.Kind
	Problems []Problem
	// Err is the cause if the command line itself is malformed; nil otherwise.
	Err error
}

// Error implements error with one line per problem.
func (e *Error) Error() string {
	var b strings.Builder
	b.WriteString(e.Op)
	if e.Err != nil {
		fmt.Fprintf(&b, ": %s", e.Err)
	}
	for _, p := range e.Problems {
		fmt.Fprintf(&b, "\n  --%s (%s): got %q, want %s", p.Flag, EnvName(p.Flag), p.Value, p.Allowed)
	}
	return b.String()
}

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Err }
