package main

import (
	"bytes"
	"context"
	"os"
	"strings"
	"syscall"
	"testing"

	"github.com/go-faster/errors"
	"github.com/google/go-cmp/cmp"
	"github.com/rs/zerolog"

	"carobpulley/platform"
)

const testSettings = `
node-name: "n"
ip: "10.1.0.13"
zone: "z"
internal-ports: [7720, 7735]
limits: {cpu-share: 0.4, cores: 1, memory-mb: 284}
bounds: {status_s: 120, max-hold-ms: 1000, grace-s: 6}
platform: {address: "10.200.1.7:8169"}
`

// Guards against a settings file that changes without a SIGHUP and is not applied, an
// invalid file that ends the process or replaces the settings, and a log line for a file
// that did not change.
func TestReload(t *testing.T) {
	settings, err := platform.ParseSettings([]byte(testSettings))
	if err != nil {
		t.Fatal(err)
	}
	content, failure := testSettings, error(nil)
	var out bytes.Buffer
	r := &reloader{
		log: zerolog.New(&out), content: []byte(testSettings), settings: settings, gate: testGate(t),
		read: func() ([]byte, error) { return []byte(content), failure },
	}
	for _, tt := range []struct {
		content string
		failure error
		logged  string
		memory  int64
	}{
		{testSettings, nil, "", 284},
		{strings.Replace(testSettings, "284", "300", 1), nil, `"rest_at_next_start":false,"message":"settings reloaded"`, 300},
		{"a: [", nil, "settings not usable", 300},
		{"", errors.New("gone"), "settings not read", 300},
		{strings.Replace(testSettings, `zone: "z"`, `zone: "y"`, 1), nil, `"rest_at_next_start":true`, 284},
	} {
		out.Reset()
		content, failure = tt.content, tt.failure
		r.reload()
		if got := out.String(); !strings.Contains(got, tt.logged) || tt.logged == "" && got != "" {
			t.Errorf("logged %q, want %q in it", got, tt.logged)
		}
		if diff := cmp.Diff(tt.memory, r.settings.MemoryMB); diff != "" {
			t.Errorf("memory (-want +got):\n%s", diff)
		}
	}
}

// Guards against a SIGHUP that terminates a draining process, whose open requests would
// then remain unanswered. The signal's default action would terminate this test.
func TestHangupAfterStop(t *testing.T) {
	r := &reloader{hangups: notifyHangups()}
	stopped, stop := context.WithCancel(t.Context())
	stop()
	r.watch(stopped)
	if err := syscall.Kill(os.Getpid(), syscall.SIGHUP); err != nil {
		t.Fatal(err)
	}
	<-r.hangups
}
