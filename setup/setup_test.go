package setup_test

import (
	"bytes"
	"context"
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"net/url"
	"strings"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"github.com/rs/zerolog"
	"github.com/urfave/cli/v3"

	"carobpulley"
	"carobpulley/inner"
	"carobpulley/setup"
)

type config struct {
	Name   string
	Listen netip.AddrPort
	Peers  []netip.AddrPort
	Slots  int
	Limit  time.Duration
	Base   *url.URL
	Level  zerolog.Level
	TLS    inner.TLS
}

func run(t *testing.T, args ...string) (config, int, string) {
	t.Helper()
	var (
		cfg    config
		s      setup.Settings
		stderr bytes.Buffer
	)
	s.Name(&cfg.Name, "name", "", "name")
	s.Listen(&cfg.Listen, "listen", "127.0.0.1:0", "address")
	s.Addrs(&cfg.Peers, "peers", "", "addresses", 1)
	s.Int(&cfg.Slots, "slots", 8, "slots", 1, 64)
	s.Duration(&cfg.Limit, "limit", 30*time.Second, "limit", 0, time.Minute)
	s.BaseURL(&cfg.Base, "base", "http://127.0.0.1:80", "base")
	s.LogLevel(&cfg.Level)
	s.TLS(&cfg.TLS)
	s.RequireTLSOffLoopback(&cfg.TLS, "listen", &cfg.Listen)
	cmd := &cli.Command{
		Name:   "prog",
		Flags:  s.Flags(),
		Action: func(_ context.Context, cmd *cli.Command) error { return s.Read(cmd) },
	}
	code := setup.Run(t.Context(), cmd, append([]string{"prog"}, args...), &stderr)
	return cfg, code, stderr.String()
}

// Guards against a report of only the first invalid setting, and against a start with
// invalid settings.
func TestAllProblemsAtOnce(t *testing.T) {
	t.Setenv("CAROB_SLOTS", "many")
	t.Setenv("CAROB_ALLOW_PLAIN", "perhaps")
	_, code, stderr := run(t, "--listen=host:1", "--peers=10.0.0.1:0", "--limit=2h", "--base=ftp://x", "--log-level=loud")
	if code != setup.ExitUsage {
		t.Errorf("exit code %d, want %d", code, setup.ExitUsage)
	}
	want := []string{
		"prog: settings",
		`  --name (CAROB_NAME): got "", want 1 to 128 bytes`,
		`  --listen (CAROB_LISTEN): got "host:1", want an IP address and port such as 127.0.0.1:7301`,
		`  --peers (CAROB_PEERS): got "10.0.0.1:0", want 1 or more different IP addresses with ports, separated by commas`,
		`  --slots (CAROB_SLOTS): got "many", want a whole number from 1 to 64`,
		`  --limit (CAROB_LIMIT): got "2h", want a duration from 0s to 1m0s`,
		`  --base (CAROB_BASE): got "ftp://x", want an http URL with a host, such as http://127.0.0.1:8080`,
		`  --log-level (CAROB_LOG_LEVEL): got "loud", want one of debug, info, warn, error`,
		`  --allow-plain (CAROB_ALLOW_PLAIN): got "perhaps", want true or false`,
	}
	if diff := cmp.Diff(want, strings.Split(strings.TrimSpace(stderr), "\n")); diff != "" {
		t.Error(diff)
	}
}

// Guards against plain text on an address that other hosts can reach, and against
// TLS settings whose files are missing.
func TestCrossChecks(t *testing.T) {
	for flag, args := range map[string][]string{
		"--listen":        {"--listen=0.0.0.0:7301"},
		"--tls-cert":      {"--tls-cert=missing.pem"},
		"not defined":     {"--nonsense=1"},
		"unexpected argu": {"extra"},
	} {
		_, code, stderr := run(t, append([]string{"--name=a", "--peers=127.0.0.1:1"}, args...)...)
		if code != setup.ExitUsage || !strings.Contains(stderr, flag) {
			t.Errorf("%v: code %d, stderr %q", args, code, stderr)
		}
	}
	_, code, stderr := run(t, "--name=a", "--peers=127.0.0.1:1", "--listen=0.0.0.0:7301", "--allow-plain")
	if code != setup.ExitOK {
		t.Errorf("code %d, stderr %q", code, stderr)
	}
}

// Guards against an environment variable that overrides a flag.
func TestFlagOverridesEnvironment(t *testing.T) {
	t.Setenv("CAROB_NAME", "env")
	t.Setenv("CAROB_SLOTS", "3")
	cfg, code, stderr := run(t, "--name=flag", "--peers=127.0.0.1:1, 127.0.0.1:2")
	if code != setup.ExitOK {
		t.Fatal(stderr)
	}
	want := config{
		Name:   "flag",
		Listen: netip.MustParseAddrPort("127.0.0.1:0"),
		Peers:  []netip.AddrPort{netip.MustParseAddrPort("127.0.0.1:1"), netip.MustParseAddrPort("127.0.0.1:2")},
		Slots:  3,
		Limit:  30 * time.Second,
		Base:   &url.URL{Scheme: "http", Host: "127.0.0.1:80"},
		Level:  zerolog.InfoLevel,
	}
	if diff := cmp.Diff(want, cfg, cmp.AllowUnexported(netip.AddrPort{}, netip.Addr{}), cmp.Comparer(func(a, b netip.AddrPort) bool { return a == b })); diff != "" {
		t.Error(diff)
	}
}

// Guards against a readiness check that succeeds while the process is not ready, and
// against log lines that are not JSON.
func TestStatusAndLog(t *testing.T) {
	var ready error
	mux := http.NewServeMux()
	setup.MountStatus(mux, func() error { return ready })
	get := func(path string) int {
		w := httptest.NewRecorder()
		mux.ServeHTTP(w, httptest.NewRequest(http.MethodGet, path, nil))
		return w.Code
	}
	if diff := cmp.Diff([]int{200, 200, 200}, []int{get("/healthz"), get("/readyz"), get("/debug/vars")}); diff != "" {
		t.Error(diff)
	}
	ready = &carobpulley.Error{Op: "agent", Kind: carobpulley.KindDraining, Msg: "stopping"}
	if diff := cmp.Diff([]int{200, 503}, []int{get("/healthz"), get("/readyz")}); diff != "" {
		t.Error(diff)
	}
	var out bytes.Buffer
	log := setup.NewLogger(&out, zerolog.InfoLevel, "prog")
	log.Debug().Msg("dropped")
	log.Info().Msg("kept")
	var line map[string]string
	if err := json.Unmarshal(out.Bytes(), &line); err != nil {
		t.Fatal(err)
	}
	if line["time"] == "" || line["message"] != "kept" || line["program"] != "prog" {
		t.Error(line)
	}
}
