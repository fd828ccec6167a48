package conf

import (
	"bytes"
	"strings"
	"time"

	"github.com/go-faster/errors"
	"github.com/goccy/go-yaml"
)

// Format is the version number of the document format and of the record format.
// A fold that reads a record with a larger one stops deciding on changes.
const Format = 1

// Limits of a document and its fields.
const (
	// MaxDocumentBytes keeps 6,900 changes a day (0.08/s) below the 24 KB/s
	// of control traffic allowed per node.
	MaxDocumentBytes = 256 << 10
	// maxNesting bounds the recursion of the YAML parser; the format needs 3.
	maxNesting = 16
	// maxIndent is the longest run of spaces, tabs, '-' and '?' at the start of a
	// line.
	maxIndent    = 64
	maxNameBytes = 63
	maxEntries   = 15
	maxDomains   = 64
	maxMembers   = 500
	maxServices  = 5000
	maxDraining  = 5000
	// maxTokens allows for two valid tokens during a rotation, with a margin.
	maxTokens        = 8
	maxStartsPerSec  = 1e6
	maxConcurrent    = 1_000_000
	maxWeight        = 1000
	minRunTime       = time.Millisecond
	maxRunTime       = 10 * time.Minute
	maxChangeIDBytes = 128
	maxAuthorBytes   = 128
)

// validName reports whether s is a name: at most maxNameBytes of a-z, 0-9, '-',
// '_' and '.', starting with a letter or digit.
func validName(s string) bool {
	if s == "" || len(s) > maxNameBytes {
		return false
	}
	for i, c := range []byte(s) {
		switch {
		case c >= 'a' && c <= 'z', c >= '0' && c <= '9':
		case i > 0 && (c == '-' || c == '_' || c == '.'):
		default:
			return false
		}
	}
	return true
}

// nesting returns the larger of the bracket depth of a document and of its longest
// indentation. Indentations up to maxIndent are not counted.
func nesting(doc []byte) int {
	depth, deepest := 0, 0
	for line := range bytes.Lines(doc) {
		if indent := len(line) - len(bytes.TrimLeft(line, " -?\t")); indent > maxIndent {
			deepest = max(deepest, indent)
		}
		for _, c := range line {
			switch c {
			case '[', '{':
				depth++
				deepest = max(deepest, depth)
			case ']', '}':
				depth = max(0, depth-1)
			}
		}
	}
	return deepest
}

// syntaxError converts an error of the YAML parser to an Error.
func syntaxError(op string, err error) *Error {
	e := invalid(op, "the document is not valid YAML")
	p := Problem{Msg: err.Error()}
	var ye yaml.Error
	if errors.As(err, &ye) {
		p.Msg = ye.GetMessage()
		if t := ye.GetToken(); t != nil && t.Position != nil {
			p.Line = t.Position.Line
		}
	}
	p.Msg, _, _ = strings.Cut(p.Msg, "\n")
	e.Problems = []Problem{p}
	return e
}
