package main

import (
	"context"
	"errors"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"connectrpc.com/connect"

	"carobpulley"
	"carobpulley/inner"
	"carobpulley/wire"
)

// peerEntry answers as an entry does, without deciding anything.
type peerEntry struct {
	wire.UnimplementedEntryServiceHandler
	claims []inner.OwnersRecord
}

// Announce implements wire.EntryServiceHandler.
func (peerEntry) Announce(_ context.Context, r *connect.Request[wire.AnnounceRequest]) (*connect.Response[wire.AnnounceReply], error) {
	if _, err := inner.AnnouncementFromWire(r.Msg); err != nil {
		return nil, err
	}
	return connect.NewResponse(inner.AnnounceAnswerToWire(inner.AnnounceAnswer{ConfigVersion: 1_000_000, InService: true})), nil
}

// Contact implements wire.EntryServiceHandler.
func (p peerEntry) Contact(_ context.Context, r *connect.Request[wire.ContactRequest]) (*connect.Response[wire.ContactReply], error) {
	in, err := inner.ContactFromWire(r.Msg)
	if err != nil {
		return nil, err
	}
	in.Entry = receiving
	return connect.NewResponse(inner.ContactAnswerToWire(inner.ContactAnswer{Contact: in, Vouch: true, Claims: p.claims})), nil
}

// Witness implements wire.EntryServiceHandler.
func (peerEntry) Witness(_ context.Context, r *connect.Request[wire.WitnessRequest]) (*connect.Response[wire.WitnessReply], error) {
	in, err := inner.WitnessingFromWire(r.Msg)
	if err != nil {
		return nil, err
	}
	held := make([]bool, len(in.Claims))
	for i := range held {
		held[i] = true
	}
	return connect.NewResponse(inner.WitnessAnswerToWire(held)), nil
}

// Submit implements wire.EntryServiceHandler.
func (peerEntry) Submit(_ context.Context, r *connect.Request[wire.SubmitRequest]) (*connect.Response[wire.JobReply], error) {
	in, err := inner.SubmissionFromWire(r.Msg)
	if err != nil {
		return nil, err
	}
	a := answeredClaim(carobpulley.Claim{Spec: in.Spec}).Answer
	return connect.NewResponse(inner.JobReplyToWire(inner.JobReply{Answer: *a, Owner: owning})), nil
}

// fakeAgent answers each dispatch at once with a result as large as the payload.
type fakeAgent struct {
	wire.UnimplementedAgentServiceHandler
	started []carobpulley.StartedTask
	began   time.Time
}

func (a *fakeAgent) clock() int64 { return int64(time.Since(a.began)) + 1 }

// Dispatch implements wire.AgentServiceHandler.
func (a *fakeAgent) Dispatch(_ context.Context, r *connect.Request[wire.DispatchRequest]) (*connect.Response[wire.DispatchReply], error) {
	in, err := inner.DispatchFromWire(r.Msg)
	if err != nil {
		return nil, err
	}
	return connect.NewResponse(inner.DispatchAnswerToWire(inner.DispatchAnswer{
		Phase: carobpulley.PhaseDone, Status: 200, Result: make([]byte, len(in.Dispatch.Payload)),
		AgentTime: a.clock(), Run: designRunTime, Incarnation: in.Incarnation,
	})), nil
}

// Fence implements wire.AgentServiceHandler.
func (a *fakeAgent) Fence(_ context.Context, r *connect.Request[wire.FenceRequest]) (*connect.Response[wire.FenceReply], error) {
	if _, err := inner.FenceRequestFromWire(r.Msg); err != nil {
		return nil, err
	}
	return connect.NewResponse(inner.FenceAnswerToWire(inner.FenceAnswer{
		Fenced: true, Started: a.started, AgentTime: a.clock(), Incarnation: 1, Complete: true,
	}, designShards)), nil
}

// designShards is the number of shards at the design size.
const designShards = 512

// Names of exchanges whose answer depends on the size.
const (
	contactName = "contact"
	fenceName   = "fence"
)

