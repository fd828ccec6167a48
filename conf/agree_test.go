package conf

import (
	"fmt"
	"testing"

	"github.com/google/go-cmp/cmp"
	"pgregory.net/rapid"

	"carobpulley"
)

// expectedState is the state after a prefix of the log that is read from its first
// record.
type expectedState struct {
	document []byte
	recent   []Result
	versions map[uint64][]byte
}

// foldFromStart is a simple reference implementation of Fold without retention.
func foldFromStart(records []carobpulley.Record) expectedState {
	n := expectedState{versions: map[uint64][]byte{}}
	seen := map[string]bool{}
	for _, rec := range records {
		r, err := decode(rec.Data)
		if err != nil || r.Kind != kindChange || seen[r.ChangeID] {
			continue
		}
		seen[r.ChangeID] = true
		res := Result{ID: r.ChangeID, Outcome: Conflict, Base: r.Base, Author: r.Author, Time: r.Time, Offset: rec.Offset}
		if r.Base == uint64(len(n.versions)) {
			res.Outcome = Accepted
			n.document = []byte(r.Document)
			n.versions[r.Base+1] = n.document
		}
		res.Version = uint64(len(n.versions))
		n.recent = append(n.recent, res)
	}
	return n
}

// readerModel is a log with retention, several readers, and the snapshots and pages
// that may reach a reader late.
type readerModel struct {
	log          []carobpulley.Record
	oldest       uint64
	readers      []*Fold
	lastVersions []uint64
	snapshots    []Snapshot
	pages        []carobpulley.Page
	pageOffsets  []uint64
	accepted     map[uint64]string
}

func (a *readerModel) append(data []byte) {
	a.log = append(a.log, carobpulley.Record{Offset: a.end(), Data: data})
}

// end is the offset of the next record.
func (a *readerModel) end() uint64 {
	return FirstOffset + uint64(len(a.log))
}

func (a *readerModel) page(from uint64, limit int) carobpulley.Page {
	p := carobpulley.Page{Oldest: a.oldest, Next: a.end()}
	start := max(from, a.oldest, FirstOffset)
	if start < p.Next {
		p.Records = a.log[start-FirstOffset : min(p.Next, start+uint64(limit))-FirstOffset]
	}
	return p
}

func (a *readerModel) reader(t *rapid.T) int {
	return rapid.IntRange(0, len(a.readers)-1).Draw(t, "reader")
}

func (a *readerModel) apply(t *rapid.T, i int, from uint64, p carobpulley.Page) {
	for _, r := range a.readers[i].Apply(from, p) {
		if id, ok := a.accepted[r.Base]; r.Outcome == Accepted && ok && id != r.ID {
			t.Fatalf("changes %s and %s are both accepted for base version %d", id, r.ID, r.Base)
		}
		if r.Outcome == Accepted {
			a.accepted[r.Base] = r.ID
		}
	}
}

