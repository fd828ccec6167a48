package main

import (
	"bytes"
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/google/go-cmp/cmp"

	"carobpulley"
	"carobpulley/emul"
	"carobpulley/platform"
	"carobpulley/platform/stand"
	"carobpulley/setup"
	"carobpulley/work"
)

// configDocument returns a document with one route and its service.
func configDocument(t *testing.T, version int64, route work.Route) string {
	t.Helper()
	r, err := stand.ConfigRecord(&work.RoutingConfig{Version: version, Routes: []work.Route{route}})
	if err != nil {
		t.Fatal(err)
	}
	return strings.Replace(string(r.Value), `{`, `{"services":[{"name":"s"}],`, 1)
}

func writeFile(t *testing.T, name, content string) string {
	t.Helper()
	path := filepath.Join(t.TempDir(), name)
	if err := os.WriteFile(path, []byte(content), 0o600); err != nil {
		t.Fatal(err)
	}
	return path
}

// checkConfigWith runs the command and returns its exit code and output.
func checkConfigWith(t *testing.T, args ...string) (code int, stdout, stderr string) {
	t.Helper()
	var out, errs bytes.Buffer
	cmd := command()
	cmd.Writer = &out
	code = setup.Run(t.Context(), cmd, append([]string{"carobd", "check-config"}, args...), &errs)
	return code, out.String(), errs.String()
}

// serveStore serves a store with one record of the operators until the test ends, and sets the environment
// to a settings file that names it.
func serveStore(t *testing.T, record carobpulley.KeyedRecord) {
	t.Helper()
	store := emul.NewStore().View()
	if err := store.Append(t.Context(), stand.ConfigPartition(), []carobpulley.KeyedRecord{stand.DomainRecord("z", true), record}); err != nil {
		t.Fatal(err)
	}
	calls := stand.StoreHandler(store)
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.Method != http.MethodGet {
			t.Errorf("the check sends %s %s to the store", r.Method, r.URL)
		}
		calls.ServeHTTP(w, r)
	}))
	t.Cleanup(server.Close)
	address := strings.TrimPrefix(server.URL, "http://")
	t.Setenv(platform.SettingsEnv, writeFile(t, "settings.yaml", strings.Replace(testSettings, "10.200.1.7:8169", netip.MustParseAddrPort(address).String(), 1)))
}

