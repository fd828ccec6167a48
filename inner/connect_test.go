package inner_test

import (
	"context"
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/pem"
	"io"
	"math/big"
	"net"
	"net/http"
	"net/netip"
	"os"
	"path/filepath"
	"sync/atomic"
	"testing"
	"time"

	"connectrpc.com/connect"
	"github.com/google/go-cmp/cmp"

	"carobpulley"
	"carobpulley/inner"
	"carobpulley/wire"
)

// loopback is a loopback address with a port that the system selects.
var loopback = netip.MustParseAddrPort("127.0.0.1:0")

// agent is a fake agent. It answers each fence request as fenced, or with err if that
// is set. A dispatch blocks until release is closed.
type agent struct {
	wire.UnimplementedAgentServiceHandler
	err     error
	entered chan struct{}
	release chan struct{}
}

func (a *agent) Fence(context.Context, *connect.Request[wire.FenceRequest]) (*connect.Response[wire.FenceReply], error) {
	return connect.NewResponse(&wire.FenceReply{Fenced: true}), a.err
}

func (a *agent) Dispatch(context.Context, *connect.Request[wire.DispatchRequest]) (*connect.Response[wire.DispatchReply], error) {
	a.entered <- struct{}{}
	<-a.release
	return connect.NewResponse(&wire.DispatchReply{Phase: "done"}), nil
}

// serve starts a server for an agent and stops it at the end of the test.
func serve(t *testing.T, settings inner.TLS, a *agent) *inner.Server {
	t.Helper()
	mux := http.NewServeMux()
	mux.Handle(inner.AgentHandler(a))
	s, err := inner.NewServer(t.Context(), loopback, settings, mux)
	if err != nil {
		t.Fatal(err)
	}
	s.SetErrorLog(io.Discard)
	done := make(chan error, 1)
	go func() { done <- s.Serve() }()
	t.Cleanup(func() {
		ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
		defer cancel()
		_ = s.Stop(ctx)
		if err := <-done; err != nil {
			t.Error(err)
		}
	})
	return s
}

func client(t *testing.T, settings inner.TLS) *inner.Client {
	t.Helper()
	c, err := inner.NewClient(settings)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(c.Close)
	return c
}

func fence(ctx context.Context, c *inner.Client, addr netip.AddrPort) error {
	_, err := c.Agent(addr).Fence(ctx, connect.NewRequest(&wire.FenceRequest{}))
	return err
}

// testContext returns a context with a deadline of one minute.
func testContext(t *testing.T) context.Context {
	ctx, cancel := context.WithTimeout(t.Context(), time.Minute)
	t.Cleanup(cancel)
	return ctx
}

// Guards against an error that loses a field, such as NotRun, between two processes,
// and against a failed dial that cannot be distinguished from a lost answer.
func TestErrorsCrossProcesses(t *testing.T) {
	s := serve(t, inner.TLS{}, &agent{err: refusal})
	c := client(t, inner.TLS{})
	if diff := cmp.Diff(error(refusal), fence(testContext(t), c, s.Addr())); diff != "" {
		t.Error(diff)
	}
	closed, err := inner.NewServer(t.Context(), loopback, inner.TLS{}, nil)
	if err != nil {
		t.Fatal(err)
	}
	if err := closed.Stop(testContext(t)); err != nil {
		t.Fatal(err)
	}
	_ = closed.Serve()
	e := inner.AsError(fence(testContext(t), c, closed.Addr()))
	if e.Kind != carobpulley.KindUnavailable || !e.NotRun {
		t.Errorf("got %#v, want an error of kind unavailable with NotRun", e)
	}
}

// Guards against a call that blocks without a time limit.
func TestNoCallWithoutDeadline(t *testing.T) {
	s := serve(t, inner.TLS{}, &agent{})
	c := client(t, inner.TLS{})
	if err := fence(t.Context(), c, s.Addr()); err == nil {
		t.Error("a call without a deadline was sent")
	}
	if err := fence(testContext(t), c, s.Addr()); err != nil {
		t.Error(err)
	}
}

// Guards against plain text between hosts.
func TestPlainTextOnLoopbackOnly(t *testing.T) {
	remote := netip.MustParseAddrPort("192.0.2.1:7301")
	if e := inner.AsError(fence(testContext(t), client(t, inner.TLS{}), remote)); e.Kind != carobpulley.KindInvalid || !e.NotRun {
		t.Errorf("got %#v, want kind invalid and NotRun", e)
	}
	if err := (inner.TLS{}).CheckAddr(remote); err == nil {
		t.Errorf("plain text is allowed on %s", remote)
	}
	if err := (inner.TLS{AllowPlain: true}).CheckAddr(remote); err != nil {
		t.Error(err)
	}
	if _, err := inner.NewServer(t.Context(), netip.MustParseAddrPort("0.0.0.0:0"), inner.TLS{}, nil); err == nil {
		t.Error("a server listens on all addresses in plain text")
	}
}

// Guards against a server that accepts clients without a certificate of its CA, and
// against a client that accepts a server of another CA.
func TestMutualTLS(t *testing.T) {
	settings, other := newTLS(t), newTLS(t)
	s := serve(t, settings, &agent{})
	if err := fence(testContext(t), client(t, settings), s.Addr()); err != nil {
		t.Error(err)
	}
	foreign := settings
	foreign.Cert, foreign.Key = other.Cert, other.Key
	if err := fence(testContext(t), client(t, foreign), s.Addr()); err == nil {
		t.Error("a client with a certificate of another CA got an answer")
	}
	if err := fence(testContext(t), client(t, other), s.Addr()); err == nil {
		t.Error("a client accepted a server of another CA")
	}
}

