package runs

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"carobpulley"
	"carobpulley/work"
)

// Guards against an echo that no report of this process can have carried, as after a damaged
// message: it would keep runs alive without a proof of their coordinator.
func TestEchoOfTheFutureIsRejected(t *testing.T) {
	f := newFixture(t)
	for _, echo := range []int64{f.controller.encodeTime(f.now.Add(time.Second)), math.MaxInt64} {
		_, stale := f.controller.HandleDispatch(f.now, Dispatch{Coordinator: "c", Incarnation: 7, Attachment: 1, Echo: echo, Starts: []work.Start{newStart(1, 100)}})
		if !stale {
			t.Errorf("a dispatch with the echo %d was accepted", echo)
		}
	}
}

// Guards against an agent that was paused between its decision on a start and the call to the
// endpoint: the permission to start has run out meanwhile.
func TestPausedAgentDoesNotSendTheStart(t *testing.T) {
	for _, pause := range []time.Duration{0, 100 * time.Millisecond, orphanTimeout + time.Millisecond, 3 * time.Second, 10 * time.Second} {
		f := newFixture(t)
		f.dispatch("c", newStart(1, 100))
		if got := len(f.controller.Commands()); got != 1 {
			t.Fatalf("%d commands, want one start", got)
		}
		f.advance(pause)
		lease, refusal := f.controller.StartLease(f.now, newRun(1))
		ok := refusal == ""
		if want := pause < orphanTimeout; ok != want {
			t.Errorf("after a pause of %s the start is sent: %v, want %v", pause, ok, want)
		}
		if ok && lease.DeadlineMS == 0 {
			t.Errorf("after a pause of %s the start has no deadline", pause)
		}
		if !ok && f.controller.HasRun(newRun(1)) {
			t.Errorf("after a pause of %s the run is not reported as not started", pause)
		}
	}
}

// Guards against an order that goes out twice: a dispatch was sent again while its first copy was
// delayed, the second copy was refused, and the coordinator has placed the task elsewhere when the
// first one arrives.
func TestRefusedStartStaysRefused(t *testing.T) {
	f := newFixture(t)
	big := newStart(1, 100)
	big.Resources = f.controller.heartbeat.Capacity
	f.dispatch("c", big)
	if got := len(f.controller.Commands()); got != 1 {
		t.Fatalf("%d commands, want one start", got)
	}
	late := newStart(2, 100)
	d := Dispatch{Coordinator: "c", Incarnation: 7, Attachment: 1, Echo: f.echo, Starts: []work.Start{late}}
	if refused, _ := f.controller.HandleDispatch(f.now, d); len(refused) != 1 {
		t.Fatalf("refused starts: %v, want one", refused)
	}
	f.controller.endRun(f.now, big.Run, f.controller.runs[big.Run], work.OutcomeDone)
	f.advance(MaxEchoAge / 2)
	if refused, _ := f.controller.HandleDispatch(f.now, d); len(refused) != 1 || f.controller.HasRun(late.Run) {
		t.Errorf("the first copy of a refused dispatch started its run; refused: %v", refused)
	}
}

// Guards against a coordinator that has restarted and stops the runs of its shards as unknown, since
// it attaches before it owns them again: their tasks would be started again elsewhere.
func TestRunsAreListedToTheOwnerOfTheirShard(t *testing.T) {
	f := newFixture(t)
	start := newStart(1, 100)
	start.Durable = true
	shard := f.controller.shardOf(start.Run.Task)
	f.attach("owner", 1, map[int]uint64{shard: 3})
	f.dispatch("owner", start)
	f.confirmStarts()
	for attachment, tt := range []struct {
		epochs map[int]uint64
		listed int
	}{{nil, 0}, {map[int]uint64{shard: 4}, 1}} {
		a := AttachRequest{Coordinator: "owner", Incarnation: 8, Addr: "127.0.0.1:1", Attachment: uint64(attachment) + 1, Epochs: tt.epochs}
		if !f.controller.HandleAttach(f.now, a) {
			t.Fatal("the attachment was refused")
		}
		if got := len(f.controller.FullReport(f.now, a).Running); got != tt.listed {
			t.Errorf("attached with the shards %v: %d runs listed, want %d", tt.epochs, got, tt.listed)
		}
	}
}

