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

// startRecordCounts are the numbers of start records at which the gate is measured, up
// to three times those of an agent at the design size.
var startRecordCounts = []int{2000, 20_000, 200_000}

// newOpenGate returns a gate that admits tasks.
func newOpenGate() *fence.Gate {
	g := fence.New(fence.Config{Endpoint: endpointID, Incarnation: 1, Slots: designSlots, Started: virtualStart})
	g.Configure(1, true)
	return g
}

// startAndEndTask passes task i through a gate and ends it with a result of the given
// size.
func startAndEndTask(g *fence.Gate, now time.Time, i, result int) {
	in := carobpulley.Entering{
		Dispatch: carobpulley.Dispatch{
			ID: carobpulley.TaskID{
				Job:   carobpulley.JobID{Member: memberName(i / 20 % designMembers), Key: fmt.Sprintf("key-%032d", i/20)},
				Index: i % 20,
			},
			Attempt: firstAttempt, Shard: i / 20 % designShards, Epoch: 1, Endpoint: endpointID, Deadline: now.Add(time.Minute),
		},
		Echo: g.Clock(now), Incarnation: 1, ConfigVersion: 1, InService: true,
	}
	if err := g.Enter(now, in); err != nil {
		panic(err)
	}
	t := carobpulley.StartedTask{ID: in.Dispatch.ID, Endpoint: endpointID, Incarnation: 1, Phase: carobpulley.PhaseDone, Status: 200}
	if result > 0 {
		t.Result = make([]byte, result)
	}
	g.End(now, t)
}

// newFilledGate returns a gate with a number of start records.
func newFilledGate(records, result int) *fence.Gate {
	g := newOpenGate()
	for i := range records {
		startAndEndTask(g, virtualStart, i, result)
	}
	return g
}

// largestFencePage returns the encoded size of the largest page in which a gate answers
// a fence request.
func largestFencePage(g *fence.Gate) float64 {
	shards := make([]carobpulley.Ownership, designShards)
	for i := range shards {
		shards[i] = carobpulley.Ownership{Shard: i, Epoch: 1}
	}
	largest := 0
	for after, more := uint64(0), true; more; more = after > 0 {
		var a inner.FenceAnswer
		a.Started, a.Next, a.Complete = g.Fence(virtualStart, shards, after, inner.MaxFenceBytes-1024)
		largest = max(largest, proto.Size(inner.FenceAnswerToWire(a, designShards)))
		after = a.Next
	}
	return float64(largest)
}

func measureGate(context.Context) ([]measurement, error) {
	byRecords := func(quantity, unit, code, fixed string, measure func(n int) float64) measurement {
		s := measurement{Quantity: quantity, Unit: unit, Per: "start record", Code: code, Fixed: fixed}
		return measureSizes(s, startRecordCounts, measure)
	}
	const enter = "fence.Gate.Enter, End"
	size := func(result int) func(n int) float64 {
		return func(n int) float64 {
			return heapBytes(func() any { return newFilledGate(n, result) })
		}
	}
	return []measurement{
		byRecords("gate", unitBytes, enter, "no results, each task with a key of its own", size(0)),
		byRecords("gate with results", unitBytes, enter, "results of 256 bytes, each task with a key of its own", size(payloadBytes)),
		byRecords("start and end at the gate", unitNanos, enter, "records present before", func(n int) float64 {
			g := newFilledGate(n, 0)
			next := n
			const tasks = 2000
			return cpuNanos(1, func() {
				for range tasks {
					startAndEndTask(g, virtualStart, next, 0)
					next++
				}
			}) / tasks
		}),
		byRecords("fence of a ninth of the shards", unitNanos, "fence.Gate.Fence", "records present before", func(n int) float64 {
			g := newFilledGate(n, 0)
			shards := ninthOfShards()
			return cpuNanos(1, func() { g.Fence(virtualStart, shards, 0, math.MaxInt) })
		}),
		byRecords("largest answer to a fence", unitBytes, "agent.Agent.Fence, fence.Gate.Fence", "results of 256 bytes, all shards", func(n int) float64 {
			return largestFencePage(newFilledGate(n, payloadBytes))
		}),
	}, nil
}
