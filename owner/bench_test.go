package owner

import (
	"fmt"
	"runtime"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"github.com/google/go-cmp/cmp/cmpopts"

	"carobpulley"
)

// runJob runs a job from its submission to its end and returns the number of events.
func runJob(tab carobpulley.JobTable, now time.Time, s carobpulley.JobSpec) (events int) {
	tab.Step(now, carobpulley.Submitted{Spec: s, Receiver: "b"})
	for i := range s.Payloads {
		id := carobpulley.TaskID{Job: s.ID, Index: i}
		d, ok := tab.Start(now, id, "endpoint", 1)
		if !ok {
			panic(fmt.Sprint("not started: ", id))
		}
		tab.Step(now, carobpulley.TaskEnded{
			ID: id, Attempt: d.Attempt, Phase: carobpulley.PhaseDone, Status: 200, Result: s.Payloads[i],
		})
	}
	return 1 + 2*len(s.Payloads)
}

// BenchmarkStep measures the cost of an event with many stored jobs.
func BenchmarkStep(b *testing.B) {
	for _, stored := range []int{1_000, 100_000, 1_000_000} {
		for _, tasks := range []int{1, 100} {
			if stored*tasks > 10_000_000 {
				continue
			}
			b.Run(fmt.Sprintf("stored=%d/tasks=%d", stored, tasks), func(b *testing.B) {
				tab := newOpenTable()
				for i := range stored {
					tab.Step(start, carobpulley.Submitted{Spec: spec(fmt.Sprint("s", i), 1), Receiver: "b"})
				}
				jobs := make([]carobpulley.JobSpec, b.N)
				for i := range jobs {
					jobs[i] = spec(fmt.Sprint("k", i), tasks)
				}
				events := 0
				b.ReportAllocs()
				b.ResetTimer()
				for i := range jobs {
					events += runJob(tab, start, jobs[i])
				}
				b.ReportMetric(float64(b.Elapsed().Nanoseconds())/float64(events), "ns/event")
			})
		}
	}
}

// BenchmarkStored measures the memory of a stored job of ten tasks.
func BenchmarkStored(b *testing.B) {
	const jobs = 50_000
	for _, state := range []string{"running", "answer", "key"} {
		b.Run(state, func(b *testing.B) {
			for range b.N {
				var before, after runtime.MemStats
				runtime.GC()
				runtime.ReadMemStats(&before)
				tab := newOpenTable()
				for i := range jobs {
					s := spec(fmt.Sprintf("key-%08d", i), 10)
					if state == "running" {
						tab.Step(start, carobpulley.Submitted{Spec: s, Receiver: "b"})
						continue
					}
					runJob(tab, start, s)
				}
				if state == "key" {
					tab.Step(start.Add(AnswerRetention), carobpulley.Tick{})
				}
				runtime.GC()
				runtime.ReadMemStats(&after)
				b.ReportMetric(float64(after.HeapAlloc-before.HeapAlloc)/jobs, "B/job")
				runtime.KeepAlive(tab)
			}
		})
	}
}

// Guards against answers that differ from those of Naive in the absence of failures.
func TestTableAgainstNaive(t *testing.T) {
	table, naive := newOpenTable(), NewNaive(1)
	naive.Step(start, carobpulley.ShardOpened{Epoch: 1})
	for i := range 50 {
		s := spec(fmt.Sprint("k", i), 1+i%5)
		for _, tab := range []carobpulley.JobTable{table, naive} {
			if i%3 == 0 {
				tab.Step(start, carobpulley.Submitted{Spec: s, Receiver: "b"})
				tab.Step(start, carobpulley.Cancelled{Job: s.ID})
				tab.Step(start, carobpulley.ClaimHeld{Job: s.ID, Answer: true})
				continue
			}
			runJob(tab, start, s)
		}
		want, wantErr := naive.Answer(start, s.ID)
		got, err := table.Answer(start, s.ID)
		if d := cmp.Diff(want, got, cmpopts.IgnoreFields(carobpulley.Task{}, "Attempt", "Err")); d != "" || err != nil || wantErr != nil {
			t.Errorf("answers differ (-want +got):\n%s%v %v", d, wantErr, err)
		}
	}
}
