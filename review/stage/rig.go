//go:build review

// Command stage runs the cases of the review: it starts carobd's coordinators and agents as separate
// processes on loopback, with stand-ins for the store, the endpoints and the callers in this process,
// and checks one rule by what the stand-ins have seen.
package main

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"
	"os"
	"os/exec"
	"os/signal"
	"path/filepath"
	"strconv"
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

// The deployment: 3 front machines in 3 zones and a runner on each of 11 side machines, as on the site
// hkbosz-sched.
const (
	fronts       = 3
	sides        = 11
	zones        = 3
	service      = "van-booking"
	heartbeatGap = 1500 * time.Millisecond
	maxLease     = time.Second
	statusFor    = 2 * time.Minute
	grace        = 6 * time.Second
	resendAfter  = 1300 * time.Millisecond
	settle       = 5 * time.Second
	// longest bounds a run of a case.
	longest = 115 * time.Second

	portCallers, portReady, portBeats, portInner, portAdvertised, portRunner, portStore = 7801, 7802, 7803, 7804, 7805, 7806, 7807
	portMetrics                                                                         = 9300
)

// route is one route of the operators' configuration.
type route struct {
	name, host, prefix string
	attempts           int
}

// recorder writes record.txt.
type recorder struct {
	mu    sync.Mutex
	f     *os.File
	began time.Time
}

func (r *recorder) note(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.f, "%9.3f  %s\n", time.Since(r.began).Seconds(), fmt.Sprintf(format, args...))
}

// rig is the system under test with its stand-ins.
type rig struct {
	ctx     context.Context
	cancel  context.CancelFunc
	rec     *recorder
	dir     string
	program string
	subnet  byte
	store   *emul.Store
	checker *emul.Checker
	fronts  []*host
	sides   []*host
	runners []*runner
	wg      sync.WaitGroup
	closing sync.Mutex
	// apart is set if each front reaches each other machine through a link of its own.
	apart bool
	cut   zoneCut
	// storeDelay is the time that each call of the store takes more, in nanoseconds.
	storeDelay atomic.Int64

	mu   sync.Mutex
	jobs map[string]*work.Job
	// behavior returns the duration and the outcome of a run at a runner.
	behavior func(runner int, s work.Start) (time.Duration, work.Outcome)
}

// host is a machine of the system with its process.
type host struct {
	name     string
	role     string
	zone     string
	addr     netip.Addr
	settings string
	log      *os.File
	// link leads to the store, and inner from the other machines to the process.
	link, inner *link
	// out holds the links from a front to the other machines by the addresses to which they lead.
	outMu sync.Mutex
	out   map[netip.AddrPort]*link
	env   []string

	mu   sync.Mutex
	cmd  *exec.Cmd
	done chan struct{}
}

func newRig(record, program string, routes []route) (*rig, error) {
	f, err := os.Create(record)
	if err != nil {
		return nil, err
	}
	dir, err := os.MkdirTemp("", "review-")
	if err != nil {
		return nil, err
	}
	if program, err = filepath.Abs(program); err != nil {
		return nil, err
	}
	ctx, cancel := context.WithCancel(context.Background())
	g := &rig{
		ctx: ctx, cancel: cancel, rec: &recorder{f: f, began: time.Now()}, dir: dir, program: program,
		store: emul.NewStore(), checker: emul.NewChecker(), jobs: make(map[string]*work.Job),
	}
	stopped := make(chan os.Signal, 1)
	signal.Notify(stopped, syscall.SIGTERM, syscall.SIGINT)
	go func() {
		select {
		case <-stopped:
		case <-time.After(longest):
		}
		g.close()
		os.Exit(exitNotRun)
	}()
	if err := g.findSubnet(); err != nil {
		return nil, err
	}
	return g, g.writeConfig(1, routes)
}

// findSubnet finds a part 127.N.0.0/16 of the loopback range with free ports.
func (g *rig) findSubnet() error {
	for try := range 100 {
		g.subnet = byte(20 + (os.Getpid()+try*37)%200)
		if g.free() {
			return nil
		}
	}
	return errors.New("no free ports found")
}

func (g *rig) free() bool {
	for _, kind := range []byte{1, 2} {
		for n := range sides {
			for _, port := range []uint16{portCallers, portReady, portBeats, portInner, portAdvertised, portRunner, portStore, portMetrics} {
				l, err := net.ListenTCP("tcp", net.TCPAddrFromAddrPort(netip.AddrPortFrom(g.addr(kind, n), port)))
				if err != nil {
					return false
				}
				_ = l.Close() // nothing was accepted
			}
		}
	}
	return true
}

