package main

import (
	"bytes"
	"context"
	"crypto/sha256"
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"testing"
	"time"

	"carobpulley"
	"carobpulley/conf"
	"carobpulley/oper"
)

const document = `format: 1
entries: [entry-a]
domains:
  - name: north-1
    region: north
    in_service: true # first hall
members: []
services: []
`

// fakeEntry is a fake entry with a real conf.Fold. Test cases enable faults through its
// fields.
type fakeEntry struct {
	mu               sync.Mutex
	fold             *conf.Fold
	logDown          bool
	loseReply        bool
	confirmed        bool
	concurrentChange *conf.Change
	changeQueries    int
	processes        []oper.Process
}

func (e *fakeEntry) append(c conf.Change) {
	data, err := c.Encode()
	if err != nil {
		panic(err)
	}
	at := e.fold.Next()
	e.fold.Apply(at, carobpulley.Page{Records: []carobpulley.Record{{Offset: at, Data: data}}, Next: at + 1})
}

func (e *fakeEntry) Publish(_ context.Context, c conf.Change) oper.ChangeState {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.concurrentChange != nil {
		e.append(*e.concurrentChange)
		e.concurrentChange = nil
	}
	if e.logDown {
		return oper.ChangeState{Outcome: oper.OutcomeUnavailable, Version: e.fold.Version(), Message: "no append since 07:00"}
	}
	e.append(c)
	if e.loseReply {
		panic(http.ErrAbortHandler)
	}
	return e.change(c.ID)
}

func (e *fakeEntry) Change(_ context.Context, id string) oper.ChangeState {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.changeQueries++
	if e.changeQueries > 2 {
		e.confirmed = true
	}
	return e.change(id)
}

func (e *fakeEntry) change(id string) oper.ChangeState {
	r, ok := e.fold.Outcome(id)
	switch {
	case !ok:
		return oper.ChangeState{Outcome: oper.OutcomeUnknown}
	case r.Outcome == conf.Conflict:
		return oper.ChangeState{Outcome: oper.OutcomeConflict, Version: e.fold.Version(), Document: string(e.fold.Document())}
	case !e.confirmed:
		return oper.ChangeState{Outcome: oper.OutcomePublished, Version: r.Version}
	default:
		return oper.ChangeState{Outcome: oper.OutcomeAccepted, Version: r.Version}
	}
}

func (e *fakeEntry) Catalogue() oper.DocumentVersion {
	e.mu.Lock()
	defer e.mu.Unlock()
	return oper.DocumentVersion{Version: e.fold.Version(), Document: string(e.fold.Document())}
}

func (e *fakeEntry) Version(v uint64) (oper.DocumentVersion, bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	doc, ok := e.fold.DocumentAt(v)
	return oper.DocumentVersion{Version: v, Document: string(doc)}, ok
}

func (e *fakeEntry) History() []conf.Result { return e.fold.History() }

func (e *fakeEntry) Status() oper.Status {
	e.mu.Lock()
	defer e.mu.Unlock()
	return oper.Status{
		Entry:     "entry-a",
		Version:   e.fold.Version(),
		Authority: true,
		Log:       oper.LogState{Up: !e.logDown},
		Processes: e.processes,
		Shards:    []oper.Shard{{Shard: 0, Owner: "entry-a", Epoch: 2, Active: true}, {Shard: 1, Owner: "entry-a", Epoch: 2, Active: true}},
	}
}

// agentAtVersion returns a list of one agent, which has the version.
func agentAtVersion(version uint64) []oper.Process {
	return []oper.Process{{Role: oper.RoleAgent, Name: "runner-1", State: carobpulley.RosterAlive, Version: version}}
}

