package coord

import (
	"context"
	"testing"
	"time"

	"connectrpc.com/connect"

	"carobpulley/wire/relay"
)

// grantingPeer grants an id after its first answer to a recall.
type grantingPeer struct {
	heldPeer
	id string
}

func (p *grantingPeer) Held(ctx context.Context, r *connect.Request[relay.HeldRequest]) (*connect.Response[relay.HeldReply], error) {
	reply := &relay.HeldReply{}
	if p.calls.Load() > 0 {
		reply.Held = []*relay.Held{{Id: p.id, Present: true}}
	}
	_, err := p.heldPeer.Held(ctx, r)
	return connect.NewResponse(reply), err
}

// Guards against a home that grants an id by a recall from before its pause: another coordinator has stood in
// for it meanwhile.
func TestRecallFromBeforeAPauseIsNotEnough(t *testing.T) {
	id := ownID(0)
	p := &grantingPeer{heldPeer{after: 30 * time.Millisecond}, id}
	withHome(t, p, func(t *testing.T, c *Coordinator) {
		c.joinSelf()
		go c.takeAsHome(t, ownID(1000), asker)
		time.Sleep(20 * time.Millisecond) // the peer has answered, and the answer is on its way
		c.lock()
		c.lastTick = c.clock.Now().Add(-2 * time.Second) // a pause begins and ends here
		c.mu.Unlock()
		if h, _ := c.takeAsHome(t, id, asker); h.Holder.Same(asker) {
			t.Errorf("granted after %d recalls, though the peer has the job", p.calls.Load())
		}
	})
}
