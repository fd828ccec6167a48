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
	pathPrefix   = "/q/"
	// maxAttempts is the number of failed runs of a task after which its job has failed.
	maxAttempts = 4
	// heartbeatInterval is the time between two heartbeats, as PROTOCOL.md specifies it.
	heartbeatInterval = 1500 * time.Millisecond
	// gracePeriod is the time from SIGTERM to SIGKILL.
	gracePeriod = 6 * time.Second
	// maxLease is the longest lease of an endpoint.
	maxLease = time.Second
	// statusRetention is how long the state of an ended job must remain available.
	statusRetention = 2 * time.Minute
	// listenTimeout bounds the wait for a process's listener; listenPollInterval is the pause
	// between two attempts to connect to it.
	listenTimeout      = 2 * time.Second
	listenPollInterval = 20 * time.Millisecond
	// operatorTimeout bounds one change by the operator.
	operatorTimeout = time.Second
	// memoryMB is the memory limit in a process's settings.
	memoryMB = 150
	// Ports are the same on every address of the system.
	callersPort, readyPort, heartbeatPort, innerPort, advertisedPort, endpointPort, storePort, callersProxyPort = 7401, 7402, 7403, 7404, 7405, 7406, 7407, 7408
	// firstSubnet and subnets bound the second byte of the addresses, so that several soak
	// processes can run at a time.
	firstSubnet, subnets = 20, 200
)

// process is one program under test.
type process struct {
	name         string
	args         []string
	settingsPath string
	log          *os.File
	addr         netip.Addr
	proxy        *proxy
	// callersProxy forwards the callers' connections; nil for an agent.
	callersProxy *proxy
	storeView    *emul.View
	env          []string

	mu sync.Mutex
	// cmd is nil while the process is meant to be stopped; newest is the command of its newest
	// start, which may have ended.
	cmd, newest *exec.Cmd
	exited      chan struct{}
	// exitErr is the result of the newest start's Wait.
	exitErr error
}

// fleet is the system under test, with the emulated platform and the proxies around it.
type fleet struct {
	dir          string
	program      string
	subnet       byte
	store        *emul.Store
	checker      *emul.Checker
	jobs         *registry
	coordinators []*process
	agents       []*process
	endpoints    []*emul.Endpoint
	servers      []*http.Server
	ctx          context.Context
	cancel       context.CancelFunc
	wg           sync.WaitGroup
}

func (f *fleet) addr(kind, n int) netip.Addr {
	return netip.AddrFrom4([4]byte{127, f.subnet, byte(kind), byte(n + 1)})
}

func domainOf(n int) string { return fmt.Sprintf("domain-%d", n%domains) }

// newFleet starts the emulated platform and all processes.
func newFleet(ctx context.Context, program, dir string, seed uint64, behavior func(endpoint int, s work.Start) (time.Duration, work.Outcome)) (*fleet, error) {
	path, err := filepath.Abs(program)
	if err != nil {
		return nil, err
	}
	f := &fleet{
		dir: dir, program: path, subnet: byte(firstSubnet + (os.Getpid()+int(seed))%subnets),
		store: emul.NewStore(), checker: emul.NewChecker(), jobs: newRegistry(),
	}
	f.ctx, f.cancel = context.WithCancel(ctx)
	f.checker.LimitAttempts(maxAttempts)
	if err := f.writeConfig(); err != nil {
		return nil, err
	}
	for n := range agents {
		e := emul.NewEndpoint(f.checker, work.Resources{CPU: 64_000, MemMB: 128_000}, seed+uint64(n), func(s work.Start) (time.Duration, work.Outcome) { return behavior(n, s) })
		f.endpoints = append(f.endpoints, e)
		if err := f.serve(netip.AddrPortFrom(f.addr(2, n), endpointPort), stand.EndpointHandler(e, f.jobs.lookup)); err != nil {
			return f, err
		}
	}
	for n := range coordinators {
		if err := f.addProcess(&f.coordinators, "coordinator", 1, n); err != nil {
			return f, err
		}
	}
	for n := range agents {
		if err := f.addProcess(&f.agents, "agent", 2, n); err != nil {
			return f, err
		}
		f.wg.Go(func() { f.sendHeartbeats(n) })
	}
	return f, nil
}

