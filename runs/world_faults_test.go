package runs

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"carobpulley"
	"carobpulley/work"
)

// silenceLimit is the time after which a coordinator takes the runs of a silent agent to be over, as in
// package coord.
const silenceLimit = ProofTTL + ProofTTL*2/100 + 150*time.Millisecond

// owner names the present process of a coordinator.
func (w *world) owner(name string) string { return fmt.Sprintf("%s/%d", name, w.incarnation[name]) }

// tell handles what coordinator name learns: its run is over.
func (w *world) tell(name string, key work.Run, reason string, listed bool) {
	o := w.owner(name)
	if !w.placed[o][key] {
		return // not taken for one of this process
	}
	delete(w.placed[o], key)
	w.over[owned{o, key}] = reason
	if r, ok := w.running[key]; ok && r.owner == o {
		w.fail("%v of %s is at work and told %s (listed %v)", key, o, reason, listed)
	}
}

// report exchanges a report and its answer with a coordinator; both may be lost.
func (w *world) report(name string) {
	if !w.attached[name] {
		w.attach(name)
		return
	}
	if w.now.Before(w.cut[name]) {
		return
	}
	sent := w.c.Report(w.now, name)
	if sent.Attachment != w.attachments[name] {
		w.attached[name] = false
		return
	}
	there, back := w.jitter(), w.jitter()
	w.after(there, func() {
		if sent.Attachment != w.attachments[name] || !w.attached[name] {
			return
		}
		w.heard[name] = w.now
		w.echo[name] = max(w.echo[name], sent.SentAt)
		for _, e := range sent.Ends {
			w.tell(name, e.Run, string(e.Outcome), e.Sequence > 0)
		}
		reply := ReportReply{Stops: append([]work.Run{}, w.stops[name]...)}
		if name == "o" {
			reply.Epochs = map[int]uint64{0: 1}
			reply.AckedGeneration = sent.State.Instance
			for _, e := range sent.Ends {
				reply.Acked = append(reply.Acked, e.Sequence)
			}
		}
		w.after(back, w.mine(func() {
			w.c.HandleReportReply(w.now, name, sent, reply)
			w.execute()
		}))
	})
}

// sendStops sends the stops of runs that were listed and belong elsewhere. Until the agent has them, each
// answer to a report carries them.
func (w *world) sendStops(name string) {
	if len(w.stops[name]) == 0 || name == "o" {
		return
	}
	inc, attachment, stops := w.incarnation[name], w.attachments[name], w.stops[name]
	w.after(w.jitter(), w.mine(func() {
		_, stale := w.c.HandleDispatch(w.now, Dispatch{Coordinator: name, Incarnation: inc, Attachment: attachment, Echo: w.echo[name], Stops: stops})
		w.execute()
		if !stale {
			w.stops[name] = nil
		}
	}))
}

func (w *world) attach(name string) {
	if w.now.Before(w.cut[name]) || !w.c.CanAttach(w.now) {
		return
	}
	w.attachments[name]++
	a := AttachRequest{Coordinator: name, Incarnation: w.incarnation[name], Addr: "127.0.0.1:1", Attachment: w.attachments[name]}
	if name == "o" {
		a.Epochs = map[int]uint64{0: 1}
	}
	if !w.c.HandleAttach(w.now, a) {
		return
	}
	full := w.c.FullReport(w.now, a)
	w.attached[name] = true
	w.echo[name] = full.SentAt
	w.heard[name] = w.now
	listed := map[work.Run]bool{}
	for _, key := range full.Running {
		listed[key] = true
		if !w.placed[w.owner(name)][key] {
			w.stops[name] = append(w.stops[name], key)
		}
	}
	w.sendStops(name)
	for _, e := range full.Ends {
		w.tell(name, e.Run, string(e.Outcome), e.Sequence > 0)
	}
	for key := range w.placed[w.owner(name)] {
		if !listed[key] {
			w.tell(name, key, "not on the list", false)
		}
	}
}

// silent handles a coordinator that has heard nothing for as long as leases may last: its runs are over.
func (w *world) silent(name string) {
	if w.now.Sub(w.heard[name]) <= silenceLimit {
		return
	}
	w.attached[name] = false
	var keys []work.Run
	for key := range w.placed[w.owner(name)] {
		keys = append(keys, key)
	}
	for _, key := range keys {
		w.tell(name, key, "silent", false)
	}
}

func (w *world) reports() {
	w.silent("c")
	w.silent("d")
	if !w.now.Before(w.pausedUntil) {
		for _, name := range []string{"c", "d", "o"} {
			w.report(name)
		}
	}
	w.after(25*time.Millisecond, w.reports)
}

