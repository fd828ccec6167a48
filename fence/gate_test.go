package fence_test

import (
	"flag"
	"fmt"
	"os"
	"testing"
	"time"

	"github.com/go-faster/errors"
	"github.com/google/go-cmp/cmp"
	"github.com/google/go-cmp/cmp/cmpopts"
	"pgregory.net/rapid"

	"carobpulley"
	"carobpulley/fence"
)

var started = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// TestMain fixes the seed and sets a number of checks at which the tests detect
// the removal of any one protection.
func TestMain(m *testing.M) {
	for name, value := range map[string]string{"seed": "1", "checks": "1000", "nofailfile": "true"} {
		if err := flag.Set("rapid."+name, value); err != nil {
			panic(err)
		}
	}
	os.Exit(m.Run())
}

func config() fence.Config {
	return fence.Config{Endpoint: "e1", Incarnation: 7, Slots: 1, Started: started}
}

// valid returns a dispatch that a new gate accepts.
func valid(g carobpulley.Gate, now time.Time, key string, attempt int) carobpulley.Entering {
	return carobpulley.Entering{
		Dispatch: carobpulley.Dispatch{
			ID:      carobpulley.TaskID{Job: carobpulley.JobID{Member: "m", Key: key}},
			Attempt: attempt, Shard: 1, Epoch: 1, Endpoint: "e1", Service: "s", Deadline: now.Add(10 * time.Minute),
		},
		Echo: g.Clock(now), Incarnation: 7, ConfigVersion: 1, InService: true,
	}
}

func kind(err error) carobpulley.Kind {
	if e, ok := errors.Into[*carobpulley.Error](err); ok {
		return e.Kind
	}
	return ""
}

// maxAttempts is an upper bound of the attempts in a test.
const maxAttempts = 100

// model predicts every decision of a gate from the complete history.
type model struct {
	epochs    map[int]uint64
	version   uint64
	inService bool
	draining  bool
	startedAt map[carobpulley.TaskID]time.Time
	running   []carobpulley.TaskID
	ended     map[carobpulley.TaskID]bool
	cancelled map[carobpulley.TaskID]bool
	// refused holds the attempts that were reported as not run.
	refused map[attempt]bool
	entered map[attempt]bool
}

type attempt struct {
	id    carobpulley.TaskID
	epoch uint64
	n     int
}

// refuse records an attempt and all earlier attempts of its task as not run.
func (m *model) refuse(a attempt) {
	for ; a.epoch > 0 || a.id.IsRequest(); a.epoch-- {
		for n := range a.n {
			m.refused[attempt{a.id, a.epoch, n + 1}] = true
		}
		if a.epoch == 0 {
			return
		}
		a.n = maxAttempts
	}
}

func (m *model) raise(shard int, epoch uint64) {
	m.epochs[shard] = max(m.epochs[shard], epoch)
}

// allowed reports whether a start is permitted by the rules in docs/design.md,
// and otherwise the reason.
func (m *model) allowed(now time.Time, in carobpulley.Entering, clock int64) (bool, string) {
	d := in.Dispatch
	_, wasStarted := m.startedAt[d.ID]
	age := clock - in.Echo
	switch {
	case d.Endpoint != "e1" || in.Incarnation != 7:
		return false, "wrong agent"
	case wasStarted:
		return false, "started"
	case m.cancelled[d.ID]:
		return false, "cancelled"
	case m.refused[attempt{d.ID, d.Epoch, d.Attempt}]:
		return false, "answered as not run"
	case m.draining:
		return false, "draining"
	case !d.ID.IsRequest() && d.Epoch < m.epochs[d.Shard]:
		return false, "older epoch"
	case !now.Before(d.Deadline):
		return false, "past deadline"
	case age > int64(carobpulley.EchoValidity):
		return false, "stale echo"
	case age < 0:
		return false, "future echo"
	case !m.inService:
		return false, "out of service"
	case len(m.running) >= 1:
		return false, "no slot"
	}
	return true, ""
}

