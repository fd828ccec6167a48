package coord

import (
	"context"
	"fmt"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"connectrpc.com/connect"

	"carobpulley/holds"
	"carobpulley/wire/relay"
	"carobpulley/work"
)

// heldPeer is a peer that answers recalls after a time.
type heldPeer struct {
	fakeHome
	after time.Duration
	held  *relay.HeldReply
	calls atomic.Int64
	last  atomic.Pointer[relay.HeldRequest]
}

func (p *heldPeer) Held(ctx context.Context, r *connect.Request[relay.HeldRequest]) (*connect.Response[relay.HeldReply], error) {
	p.calls.Add(1)
	p.last.Store(r.Msg)
	select {
	case <-time.After(p.after):
	case <-ctx.Done():
	}
	return connect.NewResponse(p.held), nil
}

// ownID is an id whose home is the coordinator under test beside the peer "home".
func ownID(from int) string {
	members := []holds.Member{{Name: "self", Weight: 1}, {Name: "home", Weight: 1}}
	for n := from; ; n++ {
		if id := fmt.Sprintf("%016x", n); holds.First(id, members) == "self" {
			return id
		}
	}
}

func (c *Coordinator) joinSelf() {
	c.lock()
	defer c.mu.Unlock()
	self := c.cfg.Self
	self.Share = 1
	c.handleCoordinatorAddress(self)
}

// takeAsHome asks for an id as another coordinator does, and returns the hold and the time that it took.
func (c *Coordinator) takeAsHome(t *testing.T, id string, by holds.Holder) (holds.Hold, time.Duration) {
	t.Helper()
	began := time.Now()
	ask := &holdAsk{id: id, by: by, done: make(chan struct{})}
	c.lock()
	c.passOn(ask)
	c.mu.Unlock()
	<-ask.done
	return ask.hold, time.Since(began)
}

var asker = holds.Holder{Coordinator: "asker", Incarnation: 1}

// Answers the load pattern of many jobs at a home that has just started: there must be one call to each peer,
// not one for each job, and none once the home is not young any more.
func TestRecallIsMadeOnce(t *testing.T) {
	p := &heldPeer{after: 20 * time.Millisecond, held: &relay.HeldReply{}}
	withHome(t, p, func(t *testing.T, c *Coordinator) {
		c.joinSelf()
		var wg sync.WaitGroup
		for n := range 200 {
			wg.Go(func() { c.takeAsHome(t, ownID(n*1000), asker) })
			time.Sleep(time.Millisecond)
		}
		wg.Wait()
		if got := p.calls.Load(); got != 1 {
			t.Errorf("%d calls, want 1", got)
		}
		if got := p.last.Load(); got.GetHome() != "self" || got.GetKey() != work.CoordinatorKey("self") {
			t.Errorf("asked %+v", got)
		}
		for _, want := range []string{"recalls 1", "recall_answers{answered} 1"} {
			if got := string(c.cfg.Meter.Text()); !strings.Contains(got, want) {
				t.Errorf("no %q in the figures:\n%s", want, got)
			}
		}
	})
	old := &heldPeer{held: &relay.HeldReply{}}
	withHome(t, old, func(t *testing.T, c *Coordinator) {
		c.joinSelf()
		time.Sleep(holderGoneAfter)
		c.lastTick = c.clock.Now() // no pause
		if _, took := c.takeAsHome(t, ownID(0), asker); took > 0 || old.calls.Load() > 0 {
			t.Errorf("took %s with %d calls, want neither", took, old.calls.Load())
		}
	})
}

// Guards against a home that waits for peers which do not answer, answer late, know no such call, or answer what
// can't be; and against a late answer that is lost.
func TestRecallBesideOddPeers(t *testing.T) {
	id := ownID(0)
	held := &relay.HeldReply{Held: []*relay.Held{{Id: id, Present: true}}}
	for name, s := range map[string]struct {
		peer *heldPeer
		// granted is set if the first ask is granted, and result is how the answer counts.
		granted bool
		result  string
	}{
		"in time":       {&heldPeer{after: 20 * time.Millisecond, held: held}, false, "answered"},
		"late":          {&heldPeer{after: 110 * time.Millisecond, held: held}, true, "answered"},
		"silent":        {&heldPeer{after: time.Second, held: held}, true, "unanswered"},
		"earlier build": {nil, true, "unsupported"},
		"no address":    {&heldPeer{held: &relay.HeldReply{Held: []*relay.Held{{Id: id, Hold: &relay.Hold{Holder: &relay.Holder{Coordinator: "x", Addr: "x"}}}}}}, true, "unanswered"},
		"no id":         {&heldPeer{held: &relay.HeldReply{Held: []*relay.Held{{Id: "\x00", Present: true}}}}, true, "unanswered"},
	} {
		t.Run(name, func(t *testing.T) {
			var handler relay.CoordinatorServiceHandler = &fakeHome{}
			if s.peer != nil {
				handler = s.peer
			}
			withHome(t, handler, func(t *testing.T, c *Coordinator) {
				c.joinSelf()
				h, took := c.takeAsHome(t, id, asker)
				if got := h.Holder.Same(asker); got != s.granted || took > recallWait {
					t.Errorf("granted %t after %s, want %t after %s at most", got, took, s.granted, recallWait)
				}
				time.Sleep(recallTimeout)
				synctest.Wait()
				want := "recall_answers{" + s.result + "} 1"
				if got := string(c.cfg.Meter.Text()); !strings.Contains(got, want) {
					t.Errorf("no %q in the figures:\n%s", want, got)
				}
			})
		})
	}
}

// Guards against a peer that is late and whose holds are then unknown to all later asks.
func TestLateAnswerCountsForLaterAsks(t *testing.T) {
	other := ownID(1000)
	p := &heldPeer{after: 110 * time.Millisecond, held: &relay.HeldReply{Held: []*relay.Held{{Id: other, Present: true}}}}
	withHome(t, p, func(t *testing.T, c *Coordinator) {
		c.joinSelf()
		c.takeAsHome(t, ownID(0), asker)
		time.Sleep(recallTimeout)
		if h, _ := c.takeAsHome(t, other, asker); h.Holder.Coordinator != "home" {
			t.Errorf("held by %+v, want the peer", h.Holder)
		}
	})
}

// Guards against a home that knows no coordinators yet, and grants what it is asked for.
func TestHomeWithoutMembersDoesNotAnswer(t *testing.T) {
	c := newControlTest(t, &recordedStore{})
	m := &relay.HoldRequest{Holder: &relay.Holder{Coordinator: "x", Addr: "127.0.0.1:1"}, Asks: []*relay.HoldAsk{{Id: ownID(0)}}}
	if r, err := c.Handler().Hold(t.Context(), connect.NewRequest(m)); connect.CodeOf(err) != connect.CodeUnavailable {
		t.Errorf("answer %v, %v; want an error", r, err)
	}
}
