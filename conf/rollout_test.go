package conf

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"carobpulley"
)

var simStart = time.Date(2026, 3, 1, 0, 0, 0, 0, time.UTC)

// documentWithEntries returns a document that lists the entries.
func documentWithEntries(entries string) []byte {
	return []byte("format: 1\nentries: [" + entries + "]\nmembers: []\nservices: []\ndomains:\n" +
		"  - {name: d0, region: r, in_service: true}\n  - {name: d1, region: r, in_service: true}\n")
}

// logWithEntries returns a log in which change c<i> makes version i+1 with the
// list of entries i.
func logWithEntries(t *testing.T, lists ...string) carobpulley.Page {
	t.Helper()
	p := carobpulley.Page{Oldest: FirstOffset, Next: FirstOffset}
	for i, l := range lists {
		data, err := Change{ID: fmt.Sprint("c", i), Base: uint64(i), Document: documentWithEntries(l)}.Encode()
		if err != nil {
			t.Fatal(err)
		}
		p.Records = append(p.Records, carobpulley.Record{Offset: p.Next, Data: data})
		p.Next++
	}
	return p
}

func newRolloutFrom(name string, p carobpulley.Page) *Rollout {
	r := NewRollout(name, NewFold())
	r.HandlePage(simStart, FirstOffset, p)
	return r
}

func wantProgress(t *testing.T, r *Rollout, id string, want Progress) {
	t.Helper()
	if got, _ := r.ChangeProgress(id); got != want {
		t.Errorf("change %s is %s, want %s", id, got, want)
	}
}

// Guards against a change that is reported accepted while entries of an earlier
// list can still act without it: two consecutive versions replace the list, and
// the earlier one is not confirmed yet.
func TestRolloutConsecutiveEntryLists(t *testing.T) {
	r := newRolloutFrom("d", logWithEntries(t, "a, b, c", "d, e, f", "d, e, f"))
	r.HandlePeerVersion("e", 1, 3)
	wantProgress(t, r, "c2", ProgressPublished)
	r.HandlePeerVersion("a", 1, 1)
	r.HandlePeerVersion("b", 1, 1)
	wantProgress(t, r, "c2", ProgressPublished)
	r.HandlePeerVersion("a", 1, 3)
	r.HandlePeerVersion("b", 1, 3)
	wantProgress(t, r, "c2", ProgressAccepted)
}

// Guards against a change that is reported accepted by an entry without the
// earlier lists of entries: it got a later version from a peer before it read the
// log.
func TestRolloutAdoptBeforeRead(t *testing.T) {
	p := logWithEntries(t, "a, b, c", "a, b, c", "a, b, c")
	r := NewRollout("a", NewFold())
	if !r.Adopt(3, documentWithEntries("a, b, c")) {
		t.Fatal("version 3 was not put in force")
	}
	wantProgress(t, r, "c1", ProgressUnknown)
	r.HandlePage(simStart, FirstOffset, p)
	wantProgress(t, r, "c1", ProgressPublished)
	r.HandlePeerVersion("b", 1, 3)
	wantProgress(t, r, "c1", ProgressAccepted)
	wantProgress(t, r, "c2", ProgressAccepted)
	if r.Adopt(2, documentWithEntries("x, y, z")) || r.InForce().Version != 3 {
		t.Errorf("version in force is %d, want 3", r.InForce().Version)
	}
}

// Guards against an accepted change that is reported published again after a peer
// restarts or reports an older version.
func TestRolloutStaysAccepted(t *testing.T) {
	r := newRolloutFrom("a", logWithEntries(t, "a, b, c"))
	r.HandlePeerVersion("b", 7, 1)
	wantProgress(t, r, "c0", ProgressAccepted)
	r.HandlePeerVersion("b", 8, 0)
	wantProgress(t, r, "c0", ProgressAccepted)
	if r.HandlePeerVersion("b", 7, 9) || r.PeerVersion("b") != 0 {
		t.Errorf("an earlier incarnation of b counts with version %d", r.PeerVersion("b"))
	}
	r.HandlePeerVersion("b", 8, 1)
	r.HandlePushReply("b", 0)
	if v := r.PeerVersion("b"); v != 1 {
		t.Errorf("b is at version %d, want 1", v)
	}
}

