package conf

import (
	"encoding/hex"
	"fmt"

	"github.com/goccy/go-yaml/ast"

	"carobpulley"
)

// Keys of the document.
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

// documentReader builds a catalogue from a document.
type documentReader struct {
	treeReader
	cat carobpulley.Catalogue
	// tokens maps each token hash to the member that has it.
	tokens map[[32]byte]string
	// memberRefs holds the references to members. They are checked at the end,
	// since the sections may come in any order.
	memberRefs []memberRef
}

// memberRef is a reference to a member and its place in the document.
type memberRef struct {
	line   int
	path   string
	member string
}

// Parse parses a document. The version of the result is 0. The error is an
// *Error that lists all problems with their lines.
func Parse(doc []byte) (*carobpulley.Catalogue, error) {
	const op = "Parse"
	root, err := parseTree(op, doc)
	if err != nil {
		return nil, err
	}
	d := documentReader{
		cat: carobpulley.Catalogue{
			Members:  map[string]carobpulley.Member{},
			Services: map[string]carobpulley.Service{},
			Domains:  map[string]carobpulley.Domain{},
			Draining: map[string]bool{},
		},
		tokens: map[[32]byte]string{},
	}
	d.read(root)
	d.checkMemberRefs()
	if len(d.problems) > 0 {
		e := invalid(op, "the document has %d faults", len(d.problems))
		e.Problems = d.sortedProblems()
		return nil, e
	}
	return &d.cat, nil
}

func (d *documentReader) read(root ast.Node) {
	d.mapping("", root,
		field{"format", true, func(p string, n ast.Node) { d.integer(p, n, Format, Format) }},
		field{sectionEntries, true, d.entries},
		field{sectionDomains, true, func(p string, n ast.Node) { d.list(p, n, maxDomains, d.domain) }},
		field{sectionMembers, true, func(p string, n ast.Node) { d.list(p, n, maxMembers, d.member) }},
		field{sectionServices, true, func(p string, n ast.Node) { d.list(p, n, maxServices, d.service) }},
		field{sectionDraining, false, func(p string, n ast.Node) { d.list(p, n, maxDraining, d.draining) }},
	)
}

// checkMemberRefs adds a problem for each reference to a member that does not exist.
func (d *documentReader) checkMemberRefs() {
	for _, ref := range d.memberRefs {
		if _, ok := d.cat.Members[ref.member]; !ok {
			d.addProblemAt(ref.line, ref.path, "there is no member %q", ref.member)
		}
	}
}

func (d *documentReader) entries(path string, n ast.Node) {
	seen := map[string]bool{}
	d.list(path, n, maxEntries, func(p string, n ast.Node) {
		name := d.name(p, n)
		if d.checkUnique(n, p, seen[name], name) {
			seen[name] = true
			d.cat.Entries = append(d.cat.Entries, name)
		}
	})
	if s, ok := n.(*ast.SequenceNode); ok && len(s.Values) == 0 {
		d.addProblem(n, path, "must name at least one entry")
	}
}

// checkUnique reports whether a name is neither empty nor a duplicate, and adds a
// problem for a duplicate.
func (d *documentReader) checkUnique(n ast.Node, path string, duplicate bool, name string) bool {
	if name == "" {
		return false
	}
	if duplicate {
		d.addProblem(n, path, "%q is given twice", name)
	}
	return !duplicate
}

func (d *documentReader) draining(path string, n ast.Node) {
	name := d.name(path, n)
	if d.checkUnique(n, path, d.cat.Draining[name], name) {
		d.cat.Draining[name] = true
	}
}

func (d *documentReader) domain(path string, n ast.Node) {
	var v carobpulley.Domain
	d.mapping(path, n,
		field{keyName, true, func(p string, n ast.Node) {
			name := d.name(p, n)
			if _, duplicate := d.cat.Domains[name]; d.checkUnique(n, p, duplicate, name) {
				v.Name = name
			}
		}},
		field{"region", true, func(p string, n ast.Node) { v.Region = d.name(p, n) }},
		field{keyInService, true, func(p string, n ast.Node) { v.InService = d.boolean(p, n) }},
	)
	if v.Name != "" {
		d.cat.Domains[v.Name] = v
	}
}

