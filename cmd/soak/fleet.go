package main

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"net/netip"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/go-faster/errors"

	"carobpulley"
	"carobpulley/emul"
	"carobpulley/platform"
	"carobpulley/platform/stand"
	"carobpulley/work"
)

const (
	coordinators = 3
	agents       = 6
	domains      = 3
	service      = "soak"
	queue        = "q"
	hostName     = "soak.example"
	prefix       = "/q/"
	// beatEvery is the time between two heartbeats, as PROTOCOL.md gives it.
	beatEvery = 1500 * time.Millisecond
	// grace is the time from SIGTERM to SIGKILL.
	grace = 6 * time.Second
	// maxLease is the longest lease of a runner.
	maxLease = time.Second
	// statusFor is how long the state of an ended job is kept.
	statusFor = 2 * time.Minute
	// serveLimit bounds the wait for a process's listener, servePause separates the
	// looks for it.
	serveLimit = 2 * time.Second
	servePause = 20 * time.Millisecond
	// operatorLimit bounds one call of the operator.
	operatorLimit = time.Second
	// memoryMB is what a process may use.
	memoryMB = 150
	// Ports on every address of the system.
	callersPort, readyPort, beatsPort, innerPort, advertisedPort, runnerPort, storePort = 7401, 7402, 7403, 7404, 7405, 7406, 7407
	// firstBlock and blocks bound the second part of the addresses: several soaks
	// can run at a time.
	firstBlock, blocks = 20, 200
)

// process is one program under test.
type process struct {
	name     string
	args     []string
	settings string
	log      *os.File
	addr     netip.Addr
	proxy    *proxy
	view     *emul.View
	env      []string

	mu sync.Mutex
	// cmd is nil while the process is not to run; last is its newest start.
	cmd, last *exec.Cmd
	done      chan struct{}
	// exit is how the newest start ended.
	exit error
}

// fleet is the system under test with all that surrounds it.
type fleet struct {
	dir     string
	program string
	block   byte
	store   *emul.Store
	judge   *emul.Checker
	jobs    *registry
	coords  []*process
	agents  []*process
	runners []*emul.Endpoint
	servers []*http.Server
	ctx     context.Context
	stop    context.CancelFunc
	wg      sync.WaitGroup
}

func (f *fleet) addr(kind, n int) netip.Addr {
	return netip.AddrFrom4([4]byte{127, f.block, byte(kind), byte(n + 1)})
}

func domainOf(n int) string { return fmt.Sprintf("domain-%d", n%domains) }

// newFleet starts the surroundings and all processes.
func newFleet(ctx context.Context, program, dir string, seed uint64, run func(runner int, s work.Start) (time.Duration, work.Outcome)) (*fleet, error) {
	path, err := filepath.Abs(program)
	if err != nil {
		return nil, err
	}
	f := &fleet{
		dir: dir, program: path, block: byte(firstBlock + (os.Getpid()+int(seed))%blocks),
		store: emul.NewStore(), judge: emul.NewChecker(), jobs: newRegistry(),
	}
	f.ctx, f.stop = context.WithCancel(ctx)
	if err := f.configure(); err != nil {
		return nil, err
	}
	for n := range agents {
		r := emul.NewEndpoint(f.judge, work.Resources{CPU: 64_000, MemMB: 128_000}, seed+uint64(n), func(s work.Start) (time.Duration, work.Outcome) { return run(n, s) })
		f.runners = append(f.runners, r)
		if err := f.listen(netip.AddrPortFrom(f.addr(2, n), runnerPort), stand.EndpointHandler(r, f.jobs.find)); err != nil {
			return f, err
		}
	}
	for n := range coordinators {
		if err := f.add(&f.coords, "coordinator", 1, n); err != nil {
			return f, err
		}
	}
	for n := range agents {
		if err := f.add(&f.agents, "agent", 2, n); err != nil {
			return f, err
		}
		f.wg.Go(func() { f.beat(n) })
	}
	return f, nil
}

// configure writes the operators' configuration.
func (f *fleet) configure() error {
	r, err := stand.ConfigRecord(&work.RoutingConfig{Version: 1, Routes: []work.Route{{Host: hostName, Prefix: prefix, Queue: work.Queue{
		Name: queue, Service: service, MaxAttempts: 4, Stretch: 1.6, TargetMS: 60,
	}}}})
	if err != nil {
		return err
	}
	return f.store.View().Append(f.ctx, stand.ConfigPartition(), []carobpulley.KeyedRecord{r})
}

// setDomain takes a failure domain out of service or back.
func (f *fleet) setDomain(domain string, out bool) error {
	ctx, cancel := context.WithTimeout(f.ctx, operatorLimit)
	defer cancel()
	return f.store.View().Append(ctx, stand.ConfigPartition(), []carobpulley.KeyedRecord{stand.DomainRecord(domain, out)})
}

// listen serves a handler until the fleet is closed.
func (f *fleet) listen(addr netip.AddrPort, h http.Handler) error {
	ln, err := net.ListenTCP("tcp", net.TCPAddrFromAddrPort(addr))
	if err != nil {
		return err
	}
	srv := &http.Server{Handler: h, ReadHeaderTimeout: time.Minute}
	f.servers = append(f.servers, srv)
	f.wg.Go(func() {
		if err := srv.Serve(ln); !errors.Is(err, http.ErrServerClosed) {
			f.judge.Fail("server: " + err.Error())
		}
	})
	return nil
}

