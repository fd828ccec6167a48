package main

import (
	"bytes"
	"context"
	"net/http"
	"net/netip"
	"strings"
	"testing"
	"time"

	"carobpulley/setup"
)

// Guards against a stop that reports a failure although all calls have ended,
// and against one that aborts a call in progress.
func TestStopWaitsForCalls(t *testing.T) {
	entered := make(chan struct{})
	release := make(chan struct{})
	h := http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		close(entered)
		<-release
		w.WriteHeader(http.StatusNoContent)
	})
	s, err := listenAPI(t.Context(), netip.MustParseAddrPort("127.0.0.1:0"), h)
	if err != nil {
		t.Fatal(err)
	}
	served := make(chan error, 1)
	go func() { served <- s.Serve() }()
	status := make(chan int, 1)
	go func() {
		r, _ := http.NewRequestWithContext(t.Context(), http.MethodGet, "http://"+s.Addr().String(), http.NoBody)
		res, err := http.DefaultClient.Do(r)
		if err != nil {
			status <- 0
			return
		}
		_ = res.Body.Close()
		status <- res.StatusCode
	}()
	<-entered
	stopped := make(chan error, 1)
	ctx, cancel := context.WithTimeout(t.Context(), 30*time.Second)
	defer cancel()
	go func() { stopped <- s.Stop(ctx) }()
	if err := <-served; err != nil {
		t.Error(err)
	}
	close(release)
	if err := <-stopped; err != nil {
		t.Error(err)
	}
	if got := <-status; got != http.StatusNoContent {
		t.Errorf("status %d", got)
	}
}

// Guards against invalid settings that are reported one at a time or with which the
// program starts.
func TestWrongSettings(t *testing.T) {
	var stderr bytes.Buffer
	args := []string{"entryd", "--peers", "entry-2", "--operator-token-sha256", "12", "--drain-limit", "1ms"}
	code := setup.Run(t.Context(), command(), args, &stderr)
	if code != setup.ExitUsage {
		t.Errorf("exit code %d", code)
	}
	for _, flag := range []string{"--name", "--domain", "--peers", "--operator-token-sha256", "--drain-limit"} {
		if !strings.Contains(stderr.String(), flag) {
			t.Errorf("%s is not reported:\n%s", flag, stderr.String())
		}
	}
}

// Guards against invalid peer lists that are accepted: a duplicate name or an
// address without a port would split the entries into separate groups.
func TestPeers(t *testing.T) {
	var c config
	for v, want := range map[string]bool{
		"":                                    true,
		"entry-2=10.0.0.2:7111":               true,
		"a=10.0.0.2:7111, b=10.0.0.3:7111":    true,
		"a=10.0.0.2:7111,a=10.0.0.3:7111":     false,
		"a=10.0.0.2":                          false,
		"a=host:7111":                         false,
		"=10.0.0.2:7111":                      false,
		"a=10.0.0.2:0":                        false,
		"a=10.0.0.2:7111,":                    false,
		strings.Repeat("x", 129) + "=[::1]:1": false,
	} {
		if got := c.setPeers(v); got != want {
			t.Errorf("peers %q: %v, want %v", v, got, want)
		}
	}
}
