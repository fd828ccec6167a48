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
	// Kind is KindUnavailable if the entry was not reached, KindUnknown if it
	// was but did not answer, and otherwise the kind of its answer.
	Kind carobpulley.Kind
	Msg  string
	// Problems are the faults of a document.
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

// Failure is the body of a response that is neither a result nor an Answer.
type Failure struct {
	Kind     carobpulley.Kind `json:"kind"`
	Message  string           `json:"message"`
	Problems []conf.Problem   `json:"problems,omitempty"`
}
