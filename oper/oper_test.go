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

const goodDocument = "format: 1\nentries: [entry-a]\ndomains: []\nmembers: []\nservices: []\n"

// scripted is a backend with fixed answers. Publish answers with the outcome
// that the author's name asks for.
type scripted struct{ published []conf.Change }

func (s *scripted) Catalogue() Current { return Current{Version: 4, Document: goodDocument} }

func (s *scripted) Version(v uint64) (Current, bool) {
	return Current{Version: v, Document: goodDocument}, v == 3
}

func (s *scripted) Publish(_ context.Context, c conf.Change) Answer {
	s.published = append(s.published, c)
	return Answer{Outcome: Outcome(c.Author), Version: 5}
}

func (s *scripted) Change(_ context.Context, id string) Answer {
	return Answer{Outcome: Outcome(id), Version: 5}
}

func (s *scripted) History() []conf.Result { return nil }

func (s *scripted) Status() Status {
	return Status{Entry: "entry-a", Processes: []Process{{Name: "a", Version: 4}, {Name: "b", Version: 5}}}
}

func serve(t *testing.T) (*scripted, string) {
	b := &scripted{}
	at := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	s := httptest.NewServer(NewHandler(b, [][32]byte{sha256.Sum256([]byte("old")), sha256.Sum256([]byte("secret"))}, func() time.Time { return at }))
	t.Cleanup(s.Close)
	return b, s.URL
}

// TestClient guards against outcomes and errors that change their meaning
// between handler and client.
func TestClient(t *testing.T) {
	b, url := serve(t)
	c, err := NewClient(url, "secret", http.DefaultClient)
	if err != nil {
		t.Fatal(err)
	}
	for _, o := range []Outcome{OutcomeAccepted, OutcomeConflict, OutcomePublished, OutcomeUnknown, OutcomeUnavailable} {
		a, err := c.Publish(t.Context(), ChangeRequest{ChangeID: "id 1/2", BaseVersion: 4, Author: string(o), Document: goodDocument})
		if d := cmp.Diff(Answer{Outcome: o, ChangeID: "id 1/2", Version: 5}, a); d != "" || err != nil {
			t.Errorf("publish (-want +got):\n%s%v", d, err)
		}
		a, err = c.Change(t.Context(), string(o))
		if a.Outcome != o || a.ChangeID != string(o) || err != nil {
			t.Errorf("change %s = %+v, %v", o, a, err)
		}
	}
	if len(b.published) != 5 || b.published[0].Base != 4 || b.published[0].Time.Year() != 2026 {
		t.Errorf("published %+v", b.published)
	}
	if s, err := c.Status(t.Context()); err != nil || len(s.Behind(5)) != 1 || s.Behind(5)[0].Name != "a" {
		t.Errorf("status = %+v, %v", s, err)
	}
	if h, err := c.History(t.Context()); err != nil || h == nil {
		t.Errorf("history = %v, %v", h, err)
	}
	stopped := httptest.NewServer(nil)
	stopped.Close()
	lost := httptest.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) }))
	defer lost.Close()
	proxy := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusBadGateway) }))
	defer proxy.Close()
	for _, tt := range []struct {
		url, token, document string
		want                 carobpulley.Kind
	}{
		{url, "secret", "format: 1", carobpulley.KindInvalid},
		{url, "secret2", goodDocument, carobpulley.KindUnauthenticated},
		{url, "", goodDocument, carobpulley.KindUnauthenticated},
		{stopped.URL, "secret", goodDocument, carobpulley.KindUnavailable},
		{lost.URL, "secret", goodDocument, carobpulley.KindUnknown},
		{proxy.URL, "secret", goodDocument, carobpulley.KindUnknown},
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
			t.Errorf("problems of a faulty document: %v", err)
		}
	}
	if len(b.published) != 5 {
		t.Errorf("%d changes reached the backend, want 5", len(b.published))
	}
}

// TestRefused guards against loose bodies, and against requests that reach the
// backend without a token.
func TestRefused(t *testing.T) {
	b, url := serve(t)
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
		t.Errorf("published %+v", b.published)
	}
}
