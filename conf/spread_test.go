package conf

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"carobpulley"
)

var spreadStart = time.Date(2026, 3, 1, 0, 0, 0, 0, time.UTC)

// listDoc returns a document with these entries.
func listDoc(entries string) []byte {
	return []byte("format: 1\nentries: [" + entries + "]\nmembers: []\nservices: []\ndomains:\n" +
		"  - {name: d0, region: r, in_service: true}\n  - {name: d1, region: r, in_service: true}\n")
}

// listLog returns a log in which change c<i> makes version i+1 with a list of entries.
func listLog(t *testing.T, lists ...string) carobpulley.Page {
	t.Helper()
	p := carobpulley.Page{Oldest: FirstOffset, Next: FirstOffset}
	for i, l := range lists {
		data, err := Change{ID: fmt.Sprint("c", i), Base: uint64(i), Document: listDoc(l)}.Encode()
		if err != nil {
			t.Fatal(err)
		}
		p.Records = append(p.Records, carobpulley.Record{Offset: p.Next, Data: data})
		p.Next++
	}
	return p
}

func readSpread(name string, p carobpulley.Page) *Spread {
	s := NewSpread(name, NewFold())
	s.Read(spreadStart, FirstOffset, p)
	return s
}

func wantProgress(t *testing.T, s *Spread, id string, want Progress) {
	t.Helper()
	if got, _ := s.Change(id); got != want {
		t.Errorf("change %s is %s, want %s", id, got, want)
	}
}

// Guards against a change told accepted while entries of the list before the
// last one can still act without it.
func TestSpreadTwoListsInARow(t *testing.T) {
	s := readSpread("d", listLog(t, "a, b, c", "d, e, f", "d, e, f"))
	s.Heard("e", 1, 3)
	wantProgress(t, s, "c2", ProgressPublished)
	s.Heard("a", 1, 1)
	s.Heard("b", 1, 1)
	wantProgress(t, s, "c2", ProgressPublished)
	s.Heard("a", 1, 3)
	s.Heard("b", 1, 3)
	wantProgress(t, s, "c2", ProgressAccepted)
}

// Guards against a change told accepted by an entry that does not know the
// lists before it, since a peer served a later version first.
func TestSpreadServedBeforeRead(t *testing.T) {
	p := listLog(t, "a, b, c", "a, b, c", "a, b, c")
	s := NewSpread("a", NewFold())
	if !s.Adopt(3, listDoc("a, b, c")) {
		t.Fatal("version 3 was not put in force")
	}
	wantProgress(t, s, "c1", ProgressUnknown)
	s.Read(spreadStart, FirstOffset, p)
	wantProgress(t, s, "c1", ProgressPublished)
	s.Heard("b", 1, 3)
	wantProgress(t, s, "c1", ProgressAccepted)
	wantProgress(t, s, "c2", ProgressAccepted)
	if s.Adopt(2, listDoc("x, y, z")) || s.InForce().Version != 3 {
		t.Errorf("went to version %d", s.InForce().Version)
	}
}

// Guards against an accepted change that is told published when a peer
// restarts or says an older version again.
func TestSpreadStaysAccepted(t *testing.T) {
	s := readSpread("a", listLog(t, "a, b, c"))
	s.Heard("b", 7, 1)
	wantProgress(t, s, "c0", ProgressAccepted)
	s.Heard("b", 8, 0)
	wantProgress(t, s, "c0", ProgressAccepted)
	if s.Heard("b", 7, 9) || s.PeerVersion("b") != 0 {
		t.Errorf("a replaced process of b counts with version %d", s.PeerVersion("b"))
	}
	s.Heard("b", 8, 1)
	s.Answered("b", 0)
	if v := s.PeerVersion("b"); v != 1 {
		t.Errorf("b went back to version %d", v)
	}
}

