package owner_test

import (
	"fmt"
	"time"

	"carobpulley"
	"carobpulley/owner"
)

// A job of one task from its submission to its answer, and a resubmission.
func ExampleTable() {
	now := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	t := owner.NewTable("entry-1", carobpulley.Shards)
	id := carobpulley.JobID{Member: "rentals", Key: "order-1"}
	t.Step(now, carobpulley.ShardOpened{
		Shard: carobpulley.ShardOf(id, carobpulley.Shards), Epoch: 1, AllAgents: true, AllClaims: true,
	})
	submitted := carobpulley.Submitted{
		Spec: carobpulley.JobSpec{
			ID: id, Service: "check", Payloads: [][]byte{[]byte("van")}, Deadline: now.Add(time.Minute),
		},
		// Entry 2 received the submission and holds a copy of the claim.
		Receiver: "entry-2",
	}
	show := func(actions []carobpulley.Action) {
		for _, a := range actions {
			fmt.Printf("%T\n", a)
		}
	}
	show(t.Step(now, submitted))
	d, ok := t.Start(now, carobpulley.TaskID{Job: id}, "ep-1", 1)
	fmt.Println("dispatched to", d.Endpoint, ok)
	show(t.Step(now, carobpulley.TaskEnded{ID: d.ID, Attempt: d.Attempt, Phase: carobpulley.PhaseDone, Result: []byte("ok")}))
	show(t.Step(now, submitted))
	a, err := t.Answer(now, id)
	fmt.Println(a.Outcome, string(a.Tasks[0].Result), err)
	// Output:
	// carobpulley.WriteJournal
	// carobpulley.QueueTask
	// dispatched to ep-1 true
	// carobpulley.WriteJournal
	// carobpulley.Finished
	// complete ok <nil>
}
