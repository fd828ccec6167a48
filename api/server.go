package api

import (
	"context"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/go-faster/errors"
	"github.com/go-json-experiment/json"
	"github.com/kataras/iris/v12"

	"carobpulley"
)

// Request is a single request, which has one result.
type Request struct {
	Member        string
	Service       string
	Payload       []byte
	NonIdempotent bool
	Deadline      time.Time
}

// Backend executes the callers' requests. Its errors are *carobpulley.Error.
type Backend interface {
	// Authenticate returns the member that a bearer token belongs to.
	Authenticate(token string) (string, error)
	// Submit accepts a job; with wait it returns when the job has ended or ctx
	// ends.
	Submit(ctx context.Context, spec carobpulley.JobSpec, wait bool) (carobpulley.Answer, error)
	// Lookup returns the state of a job, with wait as in Submit.
	Lookup(ctx context.Context, id carobpulley.JobID, wait bool) (carobpulley.Answer, error)
	// Cancel cancels a job and returns its state.
	Cancel(ctx context.Context, id carobpulley.JobID) (carobpulley.Answer, error)
	// Call runs a single request.
	Call(ctx context.Context, r Request) (carobpulley.Task, error)
}

// Server is the HTTP handler of the callers' API.
type Server struct {
	backend Backend
	now     func() time.Time
	app     *iris.Application
}

// New returns a Server. now is the clock: time.Now, except in tests.
func New(b Backend, now func() time.Time) (*Server, error) {
	s := &Server{backend: b, now: now, app: iris.New()}
	s.app.Logger().SetLevel("disable")
	s.app.Post("/v1/jobs", s.authenticated(s.submit))
	s.app.Get("/v1/jobs/{key:string}", s.authenticated(s.lookup))
	s.app.Post("/v1/jobs/{key:string}/cancel", s.authenticated(s.cancel))
	s.app.Post("/v1/requests", s.authenticated(s.call))
	s.app.OnAnyErrorCode(s.handleNoRoute)
	if err := s.app.Build(); err != nil {
		return nil, errors.Wrap(err, "build routes")
	}
	return s, nil
}

// ServeHTTP implements http.Handler.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	s.app.ServeHTTP(w, r)
}

func (s *Server) authenticated(next func(c iris.Context, member string)) iris.Handler {
	return func(c iris.Context) {
		token, ok := strings.CutPrefix(c.GetHeader("Authorization"), "Bearer ")
		if !ok {
			s.writeError(c, &carobpulley.Error{
				Op:   "authenticate",
				Kind: carobpulley.KindUnauthenticated,
				Msg:  "the header Authorization: Bearer <token> is missing",
			})
			return
		}
		member, err := s.backend.Authenticate(token)
		if err != nil {
			s.writeError(c, err)
			return
		}
		next(c, member)
	}
}

func (s *Server) submit(c iris.Context, member string) {
	var body jobBody
	if err := decodeBody(opSubmit, c.ResponseWriter(), c.Request(), &body); err != nil {
		s.writeError(c, err)
		return
	}
	spec, inputErr := body.jobSpec(s.now(), member)
	if inputErr != nil {
		s.writeError(c, inputErr)
		return
	}
	a, err := s.backend.Submit(c.Request().Context(), spec, body.Wait)
	s.writeJob(c, a, err)
}

func (s *Server) lookup(c iris.Context, member string) {
	id := carobpulley.JobID{Member: member, Key: c.Params().Get("key")}
	if err := checkKey("lookup", id.Key); err != nil {
		s.writeError(c, err)
		return
	}
	wait := c.URLParam("wait")
	if wait != "" && wait != "true" && wait != "false" {
		s.writeError(c, invalidError("lookup", "wait must be true or false"))
		return
	}
	a, err := s.backend.Lookup(c.Request().Context(), id, wait == "true")
	s.writeJob(c, a, err)
}