// writeConfig appends the operators' configuration to the store.
func (f *fleet) writeConfig() error {
	r, err := stand.ConfigRecord(&work.RoutingConfig{Version: 1, Routes: []work.Route{{Host: hostName, Prefix: pathPrefix, Queue: work.Queue{
		Name: queue, Service: service, MaxAttempts: maxAttempts, Stretch: 1.6, TargetMS: 60,
	}}}})
	if err != nil {
		return err
	}
	return f.store.View().Append(f.ctx, stand.ConfigPartition(), []carobpulley.KeyedRecord{r})
}

// setDomain takes a failure domain out of service or returns it to service. An error means that
// the store did not confirm the change.
func (f *fleet) setDomain(domain string, out bool) error {
	ctx, cancel := context.WithTimeout(f.ctx, operatorTimeout)
	defer cancel()
	return f.store.View().Append(ctx, stand.ConfigPartition(), []carobpulley.KeyedRecord{stand.DomainRecord(domain, out)})
}

// serve starts a server that runs until the fleet is closed.
func (f *fleet) serve(addr netip.AddrPort, h http.Handler) error {
	ln, err := net.ListenTCP("tcp", net.TCPAddrFromAddrPort(addr))
	if err != nil {
		return err
	}
	srv := &http.Server{Handler: h, ReadHeaderTimeout: time.Minute}
	f.servers = append(f.servers, srv)
	f.wg.Go(func() {
		if err := srv.Serve(ln); !errors.Is(err, http.ErrServerClosed) {
			f.checker.AddViolation("server: " + err.Error())
		}
	})
	return nil
}

// addProcess writes the settings of a process, serves its store and proxy, and starts it.
func (f *fleet) addProcess(to *[]*process, role string, kind, n int) error {
	addr := f.addr(kind, n)
	at := func(port uint16) netip.AddrPort { return netip.AddrPortFrom(addr, port) }
	s := platform.Settings{
		Name: fmt.Sprintf("%s-%d", role, n), IP: addr, Domain: domainOf(n), Inner: at(innerPort), Store: at(storePort),
		Share: 1, MemoryMB: memoryMB, StatusFor: statusRetention, MaxLease: maxLease, Grace: gracePeriod,
	}
	if role == "agent" {
		s.Beats, s.Runner, s.Service = at(heartbeatPort), at(endpointPort), service
	} else {
		s.Callers, s.Ready = at(callersPort), at(readyPort)
	}
	b, err := stand.SettingsFile(s)
	if err != nil {
		return err
	}
	p := &process{name: s.Name, args: []string{role}, addr: addr, storeView: f.store.View(), settingsPath: filepath.Join(f.dir, s.Name+".yaml")}
	p.env = []string{platform.SettingsEnv + "=" + p.settingsPath, "CAROB_ADVERTISE=" + at(advertisedPort).String(), "PATH=" + os.Getenv("PATH")}
	if err := os.WriteFile(p.settingsPath, b, 0o600); err != nil {
		return err
	}
	if p.log, err = os.Create(filepath.Join(f.dir, s.Name+".log")); err != nil {
		return err
	}
	if err := f.serve(at(storePort), stand.StoreHandler(p.storeView)); err != nil {
		return err
	}
	if p.proxy, err = newProxy(at(advertisedPort), at(innerPort)); err != nil {
		return err
	}
	if s.Callers.IsValid() {
		if p.callersProxy, err = newProxy(at(callersProxyPort), s.Callers); err != nil {
			return err
		}
	}
	*to = append(*to, p)
	return f.start(p)
}

// start starts a process. It is a violation if the process ends before signal has sent it
// SIGKILL or SIGTERM.
func (f *fleet) start(p *process) error {
	p.mu.Lock()
	defer p.mu.Unlock()
	cmd := exec.Command(f.program, p.args...) //nolint:noctx // ended by signals
	cmd.Env = p.env
	// In the process group of soak itself, a process paused by SIGSTOP could get a SIGHUP when
	// that group is orphaned.
	cmd.SysProcAttr = &syscall.SysProcAttr{Setpgid: true}
	cmd.Stdout = p.log
	cmd.Stderr = p.log
	if err := cmd.Start(); err != nil {
		return err
	}
	p.cmd, p.newest = cmd, cmd
	p.exited = make(chan struct{})
	go func() {
		err := cmd.Wait()
		p.mu.Lock()
		defer p.mu.Unlock()
		p.exitErr = err
		if p.cmd == cmd {
			f.checker.AddViolation(fmt.Sprintf("%s ended by itself: %v", p.name, err))
		}
		close(p.exited)
	}()
	return nil
}

