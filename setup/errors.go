package setup

import (
	"fmt"
	"strings"

	"carobpulley"
)

// Problem is an invalid setting.
type Problem struct {
	// Flag is the name of the flag without dashes.
	Flag string
	// Value is the value given.
	Value string
	// Allowed describes the valid values.
	Allowed string
}

// Error is the error type of this package. It lists all invalid settings.
type Error struct {
	Op       string
	Kind     carobpulley.Kind
	Problems []Problem
	// Err is the cause if the command line is malformed or the command failed; nil otherwise.
	Err error
	// Exit is the program's exit code; 0 stands for ExitUsage.
	Exit int
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

// Unwrap returns Err.
func (e *Error) Unwrap() error { return e.Err }
