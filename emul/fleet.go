package emul

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"net/http"
	"net/netip"
	"strconv"
	"sync"
	"time"

	"connectrpc.com/connect"
	"github.com/rs/zerolog"

	"carobpulley"
	"carobpulley/coord"
	"carobpulley/guard"
	"carobpulley/link"
	"carobpulley/memnet"
	"carobpulley/meter"
	"carobpulley/wire/relay"
	"carobpulley/work"
)

const (
	// heartbeatInterval is the time between two heartbeats of an endpoint.
	heartbeatInterval = 1500 * time.Millisecond
	// heartbeatStagger is the step between the delays of successive agents' first heartbeats.
	heartbeatStagger = 370 * time.Millisecond
	// networkDelay is the one-way delay between two hosts.
	networkDelay = time.Millisecond
	// maxLease is the longest lease of an endpoint.
	maxLease = time.Second
	// drainTimeout bounds the time for which a stopping process drains.
	drainTimeout = 5 * time.Second
	// closeDelay is the time allowed for open responses to end after the processes.
	closeDelay = time.Second
	// domainOutWithin is the time within which a change of a failure domain takes effect.
	domainOutWithin = 5 * time.Second
	innerPort       = 7000
	// targetCount is the number of targets of faults; faults on one target exclude each other.
	targetCount = 6
)

// Spec configures a fleet.
type Spec struct {
	Coordinators int
	Endpoints    int
	Capacity     work.Resources
	Config       *work.RoutingConfig
	Seed         uint64
	// Behavior returns the duration and the outcome of a run.
	Behavior func(work.Start) (time.Duration, work.Outcome)
	// Shards is the number of shards of durable jobs.
	Shards int
	Log    zerolog.Logger
	// SteadyAges makes the processes judge ages by the clock that doesn't count suspensions.
	SteadyAges bool
	// Shares are the processor shares of the coordinators; 1 for those without one.
	Shares []float64
	// MessageCost is the processor time, on a processor share of 1, that a coordinator takes for each message that
	// it receives and for each submission.
	MessageCost time.Duration
	// Load returns the processor load of a coordinator, in place of that of its messages, if it is set.
	Load func(coordinator int) carobpulley.ProcessorLoad
	// JoinSeen is called with each call to join or take a job, if it is set.
	JoinSeen func(take bool)
	// Late is the number of coordinators, the last ones, that don't start with the fleet.
	Late int
}

// Process is one coordinator or agent of a fleet: one of Coordinator and Agent is nil.
type Process struct {
	Name        string
	Addr        netip.Addr
	Store       *View
	Coordinator *coord.Coordinator
	Agent       *guard.Agent
	stop        context.CancelFunc
	kill        context.CancelFunc
	server      *http.Server
	peers       *link.Peers
	suspension  *suspension
	done        chan struct{}
}

// Fleet is a running system on the emulated platform.
type Fleet struct {
	spec         Spec
	Net          *memnet.Net
	Store        *Store
	Checker      *Checker
	Coordinators []*Process
	Agents       []*Process
	Endpoints    []*Endpoint

	// targetLocks exclude simultaneous faults on one target. They are channels because
	// virtual time advances while a goroutine waits for a channel, but not for a mutex.
	targetLocks [targetCount]chan struct{}

	mu              sync.Mutex
	repeatRate      float64
	heldOrders      map[string]bool
	repeatRNG       *rand.Rand
	lastToken       int64
	lastIncarnation uint64
	// peers are those of all processes that were started.
	peers  []*link.Peers
	ctx    context.Context
	cancel context.CancelFunc
	wg     sync.WaitGroup
}

// configKey is the key of the configuration in the emulated operators' topic.
const configKey = "plan"

// New starts a fleet.
func New(spec Spec) *Fleet {
	ctx, cancel := context.WithCancel(context.Background())
	f := &Fleet{spec: spec, Net: memnet.New(networkDelay), Store: NewStore(), Checker: NewChecker(), heldOrders: make(map[string]bool), repeatRNG: rand.New(rand.NewPCG(spec.Seed, 4)), ctx: ctx, cancel: cancel, lastToken: 1000}
	if len(spec.Config.Routes) > 0 {
		f.Checker.LimitAttempts(spec.Config.Routes[0].Queue.MaxAttempts)
	}
	f.Store.mu.Lock()
	f.Store.partition(operatorsPartition).append([]carobpulley.KeyedRecord{{Key: configKey, Value: []byte("1")}})
	f.Store.mu.Unlock()
	for n := range f.targetLocks {
		f.targetLocks[n] = make(chan struct{}, 1)
	}
	f.Coordinators = make([]*Process, spec.Coordinators)
	for n := range spec.Coordinators - spec.Late {
		f.StartCoordinator(n)
	}
	f.Agents = make([]*Process, spec.Endpoints)
	for n := range spec.Endpoints {
		f.Endpoints = append(f.Endpoints, NewEndpoint(f.Checker, spec.Capacity, spec.Seed+uint64(n), spec.Behavior))
	}
	for n := range spec.Endpoints {
		f.StartAgent(n)
	}
	return f
}