// exchange is a kind of call at a size.
type exchange struct {
	name, per, fixed string
	sizes            []int
	// agent tells whether an agent or an entry answers.
	agent bool
	// call returns a call of the given size to an address.
	call func(c *inner.Client, to netip.AddrPort, size int) func(context.Context) error
}

func exchanges() []exchange {
	return []exchange{
		{"announce", "service of the endpoint", "", serviceSizes, false, announceCall},
		{contactName, "ownership claim attached", "56 shards per claim, no configuration attached", []int{0, 8, 64}, false, contactCall},
		{"dispatch", "byte of payload and of result", "", []int{64, 1024, 16 << 10}, true, dispatchCall},
		{"witness", "claim in the message", "20 tasks of 256 bytes per claim", []int{1, 16, 128}, false, witnessCall},
		{"submit", "task of the job", fixedPayload, taskSizes, false, submitCall},
		{fenceName, "started task in the answer", "56 shards in the question, results of 256 bytes", []int{0, 100, 1000}, true, fenceCall},
	}
}

func announceCall(c *inner.Client, to netip.AddrPort, size int) func(context.Context) error {
	msg := inner.Announcement{Endpoint: endpointAt(2599, size, designMembers*servicesPerMember), Load: carobpulley.Load{Running: 8, Queued: 2}}
	msg.Endpoint.Incarnation = uint64(origin.UnixNano())
	return func(ctx context.Context) error {
		msg := msg
		msg.AgentTime = time.Now().UnixNano()
		_, err := c.Entry(to).Announce(ctx, connect.NewRequest(inner.AnnouncementToWire(msg)))
		return err
	}
}

func contactCall(c *inner.Client, to netip.AddrPort, _ int) func(context.Context) error {
	msg := inner.Contact{Entry: owning, Incarnation: uint64(origin.UnixNano()), ConfigVersion: 1_000_000, OwnersOffset: 10_000}
	return func(ctx context.Context) error {
		_, err := c.Entry(to).Contact(ctx, connect.NewRequest(inner.ContactToWire(msg)))
		return err
	}
}

func dispatchCall(c *inner.Client, to netip.AddrPort, size int) func(context.Context) error {
	s := specAt(0, 1)
	return func(ctx context.Context) error {
		_, err := c.Agent(to).Dispatch(ctx, connect.NewRequest(inner.DispatchToWire(carobpulley.Entering{
			Dispatch: carobpulley.Dispatch{
				ID: carobpulley.TaskID{Job: s.ID, Index: 119}, Attempt: firstAttempt, Shard: 511, Epoch: 1, Endpoint: worker,
				Service: s.Service, Payload: make([]byte, size), Deadline: time.Now().Add(time.Minute),
			},
			Echo: time.Now().UnixNano(), Incarnation: uint64(origin.UnixNano()), ConfigVersion: 1_000_000, InService: true,
		})))
		return err
	}
}

func witnessCall(c *inner.Client, to netip.AddrPort, size int) func(context.Context) error {
	claims := make([]carobpulley.Claim, size)
	for i := range claims {
		claims[i] = claimAt(i, 20)
	}
	return func(ctx context.Context) error {
		_, err := c.Entry(to).Witness(ctx, connect.NewRequest(inner.WitnessingToWire(inner.Witnessing{Owner: owning, Claims: claims})))
		return err
	}
}

func submitCall(c *inner.Client, to netip.AddrPort, size int) func(context.Context) error {
	s := inner.Submission{Spec: specAt(0, size), Wait: true, Receiver: receiving, Epoch: 1}
	return func(ctx context.Context) error {
		r, err := c.Entry(to).Submit(ctx, connect.NewRequest(inner.SubmissionToWire(s)))
		if err != nil {
			return err
		}
		_, err = inner.JobReplyFromWire(s.Spec.ID, r.Msg)
		return err
	}
}

func fenceCall(c *inner.Client, to netip.AddrPort, _ int) func(context.Context) error {
	shards := ninthOfShards()
	return func(ctx context.Context) error {
		r, err := c.Agent(to).Fence(ctx, connect.NewRequest(inner.FenceRequestToWire(inner.FenceRequest{Owner: owning, Shards: shards})))
		if err != nil {
			return err
		}
		_, err = inner.FenceAnswerFromWire(worker, r.Msg)
		return err
	}
}

