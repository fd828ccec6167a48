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
	// editTries bounds how often an edit is repeated after a conflict.
	editTries = 5
	// maxNamed bounds the processes that a message names.
	maxNamed = 20
)

// change is a change to publish and how to follow it.
type change struct {
	oper.ChangeRequest
	wait bool
}

// result is what a changing command prints with --json.
type result struct {
	oper.Answer
	// InForce is set if --wait found the version everywhere.
	InForce bool `json:"in_force"`
	// Waiting are the processes that did not have the version in time.
	Waiting []oper.Process `json:"waiting,omitempty"`
}

func newID() string { return uuid.NewString() }

// publish sends a change, follows it until its outcome is known, and prints
// the outcome.
func (e *env) publish(ctx context.Context, ch change) error {
	a, err := e.send(ctx, ch.ChangeRequest)
	if err != nil {
		return err
	}
	return e.finish(ctx, a, ch.wait, ch.BaseVersion)
}

// send publishes and asks again by id while the outcome is open.
func (e *env) send(ctx context.Context, r oper.ChangeRequest) (oper.Answer, error) {
	a, err := e.client.Publish(ctx, r)
	var oe *oper.Error
	if errors.As(err, &oe) && oe.Kind == carobpulley.KindUnknown {
		a, err = oper.Answer{Outcome: oper.OutcomeUnknown, Message: oe.Msg}, nil
	}
	if err != nil {
		return a, changeFailed(err)
	}
	a.ChangeID = r.ChangeID
	for open(a) && e.pause(ctx) {
		e.note("change %s is %s; asking again", r.ChangeID, a.Outcome)
		if next, err := e.client.Change(ctx, r.ChangeID); err == nil {
			// An unknown id does not undo that it was seen in the log.
			if next.Outcome != oper.OutcomeUnknown || a.Outcome == oper.OutcomeUnknown {
				a = next
			}
		}
	}
	return a, nil
}

func open(a oper.Answer) bool {
	return a.Outcome == oper.OutcomeUnknown || a.Outcome == oper.OutcomePublished
}

// finish waits for the version if asked to, and prints the answer. An answer
// without a change id is the current version, found to need no change.
func (e *env) finish(ctx context.Context, a oper.Answer, wait bool, base uint64) error {
	r := result{Answer: a}
	var err error
	if a.Outcome == oper.OutcomeAccepted {
		if !e.json && a.ChangeID != "" {
			e.print("accepted: version %d (change %s)", a.Version, a.ChangeID)
		}
		if wait {
			r.Waiting, err = e.waitInForce(ctx, a.Version)
			r.InForce = err == nil
		}
	} else {
		err = outcomeError(a, base)
	}
	if e.json {
		printJSON(e.out, r)
		if err != nil {
			asExit(err).answer = &a
		}
	}
	return err
}

// outcomeError explains an outcome that is not accepted.
func outcomeError(a oper.Answer, base uint64) error {
	why := ""
	if a.Message != "" {
		why = " (" + a.Message + ")"
	}
	switch a.Outcome {
	case oper.OutcomeConflict:
		return exitf(exitConflict, "conflict: the change was made from version %d, but version %d is current; nothing was changed.\n"+
			"Get the current document with 'carobctl get', repeat the edit, and apply it with --base %d", base, a.Version, a.Version)
	case oper.OutcomeUnavailable:
		return exitf(exitNotAccepted, "not accepted, and nothing was changed: the log is down or the entry has no majority%s.\n"+
			"Changes accepted before stay in force. Try again once 'carobctl status' shows the log up", why)
	case oper.OutcomePublished:
		return exitf(exitUnknown, "published as version %d, but not confirmed by a majority of the entries%s.\n"+
			"It is not accepted yet; ask with 'carobctl history --id %s'", a.Version, why, a.ChangeID)
	default:
		return exitf(exitUnknown, "unknown outcome: the change may or may not be in the log%s.\n"+
			"Ask with 'carobctl history --id %s', or send it again with --id %s, which cannot apply it twice", why, a.ChangeID, a.ChangeID)
	}
}

// waitInForce waits until every process has a version and returns those that
// did not have it in time.
func (e *env) waitInForce(ctx context.Context, version uint64) ([]oper.Process, error) {
	var behind []oper.Process
	var last error
	said := ""
	for {
		s, err := e.client.Status(ctx)
		if err == nil {
			behind = s.Behind(version)
			if len(behind) == 0 && len(s.Processes) > 0 {
				e.note("version %d is in force at all %d processes", version, len(s.Processes))
				return nil, nil
			}
			if now := nameProcesses(behind); now != said {
				e.note("waiting for %s", now)
				said = now
			}
		}
		if ctx.Err() == nil {
			last = err
		}
		if !e.pause(ctx) {
			break
		}
	}
	if behind == nil && last != nil {
		return nil, exitf(exitFailed, "version %d is accepted, but no status could be read: %v", version, last)
	}
	return behind, exitf(exitFailed, "version %d is accepted, but not yet in force everywhere; missing: %s", version, nameProcesses(behind))
}

func nameProcesses(list []oper.Process) string {
	var names []string
	for i, p := range list {
		if i == maxNamed {
			names = append(names, fmt.Sprintf("and %d more", len(list)-i))
			break
		}
		names = append(names, fmt.Sprintf("%s %s (%s, version %d)", p.Role, p.Name, p.State, p.Version))
	}
	return strings.Join(names, ", ")
}

// edit changes the current document and publishes it. After a conflict it
// repeats the edit on the newer document: such an edit concerns one field, so
// the other operator's change stays.
func (e *env) edit(ctx context.Context, wait bool, change func(doc []byte) ([]byte, error)) error {
	for try := 1; ; try++ {
		cur, err := e.client.Catalogue(ctx)
		if err != nil {
			return failed(err)
		}
		doc, err := change([]byte(cur.Document))
		if err != nil {
			return failed(err)
		}
		if string(doc) == cur.Document {
			e.note("version %d says so already; nothing to change", cur.Version)
			return e.finish(ctx, oper.Answer{Outcome: oper.OutcomeAccepted, Version: cur.Version}, wait, cur.Version)
		}
		a, err := e.send(ctx, oper.ChangeRequest{ChangeID: newID(), BaseVersion: cur.Version, Author: e.author, Document: string(doc)})
		if err != nil {
			return err
		}
		if a.Outcome != oper.OutcomeConflict || try == editTries {
			return e.finish(ctx, a, wait, cur.Version)
		}
		e.note("another change came first; repeating the edit on version %d", a.Version)
	}
}

// parse reads a document and converts its faults.
func parse(doc []byte) error {
	if _, err := conf.Parse(doc); err != nil {
		return failed(err)
	}
	return nil
}
