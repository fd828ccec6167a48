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
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"carobpulley"
	"carobpulley/emul"
	"carobpulley/platform"
	"carobpulley/platform/stand"
	"carobpulley/work"
)

const (
	service  = "booking"
	queue    = "q"
	hostName = "review.example"
	prefix   = "/q/"
	// Settings and bounds as on hkbosz-sched.
	zones           = 3
	maxAttempts     = 4
	stretch         = 1.6
	targetMS        = 60
	maxLease        = time.Second
	gracePeriod     = 6 * time.Second
	statusRetention = 2 * time.Minute
	frontMemoryMB   = 284
	sideMemoryMB    = 152
	readyTimeout    = 20 * time.Second
	// Ports on the addresses of the machines; the addresses are free ones.
	callersPort, readyPort, heartbeatPort, innerPort, runnerPort, metricsPort = 7401, 7402, 7403, 7404, 7406, 9300
)

// shape is what a fleet consists of. labels returns those of a runner.
type shape struct {
	coordinators, agents int
	labels               func(runner int) []string
}

// process is one program under test.
type process struct {
	name string
	args []string
	env  []string
	addr netip.Addr
	log  *os.File

	mu     sync.Mutex
	cmd    *exec.Cmd
	exited chan struct{}
	// ending is set once the end of the process is asked for.
	ending bool
}

type fleet struct {
	ctx         context.Context
	cancel      context.CancelFunc
	dir         string
	program     string
	subnet      byte
	rec         *record
	store       *emul.Store
	storeServer *http.Server
	storeAddr   netip.AddrPort
	// storeDelay is how much later the store answers, in nanoseconds.
	storeDelay atomic.Int64
	// delays makes the runner that gets the next start of a durable task hold it back, and crash before it is carried out.
	delays       atomic.Bool
	jobs         *jobs
	coordinators []*process
	agents       []*process
	runners      []*runner
	wg           sync.WaitGroup

	mu  sync.Mutex
	err error
}

func (f *fleet) addr(kind, n int) netip.Addr {
	return netip.AddrFrom4([4]byte{127, f.subnet, byte(kind), byte(n + 1)})
}

func zoneOf(n int) string { return fmt.Sprintf("zone-%d", n%zones) }

// fail records that a stand-in or a program has failed; the case then couldn't run.
func (f *fleet) fail(err error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.err == nil {
		f.err = err
	}
}

func (f *fleet) failure() error {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.err
}

func newFleet(ctx context.Context, s shape, dir string, rec *record) (*fleet, error) {
	program, err := filepath.Abs("target/carobd")
	if err != nil {
		return nil, err
	}
	if _, err := os.Stat(program); err != nil {
		return nil, err
	}
	f := &fleet{dir: dir, program: program, rec: rec, store: emul.NewStore(), jobs: newJobs()}
	f.ctx, f.cancel = context.WithCancel(ctx)
	if f.subnet, err = freeSubnet(s); err != nil {
		return f, err
	}
	config, err := stand.ConfigRecord(&work.RoutingConfig{Version: 1, Routes: []work.Route{{Host: hostName, Prefix: prefix, Queue: work.Queue{
		Name: queue, Service: service, MaxAttempts: maxAttempts, Stretch: stretch, TargetMS: targetMS,
	}}}})
	if err != nil {
		return f, err
	}
	if err := f.store.View().Append(f.ctx, stand.ConfigPartition(), []carobpulley.KeyedRecord{config}); err != nil {
		return f, err
	}
	ln, err := net.Listen("tcp", netip.AddrPortFrom(f.addr(3, 0), 0).String()) //nolint:noctx // a listener of the test
	if err != nil {
		return f, err
	}
	f.storeAddr = ln.Addr().(*net.TCPAddr).AddrPort()
	calls := stand.StoreHandler(f.store.View())
	f.storeServer = &http.Server{ReadHeaderTimeout: time.Minute, Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		time.Sleep(time.Duration(f.storeDelay.Load()))
		calls.ServeHTTP(w, r)
	})}
	f.wg.Go(func() { _ = f.storeServer.Serve(ln) }) // ends when the fleet is closed
	for n := range s.agents {
		r, err := newRunner(f, n, s.labels(n))
		if err != nil {
			return f, err
		}
		f.runners = append(f.runners, r)
	}
	for n := range s.coordinators {
		if err := f.addProcess(&f.coordinators, "coordinator", 1, n); err != nil {
			return f, err
		}
	}
	for n := range s.agents {
		if err := f.addProcess(&f.agents, "agent", 2, n); err != nil {
			return f, err
		}
		f.wg.Go(func() { f.runners[n].sendHeartbeats() })
	}
	return f, f.awaitReady()
}

