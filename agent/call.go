package agent

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/url"
	"strconv"
	"strings"
	"time"

	"carobpulley"
	"carobpulley/inner"
)

// Headers of a call to the endpoint.
const (
	// HeaderJob is the name of the header that holds member/key, each escaped as a
	// URL path segment, or the escaped request id.
	HeaderJob = "X-Carob-Job"
	// HeaderTask is the name of the header that holds the index of the task; 0 for
	// a request.
	HeaderTask = "X-Carob-Task"
	// HeaderAttempt is the name of the header that holds the number of the attempt.
	// It grows with each attempt. For a request it counts from 1; for a task of a
	// job it has gaps between the epochs of the shard.
	HeaderAttempt = "X-Carob-Attempt"
)

const (
	// endpointDialTimeout bounds the opening of a connection; the endpoint is on
	// the same host.
	endpointDialTimeout = time.Second
	// endpointIdleTimeout is short, since a task fails if the endpoint closes the
	// connection while the call is being sent on it.
	endpointIdleTimeout = 2 * time.Second
	// endpointErrorBytes is how much of the body of an error response is passed on
	// to the caller.
	endpointErrorBytes = 512
)

// NewTransport returns the transport for calls to an endpoint that has the given
// number of slots. It uses no proxy and follows no redirects.
func NewTransport(slots int) *http.Transport {
	dialer := &net.Dialer{Timeout: endpointDialTimeout}
	return &http.Transport{
		DialContext:         dialer.DialContext,
		MaxIdleConnsPerHost: slots,
		IdleConnTimeout:     endpointIdleTimeout,
		DisableCompression:  true,
	}
}

// runTask calls the endpoint for a started task, records its end and returns the
// answer to the dispatch.
func (a *Agent) runTask(t *task, d carobpulley.Dispatch) inner.DispatchAnswer {
	startedAt := time.Now()
	end := carobpulley.StartedTask{ID: d.ID, Endpoint: d.Endpoint, Phase: carobpulley.PhaseNotRun, Err: "cancelled"}
	if !a.isCancelled(t) {
		end = a.callEndpoint(t.ctx, d)
	}
	runTime := time.Since(startedAt)
	a.mu.Lock()
	if end.Phase == carobpulley.PhaseFailed && end.Status == 0 && t.cancelled {
		end.Phase = carobpulley.PhaseStopped
	}
	a.mu.Unlock()
	a.endTask(t, end)
	a.vars.Add("ended_"+string(end.Phase), 1)
	v := stateAnswer(end)
	v.Run = runTime
	return v
}

// isCancelled reports whether a task has been cancelled. This is possible between
// its start record and the call to the endpoint.
func (a *Agent) isCancelled(t *task) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return t.cancelled
}

// callEndpoint sends a task to the endpoint and returns its final state: PhaseNotRun
// if no connection could be opened, PhaseDone for a status 2xx with a result within
// the limit, PhaseFailed otherwise.
func (a *Agent) callEndpoint(ctx context.Context, d carobpulley.Dispatch) carobpulley.StartedTask {
	end := carobpulley.StartedTask{ID: d.ID, Endpoint: d.Endpoint, Phase: carobpulley.PhaseFailed}
	r, err := a.newRequest(ctx, d)
	if err != nil {
		end.Err = err.Error()
		return end
	}
	res, err := a.endpoint.RoundTrip(r)
	if err != nil {
		if inner.NotSent(err) {
			end.Phase = carobpulley.PhaseNotRun
		}
		end.Err = err.Error()
		return end
	}
	defer func() { _ = res.Body.Close() }()
	body, err := io.ReadAll(io.LimitReader(res.Body, carobpulley.MaxResultBytes+1))
	if err != nil {
		end.Err = err.Error()
		return end
	}
	end.Status = res.StatusCode
	switch {
	case res.StatusCode/100 != 2:
		text := strings.ToValidUTF8(string(body[:min(len(body), endpointErrorBytes)]), "")
		end.Err = fmt.Sprintf("endpoint answered %d: %s", res.StatusCode, text)
	case len(body) > carobpulley.MaxResultBytes:
		end.Err = fmt.Sprintf("the result is longer than %d bytes", carobpulley.MaxResultBytes)
	default:
		end.Phase = carobpulley.PhaseDone
		end.Result = body
	}
	return end
}

func (a *Agent) newRequest(ctx context.Context, d carobpulley.Dispatch) (*http.Request, error) {
	target := a.cfg.BaseURL.JoinPath("run", url.PathEscape(d.Service))
	r, err := http.NewRequestWithContext(ctx, http.MethodPost, target.String(), bytes.NewReader(d.Payload))
	if err != nil {
		return nil, err
	}
	job := url.PathEscape(d.ID.Job.Key)
	if !d.ID.IsRequest() {
		job = url.PathEscape(d.ID.Job.Member) + "/" + job
	}
	r.Header.Set(HeaderJob, job)
	r.Header.Set(HeaderTask, strconv.Itoa(max(d.ID.Index, 0)))
	r.Header.Set(HeaderAttempt, strconv.Itoa(d.Attempt))
	return r, nil
}
