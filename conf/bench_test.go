package conf

import (
	"fmt"
	"strings"
	"testing"

	"carobpulley"
)

// documentOf returns a document with 9 domains and two services per member.
func documentOf(members int) []byte {
	var b strings.Builder
	b.WriteString("format: 1\nentries: [entry-a, entry-b, entry-c, entry-d, entry-e]\ndomains:\n")
	for i := range 9 {
		fmt.Fprintf(&b, "  - name: domain-%d\n    region: region-%d\n    in_service: true\n", i, i%3)
	}
	b.WriteString("members:\n")
	for i := range members {
		fmt.Fprintf(&b, "  - name: member-%02d\n    token_sha256:\n      - \"%064x\"\n", i, i+1)
		b.WriteString("    quota:\n      starts_per_second: 2500\n      max_concurrent: 4000\n      weight: 2\n")
	}
	b.WriteString("services:\n")
	for i := range 2 * members {
		fmt.Fprintf(&b, "  - name: service-%02d\n    member: member-%02d\n    class: normal\n", i, i/2)
		b.WriteString("    limits:\n      max_concurrent: 500\n      max_tasks: 120\n    run_time: 250ms\n    idempotent: true\n")
	}
	return []byte(b.String())
}

// BenchmarkFold measures one accepted change of a document with 47 members, with
// the catalogue parsed after each change and without.
func BenchmarkFold(b *testing.B) {
	b.Run("parsed", func(b *testing.B) { benchmarkFold(b, true) })
	b.Run("catching up", func(b *testing.B) { benchmarkFold(b, false) })
}

func benchmarkFold(b *testing.B, parse bool) {
	doc := documentOf(47)
	f := NewFold()
	records := make([]carobpulley.Record, 0, b.N)
	for i := range b.N {
		data, err := Change{ID: fmt.Sprint("change-", i), Base: uint64(i), Author: "operator", Document: doc}.Encode()
		if err != nil {
			b.Fatal(err)
		}
		records = append(records, carobpulley.Record{Offset: FirstOffset + uint64(i), Data: data})
	}
	b.ReportAllocs()
	b.ResetTimer()
	for i := range b.N {
		f.Apply(f.Next(), carobpulley.Page{Records: records[i : i+1], Next: f.Next() + 1})
		if parse {
			_, _ = f.Catalogue()
		}
	}
	b.StopTimer()
	if _, err := f.Catalogue(); err != nil || f.Version() != uint64(b.N) {
		b.Fatalf("version %d: %v", f.Version(), err)
	}
	s, _ := f.Snapshot()
	data, err := s.Encode()
	if err != nil {
		b.Fatal(err)
	}
	b.ReportMetric(float64(len(doc)), "document_bytes")
	b.ReportMetric(float64(len(records[0].Data)), "record_bytes")
	b.ReportMetric(float64(len(data)), "snapshot_bytes")
}
