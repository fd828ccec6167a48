package conf

import (
	"errors"
	"os"
	"strings"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"carobpulley"
)

const smallDocument = `format: 1
entries: [entry-a, entry-b, entry-c]
domains:
  - name: north-1 # first hall
    region: north
    in_service: true
  - {name: north-2, region: north, in_service: false}
members:
  - name: vans
    token_sha256:
      - "9f86d081884c7d659a2feaa0c55ad015a3bf4f1b2b0b822cd15d6c15b0f00a08"
    quota:
      starts_per_second: 12.5
      max_concurrent: 40
      weight: 3
services:
  - name: confirm
    member: vans
    class: urgent
    limits:
      max_concurrent: 8
      max_tasks: 20
    run_time: 200ms
    idempotent: false
draining:
  - runner-07
`

// TestParse guards against fields of the document that are missing or swapped in
// the catalogue.
func TestParse(t *testing.T) {
	got, err := Parse([]byte(smallDocument))
	if err != nil {
		t.Fatal(err)
	}
	want := &carobpulley.Catalogue{
		Members: map[string]carobpulley.Member{"vans": {
			Name: "vans", TokenHashes: got.Members["vans"].TokenHashes,
			StartsPerSecond: 12.5, MaxConcurrent: 40, Weight: 3,
		}},
		Services: map[string]carobpulley.Service{"confirm": {
			Name: "confirm", Member: "vans", Class: carobpulley.ClassUrgent,
			MaxConcurrent: 8, MaxTasks: 20, RunTime: 200 * time.Millisecond,
		}},
		Domains: map[string]carobpulley.Domain{
			"north-1": {Name: "north-1", Region: "north", InService: true},
			"north-2": {Name: "north-2", Region: "north"},
		},
		Entries:  []string{"entry-a", "entry-b", "entry-c"},
		Draining: map[string]bool{"runner-07": true},
	}
	if d := cmp.Diff(want, got); d != "" {
		t.Errorf("catalogue (-want +got):\n%s", d)
	}
	if h := got.Members["vans"].TokenHashes; len(h) != 1 || h[0][0] != 0x9f {
		t.Errorf("token hashes = %x", h)
	}
}

// TestParseFaults guards against invalid documents that are accepted, problems that
// hide one another, and problems reported at the wrong line.
func TestParseFaults(t *testing.T) {
	doc := strings.NewReplacer(
		"entry-c]", "entry-a]", // line 2
		"in_service: true", "in_service: yes please", // line 6
		"weight: 3", "weight: 0", // line 15
		"member: vans", "member: bikes", // line 18
		"class: urgent", "klass: urgent", // line 19, and class missing
		"max_tasks: 20", "max_tasks: 121", // line 22
		"run_time: 200ms", "run_time: 200", // line 23
		"  - runner-07", "  - runner-07\n  - runner-07", // line 27
	).Replace(smallDocument)
	_, err := Parse([]byte(doc))
	var e *Error
	if !errors.As(err, &e) {
		t.Fatalf("error = %v", err)
	}
	lines := make([]int, 0, len(e.Problems))
	for _, p := range e.Problems {
		lines = append(lines, p.Line)
	}
	if d := cmp.Diff([]int{2, 6, 15, 17, 18, 19, 22, 23, 27}, lines); d != "" {
		t.Errorf("lines (-want +got):\n%s\n%v", d, err)
	}
	for _, bad := range []string{
		"", "---\n", "a: [", "format: 1\n---\nformat: 1\n", "format: 2\n", "- 1\n", "format: &a 1\n",
		strings.Repeat("[", 1000), strings.Repeat("- ", 1000), "\xff", smallDocument + "format: 1\n",
		strings.Repeat("#\n", MaxDocumentBytes),
	} {
		if _, err := Parse([]byte(bad)); !errors.As(err, &e) || e.Kind != carobpulley.KindInvalid {
			t.Errorf("Parse(%.20q) = %v", bad, err)
		}
	}
}

// TestExample guards against an example in the documentation that Parse rejects.
func TestExample(t *testing.T) {
	page, err := os.ReadFile("../docs/catalogue.md")
	if err != nil {
		t.Fatal(err)
	}
	_, after, _ := strings.Cut(string(page), "```yaml\n")
	example, _, _ := strings.Cut(after, "```")
	cat, err := Parse([]byte(example))
	if err != nil {
		t.Fatal(err)
	}
	if len(cat.Services) != 3 || len(cat.Members) != 2 || len(cat.Domains) != 3 || !cat.Draining["runner-07"] {
		t.Errorf("example = %+v", cat)
	}
}
