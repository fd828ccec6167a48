package logs

import (
	"bufio"
	"bytes"
	"encoding/json"
	"errors"
	"io"
	"maps"
	"slices"
	"strings"
	"time"
)

// maxLineBytes bounds a line of a log; longer ones cannot be ours.
const maxLineBytes = 1 << 20

// Line is one line of a process's log.
type Line struct {
	Process string `json:"process"`
	// At is the time by the clock of the process.
	At time.Time `json:"at"`
	// Shifted is the time by the clock of the story's first process.
	Shifted time.Time `json:"shifted_at"`
	Message string    `json:"message"`
	// Fields holds the other fields.
	Fields map[string]any `json:"fields"`
}

// Story is what the logs of several processes say of one request.
type Story struct {
	// Lines are ordered by Shifted.
	Lines []Line `json:"lines"`
	// Offsets holds, for each process, by how much its clock is ahead of the first
	// one's, as far as attachments show it.
	Offsets map[string]time.Duration `json:"offsets_ns"`
	// Unread counts lines that are no log lines.
	Unread int `json:"unread_lines"`
}

// attachment identifies an attachment of a coordinator to an agent, which both
// log within one round trip.
type attachment struct {
	coordinator, agent string
	number             float64
}

// Reader gathers the lines of a story.
type Reader struct {
	id    string
	story Story
	// first and second hold when the coordinator and the agent logged an
	// attachment.
	first, second map[attachment]time.Time
}

// NewReader returns a Reader of the lines that concern a request.
func NewReader(id string) *Reader {
	return &Reader{id: id, first: make(map[attachment]time.Time), second: make(map[attachment]time.Time)}
}

// Read takes a log. What stands before the first brace of a line is ignored.
func (r *Reader) Read(in io.Reader) error {
	scan := bufio.NewScanner(in)
	scan.Buffer(make([]byte, 0, bufio.MaxScanTokenSize), maxLineBytes)
	for scan.Scan() {
		l, err := parseLine(scan.Bytes())
		if err != nil {
			r.story.Unread++
			continue
		}
		r.take(l)
	}
	return scan.Err()
}

var errNoLine = errors.New("no log line")

func parseLine(b []byte) (Line, error) {
	at := bytes.IndexByte(b, '{')
	if at < 0 {
		return Line{}, errNoLine
	}
	var fields map[string]any
	if err := json.Unmarshal(b[at:], &fields); err != nil {
		return Line{}, err
	}
	ms, ok := fields["time"].(float64)
	process, named := fields["process"].(string)
	if !ok || !named {
		return Line{}, errNoLine
	}
	message, _ := fields["message"].(string) // a line without one is shown as such
	delete(fields, "time")
	delete(fields, "process")
	delete(fields, "message")
	return Line{Process: process, At: time.UnixMilli(int64(ms)), Message: message, Fields: fields}, nil
}

func (r *Reader) take(l Line) {
	if l.Message == "attached" {
		r.attached(l)
	}
	task := text(l.Fields["task"])
	if text(l.Fields["job"]) == r.id || strings.HasPrefix(task, r.id+".") || task == r.id {
		r.story.Lines = append(r.story.Lines, l)
	}
}

func text(v any) string {
	s, _ := v.(string) // an absent field is empty
	return s
}

func (r *Reader) attached(l Line) {
	number, ok := l.Fields["attachment"].(float64)
	if !ok {
		return
	}
	if agent := text(l.Fields["host"]); agent != "" {
		r.first[attachment{l.Process, agent, number}] = l.At
	}
	if coordinator := text(l.Fields["coordinator"]); coordinator != "" {
		r.second[attachment{coordinator, l.Process, number}] = l.At
	}
}

// Story returns what was read, in order of time.
func (r *Reader) Story() Story {
	s := r.story
	s.Offsets = r.offsets()
	for i := range s.Lines {
		l := &s.Lines[i]
		l.Shifted = l.At.Add(-s.Offsets[l.Process])
	}
	slices.SortStableFunc(s.Lines, func(a, b Line) int { return a.Shifted.Compare(b.Shifted) })
	return s
}

// offsets estimates how far the clocks differ: the middle one of the differences
// between the two lines of each attachment, carried on from the first process.
func (r *Reader) offsets() map[string]time.Duration {
	ahead := make(map[[2]string][]time.Duration)
	for key, coordinatorAt := range r.first {
		agentAt, both := r.second[key]
		if !both {
			continue
		}
		d := agentAt.Sub(coordinatorAt)
		ahead[[2]string{key.coordinator, key.agent}] = append(ahead[[2]string{key.coordinator, key.agent}], d)
		ahead[[2]string{key.agent, key.coordinator}] = append(ahead[[2]string{key.agent, key.coordinator}], -d)
	}
	out := make(map[string]time.Duration)
	if len(r.story.Lines) == 0 {
		return out
	}
	from := r.story.Lines[0].Process
	out[from] = 0
	for open := []string{from}; len(open) > 0; open = open[1:] {
		for _, pair := range slices.SortedFunc(maps.Keys(ahead), comparePairs) {
			if _, known := out[pair[1]]; pair[0] != open[0] || known {
				continue
			}
			out[pair[1]] = out[open[0]] + middle(ahead[pair])
			open = append(open, pair[1])
		}
	}
	return out
}

func comparePairs(a, b [2]string) int { return slices.Compare(a[:], b[:]) }

func middle(all []time.Duration) time.Duration {
	slices.Sort(all)
	return all[len(all)/2]
}
