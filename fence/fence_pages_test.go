package fence_test

import (
	"fmt"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"

	"carobpulley"
	"carobpulley/fence"
	"carobpulley/inner"
)

// fenceAll requests all pages of a fence. It returns how often each task was
// reported, and whether all pages were complete.
func fenceAll(g *fence.Gate, now time.Time, shards []carobpulley.Ownership, page int) (map[carobpulley.TaskID]int, bool) {
	out := map[carobpulley.TaskID]int{}
	allComplete := true
	for after := uint64(0); ; {
		got, next, complete := g.Fence(now, shards, after, page)
		for _, s := range got {
			out[s.ID]++
		}
		allComplete = allComplete && complete
		if next <= after {
			return out, allComplete
		}
		after = next
	}
}

// Guards against a page larger than MaxFenceBytes, and against a task that no
// page reports, also if its record moves to the end of the list between two
// pages.
func TestFencePages(t *testing.T) {
	const tasks = 5000
	cfg := config()
	cfg.Slots = 2
	g := fence.New(cfg)
	now := started
	shards := []carobpulley.Ownership{{Shard: 1, Epoch: 1}}
	enter := func(key string) carobpulley.TaskID {
		in := valid(g, now, key, 1)
		if err := g.Enter(now, in); err != nil {
			t.Fatal(err)
		}
		return in.Dispatch.ID
	}
	g.End(now, carobpulley.StartedTask{ID: enter("first"), Phase: carobpulley.PhaseDone, Status: 200})
	running := enter("running")
	now = now.Add(time.Second)
	for i := range tasks {
		id := enter(fmt.Sprint(i))
		g.End(now, carobpulley.StartedTask{ID: id, Phase: carobpulley.PhaseDone, Status: 200, Result: make([]byte, 4<<10)})
	}
	seen := map[carobpulley.TaskID]bool{}
	pages := 0
	for after := uint64(0); pages == 0 || after > 0; pages++ {
		limit := inner.MaxFenceBytes - 1024
		if pages == 0 {
			limit = 1
		}
		got, next, complete := g.Fence(now, shards, after, limit)
		a := inner.FenceAnswer{Fenced: true, Started: got, AgentTime: 1, Incarnation: 1, Complete: complete, Next: next}
		if n := proto.Size(inner.FenceAnswerToWire(a, carobpulley.Shards)); n > inner.MaxFenceBytes || !complete {
			t.Errorf("page of %d bytes, complete %v; want at most %d bytes, complete", n, complete, inner.MaxFenceBytes)
		}
		for _, s := range got {
			seen[s.ID] = true
		}
		after = next
		// The record of the running task is moved before its page is requested.
		now = started.Add(fence.RecordRetention)
	}
	if len(seen) != tasks+2 || !seen[running] || pages < 3 {
		t.Errorf("%d of %d tasks reported in %d pages, running task reported: %v", len(seen), tasks+2, pages, seen[running])
	}
}
