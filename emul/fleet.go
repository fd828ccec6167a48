package emul

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"net/netip"
	"sync"
	"time"

	"github.com/rs/zerolog"

	"carobpulley"
	"carobpulley/coord"
	"carobpulley/guard"
	"carobpulley/link"
	"carobpulley/meter"
	"carobpulley/wire/relay"
	"carobpulley/work"
)

const (
	// beatEvery is the time between two heartbeats of a runner.
	beatEvery = 1500 * time.Millisecond
	// beatStep spreads the first heartbeats after the starts of agents.
	beatStep = 370 * time.Millisecond
	// netDelay is the one-way time between two hosts.
	netDelay = time.Millisecond
	// maxLease is the longest lease of a runner.
	maxLease = time.Second
	// drainLimit bounds a planned stop.
	drainLimit = 5 * time.Second
	// closeWait is what open answers need to end after the processes.
	closeWait = time.Second
	innerPort = 7000
	// groups is the number of things that faults strike.
	groups = 5
	shards = 1
)

// Spec says what a fleet consists of.
type Spec struct {
	Coordinators int
	Runners      int
	Capacity     work.Resources
	Plan         *work.RoutingConfig
	Seed         uint64
	// Run says how long a task runs and how it ends.
	Run func(work.Start) (time.Duration, work.Outcome)
	Log zerolog.Logger
}

// Process is a coordinator or an agent.
type Process struct {
	Addr   netip.Addr
	Store  *View
	Coord  *coord.Coordinator
	stop   context.CancelFunc
	kill   context.CancelFunc
	server *http.Server
	peers  *link.Peers
	done   chan struct{}
}

// Fleet is a running system on the model of the platform.
type Fleet struct {
	spec   Spec
	Net    *Net
	Store  *Store
	Judge  *Checker
	Coords []*Process
	Agents []*Process
	Runner []*Endpoint

	// striking keeps faults on the same things apart. Channels are waited for in
	// virtual time, mutexes are not.
	striking [groups]chan struct{}

	mu    sync.Mutex
	token int64
	life  uint64
	ctx   context.Context
	end   context.CancelFunc
	wg    sync.WaitGroup
}

// planKey is the key of the configuration in the model's operators' topic.
const planKey = "plan"

// New starts a fleet.
func New(spec Spec) *Fleet {
	ctx, end := context.WithCancel(context.Background())
	f := &Fleet{spec: spec, Net: NewNet(netDelay), Store: NewStore(), Judge: NewChecker(), ctx: ctx, end: end, token: 1000}
	f.Store.mu.Lock()
	f.Store.part(operators).add([]carobpulley.KeyedRecord{{Key: planKey, Value: []byte("1")}})
	f.Store.mu.Unlock()
	for n := range f.striking {
		f.striking[n] = make(chan struct{}, 1)
	}
	f.Coords = make([]*Process, spec.Coordinators)
	for n := range spec.Coordinators {
		f.StartCoordinator(n)
	}
	f.Agents = make([]*Process, spec.Runners)
	for n := range spec.Runners {
		f.Runner = append(f.Runner, NewEndpoint(f.Judge, spec.Capacity, spec.Seed+uint64(n), spec.Run))
	}
	for n := range spec.Runners {
		f.StartAgent(n)
	}
	return f
}

var operators = carobpulley.Partition{Topic: "keyed.operators"}

// Decode implements carobpulley.PlanSource for the model's operators' topic.
func (f *Fleet) Decode(r carobpulley.KeyedRecord) (carobpulley.ConfigChange, error) {
	if r.Key == planKey {
		return carobpulley.ConfigChange{Config: f.spec.Plan}, nil
	}
	return carobpulley.ConfigChange{Domain: r.Key, OutOfService: r.Value != nil}, nil
}

// Partition implements carobpulley.PlanSource.
func (f *Fleet) Partition() carobpulley.Partition { return operators }

// SetDomain takes a failure domain out of service or back.
func (f *Fleet) SetDomain(domain string, out bool) {
	f.Store.mu.Lock()
	defer f.Store.mu.Unlock()
	r := carobpulley.KeyedRecord{Key: domain}
	if out {
		r.Value = []byte("{}")
	}
	f.Store.part(operators).add([]carobpulley.KeyedRecord{r})
}

func (f *Fleet) process(addr netip.Addr) (*Process, context.Context, context.Context, work.Address) {
	f.mu.Lock()
	f.life++
	life := f.life
	f.mu.Unlock()
	ctx, stop := context.WithCancel(f.ctx)
	hard, kill := context.WithCancel(f.ctx)
	p := &Process{
		Addr: addr, Store: f.Store.View(), stop: stop, kill: kill,
		peers: link.NewPeersWithDial(f.Net.Dial(addr)), done: make(chan struct{}),
	}
	self := work.Address{Addr: netip.AddrPortFrom(addr, innerPort), Incarnation: life, Share: 1}
	return p, ctx, hard, self
}

