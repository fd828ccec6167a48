package main

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"net/netip"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/rs/zerolog"

	"carobpulley/intake"
	"carobpulley/meter"
)

const (
	// noticeTime is how soon a caller's leaving must be known: its job is submitted again 1,300 ms later.
	noticeTime = 300 * time.Millisecond
	// callTime bounds the calls of the tests.
	callTime = 3 * time.Second
)

// serveCallers serves a handler at a callers' listener until the test ends, and returns its address.
func serveCallers(t *testing.T, h http.HandlerFunc) string {
	t.Helper()
	return serveGated(t, testGate(t), h)
}

// serveGated is serveCallers with a gate.
func serveGated(t *testing.T, gate *intake.Gate, h http.HandlerFunc) string {
	t.Helper()
	free, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	addr := free.Addr().String()
	_ = free.Close()
	ctx, stop := context.WithCancel(t.Context())
	served := make(chan error, 1)
	go func() {
		p := &process{log: zerolog.Nop(), gate: gate}
		served <- p.serve([]listener{{addr: netip.MustParseAddrPort(addr), handler: h, callers: true, role: intake.RoleClients}},
			func(_ context.Context, closeCallers closeCallersFunc) error {
				<-ctx.Done()
				closeCallers(ctx)
				return nil
			})
	}()
	t.Cleanup(func() {
		stop()
		if err := <-served; err != nil {
			t.Error(err)
		}
	})
	return addr
}

// testGate returns a gate with the limits of a process without limits in its settings.
func testGate(t *testing.T) *intake.Gate {
	t.Helper()
	limits, err := intake.DeriveLimits(0, 0)
	if err != nil {
		t.Fatal(err)
	}
	return intake.NewGate(limits, zerolog.Nop(), meter.New())
}

// dialCallers connects to a listener that may not be open yet.
func dialCallers(t *testing.T, addr string) net.Conn {
	t.Helper()
	for until := time.Now().Add(callTime); ; time.Sleep(time.Millisecond) {
		c, err := net.Dial("tcp", addr)
		if err == nil {
			t.Cleanup(func() { _ = c.Close() })
			return c
		}
		if time.Now().After(until) {
			t.Fatal(err)
		}
	}
}

// Guards against a best-effort job that runs on after its caller has left, and twice at a time once it is
// submitted again, because something is behind its request on the connection.
func TestLeavingIsNoticedBehindAnotherRequest(t *testing.T) {
	const call = "POST /p HTTP/1.1\r\nHost: a\r\nContent-Length: 2\r\n\r\n{}"
	for name, c := range map[string]struct{ sent, later string }{
		"nothing":            {call, ""},
		"request at once":    {call + call, ""},
		"request later":      {call, call},
		"part of a request":  {call, call[:9]},
		"blank line":         {call, "\r\n"},
		"request and a half": {call + call[:9], call[9:]},
		"several requests":   {call, call + call + call},
	} {
		t.Run(name, func(t *testing.T) {
			entered, left := make(chan bool, 9), make(chan time.Time, 9)
			conn := dialCallers(t, serveCallers(t, func(_ http.ResponseWriter, r *http.Request) {
				_, _ = io.Copy(io.Discard, r.Body)
				entered <- true
				select {
				case <-r.Context().Done():
				case <-time.After(callTime):
				}
				left <- time.Now()
			}))
			if _, err := io.WriteString(conn, c.sent); err != nil {
				t.Fatal(err)
			}
			<-entered
			if _, err := io.WriteString(conn, c.later); err != nil {
				t.Fatal(err)
			}
			time.Sleep(20 * time.Millisecond) // the bytes arrive on their own
			began := time.Now()
			_ = conn.Close()
			if took := (<-left).Sub(began); took > noticeTime {
				t.Errorf("the handler learned after %v that its caller has left, want at most %v", took, noticeTime)
			}
		})
	}
}

// Guards against requests that are lost, reordered or changed because they were read while another was
// served.
func TestRequestsReadAheadAreServedInOrder(t *testing.T) {
	const calls = 60
	addr := serveCallers(t, func(w http.ResponseWriter, r *http.Request) {
		body, err := io.ReadAll(r.Body)
		if err != nil {
			t.Error(err)
		}
		time.Sleep(time.Duration(len(body)%7) * time.Millisecond)
		_, _ = w.Write(body[:min(len(body), 100)])
	})
	conn := dialCallers(t, addr)
	if err := conn.SetDeadline(time.Now().Add(10 * callTime)); err != nil {
		t.Fatal(err)
	}
	body := func(n int) string { return strings.Repeat(strconv.Itoa(n)+",", 1+n*n) }
	go func() {
		var all strings.Builder
		for n := range calls {
			fmt.Fprintf(&all, "POST /p HTTP/1.1\r\nHost: a\r\nContent-Length: %d\r\n\r\n%s", len(body(n)), body(n))
		}
		rng := rand.New(rand.NewPCG(1, 1))
		for sent := all.String(); sent != ""; {
			n := min(len(sent), 1+rng.IntN(2000))
			if _, err := io.WriteString(conn, sent[:n]); err != nil {
				t.Error(err)
				return
			}
			sent = sent[n:]
			time.Sleep(time.Duration(rng.IntN(500)) * time.Microsecond)
		}
	}()
	r := bufio.NewReader(conn)
	for n := range calls {
		resp, err := http.ReadResponse(r, nil)
		if err != nil {
			t.Fatalf("call %d: %v", n, err)
		}
		got, err := io.ReadAll(resp.Body)
		_ = resp.Body.Close()
		if want := body(n); err != nil || string(got) != want[:min(len(want), 100)] {
			t.Fatalf("call %d: %v, answer %q", n, err, got)
		}
	}
}
