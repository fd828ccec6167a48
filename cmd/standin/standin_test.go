package main

import (
	"context"
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/google/go-cmp/cmp"
	"github.com/rs/zerolog"

	"carobpulley"
	"carobpulley/stream"
)

func call(h http.Handler, method, target, body string) (int, string) {
	r := httptest.NewRequest(method, target, strings.NewReader(body))
	job, task, _ := strings.Cut(r.URL.RawQuery, "/")
	r.Header.Set("X-Carob-Job", job)
	r.Header.Set("X-Carob-Task", task)
	w := httptest.NewRecorder()
	h.ServeHTTP(w, r)
	return w.Code, w.Body.String()
}

// Guards against run times that ignore the settings or cannot be reproduced from
// the seed, and against failure modes that do not take the specified time.
func TestEndpointRunTimes(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		stopping, stop := context.WithCancel(t.Context())
		defer stop()
		time.AfterFunc(time.Hour, stop)
		for _, tt := range []struct {
			settings settings
			payload  string
			took     time.Duration
			code     int
			body     string
		}{
			{settings{200, 1, 0, modeRun}, "abc", 200 * time.Millisecond, 200, "e1\nabc"},
			{settings{200, 4, 0, modeRun}, "", 50 * time.Millisecond, 200, "e1\n"},
			{settings{200, 1, 0, modeRun}, `{"run_ms": 30}`, 30 * time.Millisecond, 200, `{"endpoint":"e1","payload":{"run_ms": 30}}`},
			{settings{200, 1, 0, modeFail}, "", 0, 500, "{\"message\":\"run: set to fail\"}\n"},
			{settings{200, 1, 0, modeHang}, "", time.Hour - 280*time.Millisecond, 503, "{\"message\":\"run: endpoint is stopping\"}\n"},
		} {
			begin := time.Now()
			code, body := call(newEndpoint(stopping, "e1", tt.settings, 7).handler(), "POST", "/run/book", tt.payload)
			if took := time.Since(begin); took != tt.took || code != tt.code || body != tt.body {
				t.Errorf("%+v: %v %d %q", tt.settings, took, code, body)
			}
		}
		spread := func() time.Duration {
			_, runTime := newEndpoint(stopping, "e1", settings{200, 1, 0.5, modeRun}, 7).begin(httptest.NewRequest("POST", "/", nil), nil)
			return runTime
		}
		if d := spread(); d != spread() || d == 200*time.Millisecond || d < 100*time.Millisecond || d > 300*time.Millisecond {
			t.Errorf("spread 0.5: %v, then %v with the same seed", d, spread())
		}
	})
}

// Guards against a record of starts that misses a repeated or a failed start. The
// end-to-end tests check at-most-once execution against this record.
func TestEndpointRecordsStarts(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		e := newEndpoint(t.Context(), "e1", settings{RunTimeMS: 100, Speed: 1, Mode: modeRun}, 1)
		h := e.handler()
		begin := time.Now()
		for _, task := range []string{"0", "1", "0"} {
			go call(h, "POST", "/run/book?k/"+task, "")
			synctest.Wait()
		}
		time.Sleep(time.Second)
		if code, body := call(h, "PUT", "/settings", `{"speed": 1, "mode": "fail"}`); code != 200 {
			t.Fatal(code, body)
		}
		for _, invalid := range []string{`{"speed": 1, "mode": "sleep"}`, `{"speed": 0, "mode": "run"}`, `{"sped": 1}`} {
			if code, _ := call(h, "PUT", "/settings", invalid); code != 400 {
				t.Errorf("settings %s: status %d", invalid, code)
			}
		}
		_, _ = call(h, "POST", "/run/pay?k/1", "")
		_, body := call(h, "GET", "/starts", "")
		var got struct {
			Count      int           `json:"count"`
			MaxRunning int           `json:"max_running"`
			Starts     []startRecord `json:"starts"`
		}
		if err := json.Unmarshal([]byte(body), &got); err != nil {
			t.Fatal(err)
		}
		want := []startRecord{
			{"k", "0", "book", begin, 1},
			{"k", "1", "book", begin, 1},
			{"k", "0", "book", begin, 2},
			{"k", "1", "pay", begin.Add(time.Second), 2},
		}
		if diff := cmp.Diff(want, got.Starts); diff != "" || got.Count != 4 || got.MaxRunning != 3 {
			t.Errorf("count %d, max running %d %s", got.Count, got.MaxRunning, diff)
		}
	})
}

