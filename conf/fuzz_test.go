package conf

import (
	"errors"
	"testing"

	"carobpulley"
)

// FuzzParse guards against documents that crash the parser, and against invalid
// values that it accepts.
func FuzzParse(f *testing.F) {
	for _, s := range []string{smallDocument, "a: &x [*x]", "<<: {a: 1}", "format: !!int 1", "? {a: b}\n: c", "format: 1\ndomains:\n- name: 1e3\n", "members: |\n  x"} {
		f.Add([]byte(s))
	}
	f.Fuzz(func(t *testing.T, doc []byte) {
		cat, err := Parse(doc)
		var e *Error
		if err != nil {
			if !errors.As(err, &e) || e.Kind != carobpulley.KindInvalid {
				t.Fatalf("error %T: %v", err, err)
			}
			return
		}
		if len(cat.Entries) == 0 {
			t.Error("no entries")
		}
		for name, s := range cat.Services {
			if _, ok := cat.Members[s.Member]; !ok || name != s.Name || !validName(name) ||
				s.Class == "" || s.MaxTasks < 1 || s.MaxTasks > carobpulley.MaxTasks || s.RunTime <= 0 {
				t.Errorf("service %+v", s)
			}
		}
		for name, m := range cat.Members {
			if name != m.Name || !validName(name) || m.Weight < 1 || m.MaxConcurrent < 0 || !(m.StartsPerSecond >= 0) {
				t.Errorf("member %+v", m)
			}
		}
	})
}

// FuzzRecord guards against records that crash a fold or decrease its version.
func FuzzRecord(f *testing.F) {
	change, err := Change{ID: "a", Document: []byte(smallDocument)}.Encode()
	if err != nil {
		f.Fatal(err)
	}
	snap, err := Snapshot{Position: 1, Version: 3, Document: []byte(smallDocument), Recent: []Result{{ID: "z"}}}.Encode()
	if err != nil {
		f.Fatal(err)
	}
	f.Add(change, snap, uint8(0))
	f.Add(snap, change, uint8(1))
	f.Fuzz(func(t *testing.T, first, second []byte, oldest uint8) {
		fold := NewFold()
		page := carobpulley.Page{Oldest: uint64(oldest), Next: uint64(oldest) + 2}
		for i, data := range [][]byte{first, second} {
			page.Records = append(page.Records, carobpulley.Record{Offset: page.Oldest + uint64(i), Data: data})
		}
		fold.Apply(0, page)
		version := fold.Version()
		fold.Apply(0, page)
		if fold.Version() < version || fold.Next() > page.Next {
			t.Errorf("version %d to %d, next %d of %d", version, fold.Version(), fold.Next(), page.Next)
		}
		if s, ok := fold.Snapshot(); ok {
			data, err := s.Encode()
			if err != nil {
				t.Fatal(err)
			}
			if _, err := DecodeSnapshot(data); err != nil {
				t.Error(err)
			}
		}
	})
}
