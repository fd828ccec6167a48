package main

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"net/netip"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
	"time"

	"carobpulley"
	"carobpulley/emul"
	"carobpulley/platform"
	"carobpulley/platform/stand"
	"carobpulley/work"
)

const (
	// untrustedMemoryMB and untrustedFDs are the limits in the settings of the processes under test, and the
	// bounds of the checks.
	untrustedMemoryMB = 96
	untrustedFDs      = 400
	// servedWithin bounds the wait for an ordinary answer, so that a test of a hanging process ends.
	servedWithin = time.Minute
	// samplePause is the time between two counts of a process's descriptors.
	samplePause = 10 * time.Millisecond
)

// target is a coordinator or an agent under test.
type target struct {
	addr netip.Addr
	cmd  *exec.Cmd
	// exited is closed when the process has ended.
	exited chan struct{}
}

// fleet is a coordinator, an agent, their store and the endpoint of the agent.
type fleet struct {
	t                  *testing.T
	dir, program       string
	coordinator, agent *target
	endpoint           *emul.Endpoint
	heartbeats         int64
	jobs               int
}

func testAddr(kind byte, port uint16) netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, byte(20 + os.Getpid()%200), 77, kind}), port)
}

// buildProgram builds carobd into a temporary directory and returns its path.
func buildProgram(t *testing.T) string {
	t.Helper()
	path := filepath.Join(t.TempDir(), "carobd")
	if out, err := exec.CommandContext(t.Context(), "go", "build", "-o", path, ".").CombinedOutput(); err != nil {
		t.Fatalf("build: %v\n%s", err, out)
	}
	return path
}

// newFleet starts the processes, which end with the test, and waits until they serve.
func newFleet(t *testing.T, program string) *fleet {
	t.Helper()
	f := &fleet{t: t, dir: t.TempDir(), program: program}
	store := emul.NewStore().View()
	record, err := stand.ConfigRecord(&work.RoutingConfig{Version: 1, Routes: []work.Route{{
		Host: "a.example", Prefix: "/p/", Queue: work.Queue{Name: "q", Service: "s", MaxAttempts: 4, Stretch: 1.6, TargetMS: 60},
	}}})
	if err != nil {
		t.Fatal(err)
	}
	if err := store.Append(t.Context(), stand.ConfigPartition(), []carobpulley.KeyedRecord{record}); err != nil {
		t.Fatal(err)
	}
	f.endpoint = emul.NewEndpoint(emul.NewChecker(), work.Resources{CPU: 64_000, MemMB: 128_000}, 1,
		func(work.Start) (time.Duration, work.Outcome) { return 5 * time.Millisecond, work.OutcomeDone })
	t.Cleanup(f.endpoint.Close)
	f.serve(testAddr(3, 7407), stand.StoreHandler(store))
	f.serve(testAddr(2, 7406), stand.EndpointHandler(f.endpoint, func(string) (work.Resources, bool, bool) {
		return work.Resources{CPU: 100, MemMB: 10}, false, true
	}))
	f.coordinator = f.start("coordinator", 1)
	f.agent = f.start("agent", 2)
	f.awaitService()
	return f
}

func (f *fleet) serve(addr netip.AddrPort, h http.Handler) {
	ln, err := net.ListenTCP("tcp", net.TCPAddrFromAddrPort(addr))
	if err != nil {
		f.t.Fatal(err)
	}
	srv := &http.Server{Handler: h, ReadHeaderTimeout: time.Minute}
	go func() { _ = srv.Serve(ln) }() // ends with the server
	f.t.Cleanup(func() { _ = srv.Close() })
}

