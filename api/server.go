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

// Request is a single call with one answer.
type Request struct {
	Member        string
	Service       string
	Payload       []byte
	NonIdempotent bool
	Deadline      time.Time
}

// Backend carries out what callers ask for. Its errors are *carobpulley.Error.
type Backend interface {
	// Authenticate returns the member that a bearer token belongs to.
	Authenticate(token string) (string, error)
	// Submit takes a job; with wait it returns when the job has ended or ctx ends.
	Submit(ctx context.Context, spec carobpulley.JobSpec, wait bool) (carobpulley.Answer, error)
	// Lookup reads a job; with wait as in Submit.
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

// New returns the handler; now is the clock, time.Now outside of tests.
func New(b Backend, now func() time.Time) (*Server, error) {
	s := &Server{backend: b, now: now, app: iris.New()}
	s.app.Logger().SetLevel("disable")
	s.app.Post("/v1/jobs", s.authenticated(s.submit))
	s.app.Get("/v1/jobs/{key:string}", s.authenticated(s.lookup))
	s.app.Post("/v1/jobs/{key:string}/cancel", s.authenticated(s.cancel))
	s.app.Post("/v1/requests", s.authenticated(s.call))
	s.app.OnAnyErrorCode(s.noRoute)
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
			s.fail(c, &carobpulley.Error{
				Op:   "authenticate",
				Kind: carobpulley.KindUnauthenticated,
				Msg:  "the header Authorization: Bearer <token> is missing",
			})
			return
		}
		member, err := s.backend.Authenticate(token)
		if err != nil {
			s.fail(c, err)
			return
		}
		next(c, member)
	}
}

func (s *Server) submit(c iris.Context, member string) {
	var body jobBody
	if err := decode(opSubmit, c.ResponseWriter(), c.Request(), &body); err != nil {
		s.fail(c, err)
		return
	}
	spec, bad := body.spec(s.now(), member)
	if bad != nil {
		s.fail(c, bad)
		return
	}
	a, err := s.backend.Submit(c.Request().Context(), spec, body.Wait)
	s.job(c, a, err)
}

func (s *Server) lookup(c iris.Context, member string) {
	id := carobpulley.JobID{Member: member, Key: c.Params().Get("key")}
	if err := checkKey("lookup", id.Key); err != nil {
		s.fail(c, err)
		return
	}
	wait := c.URLParam("wait")
	if wait != "" && wait != "true" && wait != "false" {
		s.fail(c, invalid("lookup", "wait must be true or false"))
		return
	}
	a, err := s.backend.Lookup(c.Request().Context(), id, wait == "true")
	s.job(c, a, err)
}

func (s *Server) cancel(c iris.Context, member string) {
	id := carobpulley.JobID{Member: member, Key: c.Params().Get("key")}
	if err := checkKey("cancel", id.Key); err != nil {
		s.fail(c, err)
		return
	}
	a, err := s.backend.Cancel(c.Request().Context(), id)
	s.job(c, a, err)
}

func (s *Server) call(c iris.Context, member string) {
	var body requestBody
	if err := decode(opCall, c.ResponseWriter(), c.Request(), &body); err != nil {
		s.fail(c, err)
		return
	}
	if body.Service == "" {
		s.fail(c, invalid(opCall, "service is empty"))
		return
	}
	p, bad := payload(opCall, body.Payload, body.PayloadBase64)
	if bad != nil {
		s.fail(c, bad)
		return
	}
	at, bad := deadline(opCall, s.now(), body.TimeoutMS)
	if bad != nil {
		s.fail(c, bad)
		return
	}
	t, err := s.backend.Call(c.Request().Context(), Request{
		Member:        member,
		Service:       body.Service,
		Payload:       p,
		NonIdempotent: body.NonIdempotent,
		Deadline:      at,
	})
	if err != nil {
		s.fail(c, err)
		return
	}
	s.write(c, http.StatusOK, newTaskReply(t))
}

func (s *Server) job(c iris.Context, a carobpulley.Answer, err error) {
	if err != nil {
		s.fail(c, err)
		return
	}
	status := http.StatusOK
	if a.Outcome == carobpulley.OutcomeRunning {
		status = http.StatusAccepted
	}
	s.write(c, status, newJobReply(s.now(), a))
}

func (s *Server) fail(c iris.Context, err error) {
	var e *carobpulley.Error
	if !errors.As(err, &e) {
		e = &carobpulley.Error{Kind: carobpulley.KindInternal, Msg: err.Error()}
	}
	reply := newErrorReply(s.now(), e)
	if reply.RetryAfterMS > 0 {
		seconds := (reply.RetryAfterMS + 999) / 1000
		c.Header("Retry-After", strconv.FormatInt(seconds, 10))
	}
	s.write(c, statusOf(e.Kind), errorBody{Error: reply})
}

func (s *Server) noRoute(c iris.Context) {
	s.write(c, c.GetStatusCode(), errorBody{Error: errorReply{
		Kind:    string(carobpulley.KindInvalid),
		Message: "no such path or method",
	}})
}

func (s *Server) write(c iris.Context, status int, v any) {
	b, err := json.Marshal(v)
	if err != nil {
		status = http.StatusInternalServerError
		b = []byte(`{"error":{"kind":"internal","message":"the answer could not be encoded","not_run":false}}`)
	}
	c.ResponseWriter().Header().Set("Content-Type", "application/json")
	c.StatusCode(status)
	_, _ = c.Write(append(b, '\n'))
}

// statusOf maps error kinds to HTTP status codes, as docs/api.md lists them.
func statusOf(k carobpulley.Kind) int {
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
