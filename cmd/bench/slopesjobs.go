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
	// owning and receiving are two entries.
	owning    = "entry-a"
	receiving = "entry-b"
	// worker is an endpoint.
	worker = "worker-00001"
	// tasksInAll is the number of tasks of which the jobs of a measurement have
	// that many in all.
	tasksInAll = 60_000
)

// specAt returns a job with payloads of its own.
func specAt(i, tasks int) carobpulley.JobSpec {
	s := carobpulley.JobSpec{
		ID:       carobpulley.JobID{Member: memberName(i % designMembers), Key: fmt.Sprintf("key-%032d", i)},
		Service:  serviceName(i % designMembers * servicesPerMember),
		Deadline: origin.Add(time.Minute),
		Payloads: make([][]byte, tasks),
	}
	for k := range s.Payloads {
		s.Payloads[k] = make([]byte, payloadBytes)
	}
	return s
}

// jobsOf returns how many jobs of a size make a measurement.
func jobsOf(tasks int) int {
	return max(500, min(20_000, tasksInAll/tasks))
}

// openTable returns a table that owns its only shard.
func openTable() *owner.Table {
	t := owner.NewTable(owning, 1)
	t.Step(origin, carobpulley.ShardOpened{Epoch: 1, AllAgents: true, AllClaims: true})
	return t
}

func submitJob(t *owner.Table, s carobpulley.JobSpec) {
	t.Step(origin, carobpulley.Submitted{Spec: s, Receiver: receiving})
}

// startJob dispatches all tasks of a job.
func startJob(t *owner.Table, s carobpulley.JobSpec) {
	for k := range s.Payloads {
		if _, ok := t.Start(origin, carobpulley.TaskID{Job: s.ID, Index: k}, worker, 1); !ok {
			panic("a task does not start")
		}
	}
}

// firstAttempt is the attempt number of a task's first dispatch in origin 1.
const firstAttempt = 1<<16 + 1

// finishJob ends all tasks of a job with results of their own.
func finishJob(t *owner.Table, s carobpulley.JobSpec) {
	for k := range s.Payloads {
		t.Step(origin, carobpulley.TaskEnded{
			ID:      carobpulley.TaskID{Job: s.ID, Index: k},
			Attempt: firstAttempt, Phase: carobpulley.PhaseDone, Status: 200, Result: make([]byte, payloadBytes),
		})
	}
}

const fixedPayload = "payloads and results of 256 bytes"

func tableSlopes(context.Context) ([]slope, error) {
	byTasks := func(q, unit, code string, measure func(n int) float64) slope {
		return series(slope{Quantity: q, Unit: unit, Per: perTask, Code: code, Fixed: fixedPayload}, taskSizes, measure)
	}
	running := func(tasks int) float64 {
		n := jobsOf(tasks)
		return heapBytes(func() any {
			t := openTable()
			for i := range n {
				s := specAt(i, tasks)
				submitJob(t, s)
				startJob(t, s)
			}
			return t
		}) / float64(n)
	}
	ended := func(tasks int) float64 {
		n := jobsOf(tasks)
		return heapBytes(func() any { return endedTable(n, tasks) }) / float64(n)
	}
	life := func(tasks int) float64 {
		n := jobsOf(tasks)
		specs := make([]carobpulley.JobSpec, n)
		for i := range specs {
			specs[i] = specAt(i, tasks)
		}
		return cpu(1, func() {
			t := openTable()
			for _, s := range specs {
				submitJob(t, s)
				startJob(t, s)
				finishJob(t, s)
			}
		}) / float64(n)
	}
	keys := slope{Quantity: "keys without answers", Unit: unitBytes, Per: "key", Code: "owner.Table.dropAnswers", Fixed: "jobs of 20 tasks"}
	return []slope{
		byTasks("running job", unitBytes, "owner.Table.submit, Start", running),
		byTasks("ended job with its answer", unitBytes, "owner.Table.retire", ended),
		byTasks("life of a job", unitNanos, "owner.Table.Step: Submitted, Start, TaskEnded", life),
		series(keys, []int{1000, 10_000, 100_000}, func(n int) float64 {
			return heapBytes(func() any {
				// In parts, so that the answers of all jobs are never in memory together.
				t := openTable()
				for i := range n {
					s := specAt(i, 20)
					submitJob(t, s)
					startJob(t, s)
					finishJob(t, s)
					if i%1000 == 999 {
						t.Step(origin.Add(owner.AnswerRetention), carobpulley.Tick{})
					}
				}
				return t
			})
		}),
	}, nil
}

func endedTable(jobs, tasks int) *owner.Table {
	t := openTable()
	for i := range jobs {
		s := specAt(i, tasks)
		submitJob(t, s)
		startJob(t, s)
		finishJob(t, s)
	}
	return t
}

func claimAt(i, tasks int) carobpulley.Claim {
	s := specAt(i, tasks)
	return carobpulley.Claim{Spec: s, Epoch: 1, Digest: owner.Digest(s)}
}

