package main

import (
	"fmt"

	"github.com/go-faster/errors"

	"carobpulley"
	"carobpulley/conf"
	"carobpulley/oper"
)

// Exit codes. They are documented in rootDescription.
const (
	exitOK          = 0
	exitFailed      = 1
	exitUsage       = 2
	exitConflict    = 3
	exitNotAccepted = 4
	exitUnknown     = 5
)

// exitError is the error of every action: a message and an exit code. With
// --json it is printed as it is.
type exitError struct {
	Code     int            `json:"exit_code"`
	Message  string         `json:"message"`
	Problems []conf.Problem `json:"problems,omitempty"`
	// answer is set if the answer of the entry was already printed as JSON.
	answer *oper.Answer
}

// Error implements error.
func (e *exitError) Error() string { return e.Message }

func exitf(code int, format string, args ...any) error {
	return &exitError{Code: code, Message: fmt.Sprintf(format, args...)}
}

func usagef(format string, args ...any) error {
	return exitf(exitUsage, format, args...)
}

// asExit finds the exit code of an error. What is not an exitError comes from
// the parsing of the command line.
func asExit(err error) *exitError {
	var e *exitError
	if errors.As(err, &e) {
		return e
	}
	return &exitError{Code: exitUsage, Message: err.Error()}
}

// failed converts an error of a read or of a local step.
func failed(err error) error {
	e := &exitError{Code: exitFailed, Message: err.Error()}
	var ce *conf.Error
	var oe *oper.Error
	switch {
	case errors.As(err, &ce):
		e.Problems = ce.Problems
	case errors.As(err, &oe):
		e.Problems = oe.Problems
	}
	return e
}

// changeFailed converts an error of Publish. An unknown outcome is not an error
// here, since the caller asks again.
func changeFailed(err error) error {
	e := asExit(failed(err))
	var oe *oper.Error
	if errors.As(err, &oe) && oe.Kind == carobpulley.KindUnavailable {
		e.Code = exitNotAccepted
		e.Message = "the entry was not reached, and nothing was changed: " + oe.Msg
	}
	return e
}