func (g *rig) addr(kind byte, n int) netip.Addr {
	return netip.AddrFrom4([4]byte{127, g.subnet, kind, byte(n + 1)})
}

func zoneOf(n int) string { return []string{"bud-a", "bud-b", "pest-c"}[n%zones] }

// writeConfig writes op/config as the operator. It returns once the store has acknowledged it.
func (g *rig) writeConfig(version int64, routes []route) error {
	c := &work.RoutingConfig{Version: version}
	for _, r := range routes {
		c.Routes = append(c.Routes, work.Route{Host: r.host, Prefix: r.prefix, Queue: work.Queue{
			Name: r.name, Service: service, MaxAttempts: r.attempts, Stretch: 1.6, TargetMS: 60,
		}})
	}
	rec, err := stand.ConfigRecord(c)
	if err != nil {
		return err
	}
	if err := g.store.View().Append(g.ctx, stand.ConfigPartition(), []carobpulley.KeyedRecord{rec}); err != nil {
		return err
	}
	g.rec.note("operator: op/config version %d with %d routes is acknowledged", version, len(routes))
	return nil
}

// start starts all runners and processes.
func (g *rig) start() error {
	for n := range sides {
		r := &runner{rig: g, number: n, addr: netip.AddrPortFrom(g.addr(2, n), portRunner), seen: make(map[int64]bool)}
		r.Endpoint = emul.NewEndpoint(g.checker, work.Resources{CPU: 64_000, MemMB: 131_072}, uint64(n+1), func(s work.Start) (time.Duration, work.Outcome) {
			d, outcome := g.behavior(n, s)
			g.rec.note("runner %d: starts %s run %d", n, s.Run.Task, s.Run.Number)
			return d, outcome
		})
		g.runners = append(g.runners, r)
		if err := r.listen(); err != nil {
			return err
		}
	}
	for n := range fronts {
		if err := g.addHost(&g.fronts, "coordinator", 1, n, 0.4, 284); err != nil {
			return err
		}
	}
	for n := range sides {
		if err := g.addHost(&g.sides, "agent", 2, n, 0.24, 152); err != nil {
			return err
		}
		g.wg.Go(func() { g.sendHeartbeats(n) })
	}
	time.Sleep(settle)
	return nil
}

func (g *rig) addHost(to *[]*host, role string, kind byte, n int, share float64, memory int64) error {
	a := g.addr(kind, n)
	at := func(port uint16) netip.AddrPort { return netip.AddrPortFrom(a, port) }
	s := platform.Settings{
		Name: fmt.Sprintf("%s-%d", role, n), IP: a, Domain: zoneOf(n), Inner: at(portInner), Store: at(portStore),
		Share: share, MemoryMB: memory, StatusFor: statusFor, MaxLease: maxLease, Grace: grace,
	}
	if role == "agent" {
		s.Beats, s.Runner, s.Service = at(portBeats), at(portRunner), service
	} else {
		s.Callers, s.Ready = at(portCallers), at(portReady)
	}
	b, err := stand.SettingsFile(s)
	if err != nil {
		return err
	}
	h := &host{name: s.Name, role: role, zone: s.Domain, addr: a, settings: filepath.Join(g.dir, s.Name+".yaml")}
	if err := os.WriteFile(h.settings, b, 0o600); err != nil {
		return err
	}
	if h.log, err = os.Create(filepath.Join(g.dir, s.Name+".log")); err != nil {
		return err
	}
	// The process reaches the store through a link of its own.
	inner, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return err
	}
	var view carobpulley.Store = g.store.View()
	if g.apart && role == "coordinator" {
		view = apartStore{Store: view, g: g, h: h}
	}
	store := stand.StoreHandler(view)
	srv := &http.Server{ReadHeaderTimeout: time.Minute, Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		time.Sleep(time.Duration(g.storeDelay.Load()))
		store.ServeHTTP(w, r)
	})}
	g.wg.Go(func() { _ = srv.Serve(inner) })
	go func() { <-g.ctx.Done(); _ = srv.Close() }()
	if h.link, err = newLink(g.ctx, at(portStore), inner.Addr().String()); err != nil {
		return err
	}
	if h.inner, err = newLink(g.ctx, at(portAdvertised), at(portInner).String()); err != nil {
		return err
	}
	if g.apart {
		h.link.wait = func(ctx context.Context, _ string) { g.awaitPath(ctx, h.zone, "") }
		h.inner.wait = func(ctx context.Context, from string) {
			if from != "" {
				g.awaitPath(ctx, h.zone, zoneNamed(from))
			}
		}
	}
	h.env = []string{platform.SettingsEnv + "=" + h.settings, "CAROB_ADVERTISE=" + at(portAdvertised).String(), "PATH=" + os.Getenv("PATH")}
	*to = append(*to, h)
	return g.run(h)
}

