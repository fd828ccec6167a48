package main

import (
	"context"
	"fmt"
	"math"
	"time"

	"google.golang.org/protobuf/proto"

	"carobpulley"
	"carobpulley/fence"
	"carobpulley/inner"
)

// gateRecords are numbers of start records up to three times those of an agent
// at the design size.
var gateRecords = []int{2000, 20_000, 200_000}

// openGate returns a gate that lets tasks in.
func openGate() *fence.Gate {
	g := fence.New(fence.Config{Endpoint: worker, Incarnation: 1, Slots: designSlots, Started: origin})
	g.Configure(1, true)
	return g
}

// pass starts and ends a task with a result of the given size.
func pass(g *fence.Gate, now time.Time, i, result int) {
	in := carobpulley.Entering{
		Dispatch: carobpulley.Dispatch{
			ID: carobpulley.TaskID{
				Job:   carobpulley.JobID{Member: memberName(i / 20 % designMembers), Key: fmt.Sprintf("key-%032d", i/20)},
				Index: i % 20,
			},
			Attempt: firstAttempt, Shard: i / 20 % designShards, Epoch: 1, Endpoint: worker, Deadline: now.Add(time.Minute),
		},
		Echo: g.Clock(now), Incarnation: 1, ConfigVersion: 1, InService: true,
	}
	if err := g.Enter(now, in); err != nil {
		panic(err)
	}
	t := carobpulley.StartedTask{ID: in.Dispatch.ID, Endpoint: worker, Incarnation: 1, Phase: carobpulley.PhaseDone, Status: 200}
	if result > 0 {
		t.Result = make([]byte, result)
	}
	g.End(now, t)
}

func filledGate(records, result int) *fence.Gate {
	g := openGate()
	for i := range records {
		pass(g, origin, i, result)
	}
	return g
}

// largestFence returns the size of the largest page that a gate reports.
func largestFence(g *fence.Gate) float64 {
	shards := make([]carobpulley.Ownership, designShards)
	for i := range shards {
		shards[i] = carobpulley.Ownership{Shard: i, Epoch: 1}
	}
	largest := 0
	for after, more := uint64(0), true; more; more = after > 0 {
		var a inner.FenceAnswer
		a.Started, a.Next, a.Complete = g.Fence(origin, shards, after, inner.MaxFenceBytes-1024)
		largest = max(largest, proto.Size(inner.FenceAnswerToWire(a, designShards)))
		after = a.Next
	}
	return float64(largest)
}

func gateSlopes(context.Context) ([]slope, error) {
	byRecords := func(q, unit, code, fixed string, measure func(n int) float64) slope {
		s := slope{Quantity: q, Unit: unit, Per: "start record", Code: code, Fixed: fixed}
		return series(s, gateRecords, measure)
	}
	const enter = "fence.Gate.Enter, End"
	size := func(result int) func(n int) float64 {
		return func(n int) float64 {
			return heapBytes(func() any { return filledGate(n, result) })
		}
	}
	return []slope{
		byRecords("gate", unitBytes, enter, "no results, each task with a key of its own", size(0)),
		byRecords("gate with results", unitBytes, enter, "results of 256 bytes, each task with a key of its own", size(payloadBytes)),
		byRecords("start and end at the gate", unitNanos, enter, "records present before", func(n int) float64 {
			g := filledGate(n, 0)
			next := n
			const tasks = 2000
			return cpu(1, func() {
				for range tasks {
					pass(g, origin, next, 0)
					next++
				}
			}) / tasks
		}),
		byRecords("fence of a ninth of the shards", unitNanos, "fence.Gate.Fence", "records present before", func(n int) float64 {
			g := filledGate(n, 0)
			shards := ninthOfShards()
			return cpu(1, func() { g.Fence(origin, shards, 0, math.MaxInt) })
		}),
		byRecords("largest answer to a fence", unitBytes, "agent.Agent.Fence, fence.Gate.Fence", "results of 256 bytes, all shards", func(n int) float64 {
			return largestFence(filledGate(n, payloadBytes))
		}),
	}, nil
}
