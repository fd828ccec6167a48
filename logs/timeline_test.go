package logs

import (
	"strings"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
)

const coordinatorLog = `{"process":"c","host":"a","attachment":1,"time":1000,"message":"attached"}
{"process":"c","host":"a","attachment":2,"time":5000,"message":"attached"}
{"process":"c","job":"0000000000000001","why":"","time":6000,"message":"submitted"}
{"process":"c","job":"0000000000000002","time":6001,"message":"submitted"}
{"process":"c","job":"0000000000000001","task":"0000000000000001.0.0.0","run":1,"why":"told by the agent","time":6200,"message":"absent"}
`

// The agent's clock is 2 s ahead. Its lines have the prefix that a log collector adds.
const agentLog = `  38.1 a {"process":"a","coordinator":"c","attachment":1,"time":2998,"message":"attached"}
  38.2 a {"process":"a","coordinator":"c","attachment":2,"time":7000,"message":"attached"}
not a line
  38.3 a {"process":"a","task":"0000000000000001.0.0.0","run":1,"refusal":"late","time":8100,"message":"start not confirmed"}
  38.4 a {"process":"a","task":"00000000000000010.0.0.0","run":1,"time":8101,"message":"start not confirmed"}
`

// Guards against a timeline that lacks the lines of a process, contains those of another
// request, or shows effects before their causes because clocks differ.
func TestTimelineAcrossClocks(t *testing.T) {
	b := NewTimelineBuilder("0000000000000001")
	for _, log := range []string{coordinatorLog, agentLog} {
		if err := b.AddLog(strings.NewReader(log)); err != nil {
			t.Fatal(err)
		}
	}
	timeline := b.Timeline()
	got := make([]string, 0, len(timeline.Lines))
	for _, l := range timeline.Lines {
		got = append(got, l.Process+" "+l.Message)
	}
	want := []string{"c submitted", "a start not confirmed", "c absent"}
	if diff := cmp.Diff(want, got); diff != "" {
		t.Errorf("lines (-want +got):\n%s", diff)
	}
	if diff := cmp.Diff(map[string]time.Duration{"c": 0, "a": 2 * time.Second}, timeline.ClockOffsets); diff != "" {
		t.Errorf("offsets (-want +got):\n%s", diff)
	}
	if timeline.Unparsed != 1 {
		t.Errorf("%d lines unparsed, want 1", timeline.Unparsed)
	}
}

// Guards against an error for an unknown request, whose timeline is empty.
func TestTimelineOfUnknownRequest(t *testing.T) {
	b := NewTimelineBuilder("ffffffffffffffff")
	if err := b.AddLog(strings.NewReader(coordinatorLog)); err != nil {
		t.Fatal(err)
	}
	if timeline := b.Timeline(); len(timeline.Lines) != 0 {
		t.Errorf("%d lines, want none", len(timeline.Lines))
	}
}
