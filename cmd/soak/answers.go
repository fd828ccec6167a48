package main

import (
	"fmt"
	"net/http"
	"strings"

	"github.com/go-json-experiment/json"

	"carobpulley/work"
)

// One in failingJobs jobs has tasks that always fail.
const failingJobs = 3

// alwaysFails reports whether the tasks of a job always fail. The job then ends as failed, so that an
// answer of another job shows.
func alwaysFails(id string) bool {
	sum := 0
	for _, digit := range id {
		sum += int(digit)
	}
	return sum%failingJobs == 0
}

// jobSpec returns the content of a job.
func jobSpec(id string) string { return "soak " + id }

// answerDoc is the union of the bodies with status 200.
type answerDoc struct {
	State   *work.State `json:"state"`
	Reason  string      `json:"reason"`
	Pending *int        `json:"pending"`
}

// checkAnswer checks that a response with status 200 has what its call promises and is of its own job.
// It returns the state in it.
func (s *soak) checkAnswer(req request, resp response) work.State {
	if resp.status != http.StatusOK {
		return ""
	}
	s.mu.Lock()
	s.answers++
	s.mu.Unlock()
	var doc answerDoc
	problem := ""
	if err := json.Unmarshal(resp.body, &doc, json.RejectUnknownMembers(true)); err != nil {
		problem = err.Error()
	} else {
		problem = s.answerProblem(req, doc)
	}
	if problem != "" {
		s.fleet.checker.AddViolation(fmt.Sprintf("%s: answered with %q: %s", req, resp.body, problem))
	}
	if doc.State == nil {
		return ""
	}
	return *doc.State
}

// answerProblem returns why a document is no answer to a call; empty if it is one.
func (s *soak) answerProblem(req request, doc answerDoc) string {
	wantState := req.job != nil && (req.method == http.MethodGet || req.method == http.MethodPost && req.job.BestEffort)
	switch {
	case (doc.Pending != nil) != (req.job == nil):
		return "the count of pending jobs is missing or of another call"
	case (doc.State != nil) != wantState:
		return "the state is missing or of another call"
	case doc.Reason != "" && doc.State == nil:
		return "a reason without a state"
	case doc.State == nil:
		return ""
	}
	return s.stateProblem(req, *doc.State)
}

// stateProblem returns why a state can't be that of a call's job; empty if it can.
func (s *soak) stateProblem(req request, state work.State) string {
	switch state {
	case work.StateCompleted:
		s.fleet.checker.CheckCompleted(req.job)
		if alwaysFails(req.job.ID) {
			return "all runs of this job fail"
		}
	case work.StateFailed:
		s.fleet.checker.CheckFailed(req.job)
	case work.StateCancelled:
		s.mu.Lock()
		defer s.mu.Unlock()
		if !s.cancelled[req.job.ID] {
			return "nobody has cancelled this job"
		}
	case work.StateQueued, work.StateRunning:
		if req.method == http.MethodPost {
			return "this state is no result"
		}
	default:
		return "no such state"
	}
	return ""
}

// String returns the call for the text of a violation.
func (r request) String() string {
	if r.job == nil {
		return r.method + " of the queue"
	}
	kind := "kept"
	if r.job.BestEffort {
		kind = "best-effort"
	}
	return strings.Join([]string{r.method, "of", kind, "job", r.job.ID}, " ")
}
