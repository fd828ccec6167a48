package api_test

import (
	"context"
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"carobpulley"
	"carobpulley/api"
)

// fakeBackend counts the calls that reach it and returns a fixed answer or err.
type fakeBackend struct {
	calls int
	spec  carobpulley.JobSpec
	err   error
}

func (b *fakeBackend) Authenticate(token string) (string, error) {
	if token != "good" {
		return "", &carobpulley.Error{Op: "authenticate", Kind: carobpulley.KindUnauthenticated, Msg: "unknown token"}
	}
	return "rentals", nil
}

func (b *fakeBackend) answer() (carobpulley.Answer, error) {
	b.calls++
	if b.err != nil {
		return carobpulley.Answer{}, b.err
	}
	return carobpulley.Answer{
		ID:      carobpulley.JobID{Member: "rentals", Key: "k"},
		Service: "check",
		Outcome: carobpulley.OutcomeComplete,
		Tasks: []carobpulley.Task{
			{Index: 0, Phase: carobpulley.PhaseDone, Status: 200, Result: []byte(`{"van":12}`)},
			{Index: 1, Phase: carobpulley.PhaseDone, Status: 200, Result: []byte("\xff")},
		},
	}, nil
}

func (b *fakeBackend) Submit(_ context.Context, s carobpulley.JobSpec, _ bool) (carobpulley.Answer, error) {
	b.spec = s
	return b.answer()
}

func (b *fakeBackend) Lookup(context.Context, carobpulley.JobID, bool) (carobpulley.Answer, error) {
	return b.answer()
}

func (b *fakeBackend) Cancel(context.Context, carobpulley.JobID) (carobpulley.Answer, error) {
	return b.answer()
}

func (b *fakeBackend) Call(context.Context, api.Request) (carobpulley.Task, error) {
	b.calls++
	return carobpulley.Task{Phase: carobpulley.PhaseDone, Status: 200, Result: []byte("true")}, b.err
}

func serve(t *testing.T, b *fakeBackend, method, path, token, body string) *httptest.ResponseRecorder {
	t.Helper()
	now := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	s, err := api.New(b, func() time.Time { return now })
	if err != nil {
		t.Fatal(err)
	}
	r := httptest.NewRequestWithContext(t.Context(), method, path, strings.NewReader(body))
	if token != "" {
		r.Header.Set("Authorization", "Bearer "+token)
	}
	w := httptest.NewRecorder()
	s.ServeHTTP(w, r)
	return w
}

// Guards against invalid input that reaches the backend, and against an error
// response without a typed body.
func TestBadInput(t *testing.T) {
	job := func(s string) string { return `{"key":"k","service":"check",` + s + `}` }
	big := strings.Repeat("x", carobpulley.MaxPayloadBytes)
	for name, c := range map[string]struct {
		method, path, token, body string
		status                    int
	}{
		"no token":         {http.MethodPost, "/v1/jobs", "", job(`"tasks":[{}]`), 401},
		"wrong token":      {http.MethodPost, "/v1/jobs", "bad", job(`"tasks":[{}]`), 401},
		"empty body":       {http.MethodPost, "/v1/jobs", "good", ``, 400},
		"not JSON":         {http.MethodPost, "/v1/jobs", "good", `{`, 400},
		"trailing data":    {http.MethodPost, "/v1/jobs", "good", job(`"tasks":[{}]`) + `{}`, 400},
		"unknown field":    {http.MethodPost, "/v1/jobs", "good", job(`"tasks":[{}],"tusks":1`), 400},
		"duplicate field":  {http.MethodPost, "/v1/jobs", "good", job(`"tasks":[{}],"key":"l"`), 400},
		"no key":           {http.MethodPost, "/v1/jobs", "good", `{"service":"check","tasks":[{}]}`, 400},
		"long key":         {http.MethodPost, "/v1/jobs", "good", `{"key":"` + strings.Repeat("k", 129) + `","service":"check","tasks":[{}]}`, 400},
		"key with a space": {http.MethodPost, "/v1/jobs", "good", `{"key":"a b","service":"check","tasks":[{}]}`, 400},
		"no tasks":         {http.MethodPost, "/v1/jobs", "good", job(`"tasks":[]`), 400},
		"121 tasks":        {http.MethodPost, "/v1/jobs", "good", job(`"tasks":[{}` + strings.Repeat(",{}", 120) + `]`), 400},
		"two payloads":     {http.MethodPost, "/v1/jobs", "good", job(`"tasks":[{"payload":1,"payload_base64":"YQ=="}]`), 400},
		"large payload":    {http.MethodPost, "/v1/jobs", "good", job(`"tasks":[{"payload":"` + big + `"}]`), 400},
		"large body":       {http.MethodPost, "/v1/jobs", "good", job(`"tasks":[{"payload":"` + strings.Repeat(big, 33) + `"}]`), 400},
		"long timeout":     {http.MethodPost, "/v1/jobs", "good", job(`"tasks":[{}],"timeout_ms":600001`), 400},
		"negative timeout": {http.MethodPost, "/v1/jobs", "good", job(`"tasks":[{}],"timeout_ms":-1`), 400},
		"bad wait":         {http.MethodGet, "/v1/jobs/k?wait=maybe", "good", "", 400},
		"no service":       {http.MethodPost, "/v1/requests", "good", `{"payload":1}`, 400},
		"unknown path":     {http.MethodGet, "/v2/jobs", "good", "", 404},
		"wrong method":     {http.MethodDelete, "/v1/jobs", "good", "", 404},
	} {
		b := &fakeBackend{}
		w := serve(t, b, c.method, c.path, c.token, c.body)
		if w.Code != c.status || b.calls != 0 {
			t.Errorf("%s: status %d, want %d; %d backend calls", name, w.Code, c.status, b.calls)
		}
		body := w.Body.String()
		if !strings.Contains(body, `"kind":"`) || strings.Contains(body, `"not_run":true`) && c.path == "/v1/jobs" {
			t.Errorf("%s: body %s", name, body)
		}
	}
}

