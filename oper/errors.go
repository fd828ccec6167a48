package oper

import (
	"fmt"
	"strings"

	"carobpulley"
	"carobpulley/conf"
)

// Error is the error type of this package.
type Error struct {
	// Op names the failing operation, such as "Status".
	Op string
	// Kind is KindUnavailable if no connection to the entry was made,
	// KindUnknown if the entry did not respond, and otherwise the kind in its
	// response.
	Kind carobpulley.Kind
	Msg  string
	// Problems lists the errors found in a document.
	Problems []conf.Problem
}

// Error implements error.
func (e *Error) Error() string {
	var b strings.Builder
	fmt.Fprintf(&b, "oper.%s: %s: %s", e.Op, e.Kind, e.Msg)
	for _, p := range e.Problems {
		b.WriteString("\n  ")
		b.WriteString(p.String())
	}
	return b.String()
}

// Failure is the body of a response that is neither a result nor a ChangeState.
type Failure struct {
	Kind     carobpulley.Kind `json:"kind"`
	Message  string           `json:"message"`
	Problems []conf.Problem   `json:"problems,omitempty"`
}
