package runs

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"carobpulley"
	"carobpulley/work"
)

// event is a step of the simulation at a time.
type event struct {
	at time.Time
	do func()
}

type events []event

func (q events) Len() int           { return len(q) }
func (q events) Less(i, j int) bool { return q[i].at.Before(q[j].at) }
func (q events) Swap(i, j int)      { q[i], q[j] = q[j], q[i] }
func (q *events) Push(x any)        { *q = append(*q, x.(event)) }

func (q *events) Pop() any {
	old := *q
	last := old[len(old)-1]
	*q = old[:len(old)-1]
	return last
}

// network joins a controller to one endpoint by connections whose answers overtake each other, are
// cut off after the command was carried out, or never come.
type network struct {
	rng      *rand.Rand
	now      time.Time
	queue    events
	c        *Controller
	lossRate float64
	lateRate float64

	// The endpoint's state. Its clock is 2% slow.
	generation int64
	bornAt     time.Time
	down       bool
	sequence   int64
	token      int64
	deadline   int64
	running    map[work.Run]bool
	finished   []work.End
	endedRun   map[string]int64
	// over holds the runs that the controller has told to be over without a listed end.
	over  map[work.Run]work.Outcome
	broke string
}

func (n *network) after(d time.Duration, do func()) {
	heap.Push(&n.queue, event{n.now.Add(d), do})
}

func (n *network) run(until time.Time) {
	for len(n.queue) > 0 && n.queue[0].at.Before(until) && n.broke == "" {
		e := heap.Pop(&n.queue).(event)
		n.now = e.at
		n.expire()
		e.do()
	}
	n.now = until
}

func (n *network) clock() int64 {
	return 5000 + int64(float64(n.now.Sub(n.bornAt).Milliseconds())*(1-ClockSlack))
}

func (n *network) jitter() time.Duration {
	return time.Duration(n.rng.Int64N(int64(8 * time.Millisecond)))
}

// expire ends all runs of the endpoint once its lease has expired.
func (n *network) expire() {
	if n.clock() < n.deadline {
		return
	}
	for key := range n.running {
		n.endRun(key, work.OutcomeLeaseExpired)
	}
}

func (n *network) endRun(key work.Run, outcome work.Outcome) {
	delete(n.running, key)
	n.endedRun[key.Task] = max(n.endedRun[key.Task], key.Number)
	n.finished = append(n.finished, work.End{Sequence: int64(len(n.finished) + 1), Run: key, Outcome: outcome})
}

// call carries a command to the endpoint and its answer back. handle gets an error if there is none.
func (n *network) call(timeout time.Duration, carryOut, handle func(), fail func(error)) {
	transit := n.jitter()
	if n.rng.Float64() < n.lateRate {
		transit = 2*time.Second + time.Duration(n.rng.Int64N(int64(10*time.Second)))
	}
	answered := transit < timeout
	lost := n.rng.Float64() < n.lossRate
	n.after(transit, func() {
		if n.down {
			if answered {
				fail(&carobpulley.Error{Op: "call", Kind: carobpulley.KindGone})
			}
			return
		}
		carryOut()
		generation := n.generation
		switch back := n.jitter(); {
		case lost && answered && n.rng.IntN(2) == 0:
			n.after(back/4, func() { fail(&carobpulley.Error{Op: "call", Kind: carobpulley.KindBroken}) })
			answered = false
		case !lost && answered:
			n.after(back, func() {
				if n.generation != generation || n.down {
					fail(&carobpulley.Error{Op: "call", Kind: carobpulley.KindBroken})
					return
				}
				handle()
			})
			return
		}
		if !answered {
			return
		}
		n.after(timeout-transit, func() { fail(&carobpulley.Error{Op: "call", Kind: carobpulley.KindUnknown}) })
	})
	if !answered {
		n.after(timeout, func() { fail(&carobpulley.Error{Op: "call", Kind: carobpulley.KindUnknown}) })
	}
}