// Guards against a change that is reported unavailable although an earlier or
// concurrent attempt with the same id may have put it into the log.
func TestRolloutUnresolvedAppend(t *testing.T) {
	r := NewRollout("a", NewFold())
	c := Change{ID: "c0", Document: documentWithEntries("a, b, c")}
	begin := func(up bool, want Progress) {
		t.Helper()
		if got, _ := r.BeginAppend(c, up); got != want {
			t.Errorf("BeginAppend = %s, want %s", got, want)
		}
	}
	begin(false, ProgressUnavailable)
	begin(true, ProgressUnknown)
	begin(true, ProgressUnknown)
	if got := r.EndAppend(c.ID, true); got != ProgressUnknown {
		t.Errorf("not stored while another attempt is in flight: %s", got)
	}
	r.EndAppend(c.ID, false)
	begin(false, ProgressUnknown)
	begin(true, ProgressUnknown)
	if got := r.EndAppend(c.ID, true); got != ProgressUnknown {
		t.Errorf("not stored after an attempt with an unknown result: %s", got)
	}
	r.HandlePage(simStart, FirstOffset, logWithEntries(t, "a, b, c"))
	begin(false, ProgressPublished)
	if len(r.unresolved) != 0 || len(r.appending) != 0 {
		t.Errorf("not cleared: unresolved ids %v, appends in flight %v", r.unresolved, r.appending)
	}
}

// Guards against an entry that counts the log's vote, or a peer's, for a
// version that it does not have in force.
func TestRolloutVotes(t *testing.T) {
	p := logWithEntries(t, "a, b", "a, b")
	lost := carobpulley.Page{Records: p.Records[1:], Oldest: 2, Next: 3}
	r := NewRollout("a", NewFold())
	if r.HandlePage(simStart, FirstOffset, lost).AtEnd {
		t.Error("the read counts although retention removed records before they were read")
	}
	r = newRolloutFrom("a", p)
	if r.VouchCounts(3) || !r.VouchCounts(2) || !r.IsOutdated(1) || r.IsOutdated(2) {
		t.Error("VouchCounts or IsOutdated is wrong at version 2")
	}
	data, err := Change{ID: "newer", Base: 2, Document: []byte("format: 99\n")}.Encode()
	if err != nil {
		t.Fatal(err)
	}
	next := carobpulley.Page{Records: []carobpulley.Record{{Offset: 3, Data: data}}, Oldest: 1, Next: 4}
	if res := r.HandlePage(simStart, 3, next); res.AtEnd || res.Changed || r.VouchCounts(2) {
		t.Errorf("with an unreadable version: %+v, peer counts %v", res, r.VouchCounts(2))
	}
	if r.HandlePeerVersion("b", 1, 3); r.Confirmed() != 2 {
		t.Errorf("confirmed version %d", r.Confirmed())
	}
}

// Guards against a configuration that expires from the log because the host's
// clock is behind, and against a reader that starts at the snapshot and cannot
// confirm its version.
func TestRolloutSnapshot(t *testing.T) {
	r := newRolloutFrom("a", logWithEntries(t, "a, b, c", "a, b, c"))
	r.HandlePeerVersion("b", 1, 2)
	behind, retention := simStart.Add(-time.Hour), 30*time.Minute
	snap, due := r.Snapshot(behind, retention, true)
	if !due || snap.Confirmed != 2 {
		t.Fatalf("due %v, confirmed %d", due, snap.Confirmed)
	}
	data, err := snap.Encode()
	if err != nil {
		t.Fatal(err)
	}
	page := carobpulley.Page{Records: []carobpulley.Record{{Offset: 3, Time: simStart, Data: data}}, Oldest: 3, Next: 4}
	r.HandlePage(behind, 3, page)
	for after, want := range map[time.Duration][2]bool{
		9 * time.Minute: {false, false}, 11 * time.Minute: {true, false}, 16 * time.Minute: {true, true},
	} {
		_, first := r.Snapshot(behind.Add(after), retention, true)
		_, other := r.Snapshot(behind.Add(after), retention, false)
		if d := cmp.Diff(want, [2]bool{first, other}); d != "" {
			t.Errorf("due after %v, at the first writer and at another one (-want +got):\n%s", after, d)
		}
	}
	late := NewRollout("c", NewFold())
	if !late.HandlePage(simStart, FirstOffset, page).AtEnd {
		t.Error("the reader of the snapshot is not at the end")
	}
	wantProgress(t, late, "c1", ProgressAccepted)
}

// Guards against a mistyped list of entries that would stop the service: most of
// the listed entries do not run.
func TestRolloutUnreachableEntries(t *testing.T) {
	r := newRolloutFrom("a", logWithEntries(t, "a, b, c"))
	r.HandlePeerVersion("d", 1, 0)
	got := map[string]Progress{}
	for _, l := range []string{"d, e, f", "a, d, e", "a, b, c"} {
		got[l], _ = r.BeginAppend(Change{ID: strings.ReplaceAll(l, ", ", ""), Base: 1, Document: documentWithEntries(l)}, true)
	}
	want := map[string]Progress{"d, e, f": ProgressUnavailable, "a, d, e": ProgressUnknown, "a, b, c": ProgressUnknown}
	if d := cmp.Diff(want, got); d != "" {
		t.Error(d)
	}
}
