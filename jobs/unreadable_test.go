package jobs

import (
	"encoding/json"
	"fmt"
	"maps"
	"slices"
	"strings"
	"testing"

	"github.com/google/go-cmp/cmp"

	"carobpulley"
	"carobpulley/work"
)

// oddProgress are values of a progress record that can't be read.
var oddProgress = []string{
	``, `{`, `[]`, `"queued"`, `{"state":"queued"`, `{"state":7}`, `{"state":"completed","ended_ms":1e400}`,
	`{"state":"queued","done":[[0.5,0]]}`, `{"state":"queued","done":[[0,9223372036854775808]]}`, `{"state":"queued","done":{"0":0}}`,
	`{"state":"queued","done":` + strings.Repeat("[", 20_000) + strings.Repeat("]", 20_000) + `}`,
}

// untrueProgress are values of a progress record that can't be true. OTHER stands for another job's id.
var untrueProgress = []string{
	`null`, `{}`, `{"state":"storing"}`, `{"state":"running"}`, `{"state":""}`, `{"state":"completed"}`, `{"state":"failed","ended_ms":-1}`,
	`{"state":"queued","done":[[0,9]]}`, `{"state":"queued","done":[[-1,0]]}`, `{"state":"queued","done":[[]]}`,
	`{"state":"queued","done":[null]}`, `{"state":"queued","done":[[0]]}`, `{"state":"queued","done":[[0,null]]}`,
	`{"state":"queued","done":[[0,0,0]]}`, `{"state":"queued","failed":[[0,0]]}`, `{"state":"queued","failed":[[0,0,0]]}`,
	`{"state":"queued","failed":[[0,0,9223372036854775807]]}`, `{"state":"queued","failed":[[7,0,1]]}`,
	`{"state":"queued","overdue":[[0,0]]}`, `{"state":"queued","overdue":[[0,9,1]]}`,
	`{"state":"queued","failed_runs":[[0,0,-1]]}`, `{"state":"queued","failed_runs":[[9223372036854775807,0,1]]}`,
	`{"state":"queued","crashed":[{"task":"OTHER.0.0.0","endpoint":"e","certain":true,"alone":true},{"task":"OTHER.0.0.0","endpoint":"f","certain":true,"alone":true}]}`,
}

// oddJob are values of a job's own record that can't be read. ID stands for the job's id.
var oddJob = []string{
	``, `{`, `null`, `{}`, `[]`, `{"id":"ID"}`, `{"id":"ID","steps":[]}`, `{"id":"ID","steps":[{"count":0,"need":{}}]}`,
	`{"id":"OTHER","queue":{"name":"q","service":"s"},"spec":"x","steps":[{"count":1,"need":{}}]}`,
	`{"id":"ID","queue":{"name":"q"},"steps":[{"count":9223372036854775807,"need":{}}]}`,
	`{"id":"ID","queue":7,"steps":[{"count":1,"need":{}}]}`, `{"id":"ID","epoch":-1,"steps":[{"count":1,"need":{}}]}`,
}

// damage changes the records of a job at random, and with them what the model expects.
func (m *recordModel) damage(id string, stored map[string]carobpulley.KeyedRecord) string {
	odd := func(values []string) []byte {
		other := testJob(0, 1, false).ID
		if id == other {
			other = testJob(1, 1, false).ID
		}
		value := strings.ReplaceAll(values[m.random.IntN(len(values))], "ID", id)
		return []byte(strings.ReplaceAll(value, "OTHER", other))
	}
	put := func(prefix string, value []byte) {
		stored[prefix+id] = carobpulley.KeyedRecord{Key: prefix + id, Value: value}
	}
	kind := []string{"none", "odd progress", "odd job", "both odd", "no progress", "no job", "neither", "late", "earlier build", "odd ends"}[m.random.IntN(10)]
	oddP, oddJ := false, false
	switch kind {
	case "odd ends":
		put(work.KeyEnds, odd(oddProgress[1:]))
		oddJ = true
	case "odd progress":
		put(work.KeyProgress, odd(slices.Concat(oddProgress, untrueProgress)))
		oddP = true
	case "odd job":
		put(work.KeyJob, odd(oddJob))
		oddJ = true
	case "both odd":
		put(work.KeyProgress, odd(slices.Concat(oddProgress, untrueProgress)))
		put(work.KeyJob, odd(oddJob))
		oddP, oddJ = true, true
	case "no progress":
		delete(stored, work.KeyProgress+id)
	case "no job":
		delete(stored, work.KeyJob+id)
	case "neither":
		delete(stored, work.KeyProgress+id)
		delete(stored, work.KeyJob+id)
	case "late":
		if h := m.history[work.KeyProgress+id]; len(h) > 0 {
			stored[work.KeyProgress+id] = h[m.random.IntN(len(h))]
		}
	case "earlier build":
		if r := stored[work.KeyProgress+id]; r.Value != nil {
			var fields map[string]any
			if err := json.Unmarshal(r.Value, &fields); err != nil {
				m.t.Fatal(err)
			}
			delete(fields, "digest")
			delete(fields, "failed_runs")
			delete(fields, "queue")
			value, err := json.Marshal(fields)
			if err != nil {
				m.t.Fatal(err)
			}
			put(work.KeyProgress, value)
		}
	}
	m.expect(id, stored, oddP, oddJ)
	return kind
}

