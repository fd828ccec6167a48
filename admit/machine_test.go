package admit_test

import (
	"slices"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"pgregory.net/rapid"

	"carobpulley"
	"carobpulley/admit"
)

const (
	quotaRate    = 20
	quotaLimit   = 6
	serviceLimit = 4
)

// machine drives an Admitter with quotas. Member "free" has none, "rated" has a
// rate of starts and "capped" a limit of concurrent tasks. One service also has
// a limit of concurrent tasks.
type machine struct {
	a       *admit.Admitter
	now     time.Time
	next    int
	queued  map[carobpulley.TaskID]carobpulley.Waiting
	running []carobpulley.Waiting
	starts  []time.Time
}

func (m *machine) push(t *rapid.T) {
	member := rapid.SampledFrom([]string{"free", "rated", "capped"}).Draw(t, "member")
	class := rapid.SampledFrom(carobpulley.Classes()).Draw(t, "class")
	m.next++
	for i := range rapid.IntRange(1, 20).Draw(t, "tasks") {
		w := waiting(member, class, m.next, i, m.now)
		m.a.Push(m.now, w)
		m.queued[w.Task] = w
	}
}

func (m *machine) start(t *rapid.T) {
	notReady := serviceOf("free", rapid.SampledFrom(carobpulley.Classes()).Draw(t, "closed"))
	w, ok := m.a.Next(m.now, func(s string) bool { return s != notReady })
	if !ok {
		m.checkIdle(t, notReady)
		return
	}
	if want, known := m.queued[w.Task]; !known || w.Service == notReady {
		t.Fatalf("started %v: queued: %v, service not ready: %s", w, known, notReady)
	} else if d := cmp.Diff(want, w); d != "" {
		t.Fatalf("task changed in the queue (-pushed +started):\n%s", d)
	}
	delete(m.queued, w.Task)
	m.running = append(m.running, w)
	m.checkQuotas(t, w)
}

func (m *machine) count(match func(carobpulley.Waiting) bool) int {
	n := 0
	for _, w := range m.running {
		if match(w) {
			n++
		}
	}
	return n
}

func (m *machine) checkQuotas(t *rapid.T, w carobpulley.Waiting) {
	if n := m.count(func(w carobpulley.Waiting) bool { return w.Member == "capped" }); n > quotaLimit {
		t.Fatalf("%d tasks of a member run, its limit is %d", n, quotaLimit)
	}
	if n := m.count(func(w carobpulley.Waiting) bool { return w.Service == "free-bulk" }); n > serviceLimit {
		t.Fatalf("%d tasks of a service run, its limit is %d", n, serviceLimit)
	}
	if w.Member != "rated" {
		return
	}
	m.starts = append(m.starts, m.now)
	for i, from := range m.starts {
		// The quota of one second may be used at once.
		allowed := quotaRate + quotaRate*m.now.Sub(from).Seconds()
		if n := len(m.starts) - i; float64(n) > allowed+1e-3 {
			t.Fatalf("%d starts in %v, the quota allows %.1f", n, m.now.Sub(from), allowed)
		}
	}
}

// checkIdle fails if a queued task without any quota did not start.
func (m *machine) checkIdle(t *rapid.T, notReady string) {
	for _, w := range m.queued {
		if w.Member == "free" && w.Class != carobpulley.ClassBulk && w.Service != notReady {
			t.Fatalf("%v is queued and may start, but Next returned nothing", w.Task)
		}
	}
}

func (m *machine) finish(t *rapid.T) {
	if len(m.running) == 0 {
		return
	}
	i := rapid.IntRange(0, len(m.running)-1).Draw(t, "running")
	w := m.running[i]
	m.running = slices.Delete(m.running, i, i+1)
	m.a.Done(m.now, w)
	if rapid.Bool().Draw(t, "refused") {
		m.a.Push(m.now, w)
		m.queued[w.Task] = w
	}
}