// Guards against an id that is told unavailable though an earlier attempt may
// have put it into the log.
func TestSpreadDoubt(t *testing.T) {
	s := NewSpread("a", NewFold())
	c := Change{ID: "c0", Document: listDoc("a, b, c")}
	begin := func(up bool, want Progress) {
		t.Helper()
		if got, _ := s.Begin(c, up); got != want {
			t.Errorf("Begin = %s, want %s", got, want)
		}
	}
	begin(false, ProgressUnavailable)
	begin(true, ProgressUnknown)
	begin(true, ProgressUnknown)
	if got := s.End(c.ID, true); got != ProgressUnknown {
		t.Errorf("refused while another attempt is under way: %s", got)
	}
	s.End(c.ID, false)
	begin(false, ProgressUnknown)
	begin(true, ProgressUnknown)
	if got := s.End(c.ID, true); got != ProgressUnknown {
		t.Errorf("refused after an attempt without an answer: %s", got)
	}
	s.Read(spreadStart, FirstOffset, listLog(t, "a, b, c"))
	begin(false, ProgressPublished)
	if len(s.doubts) != 0 || len(s.appending) != 0 {
		t.Errorf("kept %v and %v", s.doubts, s.appending)
	}
}

// Guards against an entry that counts the log's vote, or a peer's, for a
// version that it does not have in force.
func TestSpreadVotes(t *testing.T) {
	p := listLog(t, "a, b", "a, b")
	lost := carobpulley.Page{Records: p.Records[1:], Oldest: 2, Next: 3}
	s := NewSpread("a", NewFold())
	if s.Read(spreadStart, FirstOffset, lost).AtEnd {
		t.Error("retention has overtaken the reader, but its read counts")
	}
	s = readSpread("a", p)
	if s.Counts(3) || !s.Counts(2) || !s.Lacks(1) || s.Lacks(2) {
		t.Error("votes at version 2 are wrong")
	}
	data, err := Change{ID: "newer", Base: 2, Document: []byte("format: 99\n")}.Encode()
	if err != nil {
		t.Fatal(err)
	}
	next := carobpulley.Page{Records: []carobpulley.Record{{Offset: 3, Data: data}}, Oldest: 1, Next: 4}
	if r := s.Read(spreadStart, 3, next); r.AtEnd || r.Changed || s.Counts(2) {
		t.Errorf("with an unreadable version: %+v, peer counts %v", r, s.Counts(2))
	}
	if s.Heard("b", 1, 3); s.Confirmed() != 2 {
		t.Errorf("confirmed version %d", s.Confirmed())
	}
}

// Guards against a configuration that leaves the log since the host's clock is
// behind, and against a reader of the snapshot that can confirm nothing.
func TestSpreadSnapshot(t *testing.T) {
	s := readSpread("a", listLog(t, "a, b, c", "a, b, c"))
	s.Heard("b", 1, 2)
	behind, retention := spreadStart.Add(-time.Hour), 30*time.Minute
	snap, due := s.Snapshot(behind, retention, true)
	if !due || snap.Confirmed != 2 {
		t.Fatalf("due %v, confirmed %d", due, snap.Confirmed)
	}
	data, err := snap.Encode()
	if err != nil {
		t.Fatal(err)
	}
	page := carobpulley.Page{Records: []carobpulley.Record{{Offset: 3, Time: spreadStart, Data: data}}, Oldest: 3, Next: 4}
	s.Read(behind, 3, page)
	for after, want := range map[time.Duration][2]bool{
		9 * time.Minute: {false, false}, 11 * time.Minute: {true, false}, 16 * time.Minute: {true, true},
	} {
		_, first := s.Snapshot(behind.Add(after), retention, true)
		_, other := s.Snapshot(behind.Add(after), retention, false)
		if d := cmp.Diff(want, [2]bool{first, other}); d != "" {
			t.Errorf("after %v, at the first writer and at another one:\n%s", after, d)
		}
	}
	late := NewSpread("c", NewFold())
	if !late.Read(spreadStart, FirstOffset, page).AtEnd {
		t.Error("the reader of the snapshot is not at the end")
	}
	wantProgress(t, late, "c1", ProgressAccepted)
}

// Guards against a mistyped list of entries that would stop the service.
func TestSpreadUnreachableList(t *testing.T) {
	s := readSpread("a", listLog(t, "a, b, c"))
	s.Heard("d", 1, 0)
	got := map[string]Progress{}
	for _, l := range []string{"d, e, f", "a, d, e", "a, b, c"} {
		got[l], _ = s.Begin(Change{ID: strings.ReplaceAll(l, ", ", ""), Base: 1, Document: listDoc(l)}, true)
	}
	want := map[string]Progress{"d, e, f": ProgressUnavailable, "a, d, e": ProgressUnknown, "a, b, c": ProgressUnknown}
	if d := cmp.Diff(want, got); d != "" {
		t.Error(d)
	}
}
