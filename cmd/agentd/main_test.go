package main

import (
	"bytes"
	"context"
	"fmt"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"strings"
	"testing"
	"time"

	"connectrpc.com/connect"

	"carobpulley"
	"carobpulley/inner"
	"carobpulley/setup"
	"carobpulley/wire"
)

// entry is a fake entry that passes the announcements it receives to a test.
type entry struct {
	wire.UnimplementedEntryServiceHandler
	got chan inner.Announcement
}

func (e *entry) Announce(_ context.Context, r *connect.Request[wire.AnnounceRequest]) (*connect.Response[wire.AnnounceReply], error) {
	v, err := inner.AnnouncementFromWire(r.Msg)
	if err != nil {
		return nil, err
	}
	e.got <- v
	return connect.NewResponse(&wire.AnnounceReply{ConfigVersion: 1, InService: true}), nil
}

// Guards against a program whose parts do not work together: it must announce a
// reachable address, run a dispatched task, and when it is stopped finish the task
// and announce that it leaves.
func TestProgram(t *testing.T) {
	entered, release := make(chan struct{}), make(chan struct{})
	endpoint := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		close(entered)
		<-release
		_, _ = fmt.Fprint(w, "van 7")
	}))
	defer endpoint.Close()
	e := &entry{got: make(chan inner.Announcement, 1000)}
	mux := http.NewServeMux()
	mux.Handle(inner.EntryHandler(e))
	srv, err := inner.NewServer(t.Context(), netip.MustParseAddrPort("127.0.0.1:0"), inner.TLS{}, mux)
	if err != nil {
		t.Fatal(err)
	}
	go func() { _ = srv.Serve() }()
	defer func() { _ = srv.Stop(t.Context()) }()

	ctx, stop := context.WithCancel(t.Context())
	exit := make(chan int, 1)
	go func() {
		exit <- setup.Run(ctx, command(), []string{
			"agentd", "--endpoint-id=e1", "--endpoint-url=" + endpoint.URL, "--domain=d1",
			"--services=confirm", "--entries=" + srv.Addr().String(), "--listen=127.0.0.1:0", "--log-level=error",
		}, &bytes.Buffer{})
	}()
	a := <-e.got
	client, err := inner.NewClient(inner.TLS{})
	if err != nil {
		t.Fatal(err)
	}
	defer client.Close()
	call, cancel := context.WithTimeout(t.Context(), time.Minute)
	defer cancel()
	answer := make(chan string, 1)
	go func() {
		res, err := client.Agent(a.Endpoint.Addr).Dispatch(call, connect.NewRequest(inner.DispatchToWire(carobpulley.Entering{
			Dispatch: carobpulley.Dispatch{
				ID:      carobpulley.TaskID{Job: carobpulley.JobID{Member: "vans", Key: "k"}},
				Attempt: 1, Epoch: 1, Endpoint: "e1", Service: "confirm", Deadline: time.Now().Add(time.Minute),
			},
			Echo: a.AgentTime, Incarnation: a.Endpoint.Incarnation, ConfigVersion: 1, InService: true,
		})))
		if err != nil {
			answer <- err.Error()
			return
		}
		answer <- res.Msg.GetPhase() + " " + string(res.Msg.GetResult())
	}()
	<-entered
	stop()
	for a = range e.got {
		if a.Endpoint.Draining {
			break
		}
	}
	close(release)
	if got := <-answer; got != "done van 7" {
		t.Errorf("answer to the dispatch: got %q, want %q", got, "done van 7")
	}
	if code := <-exit; code != setup.ExitOK {
		t.Errorf("exit code: got %d, want %d", code, setup.ExitOK)
	}
	for len(e.got) > 0 {
		a = <-e.got
	}
	if !a.Leaving {
		t.Errorf("last announcement: got %+v, want Leaving", a)
	}
}

// Guards against an agent that announces an unreachable address.
func TestAdvertise(t *testing.T) {
	var stderr bytes.Buffer
	ctx, stop := context.WithCancel(t.Context())
	stop()
	code := setup.Run(ctx, command(), []string{
		"agentd", "--endpoint-id=e1", "--domain=d1", "--services=s", "--entries=127.0.0.1:1",
		"--listen=0.0.0.0:7301", "--allow-plain",
	}, &stderr)
	if code != setup.ExitUsage || !strings.Contains(stderr.String(), "--advertise (CAROB_ADVERTISE)") {
		t.Errorf("got exit code %d and stderr %q, want exit code %d and a message on --advertise", code, stderr.String(), setup.ExitUsage)
	}
}