// freeSubnet returns the second byte of loopback addresses at which all ports are free.
func freeSubnet(s shape) (byte, error) {
	free := func(addr netip.Addr, ports ...uint16) bool {
		for _, port := range ports {
			ln, err := net.Listen("tcp", netip.AddrPortFrom(addr, port).String()) //nolint:noctx // closed at once
			if err != nil {
				return false
			}
			_ = ln.Close() // it was only tried
		}
		return true
	}
	for try := range 100 {
		subnet := byte(20 + (os.Getpid()+try)%200)
		ok := true
		for n := range s.coordinators {
			ok = ok && free(netip.AddrFrom4([4]byte{127, subnet, 1, byte(n + 1)}), callersPort, readyPort, innerPort, metricsPort)
		}
		for n := range s.agents {
			ok = ok && free(netip.AddrFrom4([4]byte{127, subnet, 2, byte(n + 1)}), heartbeatPort, innerPort, runnerPort, metricsPort)
		}
		if ok {
			return subnet, nil
		}
	}
	return 0, errors.New("no free loopback addresses")
}

func (f *fleet) addProcess(to *[]*process, role string, kind, n int) error {
	addr := f.addr(kind, n)
	at := func(port uint16) netip.AddrPort { return netip.AddrPortFrom(addr, port) }
	s := platform.Settings{
		Name: fmt.Sprintf("%s-%d", role, n), IP: addr, Domain: zoneOf(n), Inner: at(innerPort), Store: f.storeAddr,
		Share: 1, MemoryMB: frontMemoryMB, StatusFor: statusRetention, MaxLease: maxLease, Grace: gracePeriod,
	}
	if role == "agent" {
		s.Beats, s.Runner, s.Service, s.MemoryMB = at(heartbeatPort), at(runnerPort), service, sideMemoryMB
	} else {
		s.Callers, s.Ready = at(callersPort), at(readyPort)
	}
	b, err := stand.SettingsFile(s)
	if err != nil {
		return err
	}
	path := filepath.Join(f.dir, s.Name+".yaml")
	if err := os.WriteFile(path, b, 0o600); err != nil {
		return err
	}
	p := &process{name: s.Name, args: []string{role}, addr: addr, env: []string{platform.SettingsEnv + "=" + path, "PATH=" + os.Getenv("PATH")}}
	if p.log, err = os.Create(filepath.Join(f.dir, s.Name+".log")); err != nil {
		return err
	}
	*to = append(*to, p)
	return f.start(p)
}

func (f *fleet) start(p *process) error {
	p.mu.Lock()
	defer p.mu.Unlock()
	cmd := exec.Command(f.program, p.args...) //nolint:noctx // ended by signals
	cmd.Env = p.env
	cmd.Stdout, cmd.Stderr = p.log, p.log
	cmd.SysProcAttr = &syscall.SysProcAttr{Setpgid: true}
	if err := cmd.Start(); err != nil {
		return err
	}
	p.cmd, p.ending, p.exited = cmd, false, make(chan struct{})
	exited := p.exited
	go func() {
		err := cmd.Wait()
		p.mu.Lock()
		defer p.mu.Unlock()
		if !p.ending {
			f.fail(fmt.Errorf("%s ended by itself: %v", p.name, err))
		}
		close(exited)
	}()
	return nil
}

// kill ends a process and waits for its end.
func (p *process) kill() {
	p.mu.Lock()
	cmd, exited := p.cmd, p.exited
	p.ending = true
	p.mu.Unlock()
	if cmd == nil {
		return
	}
	_ = cmd.Process.Kill() // fails only if the process has ended
	<-exited
}

// awaitReady waits until all coordinators are ready and every agent has a heartbeat.
func (f *fleet) awaitReady() error {
	client := &http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	until := time.Now().Add(readyTimeout)
	for _, p := range f.coordinators {
		url := "http://" + netip.AddrPortFrom(p.addr, readyPort).String() + "/ready"
		for {
			status := 0
			req, err := http.NewRequestWithContext(f.ctx, http.MethodGet, url, nil)
			if err != nil {
				return err
			}
			if resp, err := client.Do(req); err == nil {
				status = resp.StatusCode
				_ = resp.Body.Close() // only the status is used
			}
			if status == http.StatusOK {
				break
			}
			if time.Now().After(until) {
				return fmt.Errorf("%s did not get ready", p.name)
			}
			time.Sleep(50 * time.Millisecond)
		}
	}
	for _, r := range f.runners {
		for !r.heard.Load() {
			if time.Now().After(until) {
				return fmt.Errorf("runner %d is not heard", r.number)
			}
			time.Sleep(50 * time.Millisecond)
		}
	}
	// The traffic starts 10 s after the machines on the users' sites; the agents are attached long before.
	time.Sleep(3 * time.Second)
	f.rec.add("%d coordinators and %d agents are ready", len(f.coordinators), len(f.agents))
	return nil
}

// close ends all processes and stand-ins.
func (f *fleet) close() {
	for _, p := range append(append([]*process(nil), f.coordinators...), f.agents...) {
		p.kill()
		_ = p.log.Close() // no result depends on it
	}
	f.cancel()
	for _, r := range f.runners {
		r.close()
	}
	if f.storeServer != nil {
		_ = f.storeServer.Close() // open connections are closed too
	}
	f.wg.Wait()
}
