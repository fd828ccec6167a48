package guard

import (
	"context"
	"net/netip"
	"time"

	"connectrpc.com/connect"
	"github.com/go-faster/errors"

	"carobpulley/wire/relay"
)

// forwardTimeout bounds a call that is passed on between two coordinators.
const forwardTimeout = 100 * time.Millisecond

// Forward implements relay.AgentServiceHandler.
func (a *Agent) Forward(ctx context.Context, r *connect.Request[relay.ForwardRequest]) (*connect.Response[relay.HoldReply], error) {
	addr, err := netip.ParseAddrPort(r.Msg.GetAddr())
	if err == nil && (addr.Port() == 0 || r.Msg.GetHold() == nil) {
		err = errors.New("no call, or an address that can't be called")
	}
	if err != nil {
		return nil, connect.NewError(connect.CodeInvalidArgument, err)
	}
	a.cfg.Meter.Add("forwards", 1)
	peer := a.peers.At(addr)
	call, cancel := context.WithTimeout(ctx, forwardTimeout)
	defer cancel()
	reply, err := peer.Coordinator.Hold(call, connect.NewRequest(r.Msg.GetHold()))
	if err != nil {
		return nil, peer.CallError("forward", err)
	}
	return connect.NewResponse(reply.Msg), nil
}
