package conf

import (
	"cmp"
	"fmt"
	"slices"
	"strings"
	"time"
	"unicode/utf8"

	"github.com/goccy/go-yaml/ast"
	"github.com/goccy/go-yaml/parser"
)

// maxProblems bounds the report on a document with many errors.
const maxProblems = 100

// treeReader walks a YAML tree and collects problems. Its methods return a
// zero value or the least valid one after a problem, so that one pass reports all
// of them.
type treeReader struct {
	problems []Problem
}

// field describes one key of a mapping and reads its value.
type field struct {
	name     string
	required bool
	read     func(path string, n ast.Node)
}

func (r *treeReader) addProblem(n ast.Node, path, format string, args ...any) {
	r.addProblemAt(lineOf(n), path, format, args...)
}

func (r *treeReader) addProblemAt(line int, path, format string, args ...any) {
	if len(r.problems) < maxProblems {
		r.problems = append(r.problems, Problem{Line: line, Path: path, Msg: fmt.Sprintf(format, args...)})
	}
}

// sortedProblems returns the problems in line order.
func (r *treeReader) sortedProblems() []Problem {
	slices.SortStableFunc(r.problems, func(a, b Problem) int { return cmp.Compare(a.Line, b.Line) })
	return r.problems
}

// lineOf returns the line of a node, or 0 if it has none.
func lineOf(n ast.Node) int {
	if n == nil || n.GetToken() == nil || n.GetToken().Position == nil {
		return 0
	}
	return n.GetToken().Position.Line
}

// parseTree returns the root of the YAML tree. The text must hold one document.
func parseTree(op string, doc []byte) (root ast.Node, err error) {
	// The YAML parser is third-party code that reads operators' input; a panic in
	// it must not terminate the entry.
	defer func() {
		if p := recover(); p != nil {
			root, err = nil, invalid(op, "not YAML: %v", p)
		}
	}()
	if len(doc) > MaxDocumentBytes {
		return nil, invalid(op, "the document has %d bytes, at most %d are allowed", len(doc), MaxDocumentBytes)
	}
	if !utf8.Valid(doc) {
		return nil, invalid(op, "the document is not UTF-8 text")
	}
	if d := nesting(doc); d > maxNesting {
		return nil, invalid(op, "the document is nested %d deep, at most %d are allowed", d, maxNesting)
	}
	file, err := parser.ParseBytes(doc, 0, parser.AllowDuplicateMapKey())
	if err != nil {
		return nil, syntaxError(op, err)
	}
	docs := slices.DeleteFunc(file.Docs, func(d *ast.DocumentNode) bool { return d == nil || d.Body == nil })
	switch len(docs) {
	case 0:
		return nil, invalid(op, "the document is empty")
	case 1:
		return docs[0].Body, nil
	default:
		return nil, invalid(op, "the text holds %d documents, only one is allowed", len(docs))
	}
}

// mapping reads each key of a mapping with the field of that name. It adds a
// problem for unknown, repeated and missing keys.
func (r *treeReader) mapping(path string, n ast.Node, fields ...field) {
	values, ok := mappingValues(n)
	if !ok {
		r.addProblem(n, path, "must be a mapping with the keys %s", keyNames(fields))
		return
	}
	seen := map[string]bool{}
	for _, v := range values {
		r.mappingValue(path, v, fields, seen)
	}
	for _, f := range fields {
		if f.required && !seen[f.name] {
			r.addProblem(n, join(path, f.name), "is missing")
		}
	}
}

func (r *treeReader) mappingValue(path string, v *ast.MappingValueNode, fields []field, seen map[string]bool) {
	key, ok := v.Key.(*ast.StringNode)
	if !ok {
		r.addProblem(v.Key, path, "unknown key; the keys are %s", keyNames(fields))
		return
	}
	i := slices.IndexFunc(fields, func(f field) bool { return f.name == key.Value })
	if i < 0 {
		r.addProblem(key, join(path, key.Value), "unknown key; the keys are %s", keyNames(fields))
		return
	}
	if seen[key.Value] {
		r.addProblem(key, join(path, key.Value), "is given twice")
		return
	}
	seen[key.Value] = true
	fields[i].read(join(path, key.Value), v.Value)
}

