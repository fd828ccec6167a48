package coord

import (
	"context"
	"fmt"
	"net/http"
	"net/netip"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"connectrpc.com/connect"

	"carobpulley/holds"
	"carobpulley/link"
	"carobpulley/memnet"
	"carobpulley/wire/relay"
	"carobpulley/work"
)

// fakeReplica answers asks after a time, as reply says.
type fakeReplica struct {
	relay.UnimplementedCoordinatorServiceHandler
	takes time.Duration
	reply func(m *relay.HoldRequest) *relay.HoldReply

	mu          sync.Mutex
	calls, asks int
	open, most  int
}

func (h *fakeReplica) Hold(ctx context.Context, r *connect.Request[relay.HoldRequest]) (*connect.Response[relay.HoldReply], error) {
	h.mu.Lock()
	h.calls++
	h.asks += len(r.Msg.GetAsks())
	h.open++
	h.most = max(h.most, h.open)
	h.mu.Unlock()
	select {
	case <-time.After(h.takes):
	case <-ctx.Done():
	}
	h.mu.Lock()
	h.open--
	h.mu.Unlock()
	return connect.NewResponse(h.reply(r.Msg)), nil
}

// withReplica runs a test with a coordinator whose only replica is h.
func withReplica(t *testing.T, h *fakeReplica, test func(t *testing.T, c *Coordinator)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		net := memnet.New(time.Millisecond)
		addr := netip.MustParseAddrPort("10.0.0.2:7000")
		mux := http.NewServeMux()
		mux.Handle(relay.NewCoordinatorServiceHandler(h))
		server := &http.Server{Handler: mux, ReadHeaderTimeout: time.Minute}
		ln := net.Listen(addr)
		go func() { _ = server.Serve(ln) }()
		c := newControlTest(t, &recordedStore{})
		c.baseCtx = t.Context()
		c.peers = link.NewPeersWithDial(net.Dialer(netip.MustParseAddr("10.0.0.1")))
		c.lock()
		c.handleCoordinatorAddress(work.Address{Name: "replica", Addr: addr, Incarnation: 1, Share: 1})
		c.mu.Unlock()
		test(t, c)
		c.peers.Close()
		_ = server.Close()
		synctest.Wait()
	})
}

func grantAll(m *relay.HoldRequest) *relay.HoldReply {
	r := &relay.HoldReply{}
	for range m.GetAsks() {
		r.Holds = append(r.Holds, &relay.Hold{})
	}
	return r
}

// Answers the load pattern of a burst at a coordinator, or at a replica: there must be one call at a time with
// all asks that wait, not a call and a connection for each job.
func TestOneCallToAReplicaCarriesAllThatWait(t *testing.T) {
	const jobs = 400
	h := &fakeReplica{takes: 20 * time.Millisecond, reply: grantAll}
	withReplica(t, h, func(t *testing.T, c *Coordinator) {
		var wg sync.WaitGroup
		for n := range jobs {
			wg.Go(func() {
				if outcome, hold, _ := c.askReplicas(t.Context(), fmt.Sprintf("%016x", n), 0); outcome != holds.Granted {
					t.Errorf("job %d: outcome %d, held by %+v", n, outcome, hold.Holder)
				}
			})
			time.Sleep(time.Millisecond)
		}
		wg.Wait()
		if h.most != 1 || h.asks != jobs || h.calls > jobs/20+2 {
			t.Errorf("%d calls with %d asks, %d at a time; want at most %d with %d, one at a time", h.calls, h.asks, h.most, jobs/20+2, jobs)
		}
	})
}

// Guards against a job that waits for good, or that another process seems to have, because of a replica that
// answers less than it was asked, with a holder that can't be called, or not at all.
func TestOddReplicas(t *testing.T) {
	none := func(*relay.HoldRequest) *relay.HoldReply { return &relay.HoldReply{} }
	unknown := func(m *relay.HoldRequest) *relay.HoldReply {
		r := grantAll(m)
		for _, hold := range r.GetHolds() {
			hold.Holder = &relay.Holder{Coordinator: "other", Addr: "x"}
		}
		return r
	}
	for name, h := range map[string]*fakeReplica{
		"nothing":    {reply: none},
		"no address": {reply: unknown},
		"too late":   {reply: grantAll, takes: 10 * holdTimeout},
	} {
		t.Run(name, func(t *testing.T) {
			withReplica(t, h, func(t *testing.T, c *Coordinator) {
				began := time.Now()
				if outcome, hold, _ := c.askReplicas(t.Context(), "0000000000000001", 0); outcome != holds.NoAnswer {
					t.Errorf("outcome %d, held by %+v; want no answer", outcome, hold.Holder)
				}
				if took := time.Since(began); took > 2*holdTimeout {
					t.Errorf("took %s, want %s at most", took, 2*holdTimeout)
				}
			})
		})
	}
}
