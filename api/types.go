package api

import (
	"time"

	"github.com/go-json-experiment/json/jsontext"

	"carobpulley"
)

// jobBody is the body of a submission.
type jobBody struct {
	Key       string     `json:"key"`
	Service   string     `json:"service"`
	Tasks     []taskBody `json:"tasks"`
	TimeoutMS int64      `json:"timeout_ms,omitzero"`
	Wait      bool       `json:"wait,omitzero"`
}

// taskBody is one task of a submission. Payload is any JSON value, which is
// passed to the endpoint unchanged; PayloadBase64 carries other bytes.
type taskBody struct {
	Payload       jsontext.Value `json:"payload,omitzero"`
	PayloadBase64 []byte         `json:"payload_base64,omitzero"`
}

// requestBody is the body of a single request.
type requestBody struct {
	Service       string         `json:"service"`
	Payload       jsontext.Value `json:"payload,omitzero"`
	PayloadBase64 []byte         `json:"payload_base64,omitzero"`
	NonIdempotent bool           `json:"non_idempotent,omitzero"`
	TimeoutMS     int64          `json:"timeout_ms,omitzero"`
}

// jobReply is the body of a response with a job.
type jobReply struct {
	Key       string      `json:"key"`
	Service   string      `json:"service"`
	Outcome   string      `json:"outcome"`
	Cancelled bool        `json:"cancelled,omitzero"`
	Tasks     []taskReply `json:"tasks"`
	Error     *errorReply `json:"error,omitzero"`
}

// taskReply is one task of a job, or the result of a single request. Result is
// set if the endpoint returned JSON, ResultBase64 if it returned other bytes.
type taskReply struct {
	Index        int            `json:"index"`
	Phase        string         `json:"phase"`
	Endpoint     string         `json:"endpoint,omitzero"`
	Status       int            `json:"status,omitzero"`
	Result       jsontext.Value `json:"result,omitzero"`
	ResultBase64 []byte         `json:"result_base64,omitzero"`
	Error        string         `json:"error,omitzero"`
}

// errorBody is the body of an error response.
type errorBody struct {
	Error errorReply `json:"error"`
}

// errorReply is an error in a response.
type errorReply struct {
	Kind         string `json:"kind"`
	Message      string `json:"message"`
	NotRun       bool   `json:"not_run"`
	RetryAfterMS int64  `json:"retry_after_ms,omitzero"`
}

func newErrorReply(now time.Time, e *carobpulley.Error) errorReply {
	r := errorReply{
		Kind:    string(e.Kind),
		Message: e.Msg,
		NotRun:  e.NotRun,
	}
	if e.RetryAt.After(now) {
		r.RetryAfterMS = max(1, e.RetryAt.Sub(now).Milliseconds())
	}
	return r
}

func newJobReply(now time.Time, a carobpulley.Answer) jobReply {
	r := jobReply{
		Key:       a.ID.Key,
		Service:   a.Service,
		Outcome:   string(a.Outcome),
		Cancelled: a.Cancelled,
		Tasks:     make([]taskReply, 0, len(a.Tasks)),
	}
	for _, t := range a.Tasks {
		r.Tasks = append(r.Tasks, newTaskReply(t))
	}
	if a.Err != nil {
		e := newErrorReply(now, a.Err)
		r.Error = &e
	}
	return r
}

func newTaskReply(t carobpulley.Task) taskReply {
	r := taskReply{
		Index:    t.Index,
		Phase:    string(t.Phase),
		Endpoint: t.Endpoint,
		Status:   t.Status,
		Error:    t.Err,
	}
	r.Result, r.ResultBase64 = splitResult(t.Result)
	return r
}

// splitResult returns the result as a JSON value if it is one, else as bytes.
func splitResult(b []byte) (jsontext.Value, []byte) {
	if len(b) == 0 {
		return nil, nil
	}
	v := jsontext.Value(b)
	if v.IsValid() {
		return v, nil
	}
	return nil, b
}
