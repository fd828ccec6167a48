package emul

import (
	"slices"
	"strings"
	"testing"
	"time"

	"carobpulley"
	"carobpulley/work"
)

var jobsPartition = carobpulley.Partition{Topic: carobpulley.TopicJobs}

// replace replaces the newest record of a key, as another writer would; nil removes it. It returns the
// value before.
func (s *Store) replace(key string, value []byte) []byte {
	s.mu.Lock()
	defer s.mu.Unlock()
	p := s.partition(jobsPartition)
	before := p.newest[key].Value
	p.append([]carobpulley.KeyedRecord{{Key: key, Value: value}})
	return before
}

// longTail makes the first task of a job end after 200 ms, and the others after 4 s.
func longTail(s work.Start) (time.Duration, work.Outcome) {
	if strings.HasSuffix(s.Run.Task, ".0") {
		return 200 * time.Millisecond, work.OutcomeDone
	}
	return 4 * time.Second, work.OutcomeDone
}

// Guards against a job with a record that can't be read, or that is missing, that is shown with a state
// which is none, or as gone, that is told to be stored anew, or whose tasks start again, at its owner and
// where its owner is asked; and against one that stays away once its records are read again.
func TestUnreadableRecordsAcrossTakeovers(t *testing.T) {
	spec := testSpec()
	spec.Behavior = longTail
	runFleet(t, spec, func(t *testing.T, f *Fleet) {
		const tasks = 3
		spec := func(n, tasks int) *work.Job {
			j := testJob(n, false, tasks)
			j.Steps[0].EstimateMS = 4000
			return j
		}
		damage := map[int]map[string]string{ // by job: the records that are replaced, "" if removed
			1: {work.KeyProgress: `{"state":"storing"}`},
			2: {work.KeyProgress: `{`},
			3: {work.KeyJob: ""},
			4: {work.KeyJob: `{}`},
			5: {work.KeyProgress: `{"state":"queued","done":[[0]]}`},
			6: {work.KeyProgress: `null`}, // of a job that has ended
			7: nil,
			8: nil, // ended
		}
		for n := range damage {
			count := tasks
			if n == 6 || n == 8 {
				count = 1
			}
			if a := submit(f, n%3, spec(n, count)); a.Code != carobpulley.AnswerOK {
				t.Fatalf("job %d: answer %+v", n, a)
			}
		}
		time.Sleep(time.Second)
		before := map[string][]byte{}
		f.coordinator(0).Kill()
		for n, records := range damage {
			for prefix, value := range records {
				var b []byte
				if value != "" {
					b = []byte(value)
				}
				before[prefix+jobID(n)] = f.Store.replace(prefix+jobID(n), b)
			}
		}
		f.Store.Compact(jobsPartition)
		time.Sleep(2 * time.Second)
		readable := []int{7, 8}
		for n := range damage {
			for at := 1; at < 3; at++ {
				a := f.coordinator(at).Coordinator.State(f.ctx, testQueue, jobID(n))
				if ok := a.Code == carobpulley.AnswerOK && a.State.Known(); ok != slices.Contains(readable, n) || !ok && a.Code != carobpulley.AnswerRefused {
					t.Errorf("state of job %d at coordinator %d: %+v", n, at, a)
				}
				if slices.Contains(readable, n) {
					continue
				}
				if a := submit(f, at, spec(n, tasks)); a.Code != carobpulley.AnswerUnknown && a.Code != carobpulley.AnswerConflict {
					t.Errorf("submission of job %d at coordinator %d: %+v", n, at, a)
				}
				if a := f.coordinator(at).Coordinator.Cancel(f.ctx, testQueue, jobID(n)); a.Code != carobpulley.AnswerRefused {
					t.Errorf("cancel of job %d at coordinator %d: %+v", n, at, a)
				}
			}
		}
		time.Sleep(6 * time.Second)
		if got := awaitEnd(t, f, 1, jobID(7), time.Second); got != work.StateCompleted {
			t.Errorf("job 7 is %s", got)
		}
		f.coordinator(1).Kill()
		f.coordinator(2).Kill()
		for key, value := range before {
			f.Store.replace(key, value)
		}
		f.StartCoordinator(0)
		f.StartCoordinator(1)
		f.StartCoordinator(2)
		for n := range damage {
			if got := awaitEnd(t, f, 0, jobID(n), 15*time.Second); got != work.StateCompleted {
				t.Errorf("job %d is %s", n, got)
			}
			for i := range tasks {
				if got := f.Checker.StartCount(work.TaskName(jobID(n), 0, i)); got > 1 {
					t.Errorf("job %d: %d starts of task %d", n, got, i)
				}
			}
		}
	})
}