// signal sends a signal to a process. After SIGKILL and SIGTERM the end of the process is expected.
func (p *process) signal(s syscall.Signal) {
	p.mu.Lock()
	cmd := p.cmd
	switch s {
	case syscall.SIGKILL, syscall.SIGTERM:
		p.cmd = nil
	case syscall.SIGHUP:
		cmd = p.newest // SIGHUP is also sent while the process drains
	}
	p.mu.Unlock()
	if cmd != nil {
		_ = cmd.Process.Signal(s) // fails only if the process has ended, which its Wait reports
	}
}

// awaitListener waits up to listenTimeout for a process's listener and reports whether it opened.
func (p *process) awaitListener() bool {
	addr := net.TCPAddrFromAddrPort(netip.AddrPortFrom(p.addr, innerPort))
	for until := time.Now().Add(listenTimeout); time.Now().Before(until); time.Sleep(listenPollInterval) {
		c, err := net.DialTCP("tcp", nil, addr)
		if err == nil {
			_ = c.Close() // nothing was sent
			return true
		}
	}
	return false
}

// errGracePeriod is the error of a process that did not exit within gracePeriod.
var errGracePeriod = errors.New("process did not exit within the grace period")

// endBySignal ends a process by a signal and returns the result of its Wait.
func (p *process) endBySignal(s syscall.Signal) error {
	p.mu.Lock()
	cmd, exited := p.cmd, p.exited
	p.mu.Unlock()
	if cmd == nil {
		return nil
	}
	p.signal(s)
	select {
	case <-exited:
	case <-time.After(gracePeriod):
		_ = cmd.Process.Kill() // as the platform does after the grace period
		<-exited
		return errGracePeriod
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.exitErr
}

// sendHeartbeats sends the heartbeats of an endpoint to its agent.
func (f *fleet) sendHeartbeats(n int) {
	client := &http.Client{Timeout: time.Second}
	to := netip.AddrPortFrom(f.addr(2, n), heartbeatPort)
	for sequence := int64(1); f.ctx.Err() == nil; sequence++ {
		if e := f.endpoints[n]; !e.Down() {
			// A heartbeat that fails is not repeated: the agent gets the next one.
			_ = stand.SendHeartbeat(f.ctx, client, to, e.Heartbeat(fmt.Sprintf("i-%d", n), service, domainOf(n), sequence))
		}
		select {
		case <-f.ctx.Done():
		case <-time.After(heartbeatInterval):
		}
	}
}

// close ends all processes, runs and servers.
func (f *fleet) close() {
	for _, p := range append(append([]*process(nil), f.coordinators...), f.agents...) {
		p.signal(syscall.SIGCONT)
		_ = p.endBySignal(syscall.SIGKILL) // the error only says that the process was killed
		p.proxy.close()
		if p.callersProxy != nil {
			p.callersProxy.close()
		}
		_ = p.log.Close() // no result depends on the log
	}
	f.cancel()
	for _, e := range f.endpoints {
		e.Close()
	}
	for _, srv := range f.servers {
		_ = srv.Close() // open connections are closed too
	}
	f.wg.Wait()
}

// registry holds all submitted jobs.
type registry struct {
	mu   sync.Mutex
	jobs map[string]*work.Job
}

func newRegistry() *registry { return &registry{jobs: make(map[string]*work.Job)} }

func (r *registry) add(j *work.Job) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.jobs[j.ID] = j
}

// lookup implements stand.TaskLookup.
func (r *registry) lookup(task string) (work.Resources, bool, bool) {
	id, step, _, err := work.ParseTaskName(task)
	if err != nil || strings.Contains(task, " ") {
		return work.Resources{}, false, false
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	j := r.jobs[id]
	if j == nil || step >= len(j.Steps) {
		return work.Resources{}, false, false
	}
	return j.Steps[step].Resources, !j.BestEffort, true
}
