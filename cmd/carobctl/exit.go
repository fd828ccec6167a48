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

// exitError is an error with an exit code; every action returns one. With --json
// it is printed in its JSON form.
type exitError struct {
	Code     int            `json:"exit_code"`
	Message  string         `json:"message"`
	Problems []conf.Problem `json:"problems,omitempty"`
	// printed is the entry's response if it was already printed as JSON.
	printed *oper.ChangeState
}

// Error implements error.
func (e *exitError) Error() string { return e.Message }

func exitf(code int, format string, args ...any) error {
	return &exitError{Code: code, Message: fmt.Sprintf(format, args...)}
}

func usagef(format string, args ...any) error {
	return exitf(exitUsage, format, args...)
}

// asExitError converts an error. An error that is not an exitError comes from
// parsing the command line.
func asExitError(err error) *exitError {
	var e *exitError
	if errors.As(err, &e) {
		return e
	}
	return &exitError{Code: exitUsage, Message: err.Error()}
}

// asFailure converts an error of a read request or of a local step.
func asFailure(err error) error {
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

// asPublishFailure converts an error of Publish. An unknown outcome is not an
// error here, since the caller polls the change.
func asPublishFailure(err error) error {
	e := asExitError(asFailure(err))
	var oe *oper.Error
	if errors.As(err, &oe) && oe.Kind == carobpulley.KindUnavailable {
		e.Code = exitNotAccepted
		e.Message = "the entry was not reached, and nothing was changed: " + oe.Msg
	}
	return e
}