// Guards against a second start, against a start after a query, a fence, a
// cancellation, the removal of the domain, the deadline or a drain, and against
// the refusal of a start that is permitted. Messages arrive late, repeatedly and
// out of order.
func TestGateAgainstModel(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		g := fence.New(config())
		now := started.Add(time.Minute)
		m := &model{
			epochs: map[int]uint64{}, startedAt: map[carobpulley.TaskID]time.Time{}, ended: map[carobpulley.TaskID]bool{},
			cancelled: map[carobpulley.TaskID]bool{}, refused: map[attempt]bool{}, entered: map[attempt]bool{},
		}
		var sent []carobpulley.Entering
		number := func(least, most int, name string) int { return rapid.IntRange(least, most).Draw(t, name) }
		drawID := func() carobpulley.TaskID {
			return carobpulley.TaskID{
				Job:   carobpulley.JobID{Member: "m", Key: fmt.Sprint(number(0, 3, "key"))},
				Index: number(carobpulley.RequestIndex, 0, "index"),
			}
		}
		shardOf := func(id carobpulley.TaskID) (int, uint64) {
			if id.IsRequest() {
				return 0, 0
			}
			return carobpulley.ShardOf(id.Job, 2), uint64(number(1, 3, "epoch"))
		}
		enter := func(in carobpulley.Entering) {
			d := in.Dispatch
			if in.Incarnation == 7 && in.ConfigVersion > m.version {
				m.version, m.inService = in.ConfigVersion, in.InService
			}
			ok, reason := m.allowed(now, in, g.Clock(now))
			err := g.Enter(now, in)
			if ok != (err == nil) {
				t.Fatalf("Enter returned %v, want a start: %v (%s)", err, ok, reason)
			}
			if (kind(err) == carobpulley.KindStarted) != (reason == "started") {
				t.Fatalf("Enter returned %v, want the refusal %q", err, reason)
			}
			switch reason {
			case "":
				m.startedAt[d.ID] = now
				m.entered[attempt{d.ID, d.Epoch, d.Attempt}] = true
				m.running = append(m.running, d.ID)
			case "started":
			case "future echo", "out of service", "no slot":
				m.refuse(attempt{d.ID, d.Epoch, d.Attempt})
			default:
				m.refused[attempt{d.ID, d.Epoch, d.Attempt}] = true
			}
			if reason == "" || reason == "stale echo" || reason == "future echo" || reason == "past deadline" || reason == "out of service" || reason == "no slot" {
				m.raise(d.Shard, d.Epoch)
			}
		}
		check := func(id carobpulley.TaskID, got carobpulley.StartedTask, err error) {
			want := carobpulley.PhaseNotRun
			if _, ok := m.startedAt[id]; ok {
				want = carobpulley.PhaseRunning
				if m.ended[id] {
					want = carobpulley.PhaseDone
				}
			}
			if err != nil || got.Phase != want {
				t.Fatalf("state of %v: got phase %s and error %v, want phase %s", id, got.Phase, err, want)
			}
		}
		t.Repeat(map[string]func(*rapid.T){
			"dispatch": func(*rapid.T) {
				in := valid(g, now, "", len(sent)+1)
				in.Dispatch.ID = drawID()
				in.Dispatch.Shard, in.Dispatch.Epoch = shardOf(in.Dispatch.ID)
				in.Dispatch.Deadline = now.Add(time.Duration(number(0, 3, "deadline")) * time.Second)
				in.Echo = g.Clock(now.Add(time.Duration(number(-1600, 20, "echo")) * time.Millisecond))
				in.ConfigVersion = uint64(number(1, 4, "version"))
				in.InService = in.ConfigVersion != 3
				if number(0, 19, "other agent") == 0 {
					in.Incarnation = 6
				}
				sent = append(sent, in)
				enter(in)
			},
			"replay": func(*rapid.T) {
				if len(sent) > 0 {
					enter(rapid.SampledFrom(sent).Draw(t, "sent"))
				}
			},
			"end": func(*rapid.T) {
				if len(m.running) == 0 {
					return
				}
				id := m.running[0]
				g.End(now, carobpulley.StartedTask{ID: id, Phase: carobpulley.PhaseDone})
				m.running, m.ended[id] = m.running[1:], true
			},
			"unreached": func(*rapid.T) {
				if len(m.running) == 0 {
					return
				}
				id := m.running[0]
				g.End(now, carobpulley.StartedTask{ID: id, Phase: carobpulley.PhaseNotRun})
				for _, in := range sent {
					if d := in.Dispatch; d.ID == id && m.entered[attempt{id, d.Epoch, d.Attempt}] {
						m.refuse(attempt{id, d.Epoch, d.Attempt})
					}
				}
				delete(m.startedAt, id)
				m.running = m.running[1:]
			},
			"query": func(*rapid.T) {
				id := drawID()
				shard, epoch := shardOf(id)
				n := number(1, len(sent)+1, "attempt")
				got, err := g.Query(now, id, shard, epoch, n)
				check(id, got, err)
				m.raise(shard, epoch)
				m.refuse(attempt{id, epoch, n})
			},
			"cancel": func(*rapid.T) {
				id := drawID()
				shard, epoch := shardOf(id)
				got, err := g.Cancel(now, id, shard, epoch)
				check(id, got, err)
				m.raise(shard, epoch)
				m.cancelled[id] = true
			},
			"fence": func(*rapid.T) {
				o := carobpulley.Ownership{Shard: number(0, 1, "shard"), Epoch: uint64(number(1, 3, "epoch"))}
				got, complete := fenceAll(g, now, []carobpulley.Ownership{o}, number(1, 600, "page"))
				m.raise(o.Shard, o.Epoch)
				n := 0
				for id := range m.startedAt {
					if !id.IsRequest() && carobpulley.ShardOf(id.Job, 2) == o.Shard {
						n++
					}
				}
				if len(got) != n || !complete {
					t.Fatalf("Fence returned %d tasks, complete %v; want %d tasks, complete", len(got), complete, n)
				}
			},
			"drain": func(*rapid.T) {
				if number(0, 9, "drain") == 0 {
					g.Drain()
					m.draining = true
				}
			},
			"wait": func(*rapid.T) { now = now.Add(time.Duration(number(1, 2000, "ms")) * time.Millisecond) },
		})
	})
}

