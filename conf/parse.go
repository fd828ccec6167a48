package conf

import (
	"encoding/hex"
	"fmt"

	"github.com/goccy/go-yaml/ast"

	"carobpulley"
)

// Names of the document's sections.
const (
	sectionEntries   = "entries"
	sectionDomains   = "domains"
	sectionMembers   = "members"
	sectionServices  = "services"
	sectionDraining  = "draining"
	keyName          = "name"
	keyMember        = "member"
	keyInService     = "in_service"
	keyMaxConcurrent = "max_concurrent"
)

// document is a catalogue under construction.
type document struct {
	reader
	cat carobpulley.Catalogue
	// tokens maps each token hash to the member that has it.
	tokens map[[32]byte]string
	// wanted are references to members, checked at the end since the sections
	// may come in any order.
	wanted []reference
}

type reference struct {
	line   int
	path   string
	member string
}

// Parse reads a document. The version of the result is 0. The error is an
// *Error that lists all faults with their lines.
func Parse(doc []byte) (*carobpulley.Catalogue, error) {
	const op = "Parse"
	root, err := parseTree(op, doc)
	if err != nil {
		return nil, err
	}
	d := document{
		cat: carobpulley.Catalogue{
			Members:  map[string]carobpulley.Member{},
			Services: map[string]carobpulley.Service{},
			Domains:  map[string]carobpulley.Domain{},
			Draining: map[string]bool{},
		},
		tokens: map[[32]byte]string{},
	}
	d.read(root)
	d.resolve()
	if len(d.problems) > 0 {
		e := invalid(op, "the document has %d faults", len(d.problems))
		e.Problems = d.sorted()
		return nil, e
	}
	return &d.cat, nil
}

func (d *document) read(root ast.Node) {
	d.mapping("", root,
		field{"format", true, func(p string, n ast.Node) { d.integer(p, n, Format, Format) }},
		field{sectionEntries, true, d.entries},
		field{sectionDomains, true, func(p string, n ast.Node) { d.list(p, n, maxDomains, d.domain) }},
		field{sectionMembers, true, func(p string, n ast.Node) { d.list(p, n, maxMembers, d.member) }},
		field{sectionServices, true, func(p string, n ast.Node) { d.list(p, n, maxServices, d.service) }},
		field{sectionDraining, false, func(p string, n ast.Node) { d.list(p, n, maxDraining, d.draining) }},
	)
}

func (d *document) resolve() {
	for _, w := range d.wanted {
		if _, ok := d.cat.Members[w.member]; !ok {
			d.failAt(w.line, w.path, "there is no member %q", w.member)
		}
	}
}

func (d *document) entries(path string, n ast.Node) {
	seen := map[string]bool{}
	d.list(path, n, maxEntries, func(p string, n ast.Node) {
		name := d.name(p, n)
		if d.fresh(n, p, seen[name], name) {
			seen[name] = true
			d.cat.Entries = append(d.cat.Entries, name)
		}
	})
	if s, ok := n.(*ast.SequenceNode); ok && len(s.Values) == 0 {
		d.fail(n, path, "must name at least one entry")
	}
}

// fresh reports whether a name is usable: neither empty nor given before.
func (d *document) fresh(n ast.Node, path string, given bool, name string) bool {
	if name == "" {
		return false
	}
	if given {
		d.fail(n, path, "%q is given twice", name)
	}
	return !given
}

func (d *document) draining(path string, n ast.Node) {
	name := d.name(path, n)
	if d.fresh(n, path, d.cat.Draining[name], name) {
		d.cat.Draining[name] = true
	}
}

func (d *document) domain(path string, n ast.Node) {
	var v carobpulley.Domain
	d.mapping(path, n,
		field{keyName, true, func(p string, n ast.Node) {
			name := d.name(p, n)
			if _, given := d.cat.Domains[name]; d.fresh(n, p, given, name) {
				v.Name = name
			}
		}},
		field{"region", true, func(p string, n ast.Node) { v.Region = d.name(p, n) }},
		field{keyInService, true, func(p string, n ast.Node) { v.InService = d.truth(p, n) }},
	)
	if v.Name != "" {
		d.cat.Domains[v.Name] = v
	}
}

