package main

import (
	"context"
	"fmt"
	"runtime"
	"time"

	"google.golang.org/protobuf/proto"

	"carobpulley"
	"carobpulley/inner"
	"carobpulley/owner"
)

const (
	// ownerEntry and receiverEntry are the names of two entries.
	ownerEntry    = "entry-a"
	receiverEntry = "entry-b"
	// endpointID is the ID of an endpoint.
	endpointID = "worker-00001"
	// totalTasks is the intended number of tasks in all jobs of a measurement.
	totalTasks = 60_000
)

// newJobSpec returns a job whose payloads are not shared with other jobs.
func newJobSpec(i, tasks int) carobpulley.JobSpec {
	s := carobpulley.JobSpec{
		ID:       carobpulley.JobID{Member: memberName(i % designMembers), Key: fmt.Sprintf("key-%032d", i)},
		Service:  serviceName(i % designMembers * servicesPerMember),
		Deadline: virtualStart.Add(time.Minute),
		Payloads: make([][]byte, tasks),
	}
	for k := range s.Payloads {
		s.Payloads[k] = make([]byte, payloadBytes)
	}
	return s
}

// jobCount returns the number of jobs in a measurement, given the tasks per job.
func jobCount(tasks int) int {
	return max(500, min(20_000, totalTasks/tasks))
}

// newOpenTable returns a table with one shard, which it owns.
func newOpenTable() *owner.Table {
	t := owner.NewTable(ownerEntry, 1)
	t.Step(virtualStart, carobpulley.ShardOpened{Epoch: 1, AllAgents: true, AllClaims: true})
	return t
}

// submitJob adds a job to a table.
func submitJob(t *owner.Table, s carobpulley.JobSpec) {
	t.Step(virtualStart, carobpulley.Submitted{Spec: s, Receiver: receiverEntry})
}

// dispatchJob dispatches all tasks of a job.
func dispatchJob(t *owner.Table, s carobpulley.JobSpec) {
	for k := range s.Payloads {
		if _, ok := t.Start(virtualStart, carobpulley.TaskID{Job: s.ID, Index: k}, endpointID, 1); !ok {
			panic("a task was not started")
		}
	}
}

// firstAttempt is the attempt number of a task's first dispatch in epoch 1.
const firstAttempt = 1<<16 + 1

// finishJob ends all tasks of a job, each with a result that is not shared.
func finishJob(t *owner.Table, s carobpulley.JobSpec) {
	for k := range s.Payloads {
		t.Step(virtualStart, carobpulley.TaskEnded{
			ID:      carobpulley.TaskID{Job: s.ID, Index: k},
			Attempt: firstAttempt, Phase: carobpulley.PhaseDone, Status: 200, Result: make([]byte, payloadBytes),
		})
	}
}

const fixedPayload = "payloads and results of 256 bytes"

func measureTable(context.Context) ([]measurement, error) {
	byTasks := func(quantity, unit, code string, measure func(n int) float64) measurement {
		return measureSizes(measurement{Quantity: quantity, Unit: unit, Per: perTaskOfJob, Code: code, Fixed: fixedPayload}, taskSizes, measure)
	}
	running := func(tasks int) float64 {
		n := jobCount(tasks)
		return heapBytes(func() any {
			t := newOpenTable()
			for i := range n {
				s := newJobSpec(i, tasks)
				submitJob(t, s)
				dispatchJob(t, s)
			}
			return t
		}) / float64(n)
	}
	ended := func(tasks int) float64 {
		n := jobCount(tasks)
		return heapBytes(func() any { return newEndedTable(n, tasks) }) / float64(n)
	}
	lifecycle := func(tasks int) float64 {
		n := jobCount(tasks)
		specs := make([]carobpulley.JobSpec, n)
		for i := range specs {
			specs[i] = newJobSpec(i, tasks)
		}
		return cpuNanos(1, func() {
			t := newOpenTable()
			for _, s := range specs {
				submitJob(t, s)
				dispatchJob(t, s)
				finishJob(t, s)
			}
		}) / float64(n)
	}
	keys := measurement{Quantity: "keys without answers", Unit: unitBytes, Per: "key", Code: "owner.Table.dropAnswers", Fixed: "jobs of 20 tasks"}
	return []measurement{
		byTasks("running job", unitBytes, "owner.Table.submit, Start", running),
		byTasks("ended job with its answer", unitBytes, "owner.Table.retire", ended),
		byTasks("life of a job", unitNanos, "owner.Table.Step: Submitted, Start, TaskEnded", lifecycle),
		measureSizes(keys, []int{1000, 10_000, 100_000}, func(n int) float64 {
			return heapBytes(func() any {
				// Answers are dropped after every 1,000 jobs, so that those of all jobs are
				// never in memory at the same time.
				t := newOpenTable()
				for i := range n {
					s := newJobSpec(i, 20)
					submitJob(t, s)
					dispatchJob(t, s)
					finishJob(t, s)
					if i%1000 == 999 {
						t.Step(virtualStart.Add(owner.AnswerRetention), carobpulley.Tick{})
					}
				}
				return t
			})
		}),
	}, nil
}

// newEndedTable returns a table in which all jobs have ended.
func newEndedTable(jobs, tasks int) *owner.Table {
	t := newOpenTable()
	for i := range jobs {
		s := newJobSpec(i, tasks)
		submitJob(t, s)
		dispatchJob(t, s)
		finishJob(t, s)
	}
	return t
}

// newClaim returns the claim of a job.
func newClaim(i, tasks int) carobpulley.Claim {
	s := newJobSpec(i, tasks)
	return carobpulley.Claim{Spec: s, Epoch: 1, Digest: owner.Digest(s)}
}

