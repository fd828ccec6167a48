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

// fakeEntry decodes requests and replies as an entry does, but makes no decisions.
type fakeEntry struct {
	wire.UnimplementedEntryServiceHandler
	claims []inner.OwnersRecord
}

// Announce implements wire.EntryServiceHandler.
func (fakeEntry) Announce(_ context.Context, r *connect.Request[wire.AnnounceRequest]) (*connect.Response[wire.AnnounceReply], error) {
	if _, err := inner.AnnouncementFromWire(r.Msg); err != nil {
		return nil, err
	}
	return connect.NewResponse(inner.AnnounceAnswerToWire(inner.AnnounceAnswer{ConfigVersion: 1_000_000, InService: true})), nil
}

// Contact implements wire.EntryServiceHandler.
func (e fakeEntry) Contact(_ context.Context, r *connect.Request[wire.ContactRequest]) (*connect.Response[wire.ContactReply], error) {
	in, err := inner.ContactFromWire(r.Msg)
	if err != nil {
		return nil, err
	}
	in.Entry = receiverEntry
	return connect.NewResponse(inner.ContactAnswerToWire(inner.ContactAnswer{Contact: in, Vouch: true, Claims: e.claims})), nil
}

// Witness implements wire.EntryServiceHandler.
func (fakeEntry) Witness(_ context.Context, r *connect.Request[wire.WitnessRequest]) (*connect.Response[wire.WitnessReply], error) {
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
func (fakeEntry) Submit(_ context.Context, r *connect.Request[wire.SubmitRequest]) (*connect.Response[wire.JobReply], error) {
	in, err := inner.SubmissionFromWire(r.Msg)
	if err != nil {
		return nil, err
	}
	a := answeredClaim(carobpulley.Claim{Spec: in.Spec}).Answer
	return connect.NewResponse(inner.JobReplyToWire(inner.JobReply{Answer: *a, Owner: ownerEntry})), nil
}

// fakeAgent answers each dispatch at once with a result of the size of the payload.
type fakeAgent struct {
	wire.UnimplementedAgentServiceHandler
	started   []carobpulley.StartedTask
	startedAt time.Time
}

func (a *fakeAgent) clock() int64 { return int64(time.Since(a.startedAt)) + 1 }

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

// Names of the exchanges whose answer, not request, varies with the size.
const (
	contactName = "contact"
	fenceName   = "fence"
)

// exchange is a kind of call that is measured at several sizes.
type exchange struct {
	name, per, fixed string
	sizes            []int
	// agent is set if an agent answers, not an entry.
	agent bool
	// call returns a function that makes a call of the given size to an address.
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
	msg := inner.Announcement{Endpoint: newEndpoint(2599, size, designMembers*servicesPerMember), Load: carobpulley.Load{Running: 8, Queued: 2}}
	msg.Endpoint.Incarnation = uint64(virtualStart.UnixNano())
	return func(ctx context.Context) error {
		msg := msg
		msg.AgentTime = time.Now().UnixNano()
		_, err := c.Entry(to).Announce(ctx, connect.NewRequest(inner.AnnouncementToWire(msg)))
		return err
	}
}

func contactCall(c *inner.Client, to netip.AddrPort, _ int) func(context.Context) error {
	msg := inner.Contact{Entry: ownerEntry, Incarnation: uint64(virtualStart.UnixNano()), ConfigVersion: 1_000_000, OwnersOffset: 10_000}
	return func(ctx context.Context) error {
		_, err := c.Entry(to).Contact(ctx, connect.NewRequest(inner.ContactToWire(msg)))
		return err
	}
}

func dispatchCall(c *inner.Client, to netip.AddrPort, size int) func(context.Context) error {
	s := newJobSpec(0, 1)
	return func(ctx context.Context) error {
		_, err := c.Agent(to).Dispatch(ctx, connect.NewRequest(inner.DispatchToWire(carobpulley.Entering{
			Dispatch: carobpulley.Dispatch{
				ID: carobpulley.TaskID{Job: s.ID, Index: 119}, Attempt: firstAttempt, Shard: 511, Epoch: 1, Endpoint: endpointID,
				Service: s.Service, Payload: make([]byte, size), Deadline: time.Now().Add(time.Minute),
			},
			Echo: time.Now().UnixNano(), Incarnation: uint64(virtualStart.UnixNano()), ConfigVersion: 1_000_000, InService: true,
		})))
		return err
	}
}

func witnessCall(c *inner.Client, to netip.AddrPort, size int) func(context.Context) error {
	claims := make([]carobpulley.Claim, size)
	for i := range claims {
		claims[i] = newClaim(i, 20)
	}
	return func(ctx context.Context) error {
		_, err := c.Entry(to).Witness(ctx, connect.NewRequest(inner.WitnessingToWire(inner.Witnessing{Owner: ownerEntry, Claims: claims})))
		return err
	}
}

func submitCall(c *inner.Client, to netip.AddrPort, size int) func(context.Context) error {
	s := inner.Submission{Spec: newJobSpec(0, size), Wait: true, Receiver: receiverEntry, Epoch: 1}
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
		r, err := c.Agent(to).Fence(ctx, connect.NewRequest(inner.FenceRequestToWire(inner.FenceRequest{Owner: ownerEntry, Shards: shards})))
		if err != nil {
			return err
		}
		_, err = inner.FenceAnswerFromWire(endpointID, r.Msg)
		return err
	}
}

