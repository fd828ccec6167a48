package coord

import (
	"testing"
	"time"

	"carobpulley"
	"carobpulley/work"
)

// Guards against the word that a submission conflicts with another job, and so never runs, of a process
// that may no longer own the shard, or because of a job that may never be stored.
func TestConflictNeedsAStoredJobAndAProvenOwner(t *testing.T) {
	spec := func(text string) *work.Job {
		return &work.Job{ID: "0000000000000001", Queue: work.Queue{Name: "q", Service: "s"}, Spec: text, Steps: []work.Step{{Count: 1}}}
	}
	stored, err := work.EncodeJob(spec("y"))
	if err != nil {
		t.Fatal(err)
	}
	for name, c := range map[string]struct {
		stored bool
		proof  time.Time
		want   carobpulley.AnswerCode
	}{
		"stored":             {true, time.Now(), carobpulley.AnswerConflict},
		"stored, no proof":   {true, time.Now().Add(-time.Hour), notOwner},
		"being stored":       {false, time.Now(), carobpulley.AnswerRefused},
		"neither is certain": {false, time.Now().Add(-time.Hour), carobpulley.AnswerRefused},
	} {
		t.Run(name, func(t *testing.T) {
			coordinator := newControlTest(t, &recordedStore{})
			coordinator.baseCtx = t.Context()
			var records []carobpulley.KeyedRecord
			if c.stored {
				records = append(records, carobpulley.KeyedRecord{Key: work.KeyJob + spec("y").ID, Value: stored})
			}
			coordinator.lock()
			coordinator.table.AcquireShard(time.Now(), 0, 1, records)
			coordinator.journals[0] = newJournal(coordinator, carobpulley.Partition{Topic: carobpulley.TopicJobs}, 1)
			coordinator.ownershipProof = c.proof
			if !c.stored {
				coordinator.table.Submit(time.Now(), spec("y"))
			}
			coordinator.mu.Unlock()
			if a := coordinator.submitAsOwner(t.Context(), spec("x")); a.Code != c.want {
				t.Errorf("answer %+v, want code %d", a, c.want)
			}
		})
	}
}