func (s *Server) cancel(c iris.Context, member string) {
	id := carobpulley.JobID{Member: member, Key: c.Params().Get("key")}
	if err := checkKey("cancel", id.Key); err != nil {
		s.writeError(c, err)
		return
	}
	a, err := s.backend.Cancel(c.Request().Context(), id)
	s.writeJob(c, a, err)
}

func (s *Server) call(c iris.Context, member string) {
	var body requestBody
	if err := decodeBody(opCall, c.ResponseWriter(), c.Request(), &body); err != nil {
		s.writeError(c, err)
		return
	}
	if body.Service == "" {
		s.writeError(c, invalidError(opCall, "service is empty"))
		return
	}
	p, inputErr := parsePayload(opCall, body.Payload, body.PayloadBase64)
	if inputErr != nil {
		s.writeError(c, inputErr)
		return
	}
	deadline, inputErr := parseDeadline(opCall, s.now(), body.TimeoutMS)
	if inputErr != nil {
		s.writeError(c, inputErr)
		return
	}
	t, err := s.backend.Call(c.Request().Context(), Request{
		Member:        member,
		Service:       body.Service,
		Payload:       p,
		NonIdempotent: body.NonIdempotent,
		Deadline:      deadline,
	})
	if err != nil {
		s.writeError(c, err)
		return
	}
	s.writeJSON(c, http.StatusOK, newTaskReply(t))
}

func (s *Server) writeJob(c iris.Context, a carobpulley.Answer, err error) {
	if err != nil {
		s.writeError(c, err)
		return
	}
	status := http.StatusOK
	if a.Outcome == carobpulley.OutcomeRunning {
		status = http.StatusAccepted
	}
	s.writeJSON(c, status, newJobReply(s.now(), a))
}

func (s *Server) writeError(c iris.Context, err error) {
	var e *carobpulley.Error
	if !errors.As(err, &e) {
		e = &carobpulley.Error{Kind: carobpulley.KindInternal, Msg: err.Error()}
	}
	reply := newErrorReply(s.now(), e)
	if reply.RetryAfterMS > 0 {
		seconds := (reply.RetryAfterMS + 999) / 1000
		c.Header("Retry-After", strconv.FormatInt(seconds, 10))
	}
	s.writeJSON(c, httpStatus(e.Kind), errorBody{Error: reply})
}

func (s *Server) handleNoRoute(c iris.Context) {
	s.writeJSON(c, c.GetStatusCode(), errorBody{Error: errorReply{
		Kind:    string(carobpulley.KindInvalid),
		Message: "no such path or method",
	}})
}

func (s *Server) writeJSON(c iris.Context, status int, v any) {
	b, err := json.Marshal(v)
	if err != nil {
		status = http.StatusInternalServerError
		b = []byte(`{"error":{"kind":"internal","message":"the answer could not be encoded","not_run":false}}`)
	}
	c.ResponseWriter().Header().Set("Content-Type", "application/json")
	c.StatusCode(status)
	_, _ = c.Write(append(b, '\n'))
}

// httpStatus maps an error kind to the HTTP status code that docs/api.md lists.
func httpStatus(k carobpulley.Kind) int {
	switch k {
	case carobpulley.KindInvalid:
		return http.StatusBadRequest
	case carobpulley.KindUnauthenticated:
		return http.StatusUnauthorized
	case carobpulley.KindForbidden:
		return http.StatusForbidden
	case carobpulley.KindNotFound:
		return http.StatusNotFound
	case carobpulley.KindConflict:
		return http.StatusConflict
	case carobpulley.KindExpired:
		return http.StatusGone
	case carobpulley.KindImpossible:
		return http.StatusUnprocessableEntity
	case carobpulley.KindQuota:
		return http.StatusTooManyRequests
	case carobpulley.KindOverload, carobpulley.KindUnavailable, carobpulley.KindDraining, carobpulley.KindBusy:
		return http.StatusServiceUnavailable
	case carobpulley.KindUnknown, carobpulley.KindDeadline:
		return http.StatusGatewayTimeout
	case carobpulley.KindFailed:
		return http.StatusBadGateway
	default:
		return http.StatusInternalServerError
	}
}