// traffic: both coordinators start the same tasks under the same numbers.
func (w *world) traffic(number int) {
	if w.calm {
		return
	}
	first := w.rng.IntN(2)
	names := []string{"c", "d"}
	w.order(names[first], number)
	if w.rng.IntN(2) == 0 {
		w.after(time.Duration(w.rng.IntN(900))*time.Millisecond, func() { w.order(names[1-first], number) })
	}
	if w.rng.IntN(3) == 0 {
		w.after(time.Duration(w.rng.IntN(900))*time.Millisecond, func() { w.order(names[first], number) })
	}
	w.after(w.jitter()+2*time.Millisecond, func() { w.traffic(number + 1) })
}

func (w *world) order(name string, number int) {
	if w.calm || !w.attached[name] || w.now.Before(w.cut[name]) {
		return
	}
	s := newStart(number, 100+int64(number%4)*200)
	if w.rng.IntN(3) == 0 {
		s.WaitMS, s.SlackMS = 200, 200
	}
	s.Spec = w.owner(name)
	o := w.owner(name)
	if _, again := w.over[owned{o, s.Run}]; again || w.placed[o][s.Run] {
		return // a process numbers its runs anew
	}
	var stops []work.Run
	if number > 9 && w.rng.IntN(3) == 0 {
		stops = append(stops, newRun(number-w.rng.IntN(9)))
	}
	w.placed[o][s.Run] = true
	echo := w.echo[name]
	attachment, inc := w.attachments[name], w.incarnation[name]
	w.after(w.jitter(), w.mine(func() {
		refused, stale := w.c.HandleDispatch(w.now, Dispatch{Coordinator: name, Incarnation: inc, Attachment: attachment, Echo: echo, Starts: []work.Start{s}, Stops: stops})
		w.execute()
		if stale {
			if w.attachments[name] == attachment {
				w.attached[name] = false
			}
			return
		}
		for _, r := range refused {
			if w.incarnation[name] == inc {
				w.tell(name, r.Run, "refused "+r.Reason, false)
			}
		}
	}))
}

func (w *world) heartbeats() {
	if !w.down {
		w.sequence++
		hb := carobpulley.Heartbeat{
			Instance: w.instance, Generation: w.generation, Sequence: w.sequence, Service: "s", Draining: w.draining,
			Capacity: work.Resources{CPU: w.capacity, MemMB: 1000},
		}
		delay := w.rng.IntN(150)
		if !w.calm && w.rng.IntN(12) == 0 {
			delay = w.rng.IntN(1200)
		}
		w.after(time.Duration(delay)*time.Millisecond, func() {
			w.agent(func() {
				w.c.HandleHeartbeat(w.now, hb)
				w.execute()
			})
		})
	}
	w.after(100*time.Millisecond, w.heartbeats)
}

func (w *world) reborn() {
	w.down = false
	w.draining = false
	w.generation++
	if w.rng.IntN(2) == 0 {
		w.instance = fmt.Sprint("i", w.generation)
	}
	w.bornAt = w.now
	w.sequence, w.token, w.deadline = 0, 0, 0
	w.finished = nil
	clear(w.endedRun)
}

func (w *world) die() {
	w.down = true
	clear(w.running)
	w.after(time.Duration(1+w.rng.IntN(300))*time.Millisecond, w.reborn)
}

func (w *world) faults() {
	if w.calm {
		return
	}
	switch w.rng.IntN(7) {
	case 0:
		if !w.down {
			w.die()
		}
	case 1:
		if !w.down && !w.draining {
			w.draining = true
			generation := w.generation
			w.after(time.Duration(w.rng.IntN(500))*time.Millisecond, func() {
				if w.down || w.generation != generation {
					return
				}
				instance := w.instance
				w.after(w.jitter()*4, func() { w.agent(func() { w.c.HandleShutdown(w.now, instance); w.execute() }) })
				w.die()
			})
		}
	case 2:
		w.pausedUntil = w.now.Add(time.Duration(20+w.rng.IntN(2000)) * time.Millisecond)
	case 3:
		w.restartAgent()
	case 4:
		name := []string{"c", "d"}[w.rng.IntN(2)]
		w.incarnation[name]++
		w.placed[w.owner(name)] = map[work.Run]bool{}
		w.attached[name] = false
	case 5:
		name := []string{"c", "d"}[w.rng.IntN(2)]
		w.cut[name] = w.now.Add(time.Duration(w.rng.IntN(2500)) * time.Millisecond)
	case 6:
		old := w.capacity
		w.capacity = 4000 + int64(w.rng.IntN(6))*1000
		if old > w.capacity {
			w.maxCap = max(w.maxCap, old)
			w.capUntil = w.now.Add(4 * time.Second)
			w.after(4*time.Second, func() {
				if !w.now.Before(w.capUntil) {
					w.maxCap = w.capacity
				}
			})
		} else {
			w.maxCap = max(w.maxCap, w.capacity)
		}
	}
	w.after(time.Duration(100+w.rng.IntN(600))*time.Millisecond, w.faults)
}