// Guards against a submission that is altered before it reaches the backend, and
// against results that callers cannot distinguish.
func TestJob(t *testing.T) {
	b := &fakeBackend{}
	w := serve(t, b, http.MethodPost, "/v1/jobs", "good",
		`{"key":"k","service":"check","tasks":[{"payload":{"a": 1}},{"payload_base64":"/w=="}],"timeout_ms":1500}`)
	want := carobpulley.JobSpec{
		ID:       carobpulley.JobID{Member: "rentals", Key: "k"},
		Service:  "check",
		Payloads: [][]byte{[]byte(`{"a": 1}`), {0xff}},
		Deadline: time.Date(2026, 1, 1, 0, 0, 1, 500e6, time.UTC),
	}
	if diff := cmp.Diff(want, b.spec); diff != "" {
		t.Errorf("submitted job (-want +got):\n%s", diff)
	}
	reply := `{"key":"k","service":"check","outcome":"complete","tasks":[` +
		`{"index":0,"phase":"done","status":200,"result":{"van":12}},` +
		`{"index":1,"phase":"done","status":200,"result_base64":"/w=="}]}` + "\n"
	if diff := cmp.Diff(reply, w.Body.String()); diff != "" || w.Code != http.StatusOK {
		t.Errorf("status %d, body (-want +got):\n%s", w.Code, diff)
	}
}

// Guards against an error response without the error's kind, its NotRun or its
// retry time.
func TestErrors(t *testing.T) {
	now := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	b := &fakeBackend{err: &carobpulley.Error{
		Op: "submit", Kind: carobpulley.KindOverload, Msg: "full", NotRun: true, RetryAt: now.Add(1200 * time.Millisecond),
	}}
	w := serve(t, b, http.MethodGet, "/v1/jobs/k", "good", "")
	want := `{"error":{"kind":"overload","message":"full","not_run":true,"retry_after_ms":1200}}` + "\n"
	if diff := cmp.Diff(want, w.Body.String()); diff != "" || w.Code != 503 || w.Header().Get("Retry-After") != "2" {
		t.Errorf("status %d, Retry-After %q, body (-want +got):\n%s", w.Code, w.Header().Get("Retry-After"), diff)
	}
	b.err = fmt.Errorf("a bare error")
	w = serve(t, b, http.MethodPost, "/v1/jobs/k/cancel", "good", "")
	if w.Code != 500 || !strings.Contains(w.Body.String(), `"kind":"internal"`) {
		t.Errorf("status %d: %s", w.Code, w.Body.String())
	}
}

// Guards against input that makes the decoder panic, and against a submission
// beyond a limit that reaches the backend.
func FuzzSubmit(f *testing.F) {
	f.Add(`{"key":"k","service":"check","tasks":[{"payload":{"a":1}}],"timeout_ms":5,"wait":true}`)
	f.Add(`{"key":"k","service":"check","tasks":[{"payload_base64":"YQ=="}]}`)
	f.Add(`[]`)
	f.Fuzz(func(t *testing.T, body string) {
		b := &fakeBackend{}
		w := serve(t, b, http.MethodPost, "/v1/jobs", "good", body)
		n := len(b.spec.Payloads)
		if b.calls > 0 && (w.Code != 200 || b.spec.ID.Key == "" || n == 0 || n > carobpulley.MaxTasks) {
			t.Errorf("status %d, spec %+v", w.Code, b.spec)
		}
	})
}