// startedBy returns what agents report of the first tasks of claims.
func startedBy(claims []carobpulley.Claim) []carobpulley.StartedTask {
	var out []carobpulley.StartedTask
	for _, c := range claims {
		for k := range c.Spec.Payloads {
			out = append(out, carobpulley.StartedTask{
				ID:       carobpulley.TaskID{Job: c.Spec.ID, Index: k},
				Endpoint: worker, Incarnation: 1, Phase: carobpulley.PhaseDone, Result: make([]byte, payloadBytes),
			})
		}
	}
	return out
}

func mergeSlopes(context.Context) ([]slope, error) {
	merge := func(jobs, tasks int) float64 {
		claims := make([]carobpulley.Claim, jobs)
		for i := range claims {
			claims[i] = claimAt(i, tasks)
		}
		started := startedBy(claims)
		return cpu(1, func() {
			t := owner.NewTable(owning, 1)
			t.Step(origin, carobpulley.ShardOpened{Epoch: 2, Claims: claims, Started: started, AllAgents: true, AllClaims: true})
		})
	}
	const code = "owner.Table.openShard"
	byJobs := slope{Quantity: "takeover merge", Unit: unitNanos, Per: "job", Code: code, Fixed: "20 tasks per job, all reported by agents"}
	byTasks := slope{Quantity: "takeover merge of a job", Unit: unitNanos, Per: perTask, Code: code, Fixed: "all tasks reported by agents"}
	return []slope{
		series(byJobs, []int{500, 2000, 8000}, func(n int) float64 { return merge(n, 20) }),
		series(byTasks, taskSizes, func(n int) float64 {
			jobs := jobsOf(n)
			return merge(jobs, n) / float64(jobs)
		}),
	}, nil
}

func witnessSlopes(context.Context) ([]slope, error) {
	byTasks := func(q, unit, code string, measure func(n int) float64) slope {
		return series(slope{Quantity: q, Unit: unit, Per: perTask, Code: code, Fixed: fixedPayload}, taskSizes, measure)
	}
	hold := func(now time.Time, answered bool, tasks int) float64 {
		n := jobsOf(tasks)
		return heapBytes(func() any {
			w := owner.NewWitness(1)
			for i := range n {
				c := claimAt(i, tasks)
				w.Hold(origin, c)
				if answered {
					w.Hold(origin, answeredClaim(c))
				}
			}
			w.Expire(now)
			return w
		}) / float64(n)
	}
	const code = "owner.Witness.Hold"
	deadline := origin.Add(time.Minute)
	return []slope{
		byTasks("witnessed claim", unitBytes, code, func(n int) float64 { return hold(origin, false, n) }),
		byTasks("witnessed claim after its deadline", unitBytes, "owner.Witness.Expire", func(n int) float64 { return hold(deadline, false, n) }),
		byTasks("receiver's copy with the answer, after its deadline", unitBytes, "entry.Entry.keep, owner.Witness.Expire",
			func(n int) float64 { return hold(deadline, true, n) }),
		byTasks("receiver's copy, 2 min after the answer", unitBytes, "entry.Entry.keep, owner.Witness.Expire",
			func(n int) float64 { return hold(origin.Add(owner.AnswerRetention), true, n) }),
		heldSlope(),
		series(slope{
			Quantity: "claim on the wire", Unit: unitBytes, Per: "departure named", Code: "inner.ClaimToWire", Fixed: "20 tasks of 256 bytes",
		}, []int{0, 7, carobpulley.MaxGone}, func(n int) float64 {
			c := claimAt(1, 20)
			for i := range n {
				c.Gone = append(c.Gone, owner.AgentKey(worker, uint64(i)))
			}
			return float64(proto.Size(inner.ClaimToWire(c)))
		}),
		byTasks("holding a claim", unitNanos, code, func(tasks int) float64 {
			claims := make([]carobpulley.Claim, jobsOf(tasks))
			for i := range claims {
				claims[i] = claimAt(i, tasks)
			}
			t := cpu(1, func() {
				w := owner.NewWitness(1)
				for _, c := range claims {
					w.Hold(origin, c)
				}
			})
			runtime.KeepAlive(claims)
			return t / float64(len(claims))
		}),
	}, nil
}

// heldSlope measures the copies that a receiver holds after a number of claims
// of 20 tasks that are all answered at once.
func heldSlope() slope {
	s := slope{
		Quantity: "all receiver's copies with answers", Unit: unitBytes, Per: "job", Code: "entry.Entry.keep, owner.Witness.Hold",
		Fixed: "20 tasks of 256 bytes, all answered within 2 min",
	}
	return series(s, []int{5000, 20_000, 40_000}, func(n int) float64 {
		return heapBytes(func() any {
			w := owner.NewWitness(1)
			for i := range n {
				c := claimAt(i, 20)
				if w.Hold(origin, c) {
					w.Hold(origin, answeredClaim(c))
				}
			}
			return w
		})
	})
}

// answeredClaim returns the claim that a receiver keeps of a complete job.
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