// ninthOfShards returns approximately the shards of one of nine entries.
func ninthOfShards() []carobpulley.Ownership {
	shards := make([]carobpulley.Ownership, 0, designShards/9)
	for i := 0; i+9 < designShards; i += 9 {
		shards = append(shards, carobpulley.Ownership{Shard: i, Owner: ownerEntry, Epoch: 2})
	}
	return shards
}

// exchangeCost is the bytes and the processor time of one exchange.
type exchangeCost struct {
	bytes float64
	cpuTime
}

func measureExchanges(ctx context.Context) ([]measurement, error) {
	var out []measurement
	for _, x := range exchanges() {
		bytes := measurement{Quantity: x.name + " exchange", Unit: unitBytes, Per: x.per, Code: "inner.Client, inner.Server", Fixed: x.fixed}
		nanos := bytes
		nanos.Unit = unitNanos
		nanos.Fixed = joinNonEmpty(x.fixed, "both sides, 16 calls at a time")
		system := nanos
		system.Quantity += ", system time"
		bytes.Fixed = joinNonEmpty(x.fixed, "both directions, over an open connection")
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

// joinNonEmpty joins two texts by a comma; the first may be empty.
func joinNonEmpty(a, b string) string {
	if a == "" {
		return b
	}
	return a + ", " + b
}

func (x exchange) measure(ctx context.Context, size int) (exchangeCost, error) {
	var out exchangeCost
	s, err := x.serve(ctx, size)
	if err != nil {
		return out, err
	}
	defer s.stop(ctx)
	p, err := newCountingProxy(ctx, s.Addr())
	if err != nil {
		return out, err
	}
	defer func() { _ = p.listener.Close() }()
	c, err := inner.NewClient(inner.TLS{})
	if err != nil {
		return out, err
	}
	defer c.Close()
	// The warm-up calls fill the connection's dynamic header table, so that it is full
	// during the counted calls.
	const warmUpCalls, counted = 100, 200
	call := x.call(c, p.addr(), size)
	if err := repeatCalls(ctx, call, warmUpCalls, 1); err != nil {
		return out, err
	}
	before := p.bytes.Load()
	if err := repeatCalls(ctx, call, counted, 1); err != nil {
		return out, err
	}
	out.bytes = float64(p.bytes.Load()-before) / counted
	call = x.call(c, s.Addr(), size)
	if err := repeatCalls(ctx, call, warmUpCalls, 1); err != nil {
		return out, err
	}
	const timed, parallel = 640, 16
	out.cpuTime = measureCPU(1, func() { err = errors.Join(err, repeatCalls(ctx, call, timed, parallel)) })
	out.total /= timed
	out.system /= timed
	return out, err
}

func (x exchange) serve(ctx context.Context, size int) (*innerServer, error) {
	if !x.agent {
		e := fakeEntry{}
		if x.name == contactName {
			for i := range size {
				e.claims = append(e.claims, inner.OwnersRecord{
					Offset: uint64(10_000 + i), ID: "entry-a-dn2lv0-1", Entry: ownerEntry, Incarnation: 1, Shards: ninthOfShards(),
				})
			}
		}
		pattern, h := inner.EntryHandler(e)
		return serveInner(ctx, pattern, h)
	}
	a := &fakeAgent{startedAt: time.Now()}
	if x.name == fenceName {
		claims := make([]carobpulley.Claim, size/20)
		for i := range claims {
			claims[i] = newClaim(i, 20)
		}
		a.started = startedTasks(claims)
	}
	pattern, h := inner.AgentHandler(a)
	return serveInner(ctx, pattern, h)
}

// repeatCalls makes a number of calls, several in parallel, and returns an error if one
// fails.
func repeatCalls(ctx context.Context, call func(context.Context) error, calls, parallel int) error {
	ctx, cancel := context.WithTimeout(ctx, time.Minute)
	defer cancel()
	var wg sync.WaitGroup
	var failed atomic.Pointer[error]
	for range parallel {
		wg.Go(func() {
			for range calls / parallel {
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