// Guards against a lease that stays valid after its expiry, a call by a former
// holder that takes effect, and usage reported without the lag.
func TestWorkerLeases(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h := newWorker(8, 2*time.Second).handler()
		check := func(want int, method, target, body string, contains ...string) {
			t.Helper()
			code, response := call(h, method, target, body)
			if code != want || !strings.Contains(response, strings.Join(contains, "")) {
				t.Errorf("%s %s %s: %d %s, want %d %s", method, target, body, code, response, want, contains)
			}
		}
		check(200, "POST", "/lease", `{"holder": "a", "ttl_ms": 5000}`)
		check(409, "POST", "/lease", `{"holder": "b", "ttl_ms": 5000}`)
		check(200, "POST", "/tasks/t1", `{"lease": 1, "cores": 6}`)
		check(409, "POST", "/tasks/t1", `{"lease": 1, "cores": 1}`)
		check(409, "POST", "/tasks/t2", `{"lease": 1, "cores": 3}`)
		check(200, "POST", "/tasks/t2", `{"lease": 1, "cores": 2}`)
		check(200, "GET", "/usage", "", `"cores":0,"tasks":0`)
		time.Sleep(2 * time.Second)
		check(200, "GET", "/usage", "", `"cores":8,"tasks":2`)
		check(200, "DELETE", "/tasks/t2", `{"lease": 1}`)
		time.Sleep(2 * time.Second)
		check(200, "GET", "/usage", "", `"cores":6,"tasks":1`)
		check(200, "PUT", "/lease", `{"lease": 1, "ttl_ms": 5000}`)
		time.Sleep(6 * time.Second)
		check(200, "GET", "/usage", "", `"cores":6,"tasks":1`)
		check(410, "PUT", "/lease", `{"lease": 1, "ttl_ms": 5000}`)
		time.Sleep(time.Second)
		check(200, "GET", "/usage", "", `"cores":0,"tasks":0`)
		check(200, "POST", "/lease", `{"holder": "b", "ttl_ms": 5000}`)
		check(410, "POST", "/tasks/t3", `{"lease": 1, "cores": 1}`)
		check(200, "PUT", "/lease", `{"lease": 2}`)
		check(200, "POST", "/lease", `{"holder": "c", "ttl_ms": 5000}`)
	})
}

// startProgram runs a subcommand on a free port. The returned stop ends it and returns
// its error.
func startProgram(t *testing.T, args ...string) (addr string, stop func() error) {
	t.Helper()
	ctx, cancel := context.WithCancel(t.Context())
	out, w := io.Pipe()
	done := make(chan error, 1)
	go func() {
		done <- command(zerolog.New(w)).Run(ctx, append([]string{"standin"}, append(args, "--listen", "127.0.0.1:0")...))
		_ = w.Close()
	}()
	var msg struct{ Addr, Message string }
	if err := json.NewDecoder(out).Decode(&msg); err != nil || msg.Message != "listening" {
		t.Fatalf("first line %+v: %v", msg, err)
	}
	go func() { _, _ = io.Copy(io.Discard, out) }()
	return msg.Addr, func() error {
		cancel()
		return <-done
	}
}

func sendRequest(t *testing.T, method, url, body string) (int, string) {
	t.Helper()
	req, err := http.NewRequestWithContext(t.Context(), method, url, strings.NewReader(body))
	if err != nil {
		t.Fatal(err)
	}
	res, err := http.DefaultClient.Do(req)
	if err != nil {
		t.Error(err)
		return 0, ""
	}
	defer func() { _ = res.Body.Close() }()
	data, _ := io.ReadAll(res.Body)
	return res.StatusCode, string(data)
}

// Guards against a log program whose faults do not affect its clients, and one
// that does not stop.
func TestLogProgram(t *testing.T) {
	addr, stop := startProgram(t, "log", "--delay", "0", "--retention-count", "2")
	c := stream.NewClient(netip.MustParseAddrPort(addr), http.DefaultClient)
	if code, body := sendRequest(t, "PUT", "http://"+addr+"/faults", `{"lost_answers": 1}`); code != 200 {
		t.Fatal(code, body)
	}
	var lost *stream.Error
	if _, err := c.Append(t.Context(), "s", "r1", []byte("item")); !errors.As(err, &lost) || lost.Kind != carobpulley.KindUnknown {
		t.Errorf("lost answer: %v", err)
	}
	page, err := c.Read(t.Context(), "s", 0, 10, time.Time{})
	if err != nil || len(page.Records) != 1 || string(page.Records[0].Data) != "item" {
		t.Errorf("read %+v: %v", page, err)
	}
	if err := stop(); err != nil {
		t.Error(err)
	}
}

// Guards against a shutdown that cuts off a request in progress.
func TestEndpointProgramStopsGracefully(t *testing.T) {
	addr, stop := startProgram(t, "endpoint", "--mode", "hang")
	answered := make(chan int)
	go func() {
		code, _ := sendRequest(t, "POST", "http://"+addr+"/run/book", "")
		answered <- code
	}()
	for {
		if _, body := sendRequest(t, "GET", "http://"+addr+"/starts", ""); strings.Contains(body, `"count":1`) {
			break
		}
	}
	stopped := make(chan error)
	go func() { stopped <- stop() }()
	if code := <-answered; code != 503 {
		t.Errorf("request in progress: status %d", code)
	}
	if err := <-stopped; err != nil {
		t.Error(err)
	}
}
