package agent_test

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"net/url"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"connectrpc.com/connect"
	"github.com/google/go-cmp/cmp"
	"github.com/rs/zerolog"

	"carobpulley"
	"carobpulley/agent"
	"carobpulley/inner"
	"carobpulley/wire"
)

// endpoint is a fake endpoint that counts its starts. If release is not nil, a call
// blocks until release is closed.
type endpoint struct {
	starts  atomic.Int32
	entered chan struct{}
	release chan struct{}
	// down makes calls over the network fail to connect.
	down atomic.Bool
	// closed counts the requests that were closed while their call was blocked.
	closed atomic.Int32
}

func (e *endpoint) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	e.starts.Add(1)
	body, _ := io.ReadAll(r.Body)
	if e.release != nil {
		e.entered <- struct{}{}
		select {
		case <-e.release:
		case <-r.Context().Done():
			e.closed.Add(1)
			return
		}
	}
	switch string(body) {
	case "fail":
		http.Error(w, "no van", http.StatusConflict)
	case "long":
		_, _ = w.Write(make([]byte, carobpulley.MaxResultBytes+1))
	default:
		_, _ = fmt.Fprint(w, r.URL.Path, " ", r.Header.Get(agent.HeaderJob), " ", r.Header.Get(agent.HeaderTask), " ", r.Header.Get(agent.HeaderAttempt))
	}
}

// RoundTrip calls the endpoint without a network, for tests with a synthetic clock.
func (e *endpoint) RoundTrip(r *http.Request) (*http.Response, error) {
	w := httptest.NewRecorder()
	e.ServeHTTP(w, r)
	if err := r.Context().Err(); err != nil {
		return nil, err
	}
	return w.Result(), nil
}

// newBlockingEndpoint returns an endpoint whose calls block until release is closed.
func newBlockingEndpoint() *endpoint {
	return &endpoint{entered: make(chan struct{}, 8), release: make(chan struct{})}
}

// fixture is an agent with one slot and a queue limit of one. Its calls are made
// through calls, directly or over the network.
type fixture struct {
	*agent.Agent
	t           *testing.T
	calls       wire.AgentServiceClient
	incarnation uint64
	clock       int64
}

func newFixture(t *testing.T, base string, rt http.RoundTripper, entries agent.EntryClients) *fixture {
	u, err := url.Parse(base)
	if err != nil {
		t.Fatal(err)
	}
	a := agent.New(agent.Config{
		Endpoint: carobpulley.Endpoint{
			ID: "e1", Domain: "d1", Services: []string{"confirm"}, Slots: 1, Addr: netip.MustParseAddrPort("127.0.0.1:7301"),
		},
		BaseURL: u, QueueLimit: 1, RunLimit: time.Hour,
		Entries: []netip.AddrPort{netip.MustParseAddrPort("127.0.0.1:1"), netip.MustParseAddrPort("127.0.0.1:2")},
	}, entries, rt, zerolog.Nop())
	f := &fixture{Agent: a, t: t, calls: a}
	f.sync()
	return f
}

// sync reads the agent's incarnation and clock from a reply, as an entry does.
func (f *fixture) sync() {
	res, err := f.Fence(f.t.Context(), connect.NewRequest(&wire.FenceRequest{Owner: "a"}))
	if err != nil {
		f.t.Fatal(err)
	}
	f.incarnation, f.clock = res.Msg.GetIncarnation(), res.Msg.GetAgentTime()
}

// newNetworkFixture returns an agent that serves over the network and calls the
// endpoint over the network.
func newNetworkFixture(t *testing.T, e *endpoint) *fixture {
	srv := httptest.NewServer(e)
	t.Cleanup(srv.Close)
	dial := agent.NewTransport(1)
	t.Cleanup(dial.CloseIdleConnections)
	f := newFixture(t, srv.URL+"/base", roundTripper(func(r *http.Request) (*http.Response, error) {
		if e.down.Load() {
			r.URL.Host = "127.0.0.1:1"
		}
		return dial.RoundTrip(r)
	}), nil)
	mux := http.NewServeMux()
	mux.Handle(inner.AgentHandler(f.Agent))
	s, err := inner.NewServer(t.Context(), netip.MustParseAddrPort("127.0.0.1:0"), inner.TLS{}, mux)
	if err != nil {
		t.Fatal(err)
	}
	go func() { _ = s.Serve() }()
	t.Cleanup(func() { _ = s.Stop(context.Background()) })
	c, err := inner.NewClient(inner.TLS{})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(c.Close)
	f.calls = c.Agent(s.Addr())
	return f
}

