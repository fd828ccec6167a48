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
	// HeaderJob holds member/key, each part escaped as in a URL path, or the
	// escaped request id.
	HeaderJob = "X-Carob-Job"
	// HeaderTask holds the index of the task; 0 for a request.
	HeaderTask = "X-Carob-Task"
	// HeaderAttempt holds the number of the dispatch, from 1.
	HeaderAttempt = "X-Carob-Attempt"
)

const (
	// endpointDialTimeout bounds the opening of a connection on the same host.
	endpointDialTimeout = time.Second
	// endpointIdleTimeout is short, since a call on a connection that the
	// endpoint closes at the same time is a task that failed.
	endpointIdleTimeout = 2 * time.Second
	// endpointErrorBytes is how much of an error page is told to the caller.
	endpointErrorBytes = 512
)

// NewTransport returns the transport for calls to an endpoint with the given
// number of slots. It uses no proxy and follows no redirect.
func NewTransport(slots int) *http.Transport {
	dialer := &net.Dialer{Timeout: endpointDialTimeout}
	return &http.Transport{
		DialContext:         dialer.DialContext,
		MaxIdleConnsPerHost: slots,
		IdleConnTimeout:     endpointIdleTimeout,
		DisableCompression:  true,
	}
}

// runTask calls the endpoint for a started task and records the end.
func (a *Agent) runTask(t *task, d carobpulley.Dispatch) inner.DispatchAnswer {
	began := time.Now()
	end := carobpulley.StartedTask{ID: d.ID, Endpoint: d.Endpoint, Phase: carobpulley.PhaseNotRun, Err: "cancelled"}
	if !a.isCancelled(t) {
		end = a.callEndpoint(t.ctx, d)
	}
	ran := time.Since(began)
	a.mu.Lock()
	if end.Phase == carobpulley.PhaseFailed && end.Status == 0 && t.cancelled {
		end.Phase = carobpulley.PhaseStopped
	}
	a.mu.Unlock()
	a.endTask(t, end)
	a.vars.Add("ended_"+string(end.Phase), 1)
	v := stateAnswer(end)
	v.Run = ran
	return v
}

// isCancelled reports whether a task was cancelled between its start record and
// the call to the endpoint.
func (a *Agent) isCancelled(t *task) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return t.cancelled
}

// callEndpoint sends a task to the endpoint. The phase is PhaseNotRun if no connection
// could be opened, PhaseDone for a status 2xx, else PhaseFailed.
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