// startedTasks returns the records that agents report of all tasks of the claims.
func startedTasks(claims []carobpulley.Claim) []carobpulley.StartedTask {
	var out []carobpulley.StartedTask
	for _, c := range claims {
		for k := range c.Spec.Payloads {
			out = append(out, carobpulley.StartedTask{
				ID:       carobpulley.TaskID{Job: c.Spec.ID, Index: k},
				Endpoint: endpointID, Incarnation: 1, Phase: carobpulley.PhaseDone, Result: make([]byte, payloadBytes),
			})
		}
	}
	return out
}

func measureMerge(context.Context) ([]measurement, error) {
	merge := func(jobs, tasks int) float64 {
		claims := make([]carobpulley.Claim, jobs)
		for i := range claims {
			claims[i] = newClaim(i, tasks)
		}
		started := startedTasks(claims)
		return cpuNanos(1, func() {
			t := owner.NewTable(ownerEntry, 1)
			t.Step(virtualStart, carobpulley.ShardOpened{Epoch: 2, Claims: claims, Started: started, AllAgents: true, AllClaims: true})
		})
	}
	const code = "owner.Table.openShard"
	byJobs := measurement{Quantity: "takeover merge", Unit: unitNanos, Per: "job", Code: code, Fixed: "20 tasks per job, all reported by agents"}
	byTasks := measurement{Quantity: "takeover merge of a job", Unit: unitNanos, Per: perTaskOfJob, Code: code, Fixed: "all tasks reported by agents"}
	return []measurement{
		measureSizes(byJobs, []int{500, 2000, 8000}, func(n int) float64 { return merge(n, 20) }),
		measureSizes(byTasks, taskSizes, func(n int) float64 {
			jobs := jobCount(n)
			return merge(jobs, n) / float64(jobs)
		}),
	}, nil
}

func measureWitness(context.Context) ([]measurement, error) {
	byTasks := func(quantity, unit, code string, measure func(n int) float64) measurement {
		return measureSizes(measurement{Quantity: quantity, Unit: unit, Per: perTaskOfJob, Code: code, Fixed: fixedPayload}, taskSizes, measure)
	}
	hold := func(now time.Time, answered bool, tasks int) float64 {
		n := jobCount(tasks)
		return heapBytes(func() any {
			w := owner.NewWitness(1)
			for i := range n {
				c := newClaim(i, tasks)
				w.Hold(virtualStart, c)
				if answered {
					w.Hold(virtualStart, answeredClaim(c))
				}
			}
			w.Expire(now)
			return w
		}) / float64(n)
	}
	const code = "owner.Witness.Hold"
	deadline := virtualStart.Add(time.Minute)
	return []measurement{
		byTasks("witnessed claim", unitBytes, code, func(n int) float64 { return hold(virtualStart, false, n) }),
		byTasks("witnessed claim after its deadline", unitBytes, "owner.Witness.Expire", func(n int) float64 { return hold(deadline, false, n) }),
		byTasks("receiver's copy with the answer, after its deadline", unitBytes, "entry.Entry.keep, owner.Witness.Expire",
			func(n int) float64 { return hold(deadline, true, n) }),
		byTasks("receiver's copy, 2 min after the answer", unitBytes, "entry.Entry.keep, owner.Witness.Expire",
			func(n int) float64 { return hold(virtualStart.Add(owner.AnswerRetention), true, n) }),
		measureReceiverCopies(),
		measureSizes(measurement{
			Quantity: "claim on the wire", Unit: unitBytes, Per: "departure named", Code: "inner.ClaimToWire", Fixed: "20 tasks of 256 bytes",
		}, []int{0, 7, carobpulley.MaxGone}, func(n int) float64 {
			c := newClaim(1, 20)
			for i := range n {
				c.Gone = append(c.Gone, owner.AgentKey(endpointID, uint64(i)))
			}
			return float64(proto.Size(inner.ClaimToWire(c)))
		}),
		byTasks("holding a claim", unitNanos, code, func(tasks int) float64 {
			claims := make([]carobpulley.Claim, jobCount(tasks))
			for i := range claims {
				claims[i] = newClaim(i, tasks)
			}
			t := cpuNanos(1, func() {
				w := owner.NewWitness(1)
				for _, c := range claims {
					w.Hold(virtualStart, c)
				}
			})
			runtime.KeepAlive(claims)
			return t / float64(len(claims))
		}),
	}, nil
}

// measureReceiverCopies measures the copies that a receiver holds after a number of
// claims of 20 tasks, all of which are answered at the same time.
func measureReceiverCopies() measurement {
	s := measurement{
		Quantity: "all receiver's copies with answers", Unit: unitBytes, Per: "job", Code: "entry.Entry.keep, owner.Witness.Hold",
		Fixed: "20 tasks of 256 bytes, all answered within 2 min",
	}
	return measureSizes(s, []int{5000, 20_000, 40_000}, func(n int) float64 {
		return heapBytes(func() any {
			w := owner.NewWitness(1)
			for i := range n {
				c := newClaim(i, 20)
				if w.Hold(virtualStart, c) {
					w.Hold(virtualStart, answeredClaim(c))
				}
			}
			return w
		})
	})
}

// answeredClaim returns the claim that a receiver keeps for a complete job: it has the
// answer and no payloads.
func answeredClaim(c carobpulley.Claim) carobpulley.Claim {
	a := &carobpulley.Answer{ID: c.Spec.ID, Service: c.Spec.Service, Outcome: carobpulley.OutcomeComplete}
	for k := range c.Spec.Payloads {
		a.Tasks = append(a.Tasks, carobpulley.Task{
			Index: k, Phase: carobpulley.PhaseDone, Status: 200, Result: make([]byte, payloadBytes),
		})
	}
	c.Answer = a
	c.Spec.Payloads = nil
	return c
}