// expect sets what the model expects of a job whose records are in the store, of which some are odd.
func (m *recordModel) expect(id string, stored map[string]carobpulley.KeyedRecord, oddP, oddJ bool) {
	j := m.jobs[id]
	hasJob := stored[work.KeyJob+id].Value != nil
	var p struct {
		State work.State `json:"state"`
		Done  [][2]int   `json:"done"`
	}
	if value := stored[work.KeyProgress+id].Value; value != nil && !oddP {
		if err := json.Unmarshal(value, &p); err != nil {
			m.t.Fatal(err)
		}
	}
	switch {
	case oddP:
		j.verdict = unreadable
	case p.State.Ended():
		j.verdict, j.state = ended, p.State
	case oddJ, !hasJob && p.State != "":
		j.verdict = unreadable
	case hasJob:
		j.verdict = active
	default:
		j.verdict = gone
	}
	j.done = map[string]bool{}
	for _, d := range p.Done {
		j.done[work.TaskName(id, d[0], d[1])] = true
	}
	for _, ends := range m.ends {
		for _, e := range ends {
			if work.JobOfTask(e.Run.Task) == id && e.Outcome == work.OutcomeDone {
				j.done[e.Run.Task] = true
			}
		}
	}
}

// Guards against a job that is shown with a state that is none, as completed without its tasks, or as
// gone; against tasks that have ended and start again; and against ends that are lost, when records of
// the store are odd, half, missing or late. The records of other jobs must not matter.
func TestRecordsThatCantBeRead(t *testing.T) {
	const seeds = 500
	verdicts := map[verdict]int{}
	for seed := range uint64(seeds) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			m := newRecordModel(t, seed)
			for range 4 {
				m.endSome(3, work.OutcomeDone, work.OutcomeDone, work.OutcomeDone, work.OutcomeFailed)
				m.exchange()
				if m.random.IntN(3) == 0 {
					m.table.Cancel(m.now, testQueue, testJob(m.random.IntN(8), 1, false).ID)
				}
			}
			m.exchange()
			for id := range m.jobs {
				m.expect(id, m.stored, false, false)
			}
			m.check("before")
			intact, stored := map[string]carobpulley.KeyedRecord{}, map[string]carobpulley.KeyedRecord{}
			for key, r := range m.stored {
				if r.Value != nil {
					intact[key], stored[key] = r, r
				}
			}
			kinds := map[string]string{}
			for n := range len(m.jobs) {
				id := testJob(n, 1, false).ID
				kinds[id] = m.damage(id, stored)
				verdicts[m.jobs[id].verdict]++
			}
			defer func() {
				if t.Failed() {
					t.Logf("damage %v", kinds)
				}
			}()
			m.playDamaged(intact, stored)
		})
	}
	if len(verdicts) != 4 {
		t.Errorf("verdicts %v, want all four", verdicts)
	}
}

func (m *recordModel) playDamaged(intact, stored map[string]carobpulley.KeyedRecord) {
	damaged := map[string][3]string{}
	for id, j := range m.jobs {
		if j.verdict == unreadable {
			damaged[id] = [3]string{string(stored[work.KeyJob+id].Value), string(stored[work.KeyProgress+id].Value), string(stored[work.KeyEnds+id].Value)}
		}
	}
	for range 2 {
		m.takeOverWith(stored)
		m.check("taken over")
		for range 6 {
			m.endSome(3, work.OutcomeDone, work.OutcomeDone, work.OutcomeFailed)
			m.call(testJob(m.random.IntN(len(m.jobs)), 1, false).ID)
			m.exchange()
			m.check("called")
		}
		for id, want := range damaged {
			got := [3]string{string(m.stored[work.KeyJob+id].Value), string(m.stored[work.KeyProgress+id].Value)}
			if want[2] != "" {
				got[2] = string(m.stored[work.KeyEnds+id].Value)
			}
			if diff := cmp.Diff(want, got); diff != "" {
				m.t.Fatalf("records of %s (-want +got):\n%s", id, diff)
			}
		}
		m.settle("of readable records")
		stored = m.stored
		for id, j := range m.jobs {
			if j.verdict == active {
				m.expect(id, stored, false, false)
			}
		}
	}
	for id, values := range damaged {
		if values[2] != "" {
			delete(stored, work.KeyEnds+id)
		}
		for _, prefix := range []string{work.KeyJob, work.KeyProgress} {
			delete(stored, prefix+id)
			if r, ok := intact[prefix+id]; ok {
				stored[prefix+id] = r
			}
		}
		since := m.jobs[id].done
		m.expect(id, stored, false, false)
		maps.Copy(m.jobs[id].done, since)
	}
	m.takeOverWith(stored)
	m.check("read again")
	m.settle("that is read again")
	for key, r := range m.stored {
		if key[:1] == work.KeyEnds && r.Value != nil {
			m.t.Errorf("%s is left: %s", key, r.Value)
		}
	}
}

// settle ends all runs as done until nothing runs. Every job that can be read must have ended then.
func (m *recordModel) settle(what string) {
	for range 20 {
		m.endSome(1, work.OutcomeDone)
		m.exchange()
	}
	m.check("settled")
	for id, j := range m.jobs {
		if state, _ := m.table.State(testQueue, id); j.verdict == active && !state.Ended() {
			m.t.Fatalf("%s, a job %s, is %s, tasks done: %v", id, what, state, j.done)
		}
	}
}
