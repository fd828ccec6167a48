package main

import (
	"bufio"
	"errors"
	"io"
	"net/http"
	"net/http/httptest"
	"os"
	"strings"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"github.com/rs/zerolog"

	"carobpulley/intake"
	"carobpulley/meter"
)

// smallGate returns a running gate with a budget of 1 MiB, 20 connections of callers and a short time for bodies.
func smallGate(t *testing.T) *intake.Gate {
	t.Helper()
	gate := intake.NewGate(intake.Limits{BudgetBytes: 1 << 20, Connections: 50}, zerolog.Nop(), meter.New())
	gate.SetTimeouts(intake.RoleClients, func() intake.Timeouts {
		return intake.Timeouts{Head: time.Minute, Body: 200 * time.Millisecond, Idle: time.Minute}
	})
	go gate.Run(t.Context())
	return gate
}

// Guards against callers that wait for their job and are cut off while others send unfinished requests.
func TestWaitingCallersAreKept(t *testing.T) {
	const waiting, others = 6, 100
	entered, release := make(chan bool, waiting), make(chan bool)
	addr := serveGated(t, smallGate(t), func(w http.ResponseWriter, r *http.Request) {
		if _, err := io.ReadAll(r.Body); err != nil {
			return
		}
		entered <- true
		<-release
		_, _ = io.WriteString(w, "done")
	})
	callers := make([]*bufio.Reader, 0, waiting)
	for range waiting {
		c := dialCallers(t, addr)
		callers = append(callers, bufio.NewReader(c))
		if _, err := io.WriteString(c, "POST /p HTTP/1.1\r\nHost: a\r\nContent-Length: 4000\r\n\r\n"+strings.Repeat("a", 4000)); err != nil {
			t.Fatal(err)
		}
		<-entered
	}
	for range others {
		c := dialCallers(t, addr)
		// The server may end the connection at any time.
		_, _ = io.WriteString(c, "POST /p HTTP/1.1\r\nHost: a\r\nContent-Length: 200000\r\n\r\n"+strings.Repeat("a", 199_999))
	}
	close(release)
	for n, r := range callers {
		resp, err := http.ReadResponse(r, nil)
		if err != nil {
			t.Fatalf("caller %d: %v", n, err)
		}
		got, err := io.ReadAll(resp.Body)
		_ = resp.Body.Close()
		if err != nil || string(got) != "done" {
			t.Errorf("caller %d: %q, %v", n, got, err)
		}
	}
}

// Guards against an aborted request without a response, and against bodies that no handler reads and that
// keep their connection for good.
func TestAbortedRequestsAreAnswered(t *testing.T) {
	for name, c := range map[string]struct {
		request string
		read    bool
		want    int
	}{
		"larger than the budget":       {"POST /p HTTP/1.1\r\nHost: a\r\nContent-Length: 900000\r\n\r\n" + strings.Repeat("a", 900_000), true, 503},
		"slow":                         {"POST /p HTTP/1.1\r\nHost: a\r\nContent-Length: 4000\r\n\r\na", true, 503},
		"body that is not read":        {"PUT /p HTTP/1.1\r\nHost: a\r\nContent-Length: 4000\r\n\r\na", false, 404},
		"chunked body that isn't read": {"DELETE /p HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n1\r\na", false, 404},
	} {
		t.Run(name, func(t *testing.T) {
			conn := dialCallers(t, serveGated(t, smallGate(t), func(w http.ResponseWriter, r *http.Request) {
				if !c.read {
					w.WriteHeader(http.StatusNotFound)
					return
				}
				var aborted *intake.Error
				if _, err := io.ReadAll(r.Body); errors.As(err, &aborted) {
					w.WriteHeader(http.StatusServiceUnavailable)
				}
			}))
			if err := conn.SetReadDeadline(time.Now().Add(servedWithin)); err != nil {
				t.Fatal(err)
			}
			go func() { _, _ = io.WriteString(conn, c.request) }() // may be ended
			r := bufio.NewReader(conn)
			resp, err := http.ReadResponse(r, nil)
			if err != nil {
				t.Fatal(err)
			}
			_ = resp.Body.Close()
			if diff := cmp.Diff(c.want, resp.StatusCode); diff != "" {
				t.Errorf("status (-want +got):\n%s", diff)
			}
			if _, err := r.ReadByte(); err == nil || errors.Is(err, os.ErrDeadlineExceeded) {
				t.Errorf("the connection stays open: %v", err)
			}
		})
	}
}

// Guards against messages in forms that processes do not send and that take far more memory than their bytes.
func TestOnlyMessagesOfProcesses(t *testing.T) {
	served := 0
	h := onlyMessages(http.HandlerFunc(func(http.ResponseWriter, *http.Request) { served++ }))
	for _, c := range [][3]string{
		{"POST", "application/proto", "gzip"},
		{"POST", "application/grpc-web", ""},
		{"POST", "application/connect+proto", ""},
		{"GET", "application/proto", ""},
		{"POST", "application/json", ""},
		{"POST", "application/proto", ""},
	} {
		r := httptest.NewRequest(c[0], "/", strings.NewReader(""))
		r.Header.Set("Content-Type", c[1])
		r.Header.Set("Content-Encoding", c[2])
		h.ServeHTTP(httptest.NewRecorder(), r)
	}
	if served != 1 {
		t.Errorf("%d requests served, want the last one", served)
	}
	const asks, starts = "\x12\x00", "\x2a\x1c\x0a\x1a\x0a\x160000000400000000.0.0.5\x10\x01"
	for _, c := range []struct {
		method, body string
		want         int
	}{
		{"CoordinatorService/Hold", strings.Repeat(asks, 1000), 1000},
		{"CoordinatorService/Hold", "\x0a\x04" + asks + asks, 1},
		{"AgentService/Forward", strings.Repeat("\x12\x04"+asks+asks, 10), 30},
		{"AgentService/Order", strings.Repeat(starts, 100), 200},
		{"AgentService/None", asks, 0},
	} {
		if diff := cmp.Diff(c.want, elements(inputOf("/carob.relay.v1."+c.method), []byte(c.body))); diff != "" {
			t.Errorf("elements of %s (-want +got):\n%s", c.method, diff)
		}
	}
}
