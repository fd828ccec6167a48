package admit_test

import (
	"errors"
	"flag"
	"fmt"
	"os"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"carobpulley"
	"carobpulley/admit"
)

var start = time.Unix(1_000_000, 0)

// endpoints is an Estimator without run times. Every service but "nowhere" runs.
type endpoints struct{}

func (endpoints) CanRun(service string) bool              { return service != "nowhere" }
func (endpoints) Expect(time.Time, string, int) time.Time { return time.Time{} }
func (endpoints) MinRunTime(string) time.Duration         { return 0 }
func allReady(string) bool                                { return true }
func serviceOf(member string, c carobpulley.Class) string { return fmt.Sprint(member, "-", c) }
func jobOf(member string, n int) carobpulley.JobID {
	return carobpulley.JobID{Member: member, Key: fmt.Sprint(n)}
}

func add(c *carobpulley.Catalogue, m carobpulley.Member) {
	c.Members[m.Name] = m
	for _, class := range carobpulley.Classes() {
		name := serviceOf(m.Name, class)
		c.Services[name] = carobpulley.Service{Name: name, Member: m.Name, Class: class}
	}
}

func catalogue(members ...carobpulley.Member) *carobpulley.Catalogue {
	c := &carobpulley.Catalogue{Members: map[string]carobpulley.Member{}, Services: map[string]carobpulley.Service{}}
	for _, m := range members {
		add(c, m)
	}
	return c
}

func waiting(member string, class carobpulley.Class, job, index int, at time.Time) carobpulley.Waiting {
	return carobpulley.Waiting{
		Task:    carobpulley.TaskID{Job: jobOf(member, job), Index: index},
		Service: serviceOf(member, class), Member: member, Class: class, QueuedAt: at,
	}
}

// Guards against starvation of a class while more urgent ones have tasks queued.
func TestClassShares(t *testing.T) {
	a := admit.New(endpoints{})
	a.Configure(start, catalogue(carobpulley.Member{Name: "m"}))
	for i, class := range carobpulley.Classes() {
		for k := range 1200 {
			a.Push(start, waiting("m", class, i, k, start))
		}
	}
	got := map[carobpulley.Class]int{}
	for range 1200 {
		w, _ := a.Next(start, allReady)
		got[w.Class]++
	}
	for class, want := range map[carobpulley.Class]int{"urgent": 800, "normal": 300, "bulk": 100} {
		if d := got[class] - want; d < -2 || d > 2 {
			t.Errorf("%s: %d starts of 1200, want %d", class, got[class], want)
		}
	}
}

// TestMain gives rapid a fixed seed unless the command line sets one.
func TestMain(m *testing.M) {
	flag.Parse()
	if f := flag.Lookup("rapid.seed"); f.Value.String() == "0" {
		_ = f.Value.Set("1")
	}
	_ = flag.Set("rapid.nofailfile", "true")
	os.Exit(m.Run())
}

// startAll starts all tasks that may start and returns their number.
func startAll(a *admit.Admitter, now time.Time) int {
	n := 0
	for _, ok := a.Next(now, allReady); ok; _, ok = a.Next(now, allReady) {
		n++
	}
	return n
}

// Guards against a member that stays blocked after its quota has refilled, a
// full quota immediately after a restart, each entry granting the whole quota
// instead of its share, and ignored limits of members and services.
func TestLimits(t *testing.T) {
	a := admit.New(endpoints{})
	c := catalogue(carobpulley.Member{Name: "rated", StartsPerSecond: 2 * quotaRate},
		carobpulley.Member{Name: "wide", MaxConcurrent: 2 * quotaLimit})
	c.Services["capped"] = carobpulley.Service{Name: "capped", MaxConcurrent: 2 * serviceLimit}
	a.Configure(start, c)
	a.SetShare(start, 0.5)
	for k := range 100 {
		a.Push(start, waiting("rated", carobpulley.ClassNormal, 1, k, start))
		a.Push(start, waiting("wide", carobpulley.ClassNormal, 1, k, start))
		w := waiting("other", carobpulley.ClassNormal, 1, k, start)
		w.Service = "capped"
		a.Push(start, w)
	}
	got := make([]int, 4)
	for i, ms := range []time.Duration{0, 0, 500, 1500} {
		got[i] = startAll(a, start.Add(ms*time.Millisecond))
	}
	want := []int{serviceLimit + quotaLimit + quotaRate/2, 0, quotaRate / 2, quotaRate}
	if d := cmp.Diff(want, got); d != "" {
		t.Errorf("starts (-want +got):\n%s", d)
	}
}

// Guards against members of a class that do not share by weight, and against a
// member that is compensated for the time in which it had nothing queued.
func TestMemberShares(t *testing.T) {
	a := admit.New(endpoints{})
	a.Configure(start, catalogue(
		carobpulley.Member{Name: "early", Weight: 1}, carobpulley.Member{Name: "late", Weight: 3}))
	for k := range 1000 {
		a.Push(start, waiting("early", carobpulley.ClassBulk, 1, k, start))
	}
	for range 400 {
		a.Next(start, allReady)
	}
	for k := range 1000 {
		a.Push(start, waiting("late", carobpulley.ClassBulk, 2, k, start))
	}
	late := 0
	for range 400 {
		if w, _ := a.Next(start, allReady); w.Member == "late" {
			late++
		}
	}
	if late < 298 || late > 302 {
		t.Errorf("a member with weight 3 of 4 got %d of 400 starts", late)
	}
}

