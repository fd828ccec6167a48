package admit_test

import (
	"fmt"
	"testing"
	"time"

	"carobpulley"
	"carobpulley/admit"
)

var start = time.Unix(1_000_000, 0)

// endpoints is an Estimator that runs everything and knows no times.
type endpoints struct{}

func (endpoints) CanRun(service string) bool              { return service != "nowhere" }
func (endpoints) Expect(time.Time, string, int) time.Time { return time.Time{} }
func (endpoints) Least(string) time.Duration              { return 0 }
func anywhere(string) bool                                { return true }
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

// Guards against a class that starves while more urgent ones are full.
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
		w, _ := a.Next(start, anywhere)
		got[w.Class]++
	}
	for class, want := range map[carobpulley.Class]int{"urgent": 800, "normal": 300, "bulk": 100} {
		if d := got[class] - want; d < -2 || d > 2 {
			t.Errorf("%s: %d starts of 1200, want %d", class, got[class], want)
		}
	}
}