func (f *fleet) start(role string, kind byte) *target {
	p := &target{addr: testAddr(kind, 0).Addr(), exited: make(chan struct{})}
	at := func(port uint16) netip.AddrPort { return netip.AddrPortFrom(p.addr, port) }
	s := platform.Settings{
		Name: role, IP: p.addr, Domain: "z", Inner: at(7404), Store: testAddr(3, 7407), Share: 1,
		MemoryMB: untrustedMemoryMB, StatusFor: 2 * time.Minute, MaxLease: time.Second, Grace: 6 * time.Second,
	}
	if role == "agent" {
		s.Beats, s.Runner, s.Service = at(7403), at(7406), "s"
	} else {
		s.Callers, s.Ready = at(7401), at(7402)
	}
	b, err := stand.SettingsFile(s)
	if err != nil {
		f.t.Fatal(err)
	}
	var doc map[string]any
	if err := json.Unmarshal(b, &doc); err != nil {
		f.t.Fatal(err)
	}
	doc["limits"].(map[string]any)["max-fds"] = untrustedFDs
	if b, err = json.Marshal(doc); err != nil {
		f.t.Fatal(err)
	}
	path := filepath.Join(f.dir, role+".yaml")
	if err := os.WriteFile(path, b, 0o600); err != nil {
		f.t.Fatal(err)
	}
	log, err := os.Create(filepath.Join(f.dir, role+".log"))
	if err != nil {
		f.t.Fatal(err)
	}
	p.cmd = exec.CommandContext(context.Background(), f.program, role)
	p.cmd.Env = []string{platform.SettingsEnv + "=" + path}
	p.cmd.Stdout, p.cmd.Stderr = log, log
	if err := p.cmd.Start(); err != nil {
		f.t.Fatal(err)
	}
	go func() {
		_ = p.cmd.Wait() // whether the process has ended is checked by exited
		close(p.exited)
	}()
	f.t.Cleanup(func() {
		_ = p.cmd.Process.Signal(syscall.SIGKILL) // fails only if the process has ended
		<-p.exited
		_ = log.Close()
	})
	return p
}

// awaitService repeats one heartbeat and one submission until both are answered. A refused one may be
// repeated: it has not run.
func (f *fleet) awaitService() {
	f.t.Helper()
	client := &http.Client{Timeout: 5 * time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	var err error
	for until := time.Now().Add(servedWithin); time.Now().Before(until); time.Sleep(100 * time.Millisecond) {
		f.heartbeats++
		heartbeat := f.endpoint.Heartbeat("i-0", "s", "z", f.heartbeats)
		if err = stand.SendHeartbeat(f.t.Context(), client, netip.AddrPortFrom(f.agent.addr, 7403), heartbeat); err != nil {
			continue
		}
		if err = f.submit(client); err == nil {
			return
		}
	}
	f.t.Errorf("no ordinary request is answered: %v", err)
}

func (f *fleet) submit(client *http.Client) error {
	f.jobs++
	body, err := stand.SubmissionBody(&work.Job{Spec: strings.Repeat("x", work.MaxSpecBytes), BestEffort: true, Steps: []work.Step{{
		Count: 1, Resources: work.Resources{CPU: 100, MemMB: 10}, EstimateMS: 5,
	}}})
	if err != nil {
		return err
	}
	url := fmt.Sprintf("http://%s:7401/p/%016x", f.coordinator.addr, f.jobs)
	req, err := http.NewRequestWithContext(f.t.Context(), http.MethodPost, url, bytes.NewReader(body))
	if err != nil {
		return err
	}
	req.Host = "a.example"
	req.Header.Set(stand.TimeoutHeader, "1500")
	resp, err := client.Do(req)
	if err != nil {
		return err
	}
	defer func() { _ = resp.Body.Close() }() // only the status is used
	if resp.StatusCode != http.StatusOK {
		return fmt.Errorf("submission: %s", resp.Status)
	}
	return nil
}

// countDescriptors returns the most descriptors that the process had open until stop is closed.
func (p *target) countDescriptors(stop <-chan struct{}) <-chan int {
	most := make(chan int, 1)
	go func() {
		n := 0
		for {
			// An error means that the process has ended, which is checked by exited.
			entries, _ := os.ReadDir(fmt.Sprintf("/proc/%d/fd", p.cmd.Process.Pid))
			n = max(n, len(entries))
			select {
			case <-stop:
				most <- n
				return
			case <-time.After(samplePause):
			}
		}
	}()
	return most
}

// peakMemoryMB returns the largest resident size that the process has had, in MiB.
func (p *target) peakMemoryMB() (int, error) {
	b, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", p.cmd.Process.Pid))
	if err != nil {
		return 0, err
	}
	_, rest, _ := strings.Cut(string(b), "VmHWM:")
	kib := 0
	_, err = fmt.Sscan(rest, &kib)
	return kib >> 10, err
}