// Guards against unbounded memory, against a fence that reports its answer as
// complete although a start record was dropped, and against a task that is
// reported as done without its result.
func TestBoundedMemory(t *testing.T) {
	cfg := config()
	cfg.MaxRecords, cfg.MaxTombstones, cfg.MaxResultBytes = 4, 2, 10
	g := fence.New(cfg)
	now := started
	shards := []carobpulley.Ownership{{Shard: 1, Epoch: 1}}
	run := func(key string) {
		in := valid(g, now, key, 1)
		if err := g.Enter(now, in); err != nil {
			t.Fatal(err)
		}
		g.End(now, carobpulley.StartedTask{ID: in.Dispatch.ID, Phase: carobpulley.PhaseDone, Status: 200, Result: []byte("12345")})
		now = now.Add(time.Second)
	}
	for _, key := range []string{"a", "b", "c", "d"} {
		run(key)
	}
	got, _, complete := g.Fence(now, shards, 0, 1<<30)
	want := []carobpulley.StartedTask{
		{Phase: carobpulley.PhaseFailed, Status: 200, Err: fence.ResultDroppedText},
		{Phase: carobpulley.PhaseFailed, Status: 200, Err: fence.ResultDroppedText},
		{Phase: carobpulley.PhaseDone, Status: 200, Result: []byte("12345")},
		{Phase: carobpulley.PhaseDone, Status: 200, Result: []byte("12345")},
	}
	if diff := cmp.Diff(want, got, cmpopts.IgnoreFields(carobpulley.StartedTask{}, "ID", "Endpoint")); diff != "" || !complete {
		t.Errorf("Fence: complete %v, tasks (-want +got):\n%s", complete, diff)
	}
	run("e")
	if got, _, complete := g.Fence(now, shards, 0, 1<<30); len(got) != 4 || complete {
		t.Errorf("Fence after an early drop: %d records, complete %v; want 4, incomplete", len(got), complete)
	}
	dropped := valid(g, now, "a", 1).Dispatch
	if _, err := g.Query(now, dropped.ID, 1, 1, 1); kind(err) != carobpulley.KindUnknown {
		t.Errorf("query of a dropped record: got %v, want kind %s", err, carobpulley.KindUnknown)
	}
	now = started.Add(fence.RecordRetention)
	if _, _, complete := g.Fence(now, shards, 0, 1<<30); !complete {
		t.Error("Fence is incomplete after the dropped record would have expired")
	}
	now = now.Add(time.Minute)
	g.Fence(now, shards, 0, 1<<30)
	if n, size := g.Records(); n != 0 || size != 0 {
		t.Errorf("%d records and %d bytes of results after the retention period, want none", n, size)
	}
}