// ninthOfShards returns about the shards of one of nine entries.
func ninthOfShards() []carobpulley.Ownership {
	shards := make([]carobpulley.Ownership, 0, designShards/9)
	for i := 0; i+9 < designShards; i += 9 {
		shards = append(shards, carobpulley.Ownership{Shard: i, Owner: owning, Epoch: 2})
	}
	return shards
}

// cost is what one exchange takes.
type cost struct {
	bytes float64
	used
}

func wireSlopes(ctx context.Context) ([]slope, error) {
	var out []slope
	for _, x := range exchanges() {
		bytes := slope{Quantity: x.name + " exchange", Unit: unitBytes, Per: x.per, Code: "inner.Client, inner.Server", Fixed: x.fixed}
		nanos := bytes
		nanos.Unit = unitNanos
		nanos.Fixed = joined(x.fixed, "both sides, 16 calls at a time")
		system := nanos
		system.Quantity += ", system time"
		bytes.Fixed = joined(x.fixed, "both directions, over an open connection")
		for _, n := range x.sizes {
			c, err := x.measure(ctx, n)
			if err != nil {
				return nil, err
			}
			bytes.add(n, c.bytes)
			nanos.add(n, c.total)
			system.add(n, c.system)
		}
		out = append(out, bytes, nanos, system)
	}
	return out, nil
}

func joined(a, b string) string {
	if a == "" {
		return b
	}
	return a + ", " + b
}

func (x exchange) measure(ctx context.Context, size int) (cost, error) {
	var out cost
	s, err := x.serve(ctx, size)
	if err != nil {
		return out, err
	}
	defer s.stop(ctx)
	r, err := newRelay(ctx, s.Addr())
	if err != nil {
		return out, err
	}
	defer func() { _ = r.listener.Close() }()
	c, err := inner.NewClient(inner.TLS{})
	if err != nil {
		return out, err
	}
	defer c.Close()
	// Of the calls that count, the connection's dynamic header table is full.
	const warm, counted = 100, 200
	call := x.call(c, r.addr(), size)
	if err := repeat(ctx, call, warm, 1); err != nil {
		return out, err
	}
	before := r.bytes.Load()
	if err := repeat(ctx, call, counted, 1); err != nil {
		return out, err
	}
	out.bytes = float64(r.bytes.Load()-before) / counted
	call = x.call(c, s.Addr(), size)
	if err := repeat(ctx, call, warm, 1); err != nil {
		return out, err
	}
	const timed, together = 640, 16
	out.used = cpuParts(1, func() { err = errors.Join(err, repeat(ctx, call, timed, together)) })
	out.total /= timed
	out.system /= timed
	return out, err
}

func (x exchange) serve(ctx context.Context, size int) (*server, error) {
	if !x.agent {
		p := peerEntry{}
		if x.name == contactName {
			for i := range size {
				p.claims = append(p.claims, inner.OwnersRecord{
					Offset: uint64(10_000 + i), ID: "entry-a-dn2lv0-1", Entry: owning, Incarnation: 1, Shards: ninthOfShards(),
				})
			}
		}
		pattern, h := inner.EntryHandler(p)
		return serveInner(ctx, pattern, h)
	}
	a := &fakeAgent{began: time.Now()}
	if x.name == fenceName {
		claims := make([]carobpulley.Claim, size/20)
		for i := range claims {
			claims[i] = claimAt(i, 20)
		}
		a.started = startedBy(claims)
	}
	pattern, h := inner.AgentHandler(a)
	return serveInner(ctx, pattern, h)
}

// repeat makes a number of calls, several at a time.
func repeat(ctx context.Context, call func(context.Context) error, times, together int) error {
	ctx, cancel := context.WithTimeout(ctx, time.Minute)
	defer cancel()
	var wg sync.WaitGroup
	var failed atomic.Pointer[error]
	for range together {
		wg.Go(func() {
			for range times / together {
				if err := call(ctx); err != nil {
					failed.Store(&err)
					return
				}
			}
		})
	}
	wg.Wait()
	if err := failed.Load(); err != nil {
		return *err
	}
	return nil
}