// add prepares and starts a process.
func (f *fleet) add(to *[]*process, role string, kind, n int) error {
	addr := f.addr(kind, n)
	at := func(port uint16) netip.AddrPort { return netip.AddrPortFrom(addr, port) }
	s := platform.Settings{
		Name: fmt.Sprintf("%s-%d", role, n), IP: addr, Domain: domainOf(n), Inner: at(innerPort), Store: at(storePort),
		Share: 1, MemoryMB: memoryMB, StatusFor: statusFor, MaxLease: maxLease, Grace: grace,
	}
	if role == "agent" {
		s.Beats, s.Runner, s.Service = at(beatsPort), at(runnerPort), service
	} else {
		s.Callers, s.Ready = at(callersPort), at(readyPort)
	}
	b, err := stand.SettingsFile(s)
	if err != nil {
		return err
	}
	p := &process{name: s.Name, args: []string{role}, addr: addr, view: f.store.View(), settings: filepath.Join(f.dir, s.Name+".yaml")}
	p.env = []string{platform.SettingsEnv + "=" + p.settings, "CAROB_ADVERTISE=" + at(advertisedPort).String(), "PATH=" + os.Getenv("PATH")}
	if err := os.WriteFile(p.settings, b, 0o600); err != nil {
		return err
	}
	if p.log, err = os.Create(filepath.Join(f.dir, s.Name+".log")); err != nil {
		return err
	}
	if err := f.listen(at(storePort), stand.StoreHandler(p.view)); err != nil {
		return err
	}
	if p.proxy, err = newProxy(at(advertisedPort), at(innerPort)); err != nil {
		return err
	}
	*to = append(*to, p)
	return f.start(p)
}

// start runs a process. One that ends by itself breaks a promise.
func (f *fleet) start(p *process) error {
	p.mu.Lock()
	defer p.mu.Unlock()
	cmd := exec.Command(f.program, p.args...) //nolint:noctx // the soak ends it by signals
	cmd.Env = p.env
	// A stopped process would be hung up with the soak's own group.
	cmd.SysProcAttr = &syscall.SysProcAttr{Setpgid: true}
	cmd.Stdout = p.log
	cmd.Stderr = p.log
	if err := cmd.Start(); err != nil {
		return err
	}
	p.cmd, p.last = cmd, cmd
	p.done = make(chan struct{})
	go func() {
		err := cmd.Wait()
		p.mu.Lock()
		defer p.mu.Unlock()
		p.exit = err
		if p.cmd == cmd {
			f.judge.Fail(fmt.Sprintf("%s ended by itself: %v", p.name, err))
		}
		close(p.done)
	}()
	return nil
}

// signal sends a signal to a process. After one that ends it, its end is expected.
func (p *process) signal(s syscall.Signal) {
	p.mu.Lock()
	cmd := p.cmd
	switch s {
	case syscall.SIGKILL, syscall.SIGTERM:
		p.cmd = nil
	case syscall.SIGHUP:
		cmd = p.last // also while it drains
	}
	p.mu.Unlock()
	if cmd != nil {
		_ = cmd.Process.Signal(s) // a process that has just ended is found by its Wait
	}
}

// serves waits for a process's listener, and reports whether it opened.
func (p *process) serves() bool {
	addr := net.TCPAddrFromAddrPort(netip.AddrPortFrom(p.addr, innerPort))
	for until := time.Now().Add(serveLimit); time.Now().Before(until); time.Sleep(servePause) {
		c, err := net.DialTCP("tcp", nil, addr)
		if err == nil {
			_ = c.Close() // only the opening counts
			return true
		}
	}
	return false
}

// errGrace is the end of a process that did not end within its grace.
var errGrace = errors.New("not within the grace")

// end ends a process by a signal and returns how it ended.
func (p *process) end(s syscall.Signal) error {
	p.mu.Lock()
	cmd, done := p.cmd, p.done
	p.mu.Unlock()
	if cmd == nil {
		return nil
	}
	p.signal(s)
	select {
	case <-done:
	case <-time.After(grace):
		_ = cmd.Process.Kill() // as the platform does after the grace
		<-done
		return errGrace
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.exit
}

// beat sends a runner's heartbeats to its agent.
func (f *fleet) beat(n int) {
	client := &http.Client{Timeout: time.Second}
	to := netip.AddrPortFrom(f.addr(2, n), beatsPort)
	for sequence := int64(1); f.ctx.Err() == nil; sequence++ {
		if r := f.runners[n]; !r.Down() {
			// An agent that is away gets the next one.
			_ = stand.SendHeartbeat(f.ctx, client, to, r.Heartbeat(fmt.Sprintf("i-%d", n), service, domainOf(n), sequence))
		}
		select {
		case <-f.ctx.Done():
		case <-time.After(beatEvery):
		}
	}
}

// close ends everything.
func (f *fleet) close() {
	for _, p := range append(append([]*process(nil), f.coords...), f.agents...) {
		p.signal(syscall.SIGCONT)
		_ = p.end(syscall.SIGKILL) // killed as meant
		p.proxy.close()
		_ = p.log.Close() // it is read by people only
	}
	f.stop()
	for _, r := range f.runners {
		r.Close()
	}
	for _, srv := range f.servers {
		_ = srv.Close() // what is open ends with it
	}
	f.wg.Wait()
}

// registry knows all submitted jobs.
type registry struct {
	mu   sync.Mutex
	jobs map[string]*work.Job
}

func newRegistry() *registry { return &registry{jobs: make(map[string]*work.Job)} }

func (g *registry) put(j *work.Job) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.jobs[j.ID] = j
}

// find implements stand.Find.
func (g *registry) find(task string) (work.Resources, bool, bool) {
	id, step, _, err := work.ParseTaskName(task)
	if err != nil || strings.Contains(task, " ") {
		return work.Resources{}, false, false
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	j := g.jobs[id]
	if j == nil || step >= len(j.Steps) {
		return work.Resources{}, false, false
	}
	return j.Steps[step].Resources, !j.BestEffort, true
}