func (d *documentReader) member(path string, n ast.Node) {
	v := carobpulley.Member{Weight: 1}
	var tokens []ast.Node
	var tokenPath string
	d.mapping(path, n,
		field{keyName, true, func(p string, n ast.Node) {
			name := d.name(p, n)
			if _, duplicate := d.cat.Members[name]; d.checkUnique(n, p, duplicate, name) {
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

// token adds a token hash to a member. It rejects a token that another member
// has, which would make the caller's identity ambiguous.
func (d *documentReader) token(path string, n ast.Node, v *carobpulley.Member) {
	s, ok := n.(*ast.StringNode)
	sum, err := []byte(nil), error(nil)
	if ok {
		sum, err = hex.DecodeString(s.Value)
	}
	if !ok || err != nil || len(sum) != 32 {
		d.addProblem(n, path, "must be a SHA-256 sum of 64 hexadecimal digits in quotes")
		return
	}
	hash := [32]byte(sum)
	if other, exists := d.tokens[hash]; exists {
		d.addProblem(n, path, "is already a token of member %q", other)
		return
	}
	d.tokens[hash] = v.Name
	v.TokenHashes = append(v.TokenHashes, hash)
}

func (d *documentReader) quota(path string, n ast.Node, v *carobpulley.Member) {
	d.mapping(path, n,
		field{"starts_per_second", false, func(p string, n ast.Node) { v.StartsPerSecond = d.decimal(p, n, 0, maxStartsPerSec) }},
		field{keyMaxConcurrent, false, func(p string, n ast.Node) { v.MaxConcurrent = d.integer(p, n, 0, maxConcurrent) }},
		field{"weight", false, func(p string, n ast.Node) { v.Weight = d.integer(p, n, 1, maxWeight) }},
	)
}

func (d *documentReader) service(path string, n ast.Node) {
	v := carobpulley.Service{MaxTasks: carobpulley.MaxTasks}
	d.mapping(path, n,
		field{keyName, true, func(p string, n ast.Node) {
			name := d.name(p, n)
			if _, duplicate := d.cat.Services[name]; d.checkUnique(n, p, duplicate, name) {
				v.Name = name
			}
		}},
		field{keyMember, true, func(p string, n ast.Node) {
			if v.Member = d.name(p, n); v.Member != "" {
				d.memberRefs = append(d.memberRefs, memberRef{lineOf(n), p, v.Member})
			}
		}},
		field{"class", true, func(p string, n ast.Node) { v.Class = d.class(p, n) }},
		field{"limits", false, func(p string, n ast.Node) { d.limits(p, n, &v) }},
		field{"run_time", true, func(p string, n ast.Node) { v.RunTime = d.duration(p, n, minRunTime, maxRunTime) }},
		field{"idempotent", true, func(p string, n ast.Node) { v.Idempotent = d.boolean(p, n) }},
	)
	if v.Name != "" {
		d.cat.Services[v.Name] = v
	}
}

func (d *documentReader) limits(path string, n ast.Node, v *carobpulley.Service) {
	d.mapping(path, n,
		field{keyMaxConcurrent, false, func(p string, n ast.Node) { v.MaxConcurrent = d.integer(p, n, 0, maxConcurrent) }},
		field{"max_tasks", false, func(p string, n ast.Node) { v.MaxTasks = d.integer(p, n, 1, carobpulley.MaxTasks) }},
	)
}

func (d *documentReader) class(path string, n ast.Node) carobpulley.Class {
	s, _ := n.(*ast.StringNode)
	for _, c := range carobpulley.Classes() {
		if s != nil && s.Value == string(c) {
			return c
		}
	}
	d.addProblem(n, path, "must be urgent, normal or bulk")
	return ""
}