// run starts a host's process with the command of the deploy file.
func (g *rig) run(h *host) error {
	cmd := exec.Command(g.program, h.role)
	cmd.Env = h.env
	cmd.SysProcAttr = &syscall.SysProcAttr{Setpgid: true}
	cmd.Stdout, cmd.Stderr = h.log, h.log
	if err := cmd.Start(); err != nil {
		return err
	}
	done := make(chan struct{})
	h.mu.Lock()
	h.cmd, h.done = cmd, done
	h.mu.Unlock()
	go func() { _ = cmd.Wait(); close(done) }()
	return nil
}

// kill ends a host's process by SIGKILL.
func (g *rig) kill(h *host) {
	h.mu.Lock()
	cmd, done := h.cmd, h.done
	h.mu.Unlock()
	if cmd == nil {
		return
	}
	_ = cmd.Process.Kill() // fails only if it has ended
	<-done
}

// owner returns the front whose process owns the jobs, by the newest claim in the store.
func (g *rig) owner() *host {
	ctx, cancel := context.WithTimeout(g.ctx, time.Second)
	defer cancel()
	records, _, err := g.store.View().Newest(ctx, carobpulley.Partition{Topic: carobpulley.TopicControl})
	if err != nil {
		return nil
	}
	for i := range records {
		r, err := work.DecodeControl(records[i].Key, records[i].Value)
		if err != nil || r.Claim == nil {
			continue
		}
		for _, h := range g.fronts {
			if h.name == r.Claim.Owner.Name {
				return h
			}
		}
	}
	return nil
}

func (g *rig) sendHeartbeats(n int) {
	c := &http.Client{Timeout: time.Second}
	to := netip.AddrPortFrom(g.addr(2, n), portBeats)
	for seq := int64(1); g.ctx.Err() == nil; seq++ {
		if e := g.runners[n]; !e.Down() {
			_ = stand.SendHeartbeat(g.ctx, c, to, e.Heartbeat(fmt.Sprintf("i-%d", n), service, zoneOf(n), seq)) // the next one follows
		}
		select {
		case <-g.ctx.Done():
		case <-time.After(heartbeatGap):
		}
	}
}

// close ends everything that was started.
func (g *rig) close() {
	g.closing.Lock()
	defer g.closing.Unlock()
	if g.ctx.Err() != nil {
		return
	}
	for _, h := range append(append([]*host(nil), g.fronts...), g.sides...) {
		g.kill(h)
		_ = h.log.Close()
	}
	g.cancel()
	for _, r := range g.runners {
		r.crash()
	}
	g.wg.Wait()
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(g.dir)
	} else {
		fmt.Println("logs:", g.dir)
	}
}

// runner is the stand-in of a runner: emul.Endpoint behind a listener that closes with a crash.
type runner struct {
	*emul.Endpoint
	rig    *rig
	number int
	addr   netip.AddrPort
	srv    *http.Server

	mu   sync.Mutex
	seen map[int64]bool
	// ended holds the ends that were listed.
	ended []work.End
}

func (r *runner) listen() error {
	l, err := net.ListenTCP("tcp", net.TCPAddrFromAddrPort(r.addr))
	if err != nil {
		return err
	}
	r.srv = &http.Server{Handler: stand.EndpointHandler(r, r.rig.lookup), ReadHeaderTimeout: time.Minute}
	srv := r.srv
	go func() { _ = srv.Serve(l) }()
	return nil
}

// crash ends the runner with all that it runs. Its port refuses connections from then on.
func (r *runner) crash() {
	r.Crash()
	_ = r.srv.Close()
	r.mu.Lock()
	r.seen = make(map[int64]bool)
	r.mu.Unlock()
}

// restart starts the runner again under its id.
func (r *runner) restart() error {
	r.Restart()
	return r.listen()
}

