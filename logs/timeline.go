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

// maxLineBytes is the longest line that a log may contain; no process writes a longer one.
const maxLineBytes = 1 << 20

// Line is one line of a process's log.
type Line struct {
	Process string `json:"process"`
	// At is the time by the clock of the process.
	At time.Time `json:"at"`
	// AdjustedAt is the time by the clock of the timeline's reference process, which is the
	// process of the line that was added first.
	AdjustedAt time.Time `json:"shifted_at"`
	Message    string    `json:"message"`
	// Fields holds all fields but process, time and message.
	Fields map[string]any `json:"fields"`
}

// Timeline is the log lines of several processes that concern one request.
type Timeline struct {
	// Lines are ordered by AdjustedAt.
	Lines []Line `json:"lines"`
	// ClockOffsets holds, for each process, how far its clock is ahead of the reference
	// process's. Processes that no attachments connect with that process are absent.
	ClockOffsets map[string]time.Duration `json:"offsets_ns"`
	// Unparsed is the number of lines that are not log lines.
	Unparsed int `json:"unread_lines"`
}

// attachment identifies an attachment of a coordinator to an agent. Both processes log it
// within one round trip.
type attachment struct {
	coordinator, agent string
	number             float64
}

// TimelineBuilder builds the timeline of a request from logs.
type TimelineBuilder struct {
	id       string
	timeline Timeline
	// loggedByCoordinator and loggedByAgent hold the times at which the coordinator and the
	// agent logged an attachment, each by its own clock.
	loggedByCoordinator, loggedByAgent map[attachment]time.Time
}

// NewTimelineBuilder returns a TimelineBuilder for the request with the id.
func NewTimelineBuilder(id string) *TimelineBuilder {
	return &TimelineBuilder{id: id, loggedByCoordinator: make(map[attachment]time.Time), loggedByAgent: make(map[attachment]time.Time)}
}

// AddLog adds the lines of a log. Text before the first brace of a line is ignored.
func (t *TimelineBuilder) AddLog(in io.Reader) error {
	scanner := bufio.NewScanner(in)
	scanner.Buffer(make([]byte, 0, bufio.MaxScanTokenSize), maxLineBytes)
	for scanner.Scan() {
		l, err := parseLine(scanner.Bytes())
		if err != nil {
			t.timeline.Unparsed++
			continue
		}
		t.addLine(l)
	}
	return scanner.Err()
}

var errNotLogLine = errors.New("not a log line")

func parseLine(b []byte) (Line, error) {
	start := bytes.IndexByte(b, '{')
	if start < 0 {
		return Line{}, errNotLogLine
	}
	var fields map[string]any
	if err := json.Unmarshal(b[start:], &fields); err != nil {
		return Line{}, err
	}
	ms, hasTime := fields["time"].(float64)
	process, hasProcess := fields["process"].(string)
	if !hasTime || !hasProcess {
		return Line{}, errNotLogLine
	}
	message, _ := fields["message"].(string) // a line without a message is valid
	delete(fields, "time")
	delete(fields, "process")
	delete(fields, "message")
	return Line{Process: process, At: time.UnixMilli(int64(ms)), Message: message, Fields: fields}, nil
}

func (t *TimelineBuilder) addLine(l Line) {
	if l.Message == "attached" {
		t.addAttachment(l)
	}
	task := stringValue(l.Fields["task"])
	if stringValue(l.Fields["job"]) == t.id || strings.HasPrefix(task, t.id+".") || task == t.id {
		t.timeline.Lines = append(t.timeline.Lines, l)
	}
}

func stringValue(v any) string {
	s, _ := v.(string) // an absent field yields the empty string
	return s
}

func (t *TimelineBuilder) addAttachment(l Line) {
	number, ok := l.Fields["attachment"].(float64)
	if !ok {
		return
	}
	if agent := stringValue(l.Fields["host"]); agent != "" {
		t.loggedByCoordinator[attachment{l.Process, agent, number}] = l.At
	}
	if coordinator := stringValue(l.Fields["coordinator"]); coordinator != "" {
		t.loggedByAgent[attachment{coordinator, l.Process, number}] = l.At
	}
}

// Timeline returns the timeline of the logs added so far, ordered by adjusted time.
func (t *TimelineBuilder) Timeline() Timeline {
	timeline := t.timeline
	timeline.ClockOffsets = t.offsets()
	for i := range timeline.Lines {
		l := &timeline.Lines[i]
		l.AdjustedAt = l.At.Add(-timeline.ClockOffsets[l.Process])
	}
	slices.SortStableFunc(timeline.Lines, func(a, b Line) int { return a.AdjustedAt.Compare(b.AdjustedAt) })
	return timeline
}

// offsets estimates the clock offsets relative to the reference process. The offset between
// a coordinator and an agent is the median difference between the two lines of their
// attachments. A breadth-first search adds up the offsets between the reference process
// and each other process.
func (t *TimelineBuilder) offsets() map[string]time.Duration {
	ahead := make(map[[2]string][]time.Duration)
	for key, coordinatorAt := range t.loggedByCoordinator {
		agentAt, ok := t.loggedByAgent[key]
		if !ok {
			continue
		}
		d := agentAt.Sub(coordinatorAt)
		ahead[[2]string{key.coordinator, key.agent}] = append(ahead[[2]string{key.coordinator, key.agent}], d)
		ahead[[2]string{key.agent, key.coordinator}] = append(ahead[[2]string{key.agent, key.coordinator}], -d)
	}
	out := make(map[string]time.Duration)
	if len(t.timeline.Lines) == 0 {
		return out
	}
	first := t.timeline.Lines[0].Process
	out[first] = 0
	for queue := []string{first}; len(queue) > 0; queue = queue[1:] {
		for _, pair := range slices.SortedFunc(maps.Keys(ahead), comparePairs) {
			if _, known := out[pair[1]]; pair[0] != queue[0] || known {
				continue
			}
			out[pair[1]] = out[queue[0]] + median(ahead[pair])
			queue = append(queue, pair[1])
		}
	}
	return out
}

func comparePairs(a, b [2]string) int { return slices.Compare(a[:], b[:]) }

func median(all []time.Duration) time.Duration {
	slices.Sort(all)
	return all[len(all)/2]
}