// accept takes over a token and a lease, and reports whether the command is carried out.
func (n *network) accept(l carobpulley.Lease) bool {
	if l.Token < n.token {
		return false
	}
	n.token = l.Token
	n.deadline = max(n.deadline, l.DeadlineMS)
	return true
}

func (n *network) execute() {
	for _, cmd := range n.c.Commands() {
		if cmd.Start != nil {
			n.start(*cmd.Start)
			continue
		}
		n.stop(cmd.Stop)
	}
	n.collect()
}

func (n *network) start(s work.Start) {
	l, refusal := n.c.StartLease(n.now, s.Run)
	if refusal != "" {
		n.collect()
		return
	}
	var answer carobpulley.StartAnswer
	handled := func(err error) {
		n.c.HandleStartReply(n.now, s.Run, l, answer, err)
		n.execute()
		if n.c.StartUncertain(s.Run) {
			n.poll(false)
		}
	}
	n.call(40*time.Millisecond, func() { answer.Refusal = n.carryOutStart(s.Run, l) }, func() { handled(nil) }, handled)
}

func (n *network) carryOutStart(key work.Run, l carobpulley.Lease) string {
	switch {
	case n.running[key]:
		return ""
	case !n.accept(l):
		return carobpulley.RefusalStaleToken
	case l.DeadlineMS <= n.clock():
		return carobpulley.RefusalLeaseExpired
	case key.Number <= n.endedRun[key.Task]:
		return carobpulley.RefusalStaleRun
	}
	if outcome, told := n.over[key]; told {
		n.broke = fmt.Sprintf("%v begins at %v after it was told %s", key, n.now.Sub(testStart), outcome)
	}
	n.running[key] = true
	generation := n.generation
	n.after(time.Duration(20+n.rng.IntN(400))*time.Millisecond, func() {
		if n.running[key] && n.generation == generation {
			n.endRun(key, work.OutcomeDone)
		}
	})
	return ""
}

func (n *network) stop(key work.Run) {
	if !n.c.HasRun(key) {
		return
	}
	again := func(error) { n.after(60*time.Millisecond, func() { n.stop(key) }) }
	l := carobpulley.Lease{Token: n.c.Token()}
	n.call(40*time.Millisecond, func() {
		if n.accept(l) && n.running[key] {
			n.endRun(key, work.OutcomeStopped)
		}
	}, func() { again(nil) }, again)
}

// poll sends a poll; loop is set for the one that is followed by another.
func (n *network) poll(loop bool) {
	sent := n.c.BeginPoll(n.now)
	var lists carobpulley.RunLists
	refusal := ""
	wait := time.Duration(0)
	if loop {
		wait = time.Duration(n.rng.IntN(50)) * time.Millisecond
	}
	done := func(err error) {
		if err != nil || refusal != "" {
			n.c.HandlePollError(n.now, sent, refusal, err)
		} else {
			n.c.HandlePoll(n.now, sent, lists)
		}
		n.execute()
		if loop {
			n.after(time.Millisecond, func() { n.poll(true) })
		}
	}
	n.after(wait, func() {
		n.call(40*time.Millisecond, func() {
			if !n.accept(sent.Lease) {
				refusal = carobpulley.RefusalStaleToken
				return
			}
			lists = n.lists(sent.AckedUpTo)
		}, func() { done(nil) }, done)
	})
}

func (n *network) lists(acked int64) carobpulley.RunLists {
	l := carobpulley.RunLists{Clock: n.clock(), Generation: n.generation}
	for key := range n.running {
		l.Running = append(l.Running, carobpulley.ListedRun{Run: key})
	}
	for _, e := range n.finished {
		if e.Sequence > acked {
			l.Finished = append(l.Finished, e)
		}
	}
	return l
}

// collect reports the ends to the coordinator, which starts a task anew whose run is told over.
func (n *network) collect() {
	sent := n.c.Report(n.now, "c")
	n.c.HandleReportReply(n.now, "c", sent, ReportReply{})
	for _, e := range sent.Ends {
		if e.Sequence > 0 {
			continue
		}
		n.over[e.Run] = e.Outcome
		if n.running[e.Run] {
			n.broke = fmt.Sprintf("%v is at work at %v and told %s", e.Run, n.now.Sub(testStart), e.Outcome)
		}
	}
}

