package coord

import (
	"fmt"
	"testing"

	"carobpulley/holds"
	"carobpulley/wire/relay"
)

// Guards against a job that goes on at its home and is given up there, since the next home takes it for that of a
// process which has ended.
func TestCopyOfAHoldIsNotDoubted(t *testing.T) {
	withHome(t, &heldPeer{held: &relay.HeldReply{}}, func(t *testing.T, c *Coordinator) {
		c.joinSelf()
		members := []holds.Member{{Name: "self", Weight: 1}, {Name: "home", Weight: 1}}
		id := ""
		for n := 0; id == "" || holds.First(id, members) != "home"; n++ {
			id = fmt.Sprintf("%016x", n)
		}
		by := holds.Holder{Coordinator: "home", Incarnation: 1}
		c.lock()
		c.holdings.memory.Ended("home", holds.Holder{Coordinator: "third", Incarnation: 1}, c.now)
		ask := &holdAsk{id: id, by: by, passedOn: true, done: make(chan struct{})}
		c.passOn(ask)
		c.mu.Unlock()
		<-ask.done
		if !ask.hold.Holder.Same(by) {
			t.Errorf("held by %+v, want the home, which grants its own ids", ask.hold.Holder)
		}
	})
}
