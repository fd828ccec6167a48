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

// fenceAll collects all pages of a fence, each task once.
func fenceAll(g *fence.Gate, now time.Time, shards []carobpulley.Ownership, page int) (map[carobpulley.TaskID]int, bool) {
	out := map[carobpulley.TaskID]int{}
	whole := true
	for after := uint64(0); ; {
		got, next, complete := g.Fence(now, shards, after, page)
		for _, s := range got {
			out[s.ID]++
		}
		whole = whole && complete
		if next <= after {
			return out, whole
		}
		after = next
	}
}

// Guards against an answer to a fence over the bound of its message, and against
// a task that no page reports, be it that its record moves between two pages.
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
			t.Errorf("page of %d bytes, complete %v", n, complete)
		}
		for _, s := range got {
			seen[s.ID] = true
		}
		after = next
		// The record of the running task moves before its page.
		now = started.Add(fence.RecordRetention)
	}
	if len(seen) != tasks+2 || !seen[running] || pages < 3 {
		t.Errorf("%d of %d tasks reported in %d pages, the running one: %v", len(seen), tasks+2, pages, seen[running])
	}
}