var operatorsPartition = carobpulley.Partition{Topic: "keyed.operators"}

// Decode implements carobpulley.ConfigSource for the emulated operators' topic.
func (f *Fleet) Decode(r carobpulley.KeyedRecord) (carobpulley.ConfigChange, error) {
	if r.Key == configKey {
		version, err := strconv.ParseInt(string(r.Value), 10, 64)
		if err != nil {
			return carobpulley.ConfigChange{}, err
		}
		config := *f.spec.Config
		config.Version = version
		return carobpulley.ConfigChange{Config: &config}, nil
	}
	return carobpulley.ConfigChange{Domain: r.Key, OutOfService: r.Value != nil}, nil
}

// Partition implements carobpulley.ConfigSource.
func (f *Fleet) Partition() carobpulley.Partition { return operatorsPartition }

// SetConfigVersion publishes the configuration under a new version.
func (f *Fleet) SetConfigVersion(version int64) {
	f.Store.mu.Lock()
	defer f.Store.mu.Unlock()
	f.Store.partition(operatorsPartition).append([]carobpulley.KeyedRecord{{Key: configKey, Value: strconv.AppendInt(nil, version, 10)}})
}

// SetDomain takes a failure domain out of service or returns it to service.
func (f *Fleet) SetDomain(domain string, out bool) {
	f.Store.mu.Lock()
	defer f.Store.mu.Unlock()
	r := carobpulley.KeyedRecord{Key: domain}
	if out {
		r.Value = []byte("{}")
	}
	f.Store.partition(operatorsPartition).append([]carobpulley.KeyedRecord{r})
}

// newProcess returns a process, the context that Stop cancels, the context that Kill cancels, and
// the process's address.
func (f *Fleet) newProcess(addr netip.Addr) (*Process, context.Context, context.Context, work.Address) {
	f.mu.Lock()
	f.lastIncarnation++
	incarnation := f.lastIncarnation
	s := &suspension{steadyAges: f.spec.SteadyAges}
	peers := link.NewPeersWithDial(s.dialer(f.Net.Dialer(addr)))
	f.peers = append(f.peers, peers)
	f.mu.Unlock()
	ctx, stop := context.WithCancel(f.ctx)
	baseCtx, kill := context.WithCancel(f.ctx)
	p := &Process{
		Addr: addr, Store: f.Store.View(), stop: stop, kill: kill, suspension: s,
		peers: peers, done: make(chan struct{}),
	}
	self := work.Address{Addr: netip.AddrPortFrom(addr, innerPort), Incarnation: incarnation, Share: 1}
	return p, ctx, baseCtx, self
}

// serve starts the server and the main loop of a process.
func (f *Fleet) serve(p *Process, handler http.Handler, run func() error) {
	p.server = &http.Server{Handler: f.repeated(p.suspension.handler(handler)), ReadHeaderTimeout: time.Minute}
	ln := f.Net.Listen(netip.AddrPortFrom(p.Addr, innerPort))
	f.wg.Add(2)
	go func() {
		defer f.wg.Done()
		if err := p.server.Serve(ln); !errors.Is(err, http.ErrServerClosed) {
			f.Checker.AddViolation("server: " + err.Error())
		}
	}()
	go func() {
		defer f.wg.Done()
		defer close(p.done)
		if err := run(); err != nil {
			f.Checker.AddViolation("process: " + err.Error())
		}
		_ = p.server.Close() // open connections do not keep the process running
		p.kill()
		p.peers.Close()
	}()
}

// CoordinatorAddr returns the address of a coordinator's host.
func CoordinatorAddr(n int) netip.Addr { return netip.AddrFrom4([4]byte{10, 1, 0, byte(n + 1)}) }

// AgentAddr returns the address of an agent's host.
func AgentAddr(n int) netip.Addr { return netip.AddrFrom4([4]byte{10, 2, 0, byte(n + 1)}) }

// StartCoordinator starts or restarts a coordinator.
func (f *Fleet) StartCoordinator(n int) {
	p, ctx, baseCtx, self := f.newProcess(CoordinatorAddr(n))
	self.Name = fmt.Sprintf("coordinator-%d", n)
	if n < len(f.spec.Shares) {
		self.Share = f.spec.Shares[n]
	}
	f.Net.SetMessageCost(p.Addr, time.Duration(float64(f.spec.MessageCost)/self.Share))
	p.Name = self.Name
	p.Coordinator = coord.New(baseCtx, coord.Config{Self: self, StatusRetention: time.Minute, Shards: f.spec.Shards, DrainTimeout: drainTimeout, Meter: meter.New()}, p.suspension, f.processor(n),
		f.spec.Log.With().Str("process", self.Name).Logger(), suspendedStore{p.Store, p.suspension}, f, p.peers)
	mux := http.NewServeMux()
	mux.Handle(relay.NewCoordinatorServiceHandler(joinObserver{p.Coordinator.Handler(), f.spec.JoinSeen}))
	f.mu.Lock()
	f.Coordinators[n] = p
	f.mu.Unlock()
	f.serve(p, mux, func() error { return p.Coordinator.Run(ctx, func(context.Context) {}) })
}

