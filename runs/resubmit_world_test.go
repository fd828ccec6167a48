package runs

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"carobpulley/work"
)

// dispatchRepeat is the time after which a dispatch without an answer is sent again.
const dispatchRepeat = 300 * time.Millisecond

// kind is a kind of command to the endpoint.
type kind int

const (
	kindStart kind = iota
	kindStop
	kindPoll
	kinds
)

// trouble is what happens to the commands of one kind until a time.
type trouble struct {
	until              time.Time
	unsent, late, lost float64
}

// placed is a run of a call. goneAt is the time at which the caller's call ended without an answer, and
// over the reason for which its coordinator takes it to be over.
type placed struct {
	s      work.Start
	goneAt time.Time
	over   string
	// outlasted is set once the endpoint's lease has gone beyond the time of the next call.
	outlasted bool
}

// sender is a coordinator's process with its calls.
type sender struct {
	name        string
	incarnation uint64
	up          bool
	attached    bool
	attachment  uint64
	heard       time.Time
	echo        int64
	calls       map[work.Run]*placed
	stops       map[work.Run]bool
	// delayed holds the stops of dispatches that were sent again and are not answered, by the attachment.
	delayed   map[work.Run]uint64
	cutTo     time.Time // what it sends is lost until then
	cutFrom   time.Time
	slowUntil time.Time
	slow      time.Duration
}

// leasing is an agent beside one endpoint. Coordinators die and their callers leave, commands to the
// endpoint are unsent, unanswered or seconds late, and messages between the hosts are slow.
type leasing struct {
	rng     *rand.Rand
	now     time.Time
	queue   events
	c       *Controller
	process int
	paused  time.Time
	trace   []string
	broke   string
	next    int

	// fromArrival is set if the lease of a late poll counts from its arrival. That of a late start doesn't:
	// while the agent is paused nothing else would keep it from beginning.
	fromArrival bool
	troubles    [kinds]trouble
	maxDispatch time.Duration

	token    int64
	deadline int64
	running  map[work.Run]*placed
	cpu      int64
	ended    map[string]int64
	finished []work.End

	coordinators []*sender
	placed       map[owned]*placed
	reported     map[string]time.Time
}

func (m *leasing) after(d time.Duration, do func()) { heap.Push(&m.queue, event{m.now.Add(d), do}) }

func (m *leasing) between(low, high time.Duration) time.Duration {
	return low + time.Duration(m.rng.Int64N(int64(high-low)))
}

func (m *leasing) log(f string, a ...any) {
	m.trace = append(m.trace, fmt.Sprintf("%7.3f ", m.now.Sub(testStart).Seconds())+fmt.Sprintf(f, a...))
}

func (m *leasing) fail(f string, a ...any) {
	if m.broke == "" {
		m.log(f, a...)
		m.broke = m.trace[len(m.trace)-1]
	}
}

func (m *leasing) run(until time.Time) {
	for len(m.queue) > 0 && m.queue[0].at.Before(until) && m.broke == "" {
		e := heap.Pop(&m.queue).(event)
		m.now = e.at
		if m.clock() >= m.deadline && len(m.running) > 0 {
			m.log("endpoint: lease expired")
			for key := range m.running {
				m.end(key, work.OutcomeLeaseExpired)
			}
		}
		e.do()
	}
}

// clock returns the reading of the endpoint's clock, which is as slow as it may be.
func (m *leasing) clock() int64 {
	return 5000 + int64(float64(m.now.Sub(testStart).Milliseconds())*(1-ClockSlack))
}

func (m *leasing) end(key work.Run, o work.Outcome) {
	m.cpu -= m.running[key].s.Resources.CPU
	delete(m.running, key)
	m.ended[key.Task] = max(m.ended[key.Task], key.Number)
	m.finished = append(m.finished, work.End{Sequence: int64(len(m.finished) + 1), Run: key, Outcome: o})
}

