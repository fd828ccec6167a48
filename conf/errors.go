package conf

import (
	"fmt"
	"strings"

	"carobpulley"
)

// Problem is one error in a document.
type Problem struct {
	// Line counts from 1; it is 0 if the problem has no line.
	Line int `json:"line"`
	// Path names the field, such as "services[2].run_time".
	Path string `json:"path"`
	Msg  string `json:"message"`
}

// String formats the problem on one line.
func (p Problem) String() string {
	if p.Path == "" {
		return fmt.Sprintf("line %d: %s", p.Line, p.Msg)
	}
	return fmt.Sprintf("line %d: %s: %s", p.Line, p.Path, p.Msg)
}

// Error is the error type of this package.
type Error struct {
	// Op names the failed operation, such as "Parse".
	Op string
	// Kind is KindInvalid for an invalid document or record, KindNotFound for a
	// name that the document does not contain.
	Kind carobpulley.Kind
	Msg  string
	// Problems lists the problems of a document in line order.
	Problems []Problem
}

// Error implements error.
func (e *Error) Error() string {
	var b strings.Builder
	fmt.Fprintf(&b, "conf.%s: %s", e.Op, e.Msg)
	for _, p := range e.Problems {
		b.WriteString("\n  ")
		b.WriteString(p.String())
	}
	return b.String()
}

func invalid(op, format string, args ...any) *Error {
	return &Error{Op: op, Kind: carobpulley.KindInvalid, Msg: fmt.Sprintf(format, args...)}
}