// Guards against the start of a refused message whose tombstone was dropped to
// stay within the limit.
func TestDroppedTombstone(t *testing.T) {
	cfg := config()
	cfg.MaxTombstones = 2
	g := fence.New(cfg)
	now := started
	late := valid(g, now, "late", 1)
	for i := range 3 {
		in := valid(g, now, fmt.Sprint(i), 1)
		if i == 0 {
			in = late
		}
		if _, err := g.Query(now, in.Dispatch.ID, 1, 1, 1); err != nil {
			t.Fatal(err)
		}
		now = now.Add(time.Millisecond)
	}
	if err := g.Enter(now, late); kind(err) != carobpulley.KindStaleEcho {
		t.Errorf("late message: got %v, want kind %s", err, carobpulley.KindStaleEcho)
	}
	if err := g.Enter(now, valid(g, now, "new", 1)); err != nil {
		t.Error(err)
	}
}

// Guards against allocations for each refusal, which a flood of late dispatches
// would multiply.
func TestRefusalsAllocateNothing(t *testing.T) {
	g := fence.New(config())
	now := started.Add(time.Hour)
	in := valid(g, now, "k", 1)
	in.Echo = 1
	if n := testing.AllocsPerRun(100, func() { _ = g.Enter(now, in) }); n != 0 {
		t.Errorf("%v allocations per refusal, want none", n)
	}
}

// Guards against protections that refuse a start which the naive gate permits
// while no message is lost, late or repeated.
func TestSameAsNaiveWithoutFaults(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		now := started
		g, naive := fence.New(config()), fence.NewNaive(config())
		var running []carobpulley.TaskID
		for i := range rapid.IntRange(1, 40).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 500).Draw(t, "ms")) * time.Millisecond)
			if len(running) > 0 && rapid.Bool().Draw(t, "end") {
				g.End(now, carobpulley.StartedTask{ID: running[0], Phase: carobpulley.PhaseDone})
				naive.End(now, carobpulley.StartedTask{ID: running[0]})
				running = running[1:]
				continue
			}
			in := valid(g, now, fmt.Sprint(i), 1)
			in.ConfigVersion = uint64(i + 1)
			in.InService = rapid.IntRange(0, 3).Draw(t, "service") > 0
			err := g.Enter(now, in)
			if diff := cmp.Diff(kind(naive.Enter(now, in)), kind(err)); diff != "" {
				t.Fatal(diff)
			}
			if err == nil {
				running = append(running, in.Dispatch.ID)
			}
		}
	})
}
