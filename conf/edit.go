package conf

import (
	"bytes"
	"fmt"
	"maps"
	"reflect"
	"slices"
	"strings"

	"github.com/goccy/go-yaml/ast"

	"carobpulley"
)

// SetDomain returns the document with a domain put in or out of service. All
// other text, comments included, is unchanged. The error is of kind KindNotFound
// if the domain does not exist.
func SetDomain(doc []byte, name string, inService bool) ([]byte, error) {
	const op = "SetDomain"
	want, root, err := parseWithTree(op, doc)
	if err != nil {
		return nil, err
	}
	d, ok := want.Domains[name]
	if !ok {
		return nil, &Error{Op: op, Kind: carobpulley.KindNotFound, Msg: fmt.Sprintf("there is no domain %q", clip(name))}
	}
	if d.InService == inService {
		return doc, nil
	}
	d.InService = inService
	want.Domains[name] = d
	list, _ := valueOf(root, sectionDomains).(*ast.SequenceNode)
	i := slices.IndexFunc(list.Values, func(n ast.Node) bool { return scalarText(valueOf(n, keyName)) == name })
	lines := splitLines(doc)
	replaceScalar(lines, valueOf(list.Values[i], keyInService), fmt.Sprint(inService))
	return verify(op, lines, want)
}

// SetDraining returns the document with an endpoint added to the draining list
// or removed from it. All other text is unchanged.
func SetDraining(doc []byte, endpoint string, draining bool) ([]byte, error) {
	const op = "SetDraining"
	if !validName(endpoint) {
		return nil, invalid(op, "%q is not a name", clip(endpoint))
	}
	want, root, err := parseWithTree(op, doc)
	if err != nil {
		return nil, err
	}
	if want.Draining[endpoint] == draining {
		return doc, nil
	}
	if draining {
		want.Draining[endpoint] = true
	} else {
		delete(want.Draining, endpoint)
	}
	lines := splitLines(doc)
	list, _ := valueOf(root, sectionDraining).(*ast.SequenceNode)
	switch {
	case list == nil:
		lines = append(lines, "draining:\n", "  - "+endpoint+"\n")
	case list.IsFlowStyle || len(list.Values) == 0:
		replaceFlow(lines, list, slices.Sorted(maps.Keys(want.Draining)))
	case draining:
		last := lineOf(list.Values[len(list.Values)-1])
		indent := strings.Repeat(" ", list.Start.Position.Column-1)
		lines = slices.Insert(lines, last, indent+"- "+endpoint+"\n")
	default:
		lines = removeElement(lines, root, list, endpoint)
	}
	return verify(op, lines, want)
}

// parseWithTree returns the catalogue and the YAML tree of a document.
func parseWithTree(op string, doc []byte) (*carobpulley.Catalogue, ast.Node, error) {
	cat, err := Parse(doc)
	if err != nil {
		return nil, nil, err
	}
	root, err := parseTree(op, doc)
	return cat, root, err
}

// verify returns the edited document if it parses to the wanted catalogue, so
// that an unusual layout is rejected instead of damaged.
func verify(op string, lines []string, want *carobpulley.Catalogue) ([]byte, error) {
	doc := []byte(strings.Join(lines, ""))
	got, err := Parse(doc)
	if err != nil || !reflect.DeepEqual(got, want) {
		return nil, invalid(op, "the layout of the document is too unusual to be edited here; edit the file and apply it")
	}
	return doc, nil
}

// valueOf returns the value of a key of a mapping, or nil.
func valueOf(n ast.Node, key string) ast.Node {
	values, _ := mappingValues(n)
	for _, v := range values {
		if k, ok := v.Key.(*ast.StringNode); ok && k.Value == key {
			return v.Value
		}
	}
	return nil
}

// scalarText returns the text of a string node, or "" for other nodes.
func scalarText(n ast.Node) string {
	s, ok := n.(*ast.StringNode)
	if !ok {
		return ""
	}
	return s.Value
}

// splitLines splits a document into lines with their line ends, and adds one to
// the last line if it is missing.
func splitLines(doc []byte) []string {
	var lines []string
	for line := range bytes.Lines(doc) {
		lines = append(lines, string(line))
	}
	if n := len(lines); n > 0 && !strings.HasSuffix(lines[n-1], "\n") {
		lines[n-1] += "\n"
	}
	return lines
}

// replaceScalar replaces a plain scalar in place.
func replaceScalar(lines []string, n ast.Node, text string) {
	t := n.GetToken()
	line, at := t.Position.Line-1, t.Position.Column-1
	if line < len(lines) && at <= len(lines[line]) && strings.HasPrefix(lines[line][at:], t.Value) {
		lines[line] = lines[line][:at] + text + lines[line][at+len(t.Value):]
	}
}

// replaceFlow replaces the names of a flow list such as [a, b], which must be on
// one line.
func replaceFlow(lines []string, list *ast.SequenceNode, names []string) {
	line, at := list.Start.Position.Line-1, list.Start.Position.Column-1
	if line >= len(lines) || at >= len(lines[line]) {
		return
	}
	end := strings.IndexByte(lines[line][at:], ']')
	if end < 0 {
		return
	}
	lines[line] = lines[line][:at] + "[" + strings.Join(names, ", ") + lines[line][at+end:]
}

// removeElement removes the line of an element from the draining list, and
// writes [] if the list is then empty.
func removeElement(lines []string, root ast.Node, list *ast.SequenceNode, name string) []string {
	i := slices.IndexFunc(list.Values, func(n ast.Node) bool { return scalarText(n) == name })
	line := lineOf(list.Values[i]) - 1
	lines = slices.Delete(lines, line, line+1)
	if len(list.Values) > 1 {
		return lines
	}
	values, _ := mappingValues(root)
	for _, v := range values {
		if at := lineOf(v.Key) - 1; v.Value == ast.Node(list) && at < len(lines) {
			lines[at] = strings.Replace(lines[at], sectionDraining+":", sectionDraining+": []", 1)
		}
	}
	return lines
}