type roundTripper func(*http.Request) (*http.Response, error)

func (f roundTripper) RoundTrip(r *http.Request) (*http.Response, error) { return f(r) }

func (f *fixture) task(key string, attempt int) carobpulley.Entering {
	return carobpulley.Entering{
		Dispatch: carobpulley.Dispatch{
			ID:      carobpulley.TaskID{Job: carobpulley.JobID{Member: "vans", Key: key}, Index: 3},
			Attempt: attempt, Shard: 1, Epoch: 2, Endpoint: "e1", Service: "confirm", Deadline: time.Now().Add(time.Hour),
		},
		Echo: f.clock, Incarnation: f.incarnation, ConfigVersion: 1, InService: true,
	}
}

func (f *fixture) send(ctx context.Context, in carobpulley.Entering) string {
	ctx, cancel := context.WithTimeout(ctx, 30*time.Minute)
	defer cancel()
	res, err := f.calls.Dispatch(ctx, connect.NewRequest(inner.DispatchToWire(in)))
	return f.result(res, err)
}

// result returns a short text of an answer: the phase, then the kind of the refusal,
// or the status with the result or the error.
func (f *fixture) result(res *connect.Response[wire.DispatchReply], err error) string {
	if err != nil {
		e := inner.AsError(err)
		return fmt.Sprintf("error %s %v", e.Kind, e.NotRun)
	}
	v, err := inner.DispatchAnswerFromWire(res.Msg)
	if err != nil {
		f.t.Error(err)
	}
	if v.Refusal != nil {
		return fmt.Sprintf("%s %s", v.Phase, v.Refusal.Kind)
	}
	return strings.TrimSpace(fmt.Sprintf("%s %d %s%s", v.Phase, v.Status, v.Result, v.Err))
}

func (f *fixture) query(in carobpulley.Entering, wait bool) string {
	ctx, cancel := context.WithTimeout(f.t.Context(), 30*time.Minute)
	defer cancel()
	d := in.Dispatch
	res, err := f.calls.Query(ctx, connect.NewRequest(inner.QueryToWire(inner.Query{
		ID: d.ID, Attempt: d.Attempt, Shard: d.Shard, Epoch: d.Epoch, Wait: wait, Endpoint: "e1", Incarnation: in.Incarnation,
	})))
	return f.result(res, err)
}

func (f *fixture) cancel(in carobpulley.Entering) string {
	ctx, cancel := context.WithTimeout(f.t.Context(), 30*time.Minute)
	defer cancel()
	res, err := f.calls.CancelTask(ctx, connect.NewRequest(inner.CancelTaskToWire(inner.Cancel{
		ID: in.Dispatch.ID, Shard: 1, Epoch: 2, Endpoint: "e1", Incarnation: in.Incarnation,
	})))
	return f.result(res, err)
}

func (f *fixture) expect(got, want string) {
	f.t.Helper()
	if diff := cmp.Diff(want, got); diff != "" {
		f.t.Error(diff)
	}
}

// async makes a call in the background. The returned function waits for its answer.
func async(call func() string) func() string {
	out := make(chan string, 1)
	go func() { out <- call() }()
	return func() string { return <-out }
}