// Renew implements carobpulley.EndpointClient, and records the ends that are listed and forgotten.
func (r *runner) Renew(ctx context.Context, l carobpulley.Lease, acked int64, wait time.Duration) (carobpulley.RunLists, string, error) {
	lists, refusal, err := r.Endpoint.Renew(ctx, l, acked, wait)
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, e := range lists.Finished {
		if !r.seen[e.Sequence] {
			r.seen[e.Sequence] = true
			r.ended = append(r.ended, e)
			r.rig.rec.note("runner %d: lists end %d of %s run %d: %s", r.number, e.Sequence, e.Run.Task, e.Run.Number, e.Outcome)
		}
	}
	return lists, refusal, err
}

// failedRuns returns the number of runs of each task that runners have listed as failed.
func (g *rig) failedRuns() map[string]int {
	failed := make(map[string]int)
	for _, r := range g.runners {
		r.mu.Lock()
		for _, e := range r.ended {
			if e.Outcome == work.OutcomeFailed {
				failed[e.Run.Task]++
			}
		}
		r.mu.Unlock()
	}
	return failed
}

func (g *rig) lookup(task string) (work.Resources, bool, bool) {
	id, step, _, err := work.ParseTaskName(task)
	if err != nil {
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

// job returns a new durable job of one step.
func (g *rig) job(id string, tasks int, estimateMS int64) *work.Job {
	j := &work.Job{ID: id, Spec: "(text)", Steps: []work.Step{{Count: tasks, Resources: work.Resources{CPU: 6200, MemMB: 64}, EstimateMS: estimateMS}}}
	g.mu.Lock()
	g.jobs[id] = j
	g.mu.Unlock()
	return j
}

// answer is what a caller got; status 0 stands for no response.
type answer struct {
	status int
	state  string
}

// call makes one call of a caller at a front.
func (g *rig) call(c *http.Client, front int, method string, r route, id string, body []byte, timeout time.Duration) answer {
	ctx, cancel := context.WithTimeout(g.ctx, timeout)
	defer cancel()
	addr := netip.AddrPortFrom(g.addr(1, front), portCallers)
	req, err := http.NewRequestWithContext(ctx, method, "http://"+addr.String()+r.prefix+id, bytes.NewReader(body))
	if err != nil {
		return answer{}
	}
	req.Host = r.host
	req.Header.Set(stand.TimeoutHeader, strconv.FormatInt(timeout.Milliseconds(), 10))
	resp, err := c.Do(req)
	if err != nil {
		return answer{}
	}
	defer func() { _ = resp.Body.Close() }() // read below
	b, err := io.ReadAll(resp.Body)
	if err != nil {
		return answer{}
	}
	var doc struct {
		State string `json:"state"`
	}
	_ = json.Unmarshal(b, &doc) // other answers have no state
	return answer{resp.StatusCode, doc.State}
}

// submit submits a durable job until it is answered; a job without an answer is sent again at another
// front. It returns the last status.
func (g *rig) submit(c *http.Client, front int, r route, j *work.Job) int {
	body, err := stand.SubmissionBody(j)
	if err != nil {
		return 0
	}
	for try := range 8 {
		at := (front + try) % fronts
		a := g.call(c, at, http.MethodPost, r, j.ID, body, 1500*time.Millisecond)
		g.rec.note("caller: POST %s at front %d: %d", j.ID, at, a.status)
		if a.status != 0 && a.status != http.StatusBadGateway && a.status != http.StatusGatewayTimeout {
			return a.status
		}
		time.Sleep(resendAfter)
	}
	return 0
}

// await asks for a job's state until it has ended or the time is over.
func (g *rig) await(c *http.Client, r route, id string, until time.Time) answer {
	var last answer
	for n := 0; time.Now().Before(until); n++ {
		a := g.call(c, n%fronts, http.MethodGet, r, id, nil, 1500*time.Millisecond)
		if a != last {
			g.rec.note("caller: GET %s at front %d: %d %s", id, n%fronts, a.status, a.state)
		}
		last = a
		if a.status == http.StatusGone || work.State(a.state).Ended() {
			return a
		}
		time.Sleep(100 * time.Millisecond)
	}
	return last
}

// post submits a job once.
func (g *rig) post(c *http.Client, front int, r route, j *work.Job) answer {
	return g.postWaiting(c, front, r, j, 1500*time.Millisecond)
}

// postWaiting submits a job once and waits up to a time for its answer.
func (g *rig) postWaiting(c *http.Client, front int, r route, j *work.Job, wait time.Duration) answer {
	body, err := stand.SubmissionBody(j)
	if err != nil {
		return answer{}
	}
	return g.call(c, front, http.MethodPost, r, j.ID, body, wait)
}
