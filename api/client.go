package api

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"net/url"
	"time"

	"github.com/go-faster/errors"
	"github.com/go-json-experiment/json"
	"github.com/go-json-experiment/json/jsontext"

	"carobpulley"
)

// maxResponseBytes bounds the response body that the client reads: 120 results
// of 64 KiB in base64, and names.
const maxResponseBytes = 16 << 20

// Client is a client of the callers' API of an entry.
type Client struct {
	base  *url.URL
	token string
	http  *http.Client
}

// Job is a job to submit.
type Job struct {
	Key     string
	Service string
	// Payloads are JSON values, one for each task.
	Payloads []jsontext.Value
	// Deadline is sent as the remaining time. If it is zero, the entry applies
	// its default.
	Deadline time.Time
	Wait     bool
}

// NewClient returns a client for the API at the base URL.
func NewClient(base *url.URL, token string, hc *http.Client) *Client {
	return &Client{base: base, token: token, http: hc}
}

// Submit submits a job and returns the JSON of the response.
func (c *Client) Submit(ctx context.Context, now time.Time, j Job) ([]byte, error) {
	body := jobBody{Key: j.Key, Service: j.Service, Wait: j.Wait}
	if !j.Deadline.IsZero() {
		body.TimeoutMS = max(1, j.Deadline.Sub(now).Milliseconds())
	}
	for _, p := range j.Payloads {
		body.Tasks = append(body.Tasks, taskBody{Payload: p})
	}
	return c.do(ctx, http.MethodPost, "v1/jobs", nil, body)
}

// Lookup returns the JSON of a job's state; with wait it returns once the job has
// ended.
func (c *Client) Lookup(ctx context.Context, key string, wait bool) ([]byte, error) {
	var query url.Values
	if wait {
		query = url.Values{"wait": {"true"}}
	}
	return c.do(ctx, http.MethodGet, "v1/jobs/"+url.PathEscape(key), query, nil)
}

// Cancel cancels a job and returns the JSON of its state.
func (c *Client) Cancel(ctx context.Context, key string) ([]byte, error) {
	return c.do(ctx, http.MethodPost, "v1/jobs/"+url.PathEscape(key)+"/cancel", nil, nil)
}

// do sends a request. It converts an error response to a *carobpulley.Error.
func (c *Client) do(ctx context.Context, method, path string, query url.Values, body any) ([]byte, error) {
	var payload []byte
	if body != nil {
		var err error
		if payload, err = json.Marshal(body); err != nil {
			return nil, errors.Wrap(err, "encode")
		}
	}
	u := c.base.JoinPath(path)
	u.RawQuery = query.Encode()
	r, err := http.NewRequestWithContext(ctx, method, u.String(), bytes.NewReader(payload))
	if err != nil {
		return nil, errors.Wrap(err, "build call")
	}
	r.Header.Set("Authorization", "Bearer "+c.token)
	res, err := c.http.Do(r)
	if err != nil {
		return nil, errors.Wrap(err, "call")
	}
	defer func() { _ = res.Body.Close() }()
	b, err := io.ReadAll(io.LimitReader(res.Body, maxResponseBytes))
	if err != nil {
		return nil, errors.Wrap(err, "read answer")
	}
	if res.StatusCode >= http.StatusBadRequest {
		return nil, responseError(res.StatusCode, b)
	}
	return b, nil
}

func responseError(status int, b []byte) error {
	var e errorBody
	if err := json.Unmarshal(b, &e); err != nil || e.Error.Kind == "" {
		return errors.Errorf("status %d without an error body", status)
	}
	return &carobpulley.Error{
		Op:     "call",
		Kind:   carobpulley.Kind(e.Error.Kind),
		Msg:    e.Error.Message,
		NotRun: e.Error.NotRun,
	}
}