// TestExitCodes guards against a command whose exit code or message reports an
// outcome that did not happen, and against output with --json that is not JSON.
func TestExitCodes(t *testing.T) {
	file := filepath.Join(t.TempDir(), "catalogue.yaml")
	out := strings.Replace(document, "true #", "false #", 1)
	if err := os.WriteFile(file, []byte(out), 0o600); err != nil {
		t.Fatal(err)
	}
	bad := filepath.Join(t.TempDir(), "bad.yaml")
	if err := os.WriteFile(bad, []byte("format: 1\nentries: 3\n"), 0o600); err != nil {
		t.Fatal(err)
	}
	// Every case starts at version 1, whose document is the constant document.
	for _, tt := range []struct {
		name    string
		args    string
		setup   func(*fakeEntry)
		code    int
		want    string
		version uint64
	}{
		{"apply", "apply --base 1 " + file, nil, exitOK, "accepted: version 2", 2},
		{"apply, reply lost", "apply --base 1 " + file, func(e *fakeEntry) { e.loseReply = true }, exitOK, "accepted: version 2", 2},
		{"apply, confirmed late", "apply --base 1 " + file, func(e *fakeEntry) { e.confirmed = false }, exitOK, "accepted: version 2", 2},
		{"apply, never confirmed", "apply --timeout 1s --base 1 " + file, func(e *fakeEntry) { e.confirmed, e.changeQueries = false, -1e9 }, exitUnknown, "not confirmed by a majority", 2},
		{"apply, stale base", "apply --base 0 " + file, nil, exitConflict, "version 1 is current", 1},
		{"apply, log down", "apply --base 1 " + file, func(e *fakeEntry) { e.logDown = true }, exitNotAccepted, "the log is down", 1},
		{"apply, no base", "apply " + file, nil, exitUsage, "base", 1},
		{"apply, faulty file", "apply --base 1 " + bad, nil, exitFailed, "line 2: entries: must be a list", 1},
		{"apply, in force", "apply --base 1 --wait " + file, func(e *fakeEntry) { e.processes = agentAtVersion(2) }, exitOK, "in force at all 1", 2},
		{"apply, not in force", "apply --timeout 1s --base 1 --wait " + file, func(e *fakeEntry) { e.processes = agentAtVersion(1) }, exitFailed, "missing: agent runner-1 (alive, version 1)", 2},
		{"wrong entry", "apply --entry http://127.0.0.1:1 --base 1 " + file, nil, exitNotAccepted, "nothing was changed", 1},
		{"wrong token", "apply --token no --base 1 " + file, nil, exitFailed, "token", 1},
		{"domain out", "domain out north-1", nil, exitOK, "accepted: version 2", 2},
		{"domain out, raced", "domain out north-1", func(e *fakeEntry) {
			e.concurrentChange = &conf.Change{ID: "other", Base: 1, Document: []byte(document + "draining: [runner-9]\n")}
		}, exitOK, "accepted: version 3", 3},
		{"domain in already", "domain in --wait north-1", func(e *fakeEntry) { e.processes = agentAtVersion(1) }, exitOK, "nothing to change", 1},
		{"domain, unknown", "domain out north-2", nil, exitFailed, "no domain", 1},
		{"domain, log down", "domain out north-1", func(e *fakeEntry) { e.logDown = true }, exitNotAccepted, "stay in force", 1},
		{"drain", "endpoint drain runner-2", nil, exitOK, "version 2", 2},
		{"undrain already", "endpoint undrain runner-2", nil, exitOK, "nothing to change", 1},
		{"rollback", "rollback --to 1 --base 2", func(e *fakeEntry) { e.append(conf.Change{ID: "second", Base: 1, Document: []byte(out)}) }, exitOK, "accepted: version 3", 3},
		{"rollback too far", "rollback --to 7 --base 1", nil, exitFailed, "does not keep", 1},
		{"history", "history", nil, exitOK, "accepted  base 0", 1},
		{"history of one", "history --id first", nil, exitOK, "accepted: version 1", 1},
		{"history of none", "history --id none", nil, exitUnknown, "--id none", 1},
		{"get", "get", nil, exitOK, "version 1", 1},
		{"validate", "validate " + file, nil, exitOK, "1 domains", 1},
		{"validate, faulty", "validate " + bad, nil, exitFailed, "line 2", 1},
		{"diff", "diff " + file, nil, exitOK, "~ domains.north-1.in_service: true -> false", 1},
		{"status", "status", func(e *fakeEntry) { e.logDown = true }, exitOK, "log DOWN", 1},
		{"owners", "status", nil, exitOK, "shards of entry-a, active: 0-1@2", 1},
		{"watch", "watch --every 1ms --count 2", nil, exitOK, "entry entry-a: version 1", 1},
		{"version", "version", nil, exitOK, "document format 1", 1},
		{"unknown command", "domian out", nil, exitUsage, "domian", 1},
		{"unknown flag", "status --fast", nil, exitUsage, "fast", 1},
		{"missing argument", "domain out", nil, exitUsage, "takes 1 arguments", 1},
		{"help", "apply --help", nil, exitOK, "--base VERSION", 1},
	} {
		t.Run(tt.name, func(t *testing.T) {
			code, text, _ := runCommand(t, tt.setup, tt.args, tt.version)
			if code != tt.code || !strings.Contains(text, tt.want) {
				t.Errorf("exit code %d, want %d with %q; output:\n%s", code, tt.code, tt.want, text)
			}
			code, _, stdout := runCommand(t, tt.setup, tt.args+" --json", tt.version)
			for line := range strings.Lines(stdout) {
				if tt.code != exitUsage && tt.name != "help" && !json.Valid([]byte(line)) {
					t.Errorf("not JSON: %s", line)
				}
			}
			if code != tt.code || stdout == "" && tt.code != exitUsage {
				t.Errorf("with --json: exit code %d, want %d; output:\n%s", code, tt.code, stdout)
			}
		})
	}
}

// runCommand runs a command line against a new entry at version 1, and checks the
// entry's version afterwards.
func runCommand(t *testing.T, setup func(*fakeEntry), args string, version uint64) (code int, all, out string) {
	e := &fakeEntry{fold: conf.NewFold(), confirmed: true}
	e.append(conf.Change{ID: "first", Document: []byte(document)})
	if setup != nil {
		setup(e)
	}
	s := httptest.NewServer(oper.NewHandler(e, [][32]byte{sha256.Sum256([]byte("secret"))}, time.Now))
	defer s.Close()
	t.Setenv("CAROB_ENTRY", s.URL)
	t.Setenv("CAROB_OPERATOR_TOKEN", "secret")
	t.Setenv("CAROB_TIMEOUT", "1m")
	t.Setenv("CAROB_POLL", "5ms")
	var stdout, stderr bytes.Buffer
	code = run(t.Context(), append([]string{"carobctl"}, strings.Fields(args)...), &stdout, &stderr)
	if got := e.Catalogue().Version; got != version {
		t.Errorf("the entry is at version %d, want %d", got, version)
	}
	return code, stdout.String() + stderr.String(), stdout.String()
}
