package oper

import (
	"context"
	"crypto/sha256"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/go-faster/errors"
	"github.com/google/go-cmp/cmp"

	"carobpulley"
	"carobpulley/conf"
)

const validDocument = "format: 1\nentries: [entry-a]\ndomains: []\nmembers: []\nservices: []\n"

// fakeBackend returns fixed values. Publish returns the outcome that the
// change's author names, Change the one that the id names.
type fakeBackend struct{ published []conf.Change }

func (s *fakeBackend) Catalogue() DocumentVersion {
	return DocumentVersion{Version: 4, Document: validDocument}
}

func (s *fakeBackend) Version(v uint64) (DocumentVersion, bool) {
	return DocumentVersion{Version: v, Document: validDocument}, v == 3
}

func (s *fakeBackend) Publish(_ context.Context, c conf.Change) ChangeState {
	s.published = append(s.published, c)
	return ChangeState{Outcome: Outcome(c.Author), Version: 5}
}

func (s *fakeBackend) Change(_ context.Context, id string) ChangeState {
	return ChangeState{Outcome: Outcome(id), Version: 5}
}

func (s *fakeBackend) History() []conf.Result { return nil }

func (s *fakeBackend) Status() Status {
	return Status{Entry: "entry-a", Processes: []Process{{Name: "a", Version: 4}, {Name: "b", Version: 5}}}
}

func startServer(t *testing.T) (*fakeBackend, string) {
	b := &fakeBackend{}
	at := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	s := httptest.NewServer(NewHandler(b, [][32]byte{sha256.Sum256([]byte("old")), sha256.Sum256([]byte("secret"))}, func() time.Time { return at }))
	t.Cleanup(s.Close)
	return b, s.URL
}

// TestClient guards against outcomes and errors that change between the handler
// and the client.
func TestClient(t *testing.T) {
	b, url := startServer(t)
	c, err := NewClient(url, "secret", http.DefaultClient)
	if err != nil {
		t.Fatal(err)
	}
	for _, o := range []Outcome{OutcomeAccepted, OutcomeConflict, OutcomePublished, OutcomeUnknown, OutcomeUnavailable} {
		a, err := c.Publish(t.Context(), ChangeRequest{ChangeID: "id 1/2", BaseVersion: 4, Author: string(o), Document: validDocument})
		if d := cmp.Diff(ChangeState{Outcome: o, ChangeID: "id 1/2", Version: 5}, a); d != "" || err != nil {
			t.Errorf("publish (-want +got):\n%s%v", d, err)
		}
		a, err = c.Change(t.Context(), string(o))
		if a.Outcome != o || a.ChangeID != string(o) || err != nil {
			t.Errorf("change %s = %+v, %v", o, a, err)
		}
	}
	if len(b.published) != 5 || b.published[0].Base != 4 || b.published[0].Time.Year() != 2026 {
		t.Errorf("backend received changes %+v", b.published)
	}
	if s, err := c.Status(t.Context()); err != nil || len(s.Behind(5)) != 1 || s.Behind(5)[0].Name != "a" {
		t.Errorf("status = %+v, %v", s, err)
	}
	if h, err := c.History(t.Context()); err != nil || h == nil {
		t.Errorf("history = %v, %v", h, err)
	}
	stopped := httptest.NewServer(nil)
	stopped.Close()
	aborting := httptest.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) }))
	defer aborting.Close()
	proxy := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusBadGateway) }))
	defer proxy.Close()
	for _, tt := range []struct {
		url, token, document string
		want                 carobpulley.Kind
	}{
		{url, "secret", "format: 1", carobpulley.KindInvalid},
		{url, "secret2", validDocument, carobpulley.KindUnauthenticated},
		{url, "", validDocument, carobpulley.KindUnauthenticated},
		{stopped.URL, "secret", validDocument, carobpulley.KindUnavailable},
		{aborting.URL, "secret", validDocument, carobpulley.KindUnknown},
		{proxy.URL, "secret", validDocument, carobpulley.KindUnknown},
	} {
		c, err := NewClient(tt.url, tt.token, http.DefaultClient)
		if err != nil {
			t.Fatal(err)
		}
		_, err = c.Publish(t.Context(), ChangeRequest{ChangeID: "x", Document: tt.document})
		var e *Error
		if !errors.As(err, &e) || e.Kind != tt.want {
			t.Errorf("token %q, document %q: %v, want kind %s", tt.token, tt.document, err, tt.want)
		}
		if tt.document == "format: 1" && (e == nil || len(e.Problems) != 4) {
			t.Errorf("problems of an invalid document: %v, want 4", err)
		}
	}
	if len(b.published) != 5 {
		t.Errorf("%d changes reached the backend, want 5", len(b.published))
	}
}

// TestRefused guards against malformed bodies, and requests without a valid
// token, that reach the backend.
func TestRefused(t *testing.T) {
	b, url := startServer(t)
	for _, tt := range []struct {
		method, path, auth, body string
		want                     int
	}{
		{"GET", "/v1/admin/status", "", "", 401},
		{"GET", "/v1/admin/status", "Bearer ", "", 401},
		{"GET", "/v1/admin/status", "secret", "", 401},
		{"GET", "/v1/admin/none", "Bearer secret", "", 404},
		{"DELETE", "/v1/admin/catalogue", "Bearer old", "", 404},
		{"GET", "/v1/admin/versions/3", "Bearer old", "", 200},
		{"GET", "/v1/admin/versions/9", "Bearer old", "", 404},
		{"GET", "/v1/admin/versions/x", "Bearer old", "", 400},
		{"POST", "/v1/admin/changes", "Bearer secret", `{"change_id":"a","force":true}`, 400},
		{"POST", "/v1/admin/changes", "Bearer secret", `{"change_id":"a"} {}`, 400},
		{"POST", "/v1/admin/changes", "Bearer secret", `{"document":"x"}`, 400},
		{"POST", "/v1/admin/changes", "Bearer secret", `{"document":"` + strings.Repeat("x", maxBodyBytes) + `"}`, 413},
	} {
		req, err := http.NewRequest(tt.method, url+tt.path, strings.NewReader(tt.body))
		if err != nil {
			t.Fatal(err)
		}
		req.Header.Set("Authorization", tt.auth)
		resp, err := http.DefaultClient.Do(req)
		if err != nil {
			t.Fatal(err)
		}
		if _ = resp.Body.Close(); resp.StatusCode != tt.want {
			t.Errorf("%s %s with %q: status %d, want %d", tt.method, tt.path, tt.auth, resp.StatusCode, tt.want)
		}
	}
	if len(b.published) != 0 {
		t.Errorf("backend received changes %+v, want none", b.published)
	}
}
