package conf

import (
	"testing"

	"carobpulley"
)

// TestFoldPeerAndOutcome guards against a reader that loses a version on the
// way from a peer, or goes back to a smaller one.
func TestFoldPeerAndOutcome(t *testing.T) {
	var page carobpulley.Page
	add := func(c Change) {
		data, err := c.Encode()
		if err != nil {
			t.Fatal(err)
		}
		page.Records = append(page.Records, carobpulley.Record{Offset: page.Next, Data: data})
		page.Next++
	}
	add(Change{ID: "a", Base: 0, Document: []byte(small)})
	add(Change{ID: "b", Base: 0, Document: []byte(small)})
	add(Change{ID: "a", Base: 1, Document: []byte(small)})
	add(Change{ID: "c", Base: 1, Document: []byte("broken")})
	f := NewFold()
	if got := f.Apply(0, page); len(got) != 3 {
		t.Errorf("decisions = %+v", got)
	}
	for id, want := range map[string]Outcome{"a": Accepted, "b": Conflict, "c": Accepted} {
		if got, ok := f.Outcome(id); !ok || got.Outcome != want {
			t.Errorf("outcome of %s = %+v, %v", id, got, ok)
		}
	}
	if cat, err := f.Catalogue(); f.Version() != 2 || cat.Version != 1 || err == nil {
		t.Errorf("version %d, readable version %d, error %v", f.Version(), cat.Version, err)
	}
	s, ok := f.Snapshot()
	peer := NewFold()
	if !ok || !peer.Adopt(s) || peer.Adopt(Snapshot{Position: 1, Version: 1}) || peer.Version() != 2 || peer.Next() != 4 {
		t.Errorf("peer at version %d, next %d", peer.Version(), peer.Next())
	}
}