func (a *readerModel) actions() map[string]func(*rapid.T) {
	return map[string]func(*rapid.T){
		"change": func(t *rapid.T) {
			base := a.readers[a.reader(t)].Version()
			if rapid.IntRange(0, 4).Draw(t, "wild") == 0 {
				base = rapid.Uint64Range(0, 9).Draw(t, "base")
			}
			id := fmt.Sprint("c", rapid.IntRange(0, 60).Draw(t, "id"))
			data, err := Change{ID: id, Base: base, Document: fmt.Append(nil, id, "-", len(a.log))}.Encode()
			if err != nil {
				t.Fatal(err)
			}
			a.append(data)
		},
		"append snapshot": func(t *rapid.T) {
			if len(a.snapshots) == 0 {
				t.Skip("none taken")
			}
			data, err := rapid.SampledFrom(a.snapshots).Draw(t, "snapshot").Encode()
			if err != nil {
				t.Fatal(err)
			}
			a.append(data)
		},
		"take snapshot": func(t *rapid.T) {
			if s, ok := a.readers[a.reader(t)].Snapshot(); ok {
				a.snapshots = append(a.snapshots, s)
			}
		},
		"append again": func(t *rapid.T) {
			if len(a.log) > 0 {
				a.append(rapid.SampledFrom(a.log).Draw(t, "record").Data)
			}
		},
		"append noise": func(*rapid.T) { a.append([]byte(`{"format":1,"kind":"change"`)) },
		"drop old": func(t *rapid.T) {
			a.oldest = rapid.Uint64Range(a.oldest, a.end()).Draw(t, "oldest")
		},
		"read": func(t *rapid.T) {
			i := a.reader(t)
			from := a.readers[i].Next()
			p := a.page(from, rapid.IntRange(1, 9).Draw(t, "limit"))
			a.pages, a.pageOffsets = append(a.pages, p), append(a.pageOffsets, from)
			a.apply(t, i, from, p)
		},
		"replay page": func(t *rapid.T) {
			if len(a.pages) > 0 {
				k := rapid.IntRange(0, len(a.pages)-1).Draw(t, "page")
				a.apply(t, a.reader(t), a.pageOffsets[k], a.pages[k])
			}
		},
		"skip ahead": func(t *rapid.T) {
			i := a.reader(t)
			from := a.readers[i].Next() + 1
			a.apply(t, i, from, a.page(from, 9))
		},
		"adopt": func(t *rapid.T) {
			if len(a.snapshots) > 0 {
				a.readers[a.reader(t)].Adopt(rapid.SampledFrom(a.snapshots).Draw(t, "snapshot"))
			}
		},
		"restart": func(t *rapid.T) {
			i := a.reader(t)
			a.readers[i], a.lastVersions[i] = NewFold(), 0
		},
		"": a.check,
	}
}

func (a *readerModel) check(t *rapid.T) {
	for i, f := range a.readers {
		if f.Version() < a.lastVersions[i] {
			t.Fatalf("reader %d went back from version %d to %d", i, a.lastVersions[i], f.Version())
		}
		a.lastVersions[i] = f.Version()
		all := foldFromStart(a.log)
		if d := cmp.Diff(string(all.versions[f.Version()]), string(f.Document())); d != "" {
			t.Fatalf("reader %d, document of version %d (-want +got):\n%s", i, f.Version(), d)
		}
		if !f.CanDecide() {
			continue
		}
		want := foldFromStart(a.log[:f.Next()-FirstOffset])
		got := f.state
		if d := cmp.Diff(want.recent, got.recent); d != "" || got.version != uint64(len(want.versions)) {
			t.Fatalf("reader %d at offset %d: version %d, want %d; decisions (-want +got):\n%s", i, f.Next(), got.version, len(want.versions), d)
		}
	}
}

// finish appends a snapshot of the expected state and lets each reader read to the
// end of the log.
func (a *readerModel) finish(t *rapid.T) {
	n := foldFromStart(a.log)
	data, err := Snapshot{
		Position: a.end(),
		Version:  uint64(len(n.versions)),
		Document: n.document,
		Recent:   n.recent,
	}.Encode()
	if err != nil {
		t.Fatal(err)
	}
	a.append(data)
	a.oldest = min(a.oldest, a.end()-1)
	for i, f := range a.readers {
		for range 3*len(a.log) + 3 {
			a.apply(t, i, f.Next(), a.page(f.Next(), 3))
		}
		if !f.CanDecide() || f.Version() != uint64(len(n.versions)) || f.Next() != a.end() {
			t.Fatalf("reader %d ends at version %d and offset %d, want %d and %d; can decide: %v", i, f.Version(), f.Next(), len(n.versions), a.end(), f.CanDecide())
		}
	}
}

// TestAgreement guards against readers that disagree on a version, go back to a
// smaller one, accept two changes for one base version, or do not reach the end of
// the log.
func TestAgreement(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		a := &readerModel{accepted: map[uint64]string{}}
		for range 3 {
			a.readers = append(a.readers, NewFold())
		}
		a.lastVersions = make([]uint64, len(a.readers))
		t.Repeat(a.actions())
		a.finish(t)
	})
}
