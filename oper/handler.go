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
	// maxBodyBytes admits a document of the maximum size encoded in JSON, where
	// a character can take six bytes.
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

// NewHandler returns the handler of the API. It accepts requests whose bearer
// token has one of the SHA-256 sums in tokens; if tokens is empty, it rejects
// every request.
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
		writeFailure(w, http.StatusNotFound, carobpulley.KindNotFound, "there is no such path or method", nil)
	})
	return h.requireToken(mux)
}

func (h *handler) requireToken(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if !h.hasValidToken(r) {
			w.Header().Set("WWW-Authenticate", "Bearer")
			writeFailure(w, http.StatusUnauthorized, carobpulley.KindUnauthenticated, "the operator token is missing or wrong", nil)
			return
		}
		next.ServeHTTP(w, r)
	})
}

// hasValidToken reports whether r carries an operator token. It compares the
// token's sum with every configured one in constant time.
func (h *handler) hasValidToken(r *http.Request) bool {
	token, ok := strings.CutPrefix(r.Header.Get("Authorization"), "Bearer ")
	sum := sha256.Sum256([]byte(token))
	match := 0
	for _, t := range h.tokens {
		match |= subtle.ConstantTimeCompare(sum[:], t[:])
	}
	return ok && token != "" && match == 1
}

func (h *handler) catalogue(w http.ResponseWriter, _ *http.Request) {
	writeJSON(w, http.StatusOK, h.backend.Catalogue())
}

func (h *handler) version(w http.ResponseWriter, r *http.Request) {
	v, err := strconv.ParseUint(r.PathValue("version"), 10, 64)
	if err != nil {
		writeFailure(w, http.StatusBadRequest, carobpulley.KindInvalid, "the version must be a number", nil)
		return
	}
	c, ok := h.backend.Version(v)
	if !ok {
		writeFailure(w, http.StatusNotFound, carobpulley.KindNotFound, "this entry does not keep the document of version "+strconv.FormatUint(v, 10), nil)
		return
	}
	writeJSON(w, http.StatusOK, c)
}

func (h *handler) history(w http.ResponseWriter, _ *http.Request) {
	list := h.backend.History()
	if list == nil {
		list = []conf.Result{}
	}
	writeJSON(w, http.StatusOK, list)
}

func (h *handler) status(w http.ResponseWriter, _ *http.Request) {
	writeJSON(w, http.StatusOK, h.backend.Status())
}

func (h *handler) change(w http.ResponseWriter, r *http.Request) {
	state := h.backend.Change(r.Context(), r.PathValue("id"))
	state.ChangeID = r.PathValue("id")
	code := state.Outcome.httpStatus()
	if state.Outcome == OutcomeUnknown {
		code = http.StatusNotFound
	}
	writeJSON(w, code, state)
}

// publish validates a change and passes it to the backend. An invalid document
// never reaches the log.
func (h *handler) publish(w http.ResponseWriter, r *http.Request) {
	var req ChangeRequest
	if code, err := readBody(w, r, &req); err != nil {
		writeFailure(w, code, carobpulley.KindInvalid, err.Error(), nil)
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
		writeInvalid(w, http.StatusBadRequest, err)
		return
	}
	if _, err := conf.Parse(c.Document); err != nil {
		writeInvalid(w, http.StatusUnprocessableEntity, err)
		return
	}
	ctx, cancel := context.WithTimeout(r.Context(), PublishTimeout)
	defer cancel()
	state := h.backend.Publish(ctx, c)
	state.ChangeID = c.ID
	writeJSON(w, state.Outcome.httpStatus(), state)
}

// httpStatus returns the HTTP status of an outcome.
func (o Outcome) httpStatus() int {
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

// readBody decodes a body of one JSON value and rejects unknown fields. With an
// error it returns the HTTP status of the response.
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

func writeInvalid(w http.ResponseWriter, code int, err error) {
	var e *conf.Error
	if errors.As(err, &e) {
		writeFailure(w, code, carobpulley.KindInvalid, e.Msg, e.Problems)
		return
	}
	writeFailure(w, code, carobpulley.KindInvalid, err.Error(), nil)
}

func writeFailure(w http.ResponseWriter, code int, kind carobpulley.Kind, msg string, problems []conf.Problem) {
	writeJSON(w, code, Failure{Kind: kind, Message: msg, Problems: problems})
}

func writeJSON(w http.ResponseWriter, code int, v any) {
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Cache-Control", "no-store")
	w.WriteHeader(code)
	// If the connection breaks, the client gets a truncated body.
	_ = json.NewEncoder(w).Encode(v)
}
