package conf

import (
	"fmt"
	"maps"
	"slices"
	"strings"

	"carobpulley"
)

// Difference is a field whose value differs between two catalogues.
type Difference struct {
	// Path names the field, such as "members.vans.quota.weight".
	Path string `json:"path"`
	// Old and New are the values; empty if the field does not exist.
	Old string `json:"old"`
	New string `json:"new"`
}

// String formats the difference on one line.
func (d Difference) String() string {
	switch {
	case d.Old == "":
		return fmt.Sprintf("+ %s: %s", d.Path, d.New)
	case d.New == "":
		return fmt.Sprintf("- %s: %s", d.Path, d.Old)
	default:
		return fmt.Sprintf("~ %s: %s -> %s", d.Path, d.Old, d.New)
	}
}

// Diff returns the differences between two catalogues, ordered by path. It does
// not compare their versions.
func Diff(before, after *carobpulley.Catalogue) []Difference {
	a, b := flatten(before), flatten(after)
	all := maps.Clone(a)
	maps.Copy(all, b)
	var out []Difference
	for _, path := range slices.Sorted(maps.Keys(all)) {
		if a[path] != b[path] {
			out = append(out, Difference{Path: path, Old: a[path], New: b[path]})
		}
	}
	return out
}

// flatten maps each field's path to its value.
func flatten(c *carobpulley.Catalogue) map[string]string {
	out := map[string]string{}
	set := func(section, name, key string, v any) {
		out[section+"."+name+"."+key] = fmt.Sprint(v)
	}
	if len(c.Entries) > 0 {
		out[sectionEntries] = strings.Join(c.Entries, ", ")
	}
	for _, d := range c.Domains {
		set(sectionDomains, d.Name, "region", d.Region)
		set(sectionDomains, d.Name, keyInService, d.InService)
	}
	for _, m := range c.Members {
		sums := make([]string, len(m.TokenHashes))
		for i, h := range m.TokenHashes {
			sums[i] = fmt.Sprintf("%x", h)
		}
		set(sectionMembers, m.Name, "token_sha256", "["+strings.Join(sums, ", ")+"]")
		set(sectionMembers, m.Name, "quota.starts_per_second", m.StartsPerSecond)
		set(sectionMembers, m.Name, "quota.max_concurrent", m.MaxConcurrent)
		set(sectionMembers, m.Name, "quota.weight", m.Weight)
	}
	for _, s := range c.Services {
		set(sectionServices, s.Name, keyMember, s.Member)
		set(sectionServices, s.Name, "class", s.Class)
		set(sectionServices, s.Name, "limits.max_concurrent", s.MaxConcurrent)
		set(sectionServices, s.Name, "limits.max_tasks", s.MaxTasks)
		set(sectionServices, s.Name, "run_time", s.RunTime)
		set(sectionServices, s.Name, "idempotent", s.Idempotent)
	}
	for name := range c.Draining {
		out[sectionDraining+"."+name] = "true"
	}
	return out
}
