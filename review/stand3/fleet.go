//go:build review

package main

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"net/netip"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"sync"
	"syscall"
	"time"

	"carobpulley"
	"carobpulley/emul"
	"carobpulley/platform"
	"carobpulley/platform/stand"
	"carobpulley/work"
)

const (
	zones       = 3
	service     = "van-booking"
	queue       = "rent-confirm"
	hostName    = "review.example"
	pathPrefix  = "/rent/"
	maxAttempts = 4
	// The figures of a small deployment.
	agentShare, agentMB = 0.24, 152
	runnerCPU, runnerMB = 64_000, 131_072
	gracePeriod         = 6 * time.Second
	maxLease            = time.Second
	statusRetention     = 2 * time.Minute
	heartbeatInterval   = 1500 * time.Millisecond
	readyTimeout        = 20 * time.Second
	// settleTime is the time from the first readiness of all coordinators to the traffic.
	settleTime = 5 * time.Second

	callersPort, readyPort, controlPort, innerPort, runnerPort, storePort = 7511, 7512, 7513, 7514, 7515, 7516
)

// fleet is the system under test with its stand-ins.
type fleet struct {
	dir          string
	subnet       byte
	record       *record
	store        *emul.Store
	jobs         *registry
	coordinators []*process
	agents       []*process
	runners      []*runner
	ctx          context.Context
	cancel       context.CancelFunc
	wg           sync.WaitGroup
	servers      []*http.Server
}

// front is the machine of a coordinator.
type front struct {
	share    float64
	memoryMB int64
	linkMbps float64
}

// smallFronts returns the machines of a small deployment's coordinators.
func smallFronts() []front {
	return slices.Repeat([]front{{share: 0.4, memoryMB: 284, linkMbps: 1000}}, 3)
}

// process is one program of the deploy file.
type process struct {
	name     string
	role     string
	addr     netip.Addr
	settings string
	log      *os.File
	view     *emul.View
	cmd      *exec.Cmd
}

func (f *fleet) addr(kind, n int) netip.Addr {
	return netip.AddrFrom4([4]byte{127, f.subnet, byte(kind), byte(n + 1)})
}

func zoneOf(n int) string { return fmt.Sprintf("zone-%d", n%zones) }

// newFleet starts the stand-ins, the runners of the given kinds, and all processes, and waits until the
// coordinators are ready.
func newFleet(ctx context.Context, dir string, r *record, fronts []front, kinds []string, work func(s work.Start) time.Duration) (*fleet, error) {
	f := &fleet{dir: dir, subnet: byte(30 + os.Getpid()%200), record: r, store: emul.NewStore(), jobs: newRegistry()}
	f.ctx, f.cancel = context.WithCancel(ctx)
	config, err := stand.ConfigRecord(operatorConfig(1))
	if err != nil {
		return f, err
	}
	if err := f.store.View().Append(f.ctx, stand.ConfigPartition(), []carobpulley.KeyedRecord{config}); err != nil {
		return f, err
	}
	for n, kind := range kinds {
		runner := newRunner(f, n, kind, work)
		f.runners = append(f.runners, runner)
		if err := runner.start(0); err != nil {
			return f, err
		}
		if err := f.addProcess(&f.agents, "agent", 2, n, front{agentShare, agentMB, 1000}); err != nil {
			return f, err
		}
	}
	for n, m := range fronts {
		if err := f.addProcess(&f.coordinators, "coordinator", 1, n, m); err != nil {
			return f, err
		}
	}
	return f, f.awaitReady()
}

func operatorConfig(version int64) *work.RoutingConfig {
	return &work.RoutingConfig{Version: version, Routes: []work.Route{{Host: hostName, Prefix: pathPrefix, Queue: work.Queue{
		Name: queue, Service: service, MaxAttempts: maxAttempts, Stretch: 1.6, TargetMS: 60,
	}}}}
}

func (f *fleet) serve(addr netip.AddrPort, h http.Handler) (*http.Server, error) {
	ln, err := net.ListenTCP("tcp", net.TCPAddrFromAddrPort(addr))
	if err != nil {
		return nil, err
	}
	return f.serveOn(ln, h), nil
}

// serveOver is serve over a link.
func (f *fleet) serveOver(l *link, addr netip.AddrPort, h http.Handler) (*http.Server, error) {
	ln, err := net.ListenTCP("tcp", net.TCPAddrFromAddrPort(addr))
	if err != nil {
		return nil, err
	}
	return f.serveOn(linkListener{ln, l}, h), nil
}

