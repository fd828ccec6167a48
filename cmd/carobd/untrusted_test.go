package main

import (
	"fmt"
	"io"
	"net"
	"strings"
	"sync"
	"testing"
	"time"
)

const (
	// sendFor bounds what one client of an attack sends; the process may stop reading.
	sendFor = 20 * time.Second
	// completeEvery is the number of clients of which one sends its body to the end.
	completeEvery = 8
	// shortBytes is how far before its end a body stops.
	shortBytes = 64
	// pieceBytes is the size of the pieces of bodies that are not sent whole.
	pieceBytes = 4 << 10
)

// attack is what one set of clients sends: a head, which begins with line, and a body of the given size in
// bytes. chunk is the size of the body's chunks in bytes; 0 sends it with Content-Length, and headOnly as
// fields of a head that does not end.
type attack struct {
	clients     int
	line        string
	body, chunk int
}

const headOnly = -1

// Guards against clients that exhaust a process's memory or descriptors by large unfinished requests: bodies
// sent whole or in pieces, chunked in large or in very small chunks, and heads.
func TestUnfinishedRequests(t *testing.T) {
	const (
		submission, heartbeat = 1 << 20, 4 << 20
		post                  = "POST /p/%016x HTTP/1.1\r\nHost: a.example\r\n"
		put                   = "PUT /instances/x%d HTTP/1.1\r\nHost: a.example\r\n"
		hold                  = "POST /carob.relay.v1.CoordinatorService/Hold HTTP/1.1\r\nHost: a%d\r\nContent-Type: application/proto\r\n"
		get                   = "GET /%d HTTP/1.1\r\nHost: a.example\r\n"
	)
	program := buildProgram(t)
	for _, tt := range []struct {
		name   string
		agent  bool
		port   int
		attack attack
	}{
		{"submissions", false, 7401, attack{450, post, submission, 0}},
		{"submissions in large chunks", false, 7401, attack{450, post, submission, 64 << 10}},
		{"submissions in small chunks", false, 7401, attack{450, post, submission, 16}},
		{"heartbeats", true, 7403, attack{100, put, heartbeat, 0}},
		{"heartbeats in large chunks", true, 7403, attack{100, put, heartbeat, 64 << 10}},
		{"heartbeats in small chunks", true, 7403, attack{100, put, heartbeat, 16}},
		{"messages of other processes", false, 7404, attack{450, hold, submission, 64 << 10}},
		{"heads at the callers' address", false, 7401, attack{450, get, submission / 2, headOnly}},
		{"heads at the readiness address", false, 7402, attack{450, get, submission / 2, headOnly}},
		{"heads at the metrics address", true, 9300, attack{450, get, submission / 2, headOnly}},
	} {
		t.Run(tt.name, func(t *testing.T) {
			f := newFleet(t, program)
			at := f.coordinator
			if tt.agent {
				at = f.agent
			}
			stop := make(chan struct{})
			most := at.countDescriptors(stop)
			disperse := tt.attack.run(fmt.Sprintf("%s:%d", at.addr, tt.port))
			f.awaitService()
			disperse()
			close(stop)
			at.check(t, <-most)
		})
	}
}

// check checks that the process is alive and has kept to its limits.
func (p *target) check(t *testing.T, descriptors int) {
	t.Helper()
	select {
	case <-p.exited:
		t.Fatalf("the process has ended: %v", p.cmd.ProcessState)
	default:
	}
	memory, err := p.peakMemoryMB()
	if err != nil {
		t.Fatal(err)
	}
	t.Logf("peak memory %d MB, %d descriptors", memory, descriptors)
	if memory > untrustedMemoryMB {
		t.Errorf("peak memory %d MB, limits.memory-mb is %d", memory, untrustedMemoryMB)
	}
	if descriptors > untrustedFDs {
		t.Errorf("%d descriptors, limits.max-fds is %d", descriptors, untrustedFDs)
	}
}

// run starts the clients and returns when each has sent its part, or can't. Their connections stay open
// until the returned function is called.
func (a attack) run(addr string) (disperse func()) {
	conns := make([]net.Conn, a.clients)
	body := a.encode()
	var wg sync.WaitGroup
	for n := range a.clients {
		wg.Go(func() {
			c, err := net.Dial("tcp", addr)
			if err != nil {
				return // the process may refuse connections
			}
			conns[n] = c
			_ = c.SetWriteDeadline(time.Now().Add(sendFor)) // fails only on a closed connection
			a.send(c, n, body)
		})
	}
	wg.Wait()
	return func() {
		for _, c := range conns {
			if c != nil {
				_ = c.Close() // nothing depends on it
			}
		}
	}
}

// encode returns what follows the line of a request.
func (a attack) encode() string {
	switch a.chunk {
	case 0:
		return fmt.Sprintf("Content-Length: %d\r\n\r\n", a.body) + strings.Repeat("a", a.body)
	case headOnly:
		field := "X-A: " + strings.Repeat("a", 121) + "\r\n"
		return strings.Repeat(field, a.body/len(field))
	}
	chunk := fmt.Sprintf("%x\r\n%s\r\n", a.chunk, strings.Repeat("a", a.chunk))
	return "Transfer-Encoding: chunked\r\n\r\n" + strings.Repeat(chunk, a.body/a.chunk) + "0\r\n\r\n"
}

// send sends the request of client n, whole or in pieces. The process may end the connection at any time.
func (a attack) send(c net.Conn, n int, body string) {
	if n%completeEvery != 0 {
		body = body[:len(body)-shortBytes]
	}
	if _, err := fmt.Fprintf(c, a.line, n); err != nil {
		return
	}
	piece := len(body)
	if n%2 == 1 {
		piece = pieceBytes
	}
	for len(body) > 0 {
		sent, err := io.WriteString(c, body[:min(piece, len(body))])
		if err != nil {
			return
		}
		body = body[sent:]
	}
}
