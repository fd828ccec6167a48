package conf

import (
	"bytes"
	"strings"
	"time"

	"github.com/go-faster/errors"
	"github.com/goccy/go-yaml"
)

// Format is the number of the document format and of the record format. A
// reader that meets a larger one stops deciding on changes.
const Format = 1

// Limits of a document and its fields.
const (
	// MaxDocumentBytes keeps 6,900 changes a day (0.08/s) below the 24 KB/s
	// that a node may spend on control.
	MaxDocumentBytes = 256 << 10
	// maxNesting bounds the recursion of the YAML parser; the format needs 3.
	maxNesting = 16
	// maxIndent is the longest run of spaces, '-' and '?' that starts a line.
	maxIndent    = 64
	maxNameBytes = 63
	maxEntries   = 15
	maxDomains   = 64
	maxMembers   = 500
	maxServices  = 5000
	maxDraining  = 5000
	// maxTokens allows two tokens to be valid during a rotation, with reserve.
	maxTokens        = 8
	maxStartsPerSec  = 1e6
	maxConcurrent    = 1_000_000
	maxWeight        = 1000
	minRunTime       = time.Millisecond
	maxRunTime       = 10 * time.Minute
	maxChangeIDBytes = 128
	maxAuthorBytes   = 128
)

func nameOK(s string) bool {
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

// nesting returns the larger of the bracket depth and, for a line that starts
// with more than maxIndent columns of structure, that length.
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

// syntaxError converts an error of the YAML parser.
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
