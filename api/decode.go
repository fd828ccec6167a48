package api

import (
	"io"
	"net/http"
	"time"

	"github.com/go-faster/errors"
	"github.com/go-json-experiment/json"
	"github.com/go-json-experiment/json/jsontext"

	"carobpulley"
)

// Timeouts of a submission.
const (
	defaultTimeout = 30 * time.Second
	maxTimeout     = 10 * time.Minute
)

const (
	opSubmit = "submit"
	opCall   = "call"
)

// invalidError returns an error for malformed input. NotRun is set only for a
// single request: a job's key may belong to an earlier, well-formed submission.
func invalidError(op, msg string) *carobpulley.Error {
	return &carobpulley.Error{
		Op:     op,
		Kind:   carobpulley.KindInvalid,
		Msg:    msg,
		NotRun: op == opCall,
	}
}

// decodeBody decodes a body of one JSON value. It rejects unknown and duplicate
// fields and trailing data.
func decodeBody(op string, w http.ResponseWriter, r *http.Request, v any) *carobpulley.Error {
	body := http.MaxBytesReader(w, r.Body, carobpulley.MaxBodyBytes)
	b, err := io.ReadAll(body)
	if err != nil {
		var tooLarge *http.MaxBytesError
		if errors.As(err, &tooLarge) {
			return invalidError(op, "the body is larger than 2 MiB")
		}
		return invalidError(op, "the body could not be read: "+err.Error())
	}
	err = json.Unmarshal(b, v, json.RejectUnknownMembers(true))
	if err != nil {
		return invalidError(op, "the body is not valid: "+err.Error())
	}
	return nil
}

func parseDeadline(op string, now time.Time, timeoutMS int64) (time.Time, *carobpulley.Error) {
	if timeoutMS == 0 {
		return now.Add(defaultTimeout), nil
	}
	if timeoutMS < 0 || timeoutMS > maxTimeout.Milliseconds() {
		return time.Time{}, invalidError(op, "timeout_ms must lie between 1 and 600000")
	}
	return now.Add(time.Duration(timeoutMS) * time.Millisecond), nil
}

// checkKey accepts printable ASCII without spaces and slashes, so that a key can
// be part of a path and of a header.
func checkKey(op, key string) *carobpulley.Error {
	if key == "" {
		return invalidError(op, "key is empty")
	}
	if len(key) > carobpulley.MaxKeyBytes {
		return invalidError(op, "key is longer than 128 bytes")
	}
	for _, c := range []byte(key) {
		if c <= ' ' || c > '~' || c == '/' {
			return invalidError(op, "key may hold printable ASCII characters except space and slash only")
		}
	}
	return nil
}

func parsePayload(op string, value jsontext.Value, raw []byte) ([]byte, *carobpulley.Error) {
	if len(value) > 0 && len(raw) > 0 {
		return nil, invalidError(op, "payload and payload_base64 are both set")
	}
	b := raw
	if len(value) > 0 {
		b = value
	}
	if len(b) > carobpulley.MaxPayloadBytes {
		return nil, invalidError(op, "a payload is larger than 64 KiB")
	}
	return b, nil
}

func (b *jobBody) jobSpec(now time.Time, member string) (carobpulley.JobSpec, *carobpulley.Error) {
	const op = opSubmit
	s := carobpulley.JobSpec{
		ID:      carobpulley.JobID{Member: member, Key: b.Key},
		Service: b.Service,
	}
	if err := checkKey(op, b.Key); err != nil {
		return s, err
	}
	if b.Service == "" {
		return s, invalidError(op, "service is empty")
	}
	if len(b.Tasks) == 0 || len(b.Tasks) > carobpulley.MaxTasks {
		return s, invalidError(op, "a job has 1 to 120 tasks")
	}
	for _, t := range b.Tasks {
		p, err := parsePayload(op, t.Payload, t.PayloadBase64)
		if err != nil {
			return s, err
		}
		s.Payloads = append(s.Payloads, p)
	}
	deadline, err := parseDeadline(op, now, b.TimeoutMS)
	s.Deadline = deadline
	return s, err
}