// Guards against runs that are stopped when a new owner of their shard attaches, before its first
// answer to a report proves it alive; without such an answer they are stopped when the proof of the
// earlier owner has run out.
func TestRunsGoOnWhenTheirShardGetsAnOwner(t *testing.T) {
	f := newFixture(t)
	start := newStart(1, 100)
	start.Durable = true
	shard := f.controller.shardOf(start.Run.Task)
	f.attach("earlier", 1, map[int]uint64{shard: 3})
	f.dispatch("earlier", start)
	f.confirmStarts()
	attach := AttachRequest{Coordinator: "later", Incarnation: 8, Addr: "127.0.0.1:1", Attachment: 1, Epochs: map[int]uint64{shard: 4}}
	if !f.controller.HandleAttach(f.now, attach) {
		t.Fatal("the attachment was refused")
	}
	for _, tt := range []struct {
		after time.Duration
		stops int
	}{{orphanTimeout / 2, 0}, {orphanTimeout, 1}} {
		f.advance(tt.after)
		f.controller.Tick(f.now)
		if got := len(f.controller.Commands()); got != tt.stops {
			t.Errorf("%s later: %d stops, want %d", tt.after, got, tt.stops)
		}
	}
}

// Guards against a message with wrong, missing or extreme fields that ends the process.
func TestHostileMessagesDoNotPanic(t *testing.T) {
	for seed := range uint64(300) {
		random := rand.New(rand.NewPCG(seed, 1))
		f := newFixture(t)
		for range 60 {
			f.advance(time.Duration(random.IntN(400)) * time.Millisecond)
			hostileStep(f, random)
			f.controller.Commands()
		}
	}
}

// hostileStep feeds one message with random fields to the controller.
func hostileStep(f *fixture, random *rand.Rand) {
	number := func() int64 {
		return []int64{0, 1, 2, 3, -1, 1 << 40, math.MaxInt64, math.MinInt64}[random.IntN(8)]
	}
	name := func() string { return []string{"", "c", "owner", "x"}[random.IntN(4)] }
	run := func() work.Run {
		return work.Run{Task: []string{"", ".", "0000000000000001.0.0.0", "x.0.-1.99999", fmt.Sprint(number())}[random.IntN(5)], Number: number()}
	}
	resources := work.Resources{CPU: number(), MemMB: number(), GPU: number()}
	switch random.IntN(8) {
	case 0:
		f.controller.HandleAttach(f.now, AttachRequest{Coordinator: name(), Incarnation: uint64(number()), Attachment: uint64(number()), Epochs: map[int]uint64{int(number()): uint64(number())}})
	case 1:
		f.controller.HandleDispatch(f.now, Dispatch{
			Coordinator: name(), Incarnation: 7, Attachment: uint64(number()), Echo: []int64{f.echo, number()}[random.IntN(2)],
			Starts: []work.Start{{Run: run(), Resources: resources, Durable: random.IntN(2) == 0, Suspect: random.IntN(2) == 0, SlackMS: number(), WaitMS: number()}},
			Stops:  []work.Run{run()}, Acked: []int64{number()}, AckedGeneration: f.controller.EndpointGeneration(),
		})
	case 2:
		f.controller.HandleHeartbeat(f.now, carobpulley.Heartbeat{Instance: name(), Generation: number(), Sequence: number(), Capacity: resources, Draining: random.IntN(2) == 0})
	case 3:
		sent := f.controller.BeginPoll(f.now)
		f.controller.HandlePoll(f.now, sent, carobpulley.RunLists{
			Clock: number(), Generation: number(), Running: []carobpulley.ListedRun{{Run: run()}},
			Finished: []work.End{{Sequence: number(), Run: run(), Outcome: work.Outcome(name())}},
		})
	case 4:
		f.controller.HandlePollError(f.now, f.controller.BeginPoll(f.now), []string{"", carobpulley.RefusalStaleToken, carobpulley.RefusalWrongInstance, "?"}[random.IntN(4)], []error{nil, &carobpulley.Error{Kind: carobpulley.KindGone}}[random.IntN(2)])
	case 5:
		f.controller.HandleStartReply(f.now, run(), f.controller.Lease(f.now), carobpulley.StartAnswer{Clock: number(), Refusal: name()},
			[]error{nil, &carobpulley.Error{Kind: carobpulley.KindBroken}, &carobpulley.Error{Kind: carobpulley.KindGone}}[random.IntN(3)])
	case 6:
		sent := f.controller.Report(f.now, name())
		f.controller.HandleReportReply(f.now, name(), sent, ReportReply{Epochs: map[int]uint64{int(number()): uint64(number())}, Acked: []int64{number()}})
		f.controller.Release(name())
	default:
		f.controller.HandleShutdown(f.now, name())
		f.controller.Tick(f.now)
	}
}
