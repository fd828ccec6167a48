package conf

import (
	"strings"
	"testing"

	"github.com/google/go-cmp/cmp"
)

// TestEdit guards against edits that lose comments or change other text.
func TestEdit(t *testing.T) {
	noList := strings.Replace(smallDocument, "draining:\n  - runner-07\n", "", 1)
	flow := noList + "draining: [runner-07] # host swap\n"
	for _, tt := range []struct {
		name, doc string
		edit      func([]byte) ([]byte, error)
		old, new  string
	}{
		{"domain out", smallDocument, setDomain("north-1", false), "true\n  - {", "false\n  - {"},
		{"domain in, flow", smallDocument, setDomain("north-2", true), "in_service: false}", "in_service: true}"},
		{"no change", smallDocument, setDomain("north-1", true), "", ""},
		{"add", smallDocument, setDraining("runner-08", true), "  - runner-07\n", "  - runner-07\n  - runner-08\n"},
		{"remove the last", smallDocument, setDraining("runner-07", false), "draining:\n  - runner-07\n", "draining: []\n"},
		{"add to flow", flow, setDraining("runner-01", true), "[runner-07]", "[runner-01, runner-07]"},
		{"remove from flow", flow, setDraining("runner-07", false), "[runner-07]", "[]"},
		{"new section", strings.TrimSuffix(noList, "\n"), setDraining("a", true), "idempotent: false", "idempotent: false\ndraining:\n  - a\n"},
	} {
		got, err := tt.edit([]byte(tt.doc))
		if err != nil {
			t.Errorf("%s: %v", tt.name, err)
			continue
		}
		if d := cmp.Diff(strings.Replace(tt.doc, tt.old, tt.new, 1), string(got)); d != "" {
			t.Errorf("%s (-want +got):\n%s", tt.name, d)
		}
	}
	if _, err := SetDomain([]byte(smallDocument), "north-9", true); err == nil {
		t.Error("SetDomain accepted an unknown domain")
	}
	before, err := Parse([]byte(smallDocument))
	if err != nil {
		t.Fatal(err)
	}
	after, err := Parse([]byte(strings.Replace(smallDocument, "in_service: true", "in_service: false", 1)))
	if err != nil {
		t.Fatal(err)
	}
	want := []Difference{{Path: "domains.north-1.in_service", Old: "true", New: "false"}}
	if d := cmp.Diff(want, Diff(before, after)); d != "" {
		t.Errorf("differences (-want +got):\n%s", d)
	}
}

func setDomain(name string, in bool) func([]byte) ([]byte, error) {
	return func(doc []byte) ([]byte, error) { return SetDomain(doc, name, in) }
}

func setDraining(name string, on bool) func([]byte) ([]byte, error) {
	return func(doc []byte) ([]byte, error) { return SetDraining(doc, name, on) }
}