// Guards against a second start of a task by repeated, late and lost messages.
func TestStartsOnce(t *testing.T) {
	e := newBlockingEndpoint()
	f := newNetworkFixture(t, e)
	in := f.task("k/1", 1)
	ctx, closeCall := context.WithCancel(t.Context())
	lost := async(func() string { return f.send(ctx, in) })
	<-e.entered
	repeated := async(func() string { return f.send(t.Context(), in) })
	closeCall()
	f.expect(lost(), "error cancelled false")
	f.expect(f.query(in, false), "running 0")
	waiting := async(func() string { return f.query(in, true) })
	close(e.release)
	const done = "done 200 /base/run/confirm vans/k%2F1 3 1"
	f.expect(repeated(), done)
	f.expect(waiting(), done)
	f.expect(f.send(t.Context(), f.task("k/1", 2)), done)

	late := f.task("late", 1)
	f.expect(f.query(late, true), "not_run unavailable")
	f.expect(f.send(t.Context(), late), "not_run unavailable")
	request := f.task("late", 1)
	request.Request, request.Dispatch.ID.Index = true, carobpulley.RequestIndex
	f.expect(f.send(t.Context(), request), "done 200 /base/run/confirm late 0 1")
	if n := e.starts.Load(); n != 2 {
		t.Errorf("%d starts, want 2", n)
	}
	res, err := f.Fence(t.Context(), connect.NewRequest(inner.FenceRequestToWire(inner.FenceRequest{Owner: "b", Shards: []carobpulley.Ownership{{Shard: 1, Epoch: 1}}})))
	if err != nil || res.Msg.GetFenced() || len(res.Msg.GetStarted()) != 1 || !res.Msg.GetComplete() {
		t.Errorf("fence of an older epoch: got %v, %v; want one started task, complete, not fenced", res, err)
	}
}

// Guards against starts by messages that are malformed, oversized or meant for
// another agent, and against an answer of "not run" for a task of another agent,
// whose starts this agent has no records of.
func TestRefusesBadMessages(t *testing.T) {
	e := &endpoint{}
	f := newNetworkFixture(t, e)
	bad := f.task("", 1)
	f.expect(f.send(t.Context(), bad), "error invalid true")
	big := f.task("k", 1)
	big.Dispatch.Payload = make([]byte, carobpulley.MaxPayloadBytes+1)
	f.expect(f.send(t.Context(), big), "error invalid true")
	big.Dispatch.Payload = make([]byte, inner.MaxAgentMessageBytes)
	f.expect(f.send(t.Context(), big), "error invalid false")
	other := f.task("k", 1)
	other.Incarnation--
	f.expect(f.send(t.Context(), other), "not_run wrong_agent")
	f.expect(f.query(other, false), "error wrong_agent false")
	f.expect(f.cancel(other), "error wrong_agent false")
	unknown := f.task("k", 1)
	unknown.Dispatch.Service = "sell"
	f.expect(f.send(t.Context(), unknown), "not_run impossible")
	if n := e.starts.Load(); n != 0 {
		t.Errorf("%d starts, want none", n)
	}
	for payload, want := range map[string]string{
		"fail": "failed 409 endpoint answered 409: no van",
		"long": "failed 200 the result is longer than 65536 bytes",
	} {
		in := f.task(payload, 1)
		in.Dispatch.Payload = []byte(payload)
		f.expect(f.send(t.Context(), in), want)
	}
	e.down.Store(true)
	f.expect(f.send(t.Context(), f.task("down", 1)), "not_run unavailable")
	e.down.Store(false)
	f.expect(f.send(t.Context(), f.task("down", 1)), "not_run unavailable")
	f.expect(f.send(t.Context(), f.task("down", 2)), "done 200 /base/run/confirm vans/down 3 2")
}

