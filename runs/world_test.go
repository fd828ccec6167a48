package runs

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"time"

	"carobpulley"
	"carobpulley/work"
)

// liveRun is a run at the endpoint, with the coordinator's process that started it.
type liveRun struct {
	owner string
	cpu   int64
}

// owned is a run of a coordinator's process.
type owned struct {
	owner string
	key   work.Run
}

// world is an agent beside one endpoint with two coordinators, c and d, that number their runs alike,
// and the owner of the shard, o. Commands of the agent to the endpoint may be late, unanswered or broken.
type world struct {
	rng   *rand.Rand
	now   time.Time
	queue events
	c     *Controller
	// process counts the processes of the agent.
	process int
	// calm is set once there are no more faults.
	calm bool

	lossRate, lateRate float64
	pausedUntil        time.Time

	// The endpoint's state. Its clock is 2% slow, and maxCap is the largest capacity that the agent may
	// still take it to have.
	instance   string
	generation int64
	bornAt     time.Time
	down       bool
	draining   bool
	sequence   int64
	token      int64
	deadline   int64
	capacity   int64
	maxCap     int64
	capUntil   time.Time
	running    map[work.Run]liveRun
	finished   []work.End
	endedRun   map[string]int64

	// The coordinators' state: placed holds, by process, the runs that aren't known to be over, and over
	// the others with the reason. heard is the time of the last report.
	attachments map[string]uint64
	incarnation map[string]uint64
	attached    map[string]bool
	placed      map[string]map[work.Run]bool
	cut         map[string]time.Time
	over        map[owned]string
	broke       string
	heard       map[string]time.Time
	echo        map[string]int64
	stops       map[string][]work.Run
}

func (w *world) after(d time.Duration, do func()) { heap.Push(&w.queue, event{w.now.Add(d), do}) }

func (w *world) run(until time.Time) {
	for len(w.queue) > 0 && w.queue[0].at.Before(until) && w.broke == "" {
		e := heap.Pop(&w.queue).(event)
		w.now = e.at
		w.expire()
		e.do()
	}
	w.now = until
}

func (w *world) fail(f string, a ...any) {
	if w.broke == "" {
		w.broke = fmt.Sprintf("%v: ", w.now.Sub(testStart)) + fmt.Sprintf(f, a...)
	}
}

func (w *world) clock() int64 {
	return 5000 + int64(float64(w.now.Sub(w.bornAt).Milliseconds())*(1-ClockSlack))
}

func (w *world) jitter() time.Duration {
	return time.Duration(w.rng.Int64N(int64(8 * time.Millisecond)))
}

func (w *world) expire() {
	if w.clock() < w.deadline {
		return
	}
	for key := range w.running {
		w.endRun(key, work.OutcomeLeaseExpired)
	}
}

func (w *world) endRun(key work.Run, o work.Outcome) {
	delete(w.running, key)
	w.endedRun[key.Task] = max(w.endedRun[key.Task], key.Number)
	w.finished = append(w.finished, work.End{Sequence: int64(len(w.finished) + 1), Run: key, Outcome: o})
}

// agent runs a step of the agent's process, after its pause, unless the process was replaced.
func (w *world) agent(do func()) {
	process := w.process
	if w.now.Before(w.pausedUntil) {
		w.after(w.pausedUntil.Sub(w.now)+time.Duration(w.rng.Int64N(int64(4*time.Millisecond))), func() {
			if w.process == process {
				w.agent(do)
			}
		})
		return
	}
	do()
}

// call carries a command to the endpoint and its answer back. A command that is late ends with its
// endpoint.
func (w *world) call(instance string, timeout time.Duration, carryOut func(), handle func(refused bool), fail func(error)) {
	process := w.process
	mine := func(do func()) func() {
		return func() {
			if w.process == process {
				w.agent(do)
			}
		}
	}
	transit := w.jitter()
	if !w.calm && w.rng.Float64() < w.lateRate {
		transit = 2*time.Second + time.Duration(w.rng.Int64N(int64(10*time.Second)))
	}
	answered := transit < timeout
	lost := !w.calm && w.rng.Float64() < w.lossRate
	sentTo := w.generation
	w.after(transit, func() {
		if w.down {
			if answered {
				mine(func() { fail(&carobpulley.Error{Op: "call", Kind: carobpulley.KindGone}) })()
			}
			return
		}
		if transit > timeout && sentTo != w.generation {
			return
		}
		refused := instance != "" && instance != w.instance
		if !refused {
			carryOut()
		}
		generation := w.generation
		switch back := w.jitter(); {
		case lost && answered && w.rng.IntN(2) == 0:
			w.after(back/4, mine(func() { fail(&carobpulley.Error{Op: "call", Kind: carobpulley.KindBroken}) }))
			answered = false
		case !lost && answered:
			w.after(back, func() {
				if w.generation != generation || w.down {
					mine(func() { fail(&carobpulley.Error{Op: "call", Kind: carobpulley.KindBroken}) })()
					return
				}
				mine(func() { handle(refused) })()
			})
			return
		}
		if !answered {
			return
		}
		w.after(timeout-transit, mine(func() { fail(&carobpulley.Error{Op: "call", Kind: carobpulley.KindUnknown}) }))
	})
	if !answered {
		w.after(timeout, mine(func() { fail(&carobpulley.Error{Op: "call", Kind: carobpulley.KindUnknown}) }))
	}
}

