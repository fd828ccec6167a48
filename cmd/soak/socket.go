package main

import (
	"bufio"
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"
	"strconv"
	"time"

	"github.com/go-faster/errors"

	"carobpulley/platform/stand"
	"carobpulley/work"
)

// request is one call. Without a job it asks for the number of pending jobs.
type request struct {
	method string
	job    *work.Job
	body   []byte
	// late is set if the call is sent lateDelay after the one before it.
	late bool
}

// lateDelay is long enough for a request to be served when the next one arrives.
const lateDelay = 20 * time.Millisecond

// response is a response that arrived whole.
type response struct {
	status int
	body   []byte
	// last is set if the server closes the connection after it.
	last bool
}

// errMalformed is wrapped by the error of a response that breaks HTTP although its connection is intact.
var errMalformed = errors.New("malformed response")

// errPartial is wrapped by the error of a response whose connection ended, or was given up, within it.
var errPartial = errors.New("response cut")

// socket is a caller's connection. It reads responses as they are on the wire: an http.Client would
// repeat calls and hide what follows a body.
type socket struct {
	conn net.Conn
	r    *bufio.Reader
	// err is the error with which the connection ended, received the number of bytes read.
	err      error
	received int
}

func openSocket(ctx context.Context, addr netip.AddrPort, timeout time.Duration) (*socket, error) {
	d := net.Dialer{Timeout: timeout}
	conn, err := d.DialContext(ctx, "tcp", addr.String())
	if err != nil {
		return nil, err
	}
	return newSocket(conn), nil
}

func newSocket(conn net.Conn) *socket {
	s := &socket{conn: conn}
	s.r = bufio.NewReader(s)
	return s
}

// Read implements io.Reader for r.
func (s *socket) Read(b []byte) (int, error) {
	n, err := s.conn.Read(b)
	s.received += n
	if err != nil {
		s.err = err
	}
	return n, err
}

func (s *socket) close() { _ = s.conn.Close() } // nothing is read any more

// send writes requests back to back, in one write but for late ones.
func (s *socket) send(timeout time.Duration, requests []request) error {
	if err := s.conn.SetWriteDeadline(time.Now().Add(timeout)); err != nil {
		return err
	}
	var b bytes.Buffer
	for _, r := range requests {
		if r.late {
			if _, err := b.WriteTo(s.conn); err != nil {
				return err
			}
			time.Sleep(lateDelay)
		}
		id := ""
		if r.job != nil {
			id = r.job.ID
		}
		fmt.Fprintf(&b, "%s %s%s HTTP/1.1\r\nHost: %s\r\n%s: %d\r\nContent-Length: %d\r\n\r\n%s",
			r.method, pathPrefix, id, hostName, stand.TimeoutHeader, callTimeout.Milliseconds(), len(r.body), r.body)
	}
	_, err := b.WriteTo(s.conn)
	return err
}

// receive reads the response to a call of a method.
func (s *socket) receive(timeout time.Duration, method string) (response, error) {
	if err := s.conn.SetReadDeadline(time.Now().Add(timeout)); err != nil {
		return response{}, err
	}
	begin := s.received - s.r.Buffered()
	r, err := http.ReadResponse(s.r, &http.Request{Method: method})
	if err != nil {
		return response{}, s.readError(begin, err)
	}
	defer func() { _ = r.Body.Close() }() // read below, or the connection is closed
	if r.ContentLength < 0 || r.Header.Get("Content-Length") != strconv.FormatInt(r.ContentLength, 10) {
		return response{}, errors.Wrapf(errMalformed, "status %d without Content-Length", r.StatusCode)
	}
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return response{}, s.readError(begin, err)
	}
	return response{status: r.StatusCode, body: body, last: r.Close}, nil
}

// readError tells a malformed response from one whose connection ended: http.ReadResponse takes the
// part of a line before the end for the line. begin is the number of bytes before the response.
func (s *socket) readError(begin int, err error) error {
	switch {
	case s.err == nil:
		return errors.Wrap(errMalformed, err.Error())
	case s.received > begin:
		return errors.Wrapf(errPartial, "after %d bytes", s.received-begin)
	default:
		return s.err
	}
}
