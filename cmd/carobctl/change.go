package main

import (
	"context"
	"fmt"
	"strings"

	"github.com/go-faster/errors"
	"github.com/google/uuid"

	"carobpulley"
	"carobpulley/conf"
	"carobpulley/oper"
)

const (
	// maxEditAttempts bounds the attempts of an edit that ends in conflicts.
	maxEditAttempts = 5
	// maxListedProcesses bounds the processes that a message lists.
	maxListedProcesses = 20
)

// pendingChange is a change to publish. With wait the command waits until it is
// in force.
type pendingChange struct {
	oper.ChangeRequest
	wait bool
}

// changeOutput is the output with --json of a command that changes the catalogue.
type changeOutput struct {
	oper.ChangeState
	// InForce is set if --wait was given and every process has the version.
	InForce bool `json:"in_force"`
	// Waiting lists the processes that did not have the version in time.
	Waiting []oper.Process `json:"waiting,omitempty"`
}

func newChangeID() string { return uuid.NewString() }

// publish sends a change, polls it until it is decided or ctx ends, and prints the
// outcome.
func (e *env) publish(ctx context.Context, ch pendingChange) error {
	state, err := e.publishAndPoll(ctx, ch.ChangeRequest)
	if err != nil {
		return err
	}
	return e.printOutcome(ctx, state, ch.wait, ch.BaseVersion)
}

// publishAndPoll publishes a change and polls it by its id while its outcome is
// undecided and ctx has not ended.
func (e *env) publishAndPoll(ctx context.Context, r oper.ChangeRequest) (oper.ChangeState, error) {
	state, err := e.client.Publish(ctx, r)
	var oe *oper.Error
	if errors.As(err, &oe) && oe.Kind == carobpulley.KindUnknown {
		state, err = oper.ChangeState{Outcome: oper.OutcomeUnknown, Message: oe.Msg}, nil
	}
	if err != nil {
		return state, asPublishFailure(err)
	}
	state.ChangeID = r.ChangeID
	for isUndecided(state) && e.waitPollInterval(ctx) {
		e.notef("change %s is %s; asking again", r.ChangeID, state.Outcome)
		if next, err := e.client.Change(ctx, r.ChangeID); err == nil {
			// A change that was reported as published is in the log, so a later
			// "unknown" does not replace that state.
			if next.Outcome != oper.OutcomeUnknown || state.Outcome == oper.OutcomeUnknown {
				state = next
			}
		}
	}
	return state, nil
}

func isUndecided(state oper.ChangeState) bool {
	return state.Outcome == oper.OutcomeUnknown || state.Outcome == oper.OutcomePublished
}

// printOutcome prints the state of a change; with wait it also waits until the
// version is in force. A state without a change id stands for an edit that
// changes nothing in the current version.
func (e *env) printOutcome(ctx context.Context, state oper.ChangeState, wait bool, base uint64) error {
	r := changeOutput{ChangeState: state}
	var err error
	if state.Outcome == oper.OutcomeAccepted {
		if !e.json && state.ChangeID != "" {
			e.printf("accepted: version %d (change %s)", state.Version, state.ChangeID)
		}
		if wait {
			r.Waiting, err = e.waitInForce(ctx, state.Version)
			r.InForce = err == nil
		}
	} else {
		err = outcomeError(state, base)
	}
	if e.json {
		printJSON(e.out, r)
		if err != nil {
			asExitError(err).printed = &state
		}
	}
	return err
}

// outcomeError returns the error for an outcome other than accepted.
func outcomeError(state oper.ChangeState, base uint64) error {
	why := ""
	if state.Message != "" {
		why = " (" + state.Message + ")"
	}
	switch state.Outcome {
	case oper.OutcomeConflict:
		return exitf(exitConflict, "conflict: the change was made from version %d, but version %d is current; nothing was changed.\n"+
			"Get the current document with 'carobctl get', repeat the edit, and apply it with --base %d", base, state.Version, state.Version)
	case oper.OutcomeUnavailable:
		return exitf(exitNotAccepted, "not accepted, and nothing was changed: the log is down or the entry has no majority%s.\n"+
			"Changes accepted before stay in force. Try again once 'carobctl status' shows the log up", why)
	case oper.OutcomePublished:
		return exitf(exitUnknown, "published as version %d, but not confirmed by a majority of the entries%s.\n"+
			"It is not accepted yet; ask with 'carobctl history --id %s'", state.Version, why, state.ChangeID)
	default:
		return exitf(exitUnknown, "unknown outcome: the change may or may not be in the log%s.\n"+
			"Ask with 'carobctl history --id %s', or send it again with --id %s, which cannot apply it twice", why, state.ChangeID, state.ChangeID)
	}
}

// waitInForce waits until every process has a version. It returns the processes
// that did not have it before ctx ended.
func (e *env) waitInForce(ctx context.Context, version uint64) ([]oper.Process, error) {
	var behind []oper.Process
	var lastErr error
	noted := ""
	for {
		s, err := e.client.Status(ctx)
		if err == nil {
			behind = s.Behind(version)
			if len(behind) == 0 && len(s.Processes) > 0 {
				e.notef("version %d is in force at all %d processes", version, len(s.Processes))
				return nil, nil
			}
			if list := formatProcesses(behind); list != noted {
				e.notef("waiting for %s", list)
				noted = list
			}
		}
		if ctx.Err() == nil {
			lastErr = err
		}
		if !e.waitPollInterval(ctx) {
			break
		}
	}
	if behind == nil && lastErr != nil {
		return nil, exitf(exitFailed, "version %d is accepted, but no status could be read: %v", version, lastErr)
	}
	return behind, exitf(exitFailed, "version %d is accepted, but not yet in force everywhere; missing: %s", version, formatProcesses(behind))
}

func formatProcesses(list []oper.Process) string {
	var names []string
	for i, p := range list {
		if i == maxListedProcesses {
			names = append(names, fmt.Sprintf("and %d more", len(list)-i))
			break
		}
		names = append(names, fmt.Sprintf("%s %s (%s, version %d)", p.Role, p.Name, p.State, p.Version))
	}
	return strings.Join(names, ", ")
}

// editDocument applies an edit to the current document and publishes the result.
// After a conflict it repeats the edit on the newer document. An edit changes one
// field only, so the change of another operator is preserved.
func (e *env) editDocument(ctx context.Context, wait bool, edit func(doc []byte) ([]byte, error)) error {
	for attempt := 1; ; attempt++ {
		cur, err := e.client.Catalogue(ctx)
		if err != nil {
			return asFailure(err)
		}
		doc, err := edit([]byte(cur.Document))
		if err != nil {
			return asFailure(err)
		}
		if string(doc) == cur.Document {
			e.notef("version %d says so already; nothing to change", cur.Version)
			return e.printOutcome(ctx, oper.ChangeState{Outcome: oper.OutcomeAccepted, Version: cur.Version}, wait, cur.Version)
		}
		state, err := e.publishAndPoll(ctx, oper.ChangeRequest{ChangeID: newChangeID(), BaseVersion: cur.Version, Author: e.author, Document: string(doc)})
		if err != nil {
			return err
		}
		if state.Outcome != oper.OutcomeConflict || attempt == maxEditAttempts {
			return e.printOutcome(ctx, state, wait, cur.Version)
		}
		e.notef("another change came first; repeating the edit on version %d", state.Version)
	}
}

// checkDocument parses a document and returns its faults as an exitError.
func checkDocument(doc []byte) error {
	if _, err := conf.Parse(doc); err != nil {
		return asFailure(err)
	}
	return nil
}