func (w *world) restartAgent() {
	w.process++
	w.pausedUntil = time.Time{}
	w.c = New(Config{Agent: "a", Incarnation: uint64(w.process), Token: 100 + int64(w.process)*1_000_000, MaxLease: time.Second, Shards: testShards}, w.now)
	for name := range w.attached {
		w.attached[name] = false
	}
	w.after(time.Millisecond, w.mine(func() { w.poll(true) }))
	w.after(time.Millisecond, w.mine(w.tick))
}

func (w *world) tick() {
	w.c.Tick(w.now)
	w.execute()
	w.after(40*time.Millisecond, w.mine(w.tick))
}

// playWorld plays faults for a time, then 16 s without, and returns what broke.
func playWorld(seed uint64, length time.Duration) string {
	rng := rand.New(rand.NewPCG(seed, 77))
	w := &world{
		rng: rng, now: testStart, instance: "i", generation: 1, bornAt: testStart, capacity: 8000, maxCap: 8000,
		lossRate: []float64{0.02, 0.3, 0.6}[seed%3], running: map[work.Run]liveRun{}, endedRun: map[string]int64{},
		attachments: map[string]uint64{}, incarnation: map[string]uint64{"c": 7, "d": 7, "o": 7}, attached: map[string]bool{},
		placed: map[string]map[work.Run]bool{"c/7": {}, "d/7": {}, "o/7": {}}, cut: map[string]time.Time{}, over: map[owned]string{},
		heard: map[string]time.Time{}, echo: map[string]int64{}, stops: map[string][]work.Run{},
	}
	w.lateRate = []float64{0, 0.05, 0.3, 0}[seed%4]
	w.heartbeats()
	w.restartAgent()
	w.reports()
	w.after(300*time.Millisecond, func() { w.traffic(1) })
	w.after(500*time.Millisecond, w.faults)
	w.run(testStart.Add(length))
	if w.broke != "" {
		return w.broke
	}
	w.calm, w.lateRate, w.lossRate = true, 0, 0
	w.pausedUntil = time.Time{}
	clear(w.cut)
	w.after(400*time.Millisecond, func() { w.draining = false; w.capacity = 8000 })
	w.run(w.now.Add(16 * time.Second))
	if w.broke == "" {
		w.settled()
	}
	return w.broke
}

// settled checks that nothing is left and the endpoint can be used.
func (w *world) settled() {
	if len(w.c.runs) > 0 {
		for key, r := range w.c.runs {
			w.fail("leak: %v phase %d owner %s stopping %v affected %v", key, r.phase, r.coordinator, r.stopping, r.affected())
		}
	}
	if !w.c.Idle() {
		w.fail("not idle: %d ends", len(w.c.ends))
	}
	if !w.c.Usable() || w.c.leaseBlocked(w.now) {
		w.fail("not usable: draining %v shutDown %v hb %v unresponsive %v clock %d gen %d/%d inst %s/%s", w.c.heartbeat.Draining, w.c.shutDown, w.c.hasHeartbeat, w.c.unresponsive, w.c.clockMS, w.c.generation, w.generation, w.c.heartbeat.Instance, w.instance)
	}
	for _, name := range []string{"c", "d"} {
		if !w.attached[name] {
			w.fail("%s not attached", name)
		}
		for key := range w.placed[w.owner(name)] {
			w.fail("%v of %s is never told over", key, w.owner(name))
		}
	}
}

// Guards against a run that is told over while it is at work or can still begin, one that is never told
// over, starts beyond the capacity, and an endpoint that stays unusable: coordinators that number their
// runs alike beside an endpoint and an agent that restart, leave, pause and lose messages.
func TestRunsBesideRestartsAndPauses(t *testing.T) {
	for seed := uint64(20_000); seed < 20_040; seed++ {
		if got := playWorld(seed, 6*time.Second); got != "" {
			t.Errorf("seed %d: %s", seed, got)
		}
	}
}
