package emul

import (
	"context"
	"sync"
	"testing"
	"time"

	"connectrpc.com/connect"

	"carobpulley/wire/relay"
)

// Guards against two runs of a task at a time if a process has just begun and doesn't know the other coordinators.
func TestJobThatComesBeforeTheMembersAreKnown(t *testing.T) {
	for after := time.Duration(0); after < 8*time.Millisecond; after += time.Millisecond {
		runFleet(t, homesSpec(700*time.Millisecond), func(_ *testing.T, f *Fleet) {
			f.coordinator(0).Kill()
			var wg sync.WaitGroup
			wg.Go(func() { f.submitUntil(1, testJob(0, true, 1), 200*time.Millisecond) })
			time.Sleep(50 * time.Millisecond)
			f.StartCoordinator(0)
			time.Sleep(after)
			f.submitUntil(0, testJob(0, true, 1), 3*time.Second)
			wg.Wait()
		})
	}
}

// Guards against two runs of a task at a time if a process once asked in vain for an id, and later is the only
// replica that answers itself: its vote for itself is older than the hold.
func TestVoteOfAProcessThatAskedInVain(t *testing.T) {
	for apart := time.Duration(0); apart < 6*time.Millisecond; apart += time.Millisecond {
		spec := homesSpec(1500 * time.Millisecond)
		spec.Coordinators = 3
		runFleet(t, spec, func(_ *testing.T, f *Fleet) {
			f.askAll(100, 0, 1, 2)
			var wg sync.WaitGroup
			for n := range 8 {
				wg.Go(func() { f.submitUntil(0, testJob(n, true, 1), 900*time.Millisecond) })
				wg.Go(func() {
					time.Sleep(apart)
					f.submitUntil(2, testJob(n, true, 1), 40*time.Millisecond)
				})
			}
			time.Sleep(800 * time.Millisecond)
			wg.Go(func() { f.coordinator(0).Freeze(700 * time.Millisecond) })
			wg.Go(func() { f.coordinator(1).Freeze(700 * time.Millisecond) })
			time.Sleep(10 * time.Millisecond)
			for n := range 8 {
				wg.Go(func() { f.submitUntil(2, testJob(n, true, 1), 4*time.Second) })
			}
			wg.Wait()
		})
	}
}

// Guards against a holder that grants the id of its own job to another process: those that know other members may
// take it for a replica, and one that doesn't reach it may take its hold for that of a process that is gone.
func TestHolderKnowsItsOwnHold(t *testing.T) {
	spec := homesSpec(700 * time.Millisecond)
	spec.Coordinators = 6
	runFleet(t, spec, func(t *testing.T, f *Fleet) {
		const jobs = 16
		var wg sync.WaitGroup
		for n := range jobs {
			wg.Go(func() { f.submitUntil(0, testJob(n, true, 1), 3*time.Second) })
		}
		time.Sleep(100 * time.Millisecond)
		asks := make([]*relay.HoldAsk, jobs)
		for n := range asks {
			asks[n] = &relay.HoldAsk{Id: jobID(n), Number: 1}
		}
		other := &relay.Holder{Coordinator: "coordinator-1", Incarnation: 2, Addr: "10.1.0.2:7000"}
		for range 2 {
			reply, err := f.coordinator(0).Coordinator.Handler().Hold(context.Background(), connect.NewRequest(&relay.HoldRequest{Holder: other, Asks: asks}))
			if err != nil {
				t.Fatal(err)
			}
			for n, h := range reply.Msg.GetHolds() {
				if got := h.GetHolder().GetCoordinator(); got != "coordinator-0" {
					t.Errorf("job %d: coordinator 0, which runs it, grants its id to %q", n, got)
				}
				asks[n].Replaced = h.GetNumber()
			}
		}
		wg.Wait()
	})
}

// Guards against two runs of a task at a time if a submission has joined a job for longer than a start without an
// answer of the replicas waits, and then the holder and the replicas end together.
func TestHolderAndReplicasEndUnderAJoinedJob(t *testing.T) {
	runFleet(t, homesSpec(3*time.Second), func(_ *testing.T, f *Fleet) {
		f.askAll(100, 0, 1, 2, 3)
		var wg sync.WaitGroup
		for n := range 16 {
			wg.Go(func() { f.submitUntil(0, testJob(n, true, 1), 5*time.Second) })
			wg.Go(func() {
				time.Sleep(10 * time.Millisecond)
				f.submitUntil(1, testJob(n, true, 1), 9*time.Second)
			})
		}
		time.Sleep(1500 * time.Millisecond)
		for _, n := range []int{0, 2, 3} {
			f.coordinator(n).Kill()
		}
		wg.Wait()
	})
}
