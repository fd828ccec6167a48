package memnet

import (
	"errors"
	"io"
	"net"
	"net/netip"
	"os"
	"testing"
	"testing/synctest"
	"time"
)

var (
	hostA = netip.MustParseAddr("10.0.0.1")
	hostB = netip.MustParseAddr("10.0.0.2")
)

// open opens a connection from hostA to hostB.
func open(t *testing.T, n *Net, l net.Listener) (near, far net.Conn) {
	t.Helper()
	accepted := make(chan net.Conn, 1)
	go func() {
		c, err := l.Accept()
		if err != nil {
			t.Error(err)
		}
		accepted <- c
	}()
	near, err := n.Dialer(hostA)(t.Context(), "tcp", l.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	return near, <-accepted
}

// arrives reports whether what one side sends reaches the other.
func arrives(t *testing.T, from, to net.Conn) bool {
	t.Helper()
	if _, err := from.Write([]byte("x")); err != nil {
		t.Fatal(err)
	}
	if err := to.SetReadDeadline(time.Now().Add(time.Second)); err != nil {
		t.Fatal(err)
	}
	_, err := to.Read(make([]byte, 8))
	if err != nil && !errors.Is(err, os.ErrDeadlineExceeded) {
		t.Fatal(err)
	}
	return err == nil
}

// Guards against a silent connection that shows an error or a close, loses data in the other direction, or
// comes back, and against new connections that are silent too.
func TestSilence(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		n := New(time.Millisecond)
		l := n.Listen(netip.AddrPortFrom(hostB, 0))
		near, far := open(t, n, l)
		if !arrives(t, near, far) || !arrives(t, far, near) {
			t.Error("nothing arrives at first")
		}
		n.Silence(hostA, hostB)
		if arrives(t, near, far) {
			t.Error("data arrives over a silent connection")
		}
		if !arrives(t, far, near) {
			t.Error("nothing arrives in the other direction")
		}
		again, farAgain := open(t, n, l)
		if !arrives(t, again, farAgain) || !arrives(t, farAgain, again) {
			t.Error("nothing arrives over a new connection")
		}
		if arrives(t, near, far) {
			t.Error("a silent connection came back")
		}
		if err := near.Close(); err != nil {
			t.Error(err)
		}
		if arrives(t, far, far) {
			t.Error("data arrives without a sender")
		}
		if _, err := near.Read(make([]byte, 8)); !errors.Is(err, net.ErrClosed) {
			t.Errorf("read after the close: %v, want it closed", err)
		}
		if _, err := near.Write([]byte("x")); !errors.Is(err, net.ErrClosed) {
			t.Errorf("write after the close: %v, want it closed", err)
		}
		if err := again.Close(); err != nil {
			t.Error(err)
		}
		if err := farAgain.SetReadDeadline(time.Time{}); err != nil {
			t.Error(err)
		}
		if _, err := farAgain.Read(make([]byte, 8)); !errors.Is(err, io.EOF) {
			t.Errorf("read after the other side's close: %v, want the end", err)
		}
	})
}

// Guards against a host that reads or writes while its quota is used up.
func TestQuota(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		n := New(time.Millisecond)
		l := n.Listen(netip.AddrPortFrom(hostB, 0))
		near, far := open(t, n, l)
		n.SetQuota(hostB, 0.1)
		late := 0
		for range 100 {
			sent := time.Now()
			if !arrives(t, near, far) {
				t.Fatal("lost")
			}
			took := time.Since(sent)
			if took > quotaPeriod {
				t.Errorf("took %s, want at most %s", took, quotaPeriod)
			}
			if took > 2*time.Millisecond {
				late++
			}
			time.Sleep(7 * time.Millisecond)
		}
		if late < 10 {
			t.Errorf("%d of 100 late, want more", late)
		}
	})
}
