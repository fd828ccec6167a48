package jobs

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"carobpulley"
	"carobpulley/work"
)

// Guards against a message or a stored record with wrong, missing or extreme fields that ends the
// process, or that keeps it from starting.
func TestHostileMessagesDoNotPanic(t *testing.T) {
	for seed := range uint64(300) {
		random := rand.New(rand.NewPCG(seed, 1))
		f := newOwner(t, 3)
		for range 60 {
			f.now = f.now.Add(time.Duration(random.IntN(300)) * time.Millisecond)
			hostileStep(f, random)
			f.takeDispatches()
			f.table.Results()
		}
	}
}

// hostileStep feeds one message with random fields to the table.
func hostileStep(f *fixture, random *rand.Rand) {
	number := func() int64 {
		return []int64{0, 1, 2, 3, -1, 1 << 40, math.MaxInt64, math.MinInt64}[random.IntN(8)]
	}
	run := func() work.Run {
		task := []string{"", ".", work.TaskName(testJob(1, 1, true).ID, 0, 0), work.TaskName(testJob(2, 1, true).ID, 0, 1), "x.0.-1.99999", "0000000000000001.0.7.7"}
		return work.Run{Task: task[random.IntN(len(task))], Number: number()}
	}
	agent := []string{"h0", "h1", "h2", "unknown", ""}[random.IntN(5)]
	r := f.newReport(agent, f.table.FollowingAttachment(agent)-uint64(random.IntN(2)),
		work.End{Sequence: number(), Run: run(), Outcome: []work.Outcome{work.OutcomeDone, work.OutcomeFailed, work.OutcomeLost, work.OutcomeCrashed, "?"}[random.IntN(5)], ElapsedMS: number()})
	r.Running = []work.Run{run(), run()}
	r.Crashes = []work.Crash{{Task: run().Task, Endpoint: agent, Certain: random.IntN(2) == 0, Alone: random.IntN(2) == 0}}
	r.State.Capacity = work.Resources{CPU: number(), MemMB: 1000}
	r.State.Used = work.Resources{CPU: number()}
	switch random.IntN(7) {
	case 0:
		f.table.HandleReport(f.now, r)
	case 1:
		f.table.HandleAttachment(f.now, r, map[int]uint64{int(number()): uint64(number())})
	case 2:
		j := testJob(1+random.IntN(3), 1+random.IntN(3), random.IntN(2) == 0)
		j.Steps[0].Resources = work.Resources{CPU: max(number(), 0)}
		j.Steps[0].EstimateMS = max(number(), 0)
		j.Queue.Stretch = float64(number())
		j.Queue.TargetMS = number()
		if j.Check() == nil {
			f.table.Submit(f.now, j)
		}
	case 3:
		d := &Dispatch{Agent: agent, Incarnation: 1, Attachment: uint64(number()), Starts: []work.Start{{Run: run()}}}
		f.table.HandleDispatchReply(d, r.State)
		f.table.HandleRefusedStarts(f.now, d, []work.Run{run()}, "?")
	case 4:
		f.table.ReleaseShard(0)
		f.table.AcquireShard(f.now, 0, uint64(2+random.IntN(3)), []carobpulley.KeyedRecord{
			{Key: "", Value: []byte("x")},
			{Key: "j", Value: []byte("{")},
			{Key: "s1", Value: []byte(`{"done":[[9,9],[-1,0]],"failed":[[0,-1,5]]}`)},
			{Key: work.KeyJob + "0000000000000001", Value: fmt.Appendf(nil, `{"id":"0000000000000001","steps":[{"count":%d,"need":{}}]}`, number())},
			{Key: work.KeyProgress + "0000000000000001", Value: []byte(`{"state":"?","done":[[0,0]],"crashed":[{"task":"."},{"task":"0000000000000001.0.0.0","certain":true}]}`)},
		})
	case 5:
		if batch, err := f.table.NextBatch(0); err == nil && batch != nil {
			f.table.CommitBatch(f.now, batch)
		}
	default:
		f.table.Tick(f.now)
		f.table.Grow(f.now)
	}
}
