package oper

import (
	"context"
	"crypto/sha256"
	"crypto/subtle"
	"encoding/json"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/go-faster/errors"

	"carobpulley"
	"carobpulley/conf"
)

const (
	// maxBodyBytes fits a document of the largest size in JSON, where a
	// character can take six bytes.
	maxBodyBytes = 6*conf.MaxDocumentBytes + 4096
	// Paths of the API.
	pathCatalogue = "/v1/admin/catalogue"
	pathChanges   = "/v1/admin/changes"
	pathHistory   = "/v1/admin/history"
	pathVersions  = "/v1/admin/versions"
	pathStatus    = "/v1/admin/status"
)

// handler serves the API for one entry.
type handler struct {
	backend Backend
	tokens  [][32]byte
	now     func() time.Time
}

// NewHandler returns the API with the SHA-256 sums of the operators' tokens.
// Without a token every request is refused.
func NewHandler(b Backend, tokens [][32]byte, now func() time.Time) http.Handler {
	h := &handler{backend: b, tokens: tokens, now: now}
	mux := http.NewServeMux()
	mux.HandleFunc("GET "+pathCatalogue, h.catalogue)
	mux.HandleFunc("POST "+pathChanges, h.publish)
	mux.HandleFunc("GET "+pathChanges+"/{id}", h.change)
	mux.HandleFunc("GET "+pathHistory, h.history)
	mux.HandleFunc("GET "+pathVersions+"/{version}", h.version)
	mux.HandleFunc("GET "+pathStatus, h.status)
	mux.HandleFunc("/", func(w http.ResponseWriter, _ *http.Request) {
		fail(w, http.StatusNotFound, carobpulley.KindNotFound, "there is no such path or method", nil)
	})
	return h.authenticated(mux)
}

func (h *handler) authenticated(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if !h.knows(r) {
			w.Header().Set("WWW-Authenticate", "Bearer")
			fail(w, http.StatusUnauthorized, carobpulley.KindUnauthenticated, "the operator token is missing or wrong", nil)
			return
		}
		next.ServeHTTP(w, r)
	})
}

// knows compares the token's sum with each known one in constant time.
func (h *handler) knows(r *http.Request) bool {
	token, ok := strings.CutPrefix(r.Header.Get("Authorization"), "Bearer ")
	sum := sha256.Sum256([]byte(token))
	match := 0
	for _, t := range h.tokens {
		match |= subtle.ConstantTimeCompare(sum[:], t[:])
	}
	return ok && token != "" && match == 1
}

func (h *handler) catalogue(w http.ResponseWriter, _ *http.Request) {
	reply(w, http.StatusOK, h.backend.Catalogue())
}

func (h *handler) version(w http.ResponseWriter, r *http.Request) {
	v, err := strconv.ParseUint(r.PathValue("version"), 10, 64)
	if err != nil {
		fail(w, http.StatusBadRequest, carobpulley.KindInvalid, "the version must be a number", nil)
		return
	}
	c, ok := h.backend.Version(v)
	if !ok {
		fail(w, http.StatusNotFound, carobpulley.KindNotFound, "this entry does not keep the document of version "+strconv.FormatUint(v, 10), nil)
		return
	}
	reply(w, http.StatusOK, c)
}

func (h *handler) history(w http.ResponseWriter, _ *http.Request) {
	list := h.backend.History()
	if list == nil {
		list = []conf.Result{}
	}
	reply(w, http.StatusOK, list)
}

func (h *handler) status(w http.ResponseWriter, _ *http.Request) {
	reply(w, http.StatusOK, h.backend.Status())
}

func (h *handler) change(w http.ResponseWriter, r *http.Request) {
	a := h.backend.Change(r.Context(), r.PathValue("id"))
	a.ChangeID = r.PathValue("id")
	code := a.Outcome.status()
	if a.Outcome == OutcomeUnknown {
		code = http.StatusNotFound
	}
	reply(w, code, a)
}

// publish checks a change and hands it to the backend. A faulty document never
// reaches the log.
func (h *handler) publish(w http.ResponseWriter, r *http.Request) {
	var req ChangeRequest
	if code, err := readBody(w, r, &req); err != nil {
		fail(w, code, carobpulley.KindInvalid, err.Error(), nil)
		return
	}
	c := conf.Change{
		ID:       req.ChangeID,
		Base:     req.BaseVersion,
		Author:   req.Author,
		Time:     h.now(),
		Document: []byte(req.Document),
	}
	if err := c.Validate(); err != nil {
		failInvalid(w, http.StatusBadRequest, err)
		return
	}
	if _, err := conf.Parse(c.Document); err != nil {
		failInvalid(w, http.StatusUnprocessableEntity, err)
		return
	}
	ctx, cancel := context.WithTimeout(r.Context(), PublishTimeout)
	defer cancel()
	a := h.backend.Publish(ctx, c)
	a.ChangeID = c.ID
	reply(w, a.Outcome.status(), a)
}

// status returns the HTTP status of an outcome.
func (o Outcome) status() int {
	switch o {
	case OutcomeAccepted:
		return http.StatusOK
	case OutcomePublished:
		return http.StatusAccepted
	case OutcomeConflict:
		return http.StatusConflict
	case OutcomeUnavailable:
		return http.StatusServiceUnavailable
	default:
		return http.StatusGatewayTimeout
	}
}

// readBody reads one JSON value without unknown fields. It returns the HTTP
// status to refuse with.
func readBody(w http.ResponseWriter, r *http.Request, v any) (int, error) {
	d := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxBodyBytes))
	d.DisallowUnknownFields()
	err := d.Decode(v)
	var tooLarge *http.MaxBytesError
	if errors.As(err, &tooLarge) {
		return http.StatusRequestEntityTooLarge, errors.Errorf("the body is larger than %d bytes", maxBodyBytes)
	}
	if err != nil {
		return http.StatusBadRequest, errors.Wrap(err, "the body is not a change")
	}
	if _, err := d.Token(); !errors.Is(err, io.EOF) {
		return http.StatusBadRequest, errors.New("the body has more than one JSON value")
	}
	return 0, nil
}

func failInvalid(w http.ResponseWriter, code int, err error) {
	var e *conf.Error
	if errors.As(err, &e) {
		fail(w, code, carobpulley.KindInvalid, e.Msg, e.Problems)
		return
	}
	fail(w, code, carobpulley.KindInvalid, err.Error(), nil)
}

func fail(w http.ResponseWriter, code int, kind carobpulley.Kind, msg string, problems []conf.Problem) {
	reply(w, code, Failure{Kind: kind, Message: msg, Problems: problems})
}

func reply(w http.ResponseWriter, code int, v any) {
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Cache-Control", "no-store")
	w.WriteHeader(code)
	// The client sees a short body if the connection breaks.
	_ = json.NewEncoder(w).Encode(v)
}
