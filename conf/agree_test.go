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

func (m *readerModel) append(data []byte) {
	m.log = append(m.log, carobpulley.Record{Offset: m.end(), Data: data})
}

// end is the offset of the next record.
func (m *readerModel) end() uint64 {
	return FirstOffset + uint64(len(m.log))
}

func (m *readerModel) page(from uint64, limit int) carobpulley.Page {
	p := carobpulley.Page{Oldest: m.oldest, Next: m.end()}
	start := max(from, m.oldest, FirstOffset)
	if start < p.Next {
		p.Records = m.log[start-FirstOffset : min(p.Next, start+uint64(limit))-FirstOffset]
	}
	return p
}

func (m *readerModel) reader(t *rapid.T) int {
	return rapid.IntRange(0, len(m.readers)-1).Draw(t, "reader")
}

func (m *readerModel) apply(t *rapid.T, i int, from uint64, p carobpulley.Page) {
	for _, r := range m.readers[i].Apply(from, p) {
		if id, ok := m.accepted[r.Base]; r.Outcome == Accepted && ok && id != r.ID {
			t.Fatalf("changes %s and %s are both accepted for base version %d", id, r.ID, r.Base)
		}
		if r.Outcome == Accepted {
			m.accepted[r.Base] = r.ID
		}
	}
}

func (m *readerModel) actions() map[string]func(*rapid.T) {
	return map[string]func(*rapid.T){
		"change": func(t *rapid.T) {
			base := m.readers[m.reader(t)].Version()
			if rapid.IntRange(0, 4).Draw(t, "wild") == 0 {
				base = rapid.Uint64Range(0, 9).Draw(t, "base")
			}
			id := fmt.Sprint("c", rapid.IntRange(0, 60).Draw(t, "id"))
			data, err := Change{ID: id, Base: base, Document: fmt.Append(nil, id, "-", len(m.log))}.Encode()
			if err != nil {
				t.Fatal(err)
			}
			m.append(data)
		},
		"append snapshot": func(t *rapid.T) {
			if len(m.snapshots) == 0 {
				t.Skip("none taken")
			}
			data, err := rapid.SampledFrom(m.snapshots).Draw(t, "snapshot").Encode()
			if err != nil {
				t.Fatal(err)
			}
			m.append(data)
		},
		"take snapshot": func(t *rapid.T) {
			if s, ok := m.readers[m.reader(t)].Snapshot(); ok {
				m.snapshots = append(m.snapshots, s)
			}
		},
		"append again": func(t *rapid.T) {
			if len(m.log) > 0 {
				m.append(rapid.SampledFrom(m.log).Draw(t, "record").Data)
			}
		},
		"append noise": func(*rapid.T) { m.append([]byte(`{"format":1,"kind":"change"`)) },
		"drop old": func(t *rapid.T) {
			m.oldest = rapid.Uint64Range(m.oldest, m.end()).Draw(t, "oldest")
		},
		"read": func(t *rapid.T) {
			i := m.reader(t)
			from := m.readers[i].Next()
			p := m.page(from, rapid.IntRange(1, 9).Draw(t, "limit"))
			m.pages, m.pageOffsets = append(m.pages, p), append(m.pageOffsets, from)
			m.apply(t, i, from, p)
		},
		"replay page": func(t *rapid.T) {
			if len(m.pages) > 0 {
				k := rapid.IntRange(0, len(m.pages)-1).Draw(t, "page")
				m.apply(t, m.reader(t), m.pageOffsets[k], m.pages[k])
			}
		},
		"skip ahead": func(t *rapid.T) {
			i := m.reader(t)
			from := m.readers[i].Next() + 1
			m.apply(t, i, from, m.page(from, 9))
		},
		"adopt": func(t *rapid.T) {
			if len(m.snapshots) > 0 {
				m.readers[m.reader(t)].Adopt(rapid.SampledFrom(m.snapshots).Draw(t, "snapshot"))
			}
		},
		"restart": func(t *rapid.T) {
			i := m.reader(t)
			m.readers[i], m.lastVersions[i] = NewFold(), 0
		},
		"": m.check,
	}
}

func (m *readerModel) check(t *rapid.T) {
	for i, f := range m.readers {
		if f.Version() < m.lastVersions[i] {
			t.Fatalf("reader %d went back from version %d to %d", i, m.lastVersions[i], f.Version())
		}
		m.lastVersions[i] = f.Version()
		all := foldFromStart(m.log)
		if d := cmp.Diff(string(all.versions[f.Version()]), string(f.Document())); d != "" {
			t.Fatalf("reader %d, document of version %d (-want +got):\n%s", i, f.Version(), d)
		}
		if !f.CanDecide() {
			continue
		}
		want := foldFromStart(m.log[:f.Next()-FirstOffset])
		got := f.state
		if d := cmp.Diff(want.recent, got.recent); d != "" || got.version != uint64(len(want.versions)) {
			t.Fatalf("reader %d at offset %d: version %d, want %d; decisions (-want +got):\n%s", i, f.Next(), got.version, len(want.versions), d)
		}
	}
}

// finish appends a snapshot of the expected state and lets each reader read to the
// end of the log.
func (m *readerModel) finish(t *rapid.T) {
	n := foldFromStart(m.log)
	data, err := Snapshot{
		Position: m.end(),
		Version:  uint64(len(n.versions)),
		Document: n.document,
		Recent:   n.recent,
	}.Encode()
	if err != nil {
		t.Fatal(err)
	}
	m.append(data)
	m.oldest = min(m.oldest, m.end()-1)
	for i, f := range m.readers {
		for range 3*len(m.log) + 3 {
			m.apply(t, i, f.Next(), m.page(f.Next(), 3))
		}
		if !f.CanDecide() || f.Version() != uint64(len(n.versions)) || f.Next() != m.end() {
			t.Fatalf("reader %d ends at version %d and offset %d, want %d and %d; can decide: %v", i, f.Version(), f.Next(), len(n.versions), m.end(), f.CanDecide())
		}
	}
}

// TestAgreement guards against readers that disagree on a version, go back to a
// smaller one, accept two changes for one base version, or do not reach the end of
// the log.
func TestAgreement(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := &readerModel{accepted: map[uint64]string{}}
		for range 3 {
			m.readers = append(m.readers, NewFold())
		}
		m.lastVersions = make([]uint64, len(m.readers))
		t.Repeat(m.actions())
		m.finish(t)
	})
}