// traffic starts a run or stops one every few milliseconds.
func (n *network) traffic(number int) {
	sent := n.c.Report(n.now, "c")
	starts := []work.Start{newStart(number, 100)}
	var stops []work.Run
	if number > 5 && n.rng.IntN(4) == 0 {
		stops = append(stops, newRun(number-5))
	}
	n.c.HandleDispatch(n.now, Dispatch{Coordinator: "c", Incarnation: 7, Attachment: 1, Echo: sent.SentAt, Starts: starts, Stops: stops})
	n.execute()
	n.after(n.jitter(), func() { n.traffic(number + 1) })
}

// heartbeats sends heartbeats, each of which may arrive after the endpoint has crashed or after a later
// one.
func (n *network) heartbeats() {
	if !n.down {
		n.sequence++
		hb := carobpulley.Heartbeat{
			Instance: "i", Generation: n.generation, Sequence: n.sequence, Service: "s",
			Capacity: work.Resources{CPU: 10_000, MemMB: 1000},
		}
		n.after(time.Duration(n.rng.IntN(150))*time.Millisecond, func() {
			n.c.HandleHeartbeat(n.now, hb)
			n.execute()
		})
	}
	n.after(100*time.Millisecond, n.heartbeats)
}

// crash ends all runs and starts the endpoint anew, without a token, after some time.
func (n *network) crash() {
	n.down = true
	clear(n.running)
	n.after(time.Duration(20+n.rng.IntN(300))*time.Millisecond, func() {
		n.down = false
		n.generation++
		n.bornAt = n.now
		n.sequence, n.token, n.deadline = 0, 0, 0
		n.finished = nil
		clear(n.endedRun)
	})
	n.after(time.Duration(500+n.rng.IntN(1000))*time.Millisecond, n.crash)
}

func (n *network) tick() {
	n.c.Tick(n.now)
	n.execute()
	n.after(40*time.Millisecond, n.tick)
}

// Guards against a run that is told over while it is at work or can still begin, which makes two runs
// of its task at a time: answers that overtake each other, that are cut off or never come, and commands
// that are carried out seconds late.
func TestNoRunIsToldOverWhileItMayBeAtWork(t *testing.T) {
	for seed := uint64(20); seed < 40; seed++ {
		if got := playNetwork(t, seed, false); got != "" {
			t.Errorf("seed %d: %s", seed, got)
		}
	}
}

// Guards against the same where the endpoint crashes and comes back under its id: heartbeats of its
// earlier generation arrive late, and starts that were sent to it reach the next one.
func TestNoRunIsToldOverAtAnEndpointThatIsReborn(t *testing.T) {
	for _, first := range []uint64{52, 117, 180} {
		for seed := first; seed < first+9; seed++ {
			if got := playNetwork(t, seed, true); got != "" {
				t.Errorf("seed %d: %s", seed, got)
			}
		}
	}
}

// playNetwork plays 5 s and returns what broke.
func playNetwork(t *testing.T, seed uint64, crashes bool) string {
	t.Helper()
	f := newFixture(t)
	n := &network{
		rng: rand.New(rand.NewPCG(seed, 33)), now: f.now, c: f.controller, token: f.controller.Token(),
		generation: 1, bornAt: testStart, sequence: 1,
		lossRate: []float64{0.05, 0.5, 0.9}[seed%3], lateRate: []float64{0, 0.05, 0.4, 0}[seed%4],
		running: make(map[work.Run]bool), endedRun: make(map[string]int64), over: make(map[work.Run]work.Outcome),
	}
	if crashes {
		// An order that is carried out seconds late reaches an endpoint that knows no token.
		n.lateRate = 0
		n.after(500*time.Millisecond, n.crash)
		n.heartbeats()
	}
	n.poll(true)
	n.traffic(1)
	n.tick()
	n.run(f.now.Add(5 * time.Second))
	return n.broke
}