func (f *fleet) serveOn(ln net.Listener, h http.Handler) *http.Server {
	srv := &http.Server{Handler: h, ReadHeaderTimeout: time.Minute}
	f.wg.Go(func() { _ = srv.Serve(ln) }) // ends when the server is closed
	return srv
}

func (f *fleet) addProcess(to *[]*process, role string, kind, n int, m front) error {
	addr := f.addr(kind, n)
	at := func(port uint16) netip.AddrPort { return netip.AddrPortFrom(addr, port) }
	s := platform.Settings{
		Name: fmt.Sprintf("%s-%d", role, n), IP: addr, Domain: zoneOf(n), Inner: at(innerPort), Store: at(storePort),
		StatusFor: statusRetention, MaxLease: maxLease, Grace: gracePeriod, Share: m.share, MemoryMB: m.memoryMB,
	}
	if role == "agent" {
		s.Beats, s.Runner, s.Service = at(controlPort), at(runnerPort), service
	} else {
		s.Callers, s.Ready = at(callersPort), at(readyPort)
	}
	b, err := stand.SettingsFile(s)
	if err != nil {
		return err
	}
	p := &process{name: s.Name, role: role, addr: addr, view: f.store.View(), settings: filepath.Join(f.dir, s.Name+".yaml")}
	if err := os.WriteFile(p.settings, b, 0o600); err != nil {
		return err
	}
	if p.log, err = os.Create(filepath.Join(f.dir, s.Name+".log")); err != nil {
		return err
	}
	srv, err := f.serveOver(&link{mbps: m.linkMbps}, at(storePort), storeHandler(p.view))
	if err != nil {
		return err
	}
	f.servers = append(f.servers, srv)
	*to = append(*to, p)
	return f.startProcess(p)
}

// startProcess starts a process with the command of the deploy file. It is called by the main thread only,
// whose end ends all processes.
func (f *fleet) startProcess(p *process) error {
	cmd := exec.Command("target/carobd", p.role) //nolint:noctx // ended by signals
	cmd.Env = []string{platform.SettingsEnv + "=" + p.settings, "PATH=" + os.Getenv("PATH")}
	cmd.Stdout, cmd.Stderr = p.log, p.log
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	p.cmd = cmd
	f.record.add("start %s", p.name)
	return cmd.Start()
}

// end ends a process by a signal and waits until it has ended.
func (f *fleet) end(p *process, s syscall.Signal) {
	f.record.add("%s to %s", s, p.name)
	_ = p.cmd.Process.Signal(s)
	timer := time.AfterFunc(gracePeriod, func() { _ = p.cmd.Process.Kill() })
	_ = p.cmd.Wait()
	timer.Stop()
	f.record.add("%s has ended", p.name)
}

// awaitReady waits until all coordinators are ready, and then for the traffic's time.
func (f *fleet) awaitReady() error {
	until := time.Now().Add(readyTimeout)
	for _, p := range f.coordinators {
		for {
			status, _, err := get(f.ctx, fmt.Sprintf("http://%s/ready", netip.AddrPortFrom(p.addr, readyPort)), time.Second)
			if err == nil && status == http.StatusOK {
				break
			}
			if time.Now().After(until) || f.ctx.Err() != nil {
				return errors.New(p.name + " is not ready")
			}
			pause(f.ctx, 50*time.Millisecond)
		}
	}
	pause(f.ctx, settleTime)
	f.record.add("all coordinators are ready")
	return nil
}

func (f *fleet) close() {
	for _, p := range append(append([]*process(nil), f.coordinators...), f.agents...) {
		if p.cmd != nil && p.cmd.Process != nil {
			_ = p.cmd.Process.Kill()
			_ = p.cmd.Wait()
		}
		_ = p.log.Close()
	}
	f.cancel()
	for _, r := range f.runners {
		r.crash()
	}
	for _, srv := range f.servers {
		_ = srv.Close()
	}
	f.wg.Wait()
}

// registry holds all submitted jobs, by which runners know the resources of their tasks.
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

func (r *registry) step(task string) (*work.Job, *work.Step) {
	id, step, _, err := work.ParseTaskName(task)
	if err != nil {
		return nil, nil
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	j := r.jobs[id]
	if j == nil || step >= len(j.Steps) {
		return nil, nil
	}
	return j, &j.Steps[step]
}

// lookup implements stand.TaskLookup.
func (r *registry) lookup(task string) (work.Resources, bool, bool) {
	j, step := r.step(task)
	if j == nil {
		return work.Resources{}, false, false
	}
	return step.Resources, !j.BestEffort, true
}