func (w *world) accept(l carobpulley.Lease) bool {
	if l.Token < w.token {
		return false
	}
	w.token = l.Token
	if l.DeadlineMS > 0 {
		w.deadline = max(w.deadline, min(l.DeadlineMS, w.clock()+1000))
	}
	return true
}

func (w *world) execute() {
	for _, cmd := range w.c.Commands() {
		if cmd.Start != nil {
			s := *cmd.Start
			w.after(time.Duration(w.rng.Int64N(int64(time.Millisecond))), w.mine(func() { w.start(s) }))
			continue
		}
		w.stop(cmd.Stop)
	}
}

func (w *world) mine(do func()) func() {
	process := w.process
	return func() {
		if w.process == process {
			w.agent(do)
		}
	}
}

func (w *world) start(s work.Start) {
	l, refusal := w.c.StartLease(w.now, s.Run)
	if refusal != "" {
		return
	}
	var answer carobpulley.StartAnswer
	handled := func(err error) {
		w.c.HandleStartReply(w.now, s.Run, l, answer, err)
		w.execute()
		if w.c.StartUncertain(s.Run) {
			w.poll(false)
		}
	}
	w.call(l.Instance, 40*time.Millisecond, func() { answer.Refusal = w.carryOutStart(s, l) }, func(refused bool) {
		if refused {
			answer.Refusal = carobpulley.RefusalWrongInstance
		}
		handled(nil)
	}, handled)
}

func (w *world) carryOutStart(s work.Start, l carobpulley.Lease) string {
	key := s.Run
	_, there := w.running[key]
	switch {
	case there:
		return ""
	case !w.accept(l):
		return carobpulley.RefusalStaleToken
	case max(l.DeadlineMS, w.deadline) <= w.clock():
		return carobpulley.RefusalLeaseExpired
	case key.Number <= w.endedRun[key.Task]:
		return carobpulley.RefusalStaleRun
	}
	if reason, told := w.over[owned{s.Spec, key}]; told {
		w.fail("%v of %s begins after it was told %s", key, s.Spec, reason)
	}
	sum := s.Resources.CPU
	for _, r := range w.running {
		sum += r.cpu
	}
	if sum > w.maxCap {
		w.fail("LIMIT: %d of %d", sum, w.maxCap)
	}
	w.running[key] = liveRun{s.Spec, s.Resources.CPU}
	generation := w.generation
	w.after(time.Duration(20+w.rng.IntN(400))*time.Millisecond, func() {
		if r, ok := w.running[key]; ok && w.generation == generation && r.owner == s.Spec {
			w.endRun(key, work.OutcomeDone)
		}
	})
	return ""
}

func (w *world) stop(key work.Run) {
	if !w.c.HasRun(key) {
		return
	}
	again := func(error) { w.after(60*time.Millisecond, w.mine(func() { w.stop(key) })) }
	l := carobpulley.Lease{Token: w.c.Token(), Instance: w.c.Instance()}
	w.call(l.Instance, 40*time.Millisecond, func() {
		if w.accept(l) {
			w.endedRun[key.Task] = max(w.endedRun[key.Task], key.Number)
			if _, ok := w.running[key]; ok {
				w.endRun(key, work.OutcomeStopped)
			}
		}
	}, func(bool) { again(nil) }, again)
}

func (w *world) poll(loop bool) {
	sent := w.c.BeginPoll(w.now)
	var lists carobpulley.RunLists
	refusal := ""
	wait := time.Duration(0)
	if loop && !w.c.ReadingDue() {
		wait = time.Duration(w.rng.IntN(50)) * time.Millisecond
	}
	done := func(err error) {
		if err != nil || refusal != "" {
			w.c.HandlePollError(w.now, sent, refusal, err)
		} else {
			w.c.HandlePoll(w.now, sent, lists)
		}
		w.execute()
		if loop {
			w.after(time.Millisecond+time.Duration(w.rng.IntN(8))*time.Millisecond, w.mine(func() { w.poll(true) }))
		}
	}
	accepted := false
	generation := w.generation
	w.call(sent.Lease.Instance, 90*time.Millisecond-8*time.Millisecond-wait+wait, func() {
		accepted = w.accept(sent.Lease)
		if !accepted {
			refusal = carobpulley.RefusalStaleToken
		}
		generation = w.generation
	}, func(refused bool) {
		if refused {
			refusal = carobpulley.RefusalWrongInstance
			done(nil)
			return
		}
		if refusal != "" {
			done(nil)
			return
		}
		// The answer waits at the endpoint, and then has its way back.
		w.after(wait, func() {
			if w.down || w.generation != generation {
				w.mine(func() { done(&carobpulley.Error{Op: "hold", Kind: carobpulley.KindUnknown}) })()
				return
			}
			lists = w.lists(sent.AckedUpTo)
			w.after(w.jitter(), w.mine(func() { done(nil) }))
		})
	}, func(err error) { refusal = ""; done(err) })
}

func (w *world) lists(acked int64) carobpulley.RunLists {
	l := carobpulley.RunLists{Clock: w.clock(), Generation: w.generation}
	for key := range w.running {
		l.Running = append(l.Running, carobpulley.ListedRun{Run: key})
	}
	for _, e := range w.finished {
		if e.Sequence > acked {
			l.Finished = append(l.Finished, e)
		}
	}
	return l
}