// Guards against a stop that interrupts calls in progress.
func TestStopWaitsForCalls(t *testing.T) {
	a := &agent{entered: make(chan struct{}), release: make(chan struct{})}
	s := serve(t, inner.TLS{}, a)
	c := client(t, inner.TLS{})
	answered := make(chan error, 1)
	go func() {
		_, err := c.Agent(s.Addr()).Dispatch(testContext(t), connect.NewRequest(&wire.DispatchRequest{}))
		answered <- err
	}()
	<-a.entered
	stopped := make(chan error, 1)
	go func() { stopped <- s.Stop(testContext(t)) }()
	for fence(testContext(t), c.WithNewConns(), s.Addr()) == nil {
	}
	select {
	case err := <-stopped:
		t.Fatalf("Stop returned before the call ended: %v", err)
	default:
	}
	close(a.release)
	if err := <-answered; err != nil {
		t.Error(err)
	}
	if err := <-stopped; err != nil {
		t.Error(err)
	}
}

// Guards against calls that block until their deadline on a connection that has
// become unresponsive: an unanswered ping must fail them, and calls on other
// connections must succeed meanwhile.
func TestUnresponsiveConnection(t *testing.T) {
	a := &agent{entered: make(chan struct{}), release: make(chan struct{})}
	s := serve(t, inner.TLS{}, a)
	addr, blocked := proxy(t, s.Addr())
	c := client(t, inner.TLS{})
	answered := make(chan error, 1)
	// Shorter than the 30 s after which the server closes the connection.
	ctx, cancel := context.WithTimeout(t.Context(), 25*time.Second)
	defer cancel()
	go func() {
		_, err := c.Agent(addr).Dispatch(ctx, connect.NewRequest(&wire.DispatchRequest{}))
		answered <- err
	}()
	<-a.entered
	blocked.Store(true)
	if err := fence(testContext(t), c.WithNewConns(), addr); err != nil {
		t.Errorf("call on a new connection beside the unresponsive one: %v", err)
	}
	close(a.release)
	e := inner.AsError(<-answered)
	if ctx.Err() != nil {
		t.Error("the call on the unresponsive connection reached its deadline")
	}
	if e.Kind != carobpulley.KindUnavailable || e.NotRun {
		t.Errorf("got %#v, want kind unavailable without NotRun", e)
	}
	if err := fence(testContext(t), c, addr); err != nil {
		t.Errorf("call after the unresponsive connection was closed: %v", err)
	}
}

// proxy forwards connections to an address. Once the returned flag is set, the first
// connection stays open but carries no more data.
func proxy(t *testing.T, to netip.AddrPort) (netip.AddrPort, *atomic.Bool) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = l.Close() })
	blocked, neverBlocked := new(atomic.Bool), new(atomic.Bool)
	go func() {
		flag := blocked
		for {
			clientConn, err := l.Accept()
			if err != nil {
				return
			}
			serverConn, err := net.Dial("tcp", to.String())
			if err != nil {
				return
			}
			go forward(clientConn, serverConn, flag)
			go forward(serverConn, clientConn, flag)
			flag = neverBlocked
		}
	}()
	return netip.MustParseAddrPort(l.Addr().String()), blocked
}

// forward copies data from one connection to another, and discards it while blocked
// is set.
func forward(from, to net.Conn, blocked *atomic.Bool) {
	buf := make([]byte, 4096)
	for {
		n, err := from.Read(buf)
		if err != nil {
			_ = to.Close()
			return
		}
		if blocked.Load() {
			continue
		}
		if _, err := to.Write(buf[:n]); err != nil {
			_, _ = io.Copy(io.Discard, from)
			return
		}
	}
}

// newTLS writes the files of a new CA and of a certificate for loopback.
func newTLS(t *testing.T) inner.TLS {
	t.Helper()
	dir := t.TempDir()
	caKey, leafKey := newKey(t), newKey(t)
	ca := &x509.Certificate{
		SerialNumber: big.NewInt(1), Subject: pkix.Name{CommonName: "ca"}, IsCA: true, BasicConstraintsValid: true,
		NotBefore: time.Now().Add(-time.Hour), NotAfter: time.Now().Add(time.Hour), KeyUsage: x509.KeyUsageCertSign,
	}
	leaf := &x509.Certificate{
		SerialNumber: big.NewInt(2), NotBefore: ca.NotBefore, NotAfter: ca.NotAfter, KeyUsage: x509.KeyUsageDigitalSignature,
		ExtKeyUsage: []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth, x509.ExtKeyUsageClientAuth},
		IPAddresses: []net.IP{net.IPv4(127, 0, 0, 1)},
	}
	out := inner.TLS{Cert: filepath.Join(dir, "cert"), Key: filepath.Join(dir, "key"), CA: filepath.Join(dir, "ca")}
	sign := func(path string, c *x509.Certificate, key *ecdsa.PrivateKey) {
		der, err := x509.CreateCertificate(rand.Reader, c, ca, &key.PublicKey, caKey)
		if err != nil {
			t.Fatal(err)
		}
		write(t, path, "CERTIFICATE", der)
	}
	sign(out.CA, ca, caKey)
	sign(out.Cert, leaf, leafKey)
	der, err := x509.MarshalPKCS8PrivateKey(leafKey)
	if err != nil {
		t.Fatal(err)
	}
	write(t, out.Key, "PRIVATE KEY", der)
	return out
}

func newKey(t *testing.T) *ecdsa.PrivateKey {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		t.Fatal(err)
	}
	return key
}

func write(t *testing.T, path, kind string, der []byte) {
	if err := os.WriteFile(path, pem.EncodeToMemory(&pem.Block{Type: kind, Bytes: der}), 0o600); err != nil {
		t.Fatal(err)
	}
}