// Guards against an exit code that lets a script send a faulty document, or that keeps it from sending a
// sound one.
func TestCheckConfigExitCodes(t *testing.T) {
	route := work.Route{Host: "a.example", Prefix: "/p/", Queue: work.Queue{Name: "q", Service: "s", Stretch: 2}}
	sound := writeFile(t, "sound", configDocument(t, 7, route))
	newer := writeFile(t, "newer", configDocument(t, 8, work.Route{Host: "b.example", Prefix: "/p/", Queue: route.Queue}))
	warned := writeFile(t, "warned", strings.Replace(configDocument(t, 8, route), `"stretch"`, `"strech"`, 1))
	faulty := writeFile(t, "faulty", strings.Replace(configDocument(t, 8, route), `"priority":0`, `"priority":"0"`, 1))
	cut := writeFile(t, "cut", `{"version":8,`)
	record := func(value string) carobpulley.KeyedRecord {
		r, err := stand.ConfigRecord(&work.RoutingConfig{})
		if err != nil {
			t.Fatal(err)
		}
		r.Value = []byte(value)
		return r
	}
	t.Setenv(platform.SettingsEnv, "")
	for _, c := range []struct {
		name           string
		args           []string
		inStore        string
		code           int
		stdout, stderr string
	}{
		{"sound", []string{sound}, "", 0, "errors: 0, warnings: 0, changes: 0\n", ""},
		{"changes only", []string{newer, "--in-force", sound}, "", 0, `host: the value changes from "a.example" to "b.example" (changed)`, ""},
		{"warnings", []string{warned}, "", 3, `"stretch" is meant perhaps (unknown_field)`, "errors: 0, warnings: 2, changes: 0"},
		{"errors", []string{faulty}, "", 1, "routes[0] \"q\" priority: ", "errors: 1, warnings: 1, changes: 0"},
		{"no JSON", []string{cut}, "", 1, "(syntax)", "errors: 1"},
		{"older", []string{"--in-force", newer, sound}, "", 1, "(version_not_newer)", "errors: 1"},
		{"no file", nil, "", 2, "", "got 0 files, want one"},
		{"file is missing", []string{sound + "x"}, "", 2, "", "no such file"},
		{"document in force is missing", []string{"--in-force", sound + "x", sound}, "", 2, "", "no such file"},
		{"document in force is cut off", []string{"--in-force", cut, sound}, "", 2, "", "configuration in force"},
		{"both in force", []string{"--in-force", sound, "--in-force-from-store", sound}, "", 2, "", "both set"},
		{"unknown flag", []string{"--nope", sound}, "", 2, "", "nope"},
		{"no settings", []string{"--in-force-from-store", sound}, "", 2, "", platform.SettingsEnv},
		{"store", []string{"--in-force-from-store", newer}, configDocument(t, 7, route), 0, "the version changes from 7 to 8", ""},
		{"older than the store's", []string{"--in-force-from-store", sound}, configDocument(t, 8, route), 1, "(version_not_newer)", "errors: 1"},
		{"store's is cut off", []string{"--in-force-from-store", sound}, "{", 2, "", "configuration in the store"},
	} {
		t.Run(c.name, func(t *testing.T) {
			if c.inStore != "" {
				serveStore(t, record(c.inStore))
			}
			code, stdout, stderr := checkConfigWith(t, c.args...)
			if code != c.code || !strings.Contains(stdout, c.stdout) || !strings.Contains(stderr, c.stderr) {
				t.Errorf("exit code %d, want %d; output %q, want %q in it; errors %q, want %q in them", code, c.code, stdout, c.stdout, stderr, c.stderr)
			}
		})
	}
}

// Guards against a store without a configuration, or without an answer, that counts as nothing to compare.
func TestCheckConfigWithoutOneInTheStore(t *testing.T) {
	sound := writeFile(t, "sound", configDocument(t, 7, work.Route{Host: "a", Prefix: "/", Queue: work.Queue{Name: "q", Service: "s", Stretch: 2}}))
	serveStore(t, stand.DomainRecord("y", true))
	if code, _, stderr := checkConfigWith(t, "--in-force-from-store", sound); code != 2 || !strings.Contains(stderr, "holds no configuration") {
		t.Errorf("exit code %d, errors %q", code, stderr)
	}
	t.Setenv(platform.SettingsEnv, writeFile(t, "settings.yaml", strings.Replace(testSettings, "10.200.1.7:8169", "127.0.0.1:1", 1)))
	if code, _, stderr := checkConfigWith(t, "--in-force-from-store", sound); code != 2 {
		t.Errorf("exit code %d, errors %q", code, stderr)
	}
}

// Guards against a change of the output that scripts read.
func TestCheckConfigJSON(t *testing.T) {
	doc := configDocument(t, 7, work.Route{Host: "a.example", Prefix: "p/", Queue: work.Queue{Name: "q", Service: "s", Stretch: 2}})
	code, stdout, _ := checkConfigWith(t, "--json", writeFile(t, "doc", doc))
	var got map[string]any
	if err := json.Unmarshal([]byte(stdout), &got); err != nil || code != 1 {
		t.Fatalf("exit code %d, %v: %s", code, err, stdout)
	}
	want := map[string]any{
		"errors": 1.0, "warnings": 0.0, "changes": 0.0,
		"findings": []any{map[string]any{
			"code": "never_matches", "severity": "error", "section": "routes", "index": 0.0, "name": "q", "field": "path-prefix",
			"line": 1.0, "column": float64(1 + strings.Index(doc, `"p/"`)), "text": `paths begin with a slash, so no path begins with "p/"`,
		}},
	}
	if diff := cmp.Diff(want, got); diff != "" {
		t.Errorf("output (-want +got):\n%s", diff)
	}
}