// joinObserver tells of the calls to join or take a job.
type joinObserver struct {
	relay.CoordinatorServiceHandler
	seen func(take bool)
}

// Join implements relay.CoordinatorServiceHandler.
func (o joinObserver) Join(ctx context.Context, r *connect.Request[relay.JoinRequest]) (*connect.Response[relay.JobReply], error) {
	if o.seen != nil {
		o.seen(r.Msg.GetTake())
	}
	return o.CoordinatorServiceHandler.Join(ctx, r)
}

// processor returns the processor of a coordinator.
func (f *Fleet) processor(n int) carobpulley.Processor {
	if f.spec.Load != nil {
		return givenProcessor(func() carobpulley.ProcessorLoad { return f.spec.Load(n) })
	}
	return hostProcessor{f.Net, CoordinatorAddr(n)}
}

// givenProcessor is a processor whose load a test gives.
type givenProcessor func() carobpulley.ProcessorLoad

// Load implements carobpulley.Processor.
func (p givenProcessor) Load() carobpulley.ProcessorLoad { return p() }

// hostProcessor is the processor of a host whose messages have a cost.
type hostProcessor struct {
	net  *memnet.Net
	addr netip.Addr
}

// Load implements carobpulley.Processor.
func (p hostProcessor) Load() carobpulley.ProcessorLoad {
	used, wait := p.net.ProcessorLoad(p.addr)
	return carobpulley.ProcessorLoad{Used: used, Wait: wait}
}

// coordinator returns the current process of a coordinator.
func (f *Fleet) coordinator(n int) *Process {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.Coordinators[n]
}

// StartAgent starts or restarts an agent.
func (f *Fleet) StartAgent(n int) {
	addr := AgentAddr(n)
	p, ctx, baseCtx, self := f.newProcess(addr)
	self.Name = fmt.Sprintf("agent-%d", n)
	f.mu.Lock()
	f.lastToken += 1000
	token := f.lastToken
	f.mu.Unlock()
	p.Name = self.Name
	p.Agent = guard.New(guard.Config{Self: self, MaxLease: maxLease, Shards: f.spec.Shards, DrainTimeout: drainTimeout, DomainOutWithin: domainOutWithin, Meter: meter.New()}, p.suspension,
		f.spec.Log.With().Str("process", self.Name).Logger(), suspendedEndpoint{hostEndpoint{f.Endpoints[n], f.Net, addr}, p.suspension}, suspendedStore{p.Store, p.suspension}, f, p.peers, token)
	mux := http.NewServeMux()
	mux.Handle(f.holdingOrders(self.Name)(relay.NewAgentServiceHandler(p.Agent)))
	f.Agents[n] = p
	f.serve(p, mux, func() error { return p.Agent.Run(ctx, baseCtx) })
	f.wg.Add(1)
	go func() {
		defer f.wg.Done()
		f.sendHeartbeats(baseCtx, p, n, time.Duration(self.Incarnation)*heartbeatStagger%heartbeatInterval)
	}()
}

// sendHeartbeats sends an endpoint's heartbeats to its agent. The first one follows after a
// delay because an endpoint's heartbeats are not aligned with the start of its agent.
func (f *Fleet) sendHeartbeats(ctx context.Context, p *Process, n int, delay time.Duration) {
	domain := fmt.Sprintf("domain-%d", n%3)
	select {
	case <-ctx.Done():
	case <-time.After(delay):
	}
	for sequence := int64(1); ctx.Err() == nil; sequence++ {
		if !f.Endpoints[n].Down() && !f.Endpoints[n].Standing() {
			hb := f.Endpoints[n].Heartbeat(fmt.Sprintf("runner-%d", n), service, domain, sequence)
			p.suspension.wait()
			p.Agent.HandleHeartbeat(hb)
		}
		select {
		case <-ctx.Done():
		case <-time.After(heartbeatInterval):
		}
	}
}

// service is the service of all endpoints.
const service = "s"

// Kill ends a process without draining and waits for its end.
func (p *Process) Kill() {
	p.kill()
	_ = p.server.Close() // a killed process closes its connections too
	<-p.done
}

// Stop drains a process and waits for its end.
func (p *Process) Stop() {
	p.stop()
	<-p.done
}

// Close ends all processes and runs.
func (f *Fleet) Close() {
	f.cancel()
	for _, e := range f.Endpoints {
		e.Close()
	}
	f.wg.Wait()
	time.Sleep(closeDelay)
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, p := range f.peers {
		p.Close() // a silent connection that a call left since its process has ended
	}
}
