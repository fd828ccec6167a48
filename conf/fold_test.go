package conf

import (
	"fmt"
	"testing"
	"time"

	"carobpulley"
)

// TestFoldPeerAndOutcome guards against a reader that does not adopt a peer's
// version, or goes back to a smaller one.
func TestFoldPeerAndOutcome(t *testing.T) {
	page := carobpulley.Page{Next: FirstOffset}
	add := func(c Change) {
		data, err := c.Encode()
		if err != nil {
			t.Fatal(err)
		}
		page.Records = append(page.Records, carobpulley.Record{Offset: page.Next, Data: data})
		page.Next++
	}
	add(Change{ID: "a", Base: 0, Document: []byte(smallDocument)})
	add(Change{ID: "b", Base: 0, Document: []byte(smallDocument)})
	add(Change{ID: "a", Base: 1, Document: []byte(smallDocument)})
	add(Change{ID: "c", Base: 1, Document: []byte("broken")})
	f := NewFold()
	f.Apply(0, carobpulley.Page{Records: page.Records[:1], Next: FirstOffset + 1})
	if cat, err := f.Catalogue(); err != nil || cat.Version != 1 {
		t.Errorf("first version: %+v, %v", cat, err)
	}
	if got := f.Apply(1, page); len(got) != 2 {
		t.Errorf("decisions = %+v", got)
	}
	for id, want := range map[string]Outcome{"a": Accepted, "b": Conflict, "c": Accepted} {
		if got, ok := f.Outcome(id); !ok || got.Outcome != want {
			t.Errorf("outcome of %s = %+v, %v", id, got, ok)
		}
	}
	if cat, err := f.Catalogue(); f.Version() != 2 || cat.Version != 1 || err == nil {
		t.Errorf("version %d, parsed version %d, error %v", f.Version(), cat.Version, err)
	}
	s, ok := f.Snapshot()
	peer := NewFold()
	if !ok || !peer.Adopt(s) || peer.Adopt(Snapshot{Position: 1, Version: 1}) || peer.Version() != 2 || peer.Next() != page.Next {
		t.Errorf("peer at version %d, next %d", peer.Version(), peer.Next())
	}
}

// TestSnapshotRecords guards against a document that expires from the log because no
// snapshot record was due in time, against a snapshot record whose reader misses a
// change appended between the snapshot's position and the record, and against memory
// that grows with the number of changes.
func TestSnapshotRecords(t *testing.T) {
	const retention = 3 * time.Hour
	start := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	page := carobpulley.Page{Next: FirstOffset}
	add := func(data []byte, err error) {
		if err != nil {
			t.Fatal(err)
		}
		page.Records = append(page.Records, carobpulley.Record{Offset: page.Next, Time: start, Data: data})
		page.Next++
	}
	for i := range MaxHistory + 50 {
		add(Change{ID: fmt.Sprint(i), Base: uint64(i), Document: []byte(smallDocument)}.Encode())
	}
	f := NewFold()
	if f.SnapshotDue(start, retention) {
		t.Error("a snapshot of version 0 is due")
	}
	f.Apply(0, page)
	_, first := f.DocumentAt(1)
	_, recent := f.DocumentAt(MaxHistory)
	if len(f.History()) != MaxHistory || first || !recent || len(f.documents) > MaxHistory {
		t.Errorf("history %d, first document %v, recent document %v", len(f.History()), first, recent)
	}
	s, ok := f.Snapshot()
	if !ok || !f.SnapshotDue(start, retention) {
		t.Fatal("no snapshot is due")
	}
	position := s.Position
	add(Change{ID: "between", Base: s.Version, Document: []byte(smallDocument)}.Encode())
	add(s.Encode())
	f.Apply(f.Next(), page)
	if f.SnapshotDue(start.Add(retention/3-1), retention) || !f.SnapshotDue(start.Add(retention/3), retention) {
		t.Error("the next snapshot is not due after a third of the retention time")
	}
	late := NewFold()
	late.Apply(0, carobpulley.Page{Records: page.Records[position-FirstOffset:], Oldest: position, Next: page.Next})
	if late.Version() != f.Version() || !late.CanDecide() {
		t.Errorf("a late reader is at version %d, want %d; can decide: %v", late.Version(), f.Version(), late.CanDecide())
	}
}