// Guards against a requeued task that loses its position in the queue.
func TestRequeuedTaskGoesFirst(t *testing.T) {
	a := admit.New(endpoints{})
	a.Configure(start, catalogue(carobpulley.Member{Name: "m"}))
	for k := range 3 {
		a.Push(start, waiting("m", carobpulley.ClassBulk, k, 0, start.Add(time.Duration(k))))
	}
	w, _ := a.Next(start, allReady)
	a.Done(start, w)
	a.Push(start, w)
	if next, _ := a.Next(start, allReady); next.Task != w.Task {
		t.Errorf("%v was requeued, but the next task is %v", w.Task, next.Task)
	}
}

// busy is an Estimator with ten slots and run times of one second.
type busy struct{ endpoints }

func (busy) Expect(now time.Time, _ string, ahead int) time.Time {
	return now.Add(time.Second + time.Duration(ahead)*100*time.Millisecond)
}

func (busy) MinRunTime(string) time.Duration { return 100 * time.Millisecond }

// Guards against accepting jobs that can never run or cannot meet their deadline,
// against refusals without NotRun, and against refusing a member's job because of
// another member's long queue.
func TestRefusals(t *testing.T) {
	a := admit.New(busy{})
	c := catalogue(carobpulley.Member{Name: "m"}, carobpulley.Member{Name: "n"},
		carobpulley.Member{Name: "rated", StartsPerSecond: 2})
	c.Services["nowhere"] = carobpulley.Service{Name: "nowhere"}
	c.Services["small"] = carobpulley.Service{Name: "small", MaxTasks: 3}
	a.Configure(start, c)
	for k := range 1000 {
		a.Push(start, waiting("n", carobpulley.ClassNormal, 1, k, start))
	}
	cases := []struct {
		name, member, service string
		tasks                 int
		deadline              time.Duration
		want                  carobpulley.Kind
	}{
		{"runs", "m", "m-normal", 10, 5 * time.Second, ""},
		{"unknown service", "m", "none", 1, time.Minute, carobpulley.KindImpossible},
		{"other member's service", "m", "n-normal", 1, time.Minute, carobpulley.KindForbidden},
		{"no tasks", "m", "m-normal", 0, time.Minute, carobpulley.KindInvalid},
		{"too many tasks", "m", "m-normal", carobpulley.MaxTasks + 1, time.Minute, carobpulley.KindImpossible},
		{"over the service's limit", "m", "small", 4, time.Minute, carobpulley.KindImpossible},
		{"no endpoint", "m", "nowhere", 1, time.Minute, carobpulley.KindImpossible},
		{"deadline passed", "m", "m-normal", 1, 0, carobpulley.KindImpossible},
		{"deadline below the least run time", "m", "m-normal", 1, 50 * time.Millisecond, carobpulley.KindImpossible},
		{"queue too long for the deadline", "n", "n-normal", 1, 20 * time.Second, carobpulley.KindOverload},
		{"quota too small for the deadline", "rated", "rated-normal", 100, 10 * time.Second, carobpulley.KindQuota},
	}
	for _, tc := range cases {
		spec := carobpulley.JobSpec{
			ID: jobOf(tc.member, 9), Service: tc.service, Payloads: make([][]byte, tc.tasks), Deadline: start.Add(tc.deadline),
		}
		var got carobpulley.Kind
		var refusal *carobpulley.Error
		if err := a.Admit(start, spec); errors.As(err, &refusal) {
			got = refusal.Kind
			if !refusal.NotRun {
				t.Errorf("%s: the refusal does not set NotRun", tc.name)
			}
		}
		if d := cmp.Diff(tc.want, got); d != "" {
			t.Errorf("%s (-want +got):\n%s", tc.name, d)
		}
	}
}

// Guards against unbounded queues and against one member that uses up the whole
// queue.
func TestQueueBounds(t *testing.T) {
	a := admit.New(endpoints{})
	a.Configure(start, catalogue(carobpulley.Member{Name: "m"}, carobpulley.Member{Name: "n"}))
	taken := map[string]int{}
	for i, member := range []string{"m", "n"} {
		for k := range 3000 {
			spec := carobpulley.JobSpec{
				ID: jobOf(member, k), Service: serviceOf(member, carobpulley.ClassBulk),
				Payloads: make([][]byte, carobpulley.MaxTasks), Deadline: start.Add(time.Minute),
			}
			if a.Admit(start, spec) != nil {
				break
			}
			taken[member]++
			for index := range spec.Payloads {
				a.Push(start, waiting(member, carobpulley.ClassBulk, 10_000*i+k, index, start))
			}
		}
	}
	if taken["m"] >= 3000 || taken["n"] < taken["m"]-1 {
		t.Errorf("accepted jobs by member: %v", taken)
	}
}
