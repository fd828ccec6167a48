// Package stream is the client of the platform's log service. It has appends with
// record ids, a tailing reader (Tailer) and a group appender (Group). The reader
// and the group appender work with any carobpulley.Log. docs/log.md describes the
// HTTP protocol.
//
// Errors are of type *Error.
package stream

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"net/netip"
	"net/url"
	"strconv"
	"time"

	"github.com/go-faster/errors"

	"carobpulley"
)

// RequestTimeout bounds a request to the log beyond the requested wait, so that an
// unresponsive connection is closed and replaced.
const RequestTimeout = 5 * time.Second

// Client is the client of a log service, safe for concurrent use.
type Client struct {
	baseURL string
	http    *http.Client
}

var _ carobpulley.Log = (*Client)(nil)

// NewClient returns a client of the log service at addr.
func NewClient(addr netip.AddrPort, hc *http.Client) *Client {
	return &Client{baseURL: "http://" + addr.String(), http: hc}
}

// Append implements carobpulley.Log. Kinds: KindInvalid, KindUnavailable (the
// record was not added) and KindUnknown (it may have been added).
func (c *Client) Append(ctx context.Context, stream, id string, data []byte) (uint64, error) {
	const op = "append"
	if stream == "" || id == "" || len(data) > MaxRecordBytes {
		return 0, &Error{Op: op, Kind: carobpulley.KindInvalid, Err: errors.Errorf("stream %q, id %q, %d bytes", stream, id, len(data))}
	}
	if ctx.Err() != nil {
		return 0, &Error{Op: op, Kind: carobpulley.KindUnavailable, Err: ctx.Err()}
	}
	body, err := json.Marshal(appendRequest{ID: id, Data: data})
	if err != nil {
		return 0, &Error{Op: op, Kind: carobpulley.KindInvalid, Err: err}
	}
	ctx, cancel := context.WithTimeout(ctx, RequestTimeout)
	defer cancel()

	response, kind, err := c.do(ctx, http.MethodPost, c.recordsURL(stream), body)
	if err != nil {
		return 0, &Error{Op: op, Kind: kind, Err: err}
	}
	offset, err := decodeAppend(response)
	if err != nil {
		return 0, &Error{Op: op, Kind: carobpulley.KindUnknown, Err: err}
	}
	return offset, nil
}

// Read implements carobpulley.Log. It returns an empty page when waitUntil passes.
// Kinds: KindInvalid and KindUnavailable.
func (c *Client) Read(ctx context.Context, stream string, from uint64, limit int, waitUntil time.Time) (carobpulley.Page, error) {
	const op = "read"
	if stream == "" || limit < 1 {
		return carobpulley.Page{}, &Error{Op: op, Kind: carobpulley.KindInvalid, Err: errors.Errorf("stream %q, limit %d", stream, limit)}
	}
	limit = min(limit, MaxRecords)
	for {
		page, err := c.readOnce(ctx, stream, from, limit, time.Until(waitUntil))
		if err != nil {
			return carobpulley.Page{}, err
		}
		if len(page.Records) > 0 || !time.Now().Before(waitUntil) {
			return page, nil
		}
	}
}

// readOnce sends one request that waits at the server for at most MaxWait.
func (c *Client) readOnce(ctx context.Context, stream string, from uint64, limit int, wait time.Duration) (carobpulley.Page, error) {
	const op = "read"
	// A wait below 1 ms is rounded up, so that Read does not busy-loop before
	// waitUntil.
	wait = max(0, min(wait+time.Millisecond-1, MaxWait))
	ctx, cancel := context.WithTimeout(ctx, wait+RequestTimeout)
	defer cancel()

	q := url.Values{}
	q.Set("from", strconv.FormatUint(from, 10))
	q.Set("limit", strconv.Itoa(limit))
	q.Set("wait_ms", strconv.FormatInt(wait.Milliseconds(), 10))
	response, kind, err := c.do(ctx, http.MethodGet, c.recordsURL(stream)+"?"+q.Encode(), nil)
	if err != nil {
		if kind != carobpulley.KindInvalid {
			kind = carobpulley.KindUnavailable
		}
		return carobpulley.Page{}, &Error{Op: op, Kind: kind, Err: err}
	}
	page, err := decodePage(response, from, limit)
	if err != nil {
		return carobpulley.Page{}, &Error{Op: op, Kind: carobpulley.KindUnavailable, Err: err}
	}
	return page, nil
}

// do sends one request. After an error the kind says whether the request may have
// had an effect: only a failed connect and the documented error responses show that
// it had none.
func (c *Client) do(ctx context.Context, method, target string, body []byte) ([]byte, carobpulley.Kind, error) {
	req, err := http.NewRequestWithContext(ctx, method, target, bytes.NewReader(body))
	if err != nil {
		return nil, carobpulley.KindInvalid, err
	}
	req.Header.Set("Content-Type", "application/json")
	res, err := c.http.Do(req)
	if err != nil {
		var dial *net.OpError
		if errors.As(err, &dial) && dial.Op == "dial" {
			return nil, carobpulley.KindUnavailable, err
		}
		return nil, carobpulley.KindUnknown, err
	}
	defer func() { _ = res.Body.Close() }()

	response, err := io.ReadAll(io.LimitReader(res.Body, maxResponseBody))
	if err != nil {
		return nil, carobpulley.KindUnknown, err
	}
	if res.StatusCode == http.StatusOK {
		return response, "", nil
	}
	var e errorResponse
	_ = json.Unmarshal(response, &e)
	return nil, kindOfStatus(res.StatusCode), errors.Errorf("status %d: %s", res.StatusCode, e.Message)
}

func (c *Client) recordsURL(stream string) string {
	return c.baseURL + "/v1/streams/" + url.PathEscape(stream) + "/records"
}