// Guards against a queue that exceeds its limit, retains dispatches that can never
// start, or starts them.
func TestQueue(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		e := newBlockingEndpoint()
		f := newFixture(t, "http://e1", e, nil)
		running := f.task("running", 1)
		first := async(func() string { return f.send(t.Context(), running) })
		<-e.entered
		queue := func(key string) func() string {
			f.sync()
			out := async(func() string { return f.send(t.Context(), f.task(key, 1)) })
			synctest.Wait()
			return out
		}
		expires := queue("expires")
		f.expect(f.send(t.Context(), f.task("full", 1)), "not_run busy")
		queuedAt := time.Now()
		f.expect(expires(), "not_run busy")
		if waited := time.Since(queuedAt); waited != carobpulley.EchoValidity {
			t.Errorf("waited %s for a slot, want %s, the validity of the echo", waited, carobpulley.EchoValidity)
		}
		queried := queue("queried")
		f.expect(f.query(f.task("queried", 1), true), "not_run unavailable")
		f.expect(queried(), "not_run unavailable")
		cancelled := queue("cancelled")
		f.expect(f.cancel(f.task("cancelled", 1)), "not_run unavailable")
		f.expect(cancelled(), "not_run cancelled")
		removed := queue("removed")
		out := f.task("out", 1)
		out.ConfigVersion, out.InService = 2, false
		f.expect(f.send(t.Context(), out), "not_run out_of_service")
		f.expect(removed(), "not_run out_of_service")
		f.expect(f.cancel(running), "stopped 0 context canceled")
		f.expect(first(), "stopped 0 context canceled")
		if e.closed.Load() != 1 || e.starts.Load() != 1 {
			t.Errorf("%d starts, %d requests closed; want one of each", e.starts.Load(), e.closed.Load())
		}
	})
}

// fakeEntries stands for two entries. The second one does not answer until it is
// called on a new connection.
type fakeEntries struct {
	wire.EntryServiceClient
	mu  *sync.Mutex
	got map[string][]string
	// key is the entry's address and whether the call uses a new connection.
	key       string
	startedAt time.Time
}

func (s fakeEntries) Announce(ctx context.Context, r *connect.Request[wire.AnnounceRequest]) (*connect.Response[wire.AnnounceReply], error) {
	s.mu.Lock()
	s.got[s.key] = append(s.got[s.key], fmt.Sprintf("%s %v %v", time.Since(s.startedAt), r.Msg.GetDraining(), r.Msg.GetLeaving()))
	s.mu.Unlock()
	if s.key == "127.0.0.1:2 false" {
		<-ctx.Done()
		return nil, ctx.Err()
	}
	return connect.NewResponse(&wire.AnnounceReply{ConfigVersion: 1, InService: true}), nil
}

// Guards against a stop that ends a task before DrainTimeout, accepts new
// dispatches or is not announced to the entries, and against an unresponsive entry
// that delays the announcements to the others.
func TestAnnounceAndDrain(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		all := fakeEntries{mu: new(sync.Mutex), got: map[string][]string{}, startedAt: time.Now()}
		e := newBlockingEndpoint()
		f := newFixture(t, "http://e1", e, func(addr netip.AddrPort, newConn bool) wire.EntryServiceClient {
			one := all
			one.key = fmt.Sprintf("%s %v", addr, newConn)
			return one
		})
		ctx, stop := context.WithCancel(t.Context())
		announcing := async(func() string { f.Announce(ctx); return "" })
		synctest.Wait()
		if err := f.Ready(); err != nil {
			t.Error(err)
		}
		running := async(func() string { return f.send(t.Context(), f.task("running", 1)) })
		<-e.entered
		queued := async(func() string { return f.send(t.Context(), f.task("queued", 1)) })
		time.Sleep(1100 * time.Millisecond)
		limit, cancel := context.WithTimeout(t.Context(), 30*time.Second)
		defer cancel()
		drained := async(func() string { f.Drain(limit); return time.Since(all.startedAt).String() })
		f.expect(queued(), "not_run draining")
		f.sync()
		f.expect(f.send(t.Context(), f.task("new", 1)), "not_run draining")
		if f.Ready() == nil {
			t.Error("Ready returned nil while draining")
		}
		f.expect(drained(), "31.1s")
		f.expect(running(), "failed 0 context canceled")
		stop()
		announcing()
		f.Leave(t.Context())
		for key, want := range map[string][]string{
			"127.0.0.1:1 false": {"0s false false", "1s false false", "1.1s true false", "2s true false"},
			"127.0.0.1:1 true":  {"31.1s true true"},
			"127.0.0.1:2 false": {"0s false false"},
			"127.0.0.1:2 true":  {"1s false false", "1.1s true false", "2s true false"},
		} {
			if diff := cmp.Diff(want, all.got[key][:min(len(want), len(all.got[key]))]); diff != "" {
				t.Errorf("announcements to %s (-want +got):\n%s", key, diff)
			}
		}
	})
}