func (d *document) member(path string, n ast.Node) {
	v := carobpulley.Member{Weight: 1}
	var tokens []ast.Node
	var tokenPath string
	d.mapping(path, n,
		field{keyName, true, func(p string, n ast.Node) {
			name := d.name(p, n)
			if _, given := d.cat.Members[name]; d.fresh(n, p, given, name) {
				v.Name = name
			}
		}},
		field{"token_sha256", true, func(p string, n ast.Node) {
			tokenPath = p
			d.list(p, n, maxTokens, func(_ string, n ast.Node) { tokens = append(tokens, n) })
		}},
		field{"quota", false, func(p string, n ast.Node) { d.quota(p, n, &v) }},
	)
	for i, n := range tokens {
		d.token(fmt.Sprintf("%s[%d]", tokenPath, i), n, &v)
	}
	if v.Name != "" {
		d.cat.Members[v.Name] = v
	}
}

// token adds a token hash. A token that two members share would make the
// caller's identity ambiguous.
func (d *document) token(path string, n ast.Node, v *carobpulley.Member) {
	s, ok := n.(*ast.StringNode)
	sum, err := []byte(nil), error(nil)
	if ok {
		sum, err = hex.DecodeString(s.Value)
	}
	if !ok || err != nil || len(sum) != 32 {
		d.fail(n, path, "must be a SHA-256 sum of 64 hexadecimal digits in quotes")
		return
	}
	hash := [32]byte(sum)
	if other, given := d.tokens[hash]; given {
		d.fail(n, path, "is already a token of member %q", other)
		return
	}
	d.tokens[hash] = v.Name
	v.TokenHashes = append(v.TokenHashes, hash)
}

func (d *document) quota(path string, n ast.Node, v *carobpulley.Member) {
	d.mapping(path, n,
		field{"starts_per_second", false, func(p string, n ast.Node) { v.StartsPerSecond = d.decimal(p, n, 0, maxStartsPerSec) }},
		field{keyMaxConcurrent, false, func(p string, n ast.Node) { v.MaxConcurrent = d.integer(p, n, 0, maxConcurrent) }},
		field{"weight", false, func(p string, n ast.Node) { v.Weight = d.integer(p, n, 1, maxWeight) }},
	)
}

func (d *document) service(path string, n ast.Node) {
	v := carobpulley.Service{MaxTasks: carobpulley.MaxTasks}
	d.mapping(path, n,
		field{keyName, true, func(p string, n ast.Node) {
			name := d.name(p, n)
			if _, given := d.cat.Services[name]; d.fresh(n, p, given, name) {
				v.Name = name
			}
		}},
		field{keyMember, true, func(p string, n ast.Node) {
			if v.Member = d.name(p, n); v.Member != "" {
				d.wanted = append(d.wanted, reference{lineOf(n), p, v.Member})
			}
		}},
		field{"class", true, func(p string, n ast.Node) { v.Class = d.class(p, n) }},
		field{"limits", false, func(p string, n ast.Node) { d.limits(p, n, &v) }},
		field{"run_time", true, func(p string, n ast.Node) { v.RunTime = d.duration(p, n, minRunTime, maxRunTime) }},
		field{"idempotent", true, func(p string, n ast.Node) { v.Idempotent = d.truth(p, n) }},
	)
	if v.Name != "" {
		d.cat.Services[v.Name] = v
	}
}

func (d *document) limits(path string, n ast.Node, v *carobpulley.Service) {
	d.mapping(path, n,
		field{keyMaxConcurrent, false, func(p string, n ast.Node) { v.MaxConcurrent = d.integer(p, n, 0, maxConcurrent) }},
		field{"max_tasks", false, func(p string, n ast.Node) { v.MaxTasks = d.integer(p, n, 1, carobpulley.MaxTasks) }},
	)
}

func (d *document) class(path string, n ast.Node) carobpulley.Class {
	s, _ := n.(*ast.StringNode)
	for _, c := range carobpulley.Classes() {
		if s != nil && s.Value == string(c) {
			return c
		}
	}
	d.fail(n, path, "must be urgent, normal or bulk")
	return ""
}