// serve runs a process: its server around its work.
func (f *Fleet) serve(p *Process, handler http.Handler, run func() error) {
	p.server = &http.Server{Handler: handler, ReadHeaderTimeout: time.Minute}
	ln := f.Net.Listen(netip.AddrPortFrom(p.Addr, innerPort))
	f.wg.Add(2)
	go func() {
		defer f.wg.Done()
		if err := p.server.Serve(ln); !errors.Is(err, http.ErrServerClosed) {
			f.Judge.Fail("server: " + err.Error())
		}
	}()
	go func() {
		defer f.wg.Done()
		defer close(p.done)
		if err := run(); err != nil {
			f.Judge.Fail("process: " + err.Error())
		}
		_ = p.server.Close() // the process ends whatever is open
		p.kill()
		p.peers.Close()
	}()
}

// CoordinatorAddr and AgentAddr return the addresses of hosts.
func CoordinatorAddr(n int) netip.Addr { return netip.AddrFrom4([4]byte{10, 1, 0, byte(n + 1)}) }

// AgentAddr returns the address of an agent's host.
func AgentAddr(n int) netip.Addr { return netip.AddrFrom4([4]byte{10, 2, 0, byte(n + 1)}) }

// StartCoordinator starts a coordinator anew.
func (f *Fleet) StartCoordinator(n int) {
	p, ctx, hard, self := f.process(CoordinatorAddr(n))
	self.Name = fmt.Sprintf("coordinator-%d", n)
	p.Coord = coord.New(hard, coord.Config{Self: self, StatusRetention: time.Minute, Shards: shards, DrainLimit: drainLimit, Meter: meter.New()},
		f.spec.Log.With().Str("process", self.Name).Logger(), p.Store, f, p.peers)
	mux := http.NewServeMux()
	mux.Handle(relay.NewCoordinatorServiceHandler(p.Coord.Handler()))
	f.mu.Lock()
	f.Coords[n] = p
	f.mu.Unlock()
	f.serve(p, mux, func() error { return p.Coord.Run(ctx, func(context.Context) {}) })
}

// coordinator returns a process of the fleet.
func (f *Fleet) coordinator(n int) *Process {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.Coords[n]
}

// StartAgent starts an agent anew.
func (f *Fleet) StartAgent(n int) {
	p, ctx, hard, self := f.process(AgentAddr(n))
	self.Name = fmt.Sprintf("agent-%d", n)
	f.mu.Lock()
	f.token += 1000
	token := f.token
	f.mu.Unlock()
	g := guard.New(guard.Config{Self: self, MaxLease: maxLease, Shards: shards, DrainTimeout: drainLimit, Meter: meter.New()},
		f.spec.Log.With().Str("process", self.Name).Logger(), f.Runner[n], p.Store, p.peers, token)
	mux := http.NewServeMux()
	mux.Handle(relay.NewAgentServiceHandler(g))
	f.Agents[n] = p
	f.serve(p, mux, func() error { return g.Run(ctx, hard) })
	f.wg.Add(1)
	go func() {
		defer f.wg.Done()
		f.beat(hard, g, n, time.Duration(self.Incarnation)*beatStep%beatEvery)
	}()
}

// beat sends the runner's heartbeats, the first one after a pause: a runner does not
// know when its agent starts.
func (f *Fleet) beat(ctx context.Context, g *guard.Agent, n int, first time.Duration) {
	domain := fmt.Sprintf("domain-%d", n%3)
	select {
	case <-ctx.Done():
	case <-time.After(first):
	}
	for sequence := int64(1); ctx.Err() == nil; sequence++ {
		if !f.Runner[n].Down() {
			g.HandleHeartbeat(f.Runner[n].Heartbeat(fmt.Sprintf("runner-%d", n), service, domain, sequence))
		}
		select {
		case <-ctx.Done():
		case <-time.After(beatEvery):
		}
	}
}

// service is the service of all runners.
const service = "s"

// Kill ends a process at once.
func (p *Process) Kill() {
	p.kill()
	_ = p.server.Close() // connections are reset, as by a kill
	<-p.done
}

// Stop asks a process to stop and waits for its end.
func (p *Process) Stop() {
	p.stop()
	<-p.done
}

// Close ends everything.
func (f *Fleet) Close() {
	f.end()
	for _, r := range f.Runner {
		r.Close()
	}
	f.wg.Wait()
	time.Sleep(closeWait)
}
