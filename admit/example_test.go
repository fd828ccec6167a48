package admit_test

import (
	"fmt"
	"time"

	"carobpulley"
	"carobpulley/admit"
)

// always is an Estimator for which every task can run at once.
type always struct{}

func (always) CanRun(string) bool { return true }

func (always) Expect(now time.Time, _ string, _ int) time.Time { return now }

func (always) MinRunTime(string) time.Duration { return 0 }

// A job of an unknown service is refused. Urgent tasks start before others.
func ExampleAdmitter() {
	now := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	a := admit.New(always{})
	a.Configure(now, &carobpulley.Catalogue{
		Version: 1,
		Members: map[string]carobpulley.Member{"rentals": {Name: "rentals", Weight: 1}},
		Services: map[string]carobpulley.Service{
			"confirm": {Name: "confirm", Member: "rentals", Class: carobpulley.ClassUrgent, MaxTasks: 120},
			"report":  {Name: "report", Member: "rentals", Class: carobpulley.ClassBulk, MaxTasks: 120},
		},
	})
	job := func(key, service string) carobpulley.JobSpec {
		return carobpulley.JobSpec{
			ID:       carobpulley.JobID{Member: "rentals", Key: key},
			Service:  service,
			Payloads: make([][]byte, 1),
			Deadline: now.Add(time.Minute),
		}
	}
	fmt.Println(a.Admit(now, job("j0", "unknown")))
	classes := map[string]carobpulley.Class{"report": carobpulley.ClassBulk, "confirm": carobpulley.ClassUrgent}
	for _, service := range []string{"report", "confirm"} {
		spec := job("j-"+service, service)
		fmt.Println(service, a.Admit(now, spec))
		a.Push(now, carobpulley.Waiting{
			Task: carobpulley.TaskID{Job: spec.ID}, Service: service, Member: "rentals",
			Class: classes[service], Deadline: spec.Deadline, QueuedAt: now,
		})
	}
	w, ok := a.Next(now, func(string) bool { return true })
	fmt.Println("first:", w.Service, ok)
	// Output:
	// admit: impossible: service "unknown" is not in the catalogue
	// report <nil>
	// confirm <nil>
	// first: confirm true
}