func (m *machine) cancel(t *rapid.T) {
	id := rapid.IntRange(1, max(1, m.next)).Draw(t, "job")
	for _, member := range []string{"free", "rated", "capped"} {
		want := 0
		for task := range m.queued {
			if task.Job == jobOf(member, id) {
				want++
				delete(m.queued, task)
			}
		}
		if got := m.a.Drop(m.now, jobOf(member, id)); got != want {
			t.Fatalf("dropped %d tasks of a job with %d queued", got, want)
		}
	}
}

// Guards against exceeded quotas, against tasks that are lost, duplicated or
// changed, and against capacity left idle while a task could start.
func TestMachine(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := &machine{a: admit.New(endpoints{}), now: start, queued: map[carobpulley.TaskID]carobpulley.Waiting{}}
		c := catalogue(
			carobpulley.Member{Name: "free"},
			carobpulley.Member{Name: "rated", StartsPerSecond: quotaRate},
			carobpulley.Member{Name: "capped", MaxConcurrent: quotaLimit, Weight: 3},
		)
		s := c.Services["free-bulk"]
		s.MaxConcurrent = serviceLimit
		c.Services["free-bulk"] = s
		m.a.Configure(m.now, c)
		t.Repeat(map[string]func(*rapid.T){
			"":          func(t *rapid.T) { m.checkLen(t) },
			"push":      m.push,
			"start":     m.start,
			"start2":    m.start,
			"start3":    m.start,
			"finish":    m.finish,
			"cancel":    m.cancel,
			"configure": func(*rapid.T) { m.a.Configure(m.now, c) },
			"wait": func(t *rapid.T) {
				m.now = m.now.Add(time.Duration(rapid.IntRange(1, 500).Draw(t, "ms")) * time.Millisecond)
			},
		})
		for len(m.queued) > 0 {
			m.now = m.now.Add(time.Second)
			w, ok := m.a.Next(m.now, allReady)
			if !ok && len(m.running) == 0 {
				t.Fatalf("%d queued tasks never start", len(m.queued))
			}
			if ok {
				delete(m.queued, w.Task)
				m.running = append(m.running, w)
			}
			for _, w := range m.running {
				m.a.Done(m.now, w)
			}
			m.running = nil
		}
		m.checkLen(t)
	})
}

func (m *machine) checkLen(t *rapid.T) {
	if m.a.Len() != len(m.queued) {
		t.Fatalf("Len is %d, %d tasks are queued", m.a.Len(), len(m.queued))
	}
}

// Guards against an order within one class and member that differs from the
// reference FIFO queue, also after jobs are dropped.
func TestOrderOfOneMember(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		c := catalogue(carobpulley.Member{Name: "m"})
		admitter, naive := admit.New(endpoints{}), admit.NewNaive(endpoints{})
		both := []carobpulley.Admitter{admitter, naive}
		now, jobs, deadlines := start, 0, map[int]time.Time{}
		for _, a := range both {
			a.Configure(now, c)
		}
		t.Repeat(map[string]func(*rapid.T){
			"push": func(t *rapid.T) {
				jobs++
				now = now.Add(time.Millisecond)
				n := rapid.IntRange(1, 5).Draw(t, "tasks")
				deadline := now.Add(time.Duration(rapid.IntRange(1, 50).Draw(t, "deadline")) * time.Millisecond)
				deadlines[jobs] = deadline
				for i := range n {
					w := waiting("m", carobpulley.ClassNormal, jobs, i, now)
					w.Deadline = deadline
					admitter.Push(now, w)
					naive.Push(now, w)
				}
			},
			"next": func(t *rapid.T) {
				got, ok := admitter.Next(now, allReady)
				want, wantOK := naive.Next(now, allReady)
				if d := cmp.Diff(want, got); d != "" || ok != wantOK {
					t.Fatalf("next task (-naive +got):\n%s", d)
				}
				admitter.Done(now, got)
			},
			"drop": func(t *rapid.T) {
				job := rapid.IntRange(1, jobs+1).Draw(t, "job")
				got, want := admitter.Drop(now, jobOf("m", job)), naive.Drop(now, jobOf("m", job))
				// Naive drops all expired tasks at each Next, Admitter only those that it
				// reaches.
				if got != want && now.Before(deadlines[job]) {
					t.Fatalf("dropped %d, naive %d", got, want)
				}
			},
		})
	})
}
