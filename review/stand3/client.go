//go:build review

package main

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/netip"
	"strconv"
	"time"

	"carobpulley/platform/stand"
	"carobpulley/work"
)

// call makes one call over a new connection. limit is the time for which the client waits, as it says in the
// call's header; 0 leaves the header out.
func call(ctx context.Context, method, url string, body []byte, timeout, limit time.Duration) (int, []byte, error) {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, method, url, bytes.NewReader(body))
	if err != nil {
		return 0, nil, err
	}
	req.Host = req.URL.Host
	if limit > 0 {
		req.Host = hostName
		req.Header.Set(stand.TimeoutHeader, strconv.FormatInt(limit.Milliseconds(), 10))
	}
	if body != nil {
		req.Header.Set("Content-Type", "application/json")
	}
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
	resp, err := client.Do(req)
	if err != nil {
		return 0, nil, err
	}
	defer func() { _ = resp.Body.Close() }()
	b, err := io.ReadAll(resp.Body)
	return resp.StatusCode, b, err
}

func get(ctx context.Context, url string, timeout time.Duration) (int, []byte, error) {
	return call(ctx, http.MethodGet, url, nil, timeout, 0)
}

// ask makes a client's call to a coordinator and records it.
func (f *fleet) ask(coordinator int, method, id string, body []byte, limit time.Duration) (int, []byte, error) {
	url := fmt.Sprintf("http://%s%s%s", netip.AddrPortFrom(f.coordinators[coordinator].addr, callersPort), pathPrefix, id)
	status, answer, err := call(f.ctx, method, url, body, limit, limit)
	f.record.add("%s %s%s at coordinator-%d: %d %s %v", method, pathPrefix, id, coordinator, status, answer, errText(err))
	return status, answer, err
}

func errText(err error) string {
	if err == nil {
		return ""
	}
	return "no answer: " + err.Error()
}

// submit sends a job to a coordinator.
func (f *fleet) submit(coordinator int, j *work.Job, limit time.Duration) (int, []byte, error) {
	f.jobs.add(j)
	body, err := submissionBody(j)
	if err != nil {
		return 0, nil, err
	}
	f.record.add("POST %s%s to coordinator-%d: %s", pathPrefix, j.ID, coordinator, body)
	return f.ask(coordinator, http.MethodPost, j.ID, body, limit)
}

// submitQuietly is submit without a record of the call.
func (f *fleet) submitQuietly(coordinator int, j *work.Job, limit time.Duration) (int, []byte, error) {
	f.jobs.add(j)
	body, err := submissionBody(j)
	if err != nil {
		return 0, nil, err
	}
	url := fmt.Sprintf("http://%s%s%s", netip.AddrPortFrom(f.coordinators[coordinator].addr, callersPort), pathPrefix, j.ID)
	return call(f.ctx, http.MethodPost, url, body, limit, limit)
}

// submissionBody encodes a job with the labels that its steps require.
func submissionBody(j *work.Job) ([]byte, error) {
	b, err := stand.SubmissionBody(j)
	if err != nil {
		return nil, err
	}
	var doc map[string]any
	if err := json.Unmarshal(b, &doc); err != nil {
		return nil, err
	}
	for i, step := range doc["steps"].([]any) {
		fields := step.(map[string]any)
		if label := j.Steps[i].Label; label != "" {
			fields["requirements"] = label
		}
		if j.Steps[i].After == nil {
			delete(fields, "after")
		}
	}
	if !j.BestEffort {
		delete(doc, "best-effort")
	}
	return json.Marshal(doc)
}

// stateOf returns the state in an answer; empty if it has none.
func stateOf(answer []byte) work.State {
	var doc struct {
		State work.State `json:"state"`
	}
	_ = json.Unmarshal(answer, &doc)
	return doc.State
}