// mine returns a step of this process of the agent, which waits for the end of its pause.
func (m *leasing) mine(do func()) func() {
	process := m.process
	var step func()
	step = func() {
		switch {
		case m.process != process:
		case m.now.Before(m.paused):
			m.after(m.paused.Sub(m.now)+m.between(0, time.Millisecond), step)
		default:
			do()
		}
	}
	return step
}

func (m *leasing) faults() {
	m.after(m.between(100*time.Millisecond, 700*time.Millisecond), m.faults)
	co := m.coordinators[m.rng.IntN(len(m.coordinators))]
	switch d := m.between(100*time.Millisecond, 3*time.Second); m.rng.IntN(8) {
	case 0:
		m.die(co)
	case 1:
		if until := m.now.Add(m.between(20*time.Millisecond, 2*time.Second)); until.After(m.paused) {
			m.paused = until
		}
		m.log("agent: paused for %v", m.paused.Sub(m.now))
	case 2:
		m.restartAgent()
	case 3:
		if co.cutTo = m.now.Add(d); m.rng.IntN(2) == 0 {
			co.cutFrom = co.cutTo
		}
		m.log("%s: cut off for %v, both ways %v", co.name, d, co.cutFrom.Equal(co.cutTo))
	case 4:
		co.cutFrom = m.now.Add(d)
		m.log("%s: reports to it are lost for %v", co.name, d)
	case 5:
		co.slow, co.slowUntil = m.between(time.Millisecond, m.maxDispatch), m.now.Add(d)
		m.log("%s: messages are up to %v late for %v", co.name, co.slow, d)
	default:
		k := kind(m.rng.IntN(int(kinds)))
		t := trouble{until: m.now.Add(d)}
		share := []float64{0.3, 0.7, 1}[m.rng.IntN(3)]
		switch m.rng.IntN(4) {
		case 0:
			t.unsent = share
		case 1:
			t.late = share
		case 2:
			t.lost = share
		case 3:
			t.unsent, t.late = share/2, share/2
		}
		for other := range kinds {
			if other == k || m.rng.IntN(4) == 0 {
				m.troubles[other] = t
			}
		}
		m.log("trouble of %d for %v: %.2f unsent, %.2f late, %.2f lost", k, d, t.unsent, t.late, t.lost)
	}
}

// playLeases plays a time and returns what broke, with the trace.
func playLeases(seed uint64, length time.Duration, fromArrival bool, maxDispatch time.Duration) (string, []string) {
	m := &leasing{
		rng: rand.New(rand.NewPCG(seed, 91)), now: testStart, fromArrival: fromArrival, maxDispatch: maxDispatch,
		running: map[work.Run]*placed{}, placed: map[owned]*placed{}, ended: map[string]int64{},
	}
	for _, name := range []string{"c", "d", "e"}[:2+seed%2] {
		co := &sender{name: name, incarnation: 7, up: true, heard: m.now, calls: map[work.Run]*placed{}, stops: map[work.Run]bool{}, delayed: map[work.Run]uint64{}}
		m.coordinators = append(m.coordinators, co)
		m.after(m.between(10*time.Millisecond, 60*time.Millisecond), func() { m.step(co) })
	}
	m.restartAgent()
	m.after(500*time.Millisecond, m.faults)
	m.run(testStart.Add(length))
	return m.broke, m.trace
}

// Guards against a run that is on when its caller has submitted its job elsewhere, or when its coordinator
// has started its task elsewhere.
func TestRunsEndBeforeTheirJobIsSubmittedElsewhere(t *testing.T) {
	for seed := uint64(110); seed < 150; seed++ {
		if got, _ := playLeases(seed, 12*time.Second, seed%2 == 0, 100*time.Millisecond); got != "" {
			t.Errorf("seed %d: %s", seed, got)
		}
	}
}

// Guards against the same where a start overtakes the stop that its coordinator has sent before, and which
// is repeated: package coord sends such stops with each dispatch.
func TestLaterStartDoesNotOvertakeAStop(t *testing.T) {
	if got, trace := playLeases(218, 12*time.Second, false, 100*time.Millisecond); got != "" {
		for _, line := range trace[max(0, len(trace)-80):] {
			t.Log(line)
		}
		t.Error(got)
	}
}