func mappingValues(n ast.Node) ([]*ast.MappingValueNode, bool) {
	switch m := n.(type) {
	case *ast.MappingNode:
		return m.Values, true
	case *ast.MappingValueNode:
		return []*ast.MappingValueNode{m}, true
	default:
		return nil, false
	}
}

// list reads each element of a sequence.
func (r *treeReader) list(path string, n ast.Node, limit int, read func(path string, n ast.Node)) {
	s, ok := n.(*ast.SequenceNode)
	if !ok {
		r.addProblem(n, path, "must be a list")
		return
	}
	if len(s.Values) > limit {
		r.addProblem(n, path, "has %d elements, at most %d are allowed", len(s.Values), limit)
		return
	}
	for i, v := range s.Values {
		read(fmt.Sprintf("%s[%d]", path, i), v)
	}
}

func (r *treeReader) text(path string, n ast.Node) string {
	s, ok := n.(*ast.StringNode)
	if !ok {
		r.addProblem(n, path, "must be text; put it in quotes if it looks like a number, a truth value or null")
		return ""
	}
	return s.Value
}

// name reads a name. Its characters are restricted because names appear in stream
// names, logs and metrics.
func (r *treeReader) name(path string, n ast.Node) string {
	before := len(r.problems)
	s := r.text(path, n)
	if len(r.problems) == before && !validName(s) {
		r.addProblem(n, path, "%q is not a name: 1 to %d of a-z, 0-9, '-', '_' and '.', starting with a letter or digit", clip(s), maxNameBytes)
		return ""
	}
	return s
}

func (r *treeReader) boolean(path string, n ast.Node) bool {
	b, ok := n.(*ast.BoolNode)
	if !ok {
		r.addProblem(n, path, "must be true or false")
		return false
	}
	return b.Value
}

func (r *treeReader) integer(path string, n ast.Node, least, most int) int {
	i, ok := n.(*ast.IntegerNode)
	if !ok {
		r.addProblem(n, path, "must be a whole number from %d to %d", least, most)
		return least
	}
	v, ok := integerValue(i)
	if !ok || v < int64(least) || v > int64(most) {
		r.addProblem(n, path, "must be from %d to %d", least, most)
		return least
	}
	return int(v)
}

func integerValue(n *ast.IntegerNode) (int64, bool) {
	switch v := n.Value.(type) {
	case int64:
		return v, true
	case uint64:
		return int64(v), v <= 1<<62
	default:
		return 0, false
	}
}

func (r *treeReader) decimal(path string, n ast.Node, least, most float64) float64 {
	var v float64
	switch x := n.(type) {
	case *ast.IntegerNode:
		i, _ := integerValue(x)
		v = float64(i)
	case *ast.FloatNode:
		v = x.Value
	default:
		r.addProblem(n, path, "must be a number from %v to %v", least, most)
		return least
	}
	if !(v >= least && v <= most) {
		r.addProblem(n, path, "must be from %v to %v", least, most)
		return least
	}
	return v
}

func (r *treeReader) duration(path string, n ast.Node, least, most time.Duration) time.Duration {
	s, ok := n.(*ast.StringNode)
	if !ok {
		r.addProblem(n, path, "must be a duration such as 250ms or 2s")
		return least
	}
	d, err := time.ParseDuration(s.Value)
	if err != nil {
		r.addProblem(n, path, "%q is not a duration such as 250ms or 2s", clip(s.Value))
		return least
	}
	if d < least || d > most {
		r.addProblem(n, path, "must be from %v to %v", least, most)
		return least
	}
	return d
}

func keyNames(fields []field) string {
	names := make([]string, len(fields))
	for i, f := range fields {
		names[i] = f.name
	}
	return strings.Join(names, ", ")
}

func join(path, name string) string {
	if path == "" {
		return clip(name)
	}
	return path + "." + clip(name)
}

// clip shortens s for use in a message.
func clip(s string) string {
	if len(s) <= maxNameBytes {
		return s
	}
	return s[:maxNameBytes] + "..."
}
