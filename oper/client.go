package oper

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/url"
	"strings"

	"github.com/go-faster/errors"

	"carobpulley"
	"carobpulley/conf"
)

// maxResponseBytes bounds the response body that the client reads. A status
// with 2,600 agents and 512 shards takes less than 1 MB.
const maxResponseBytes = 16 << 20

// Client calls the operators' API of an entry.
type Client struct {
	base  string
	token string
	http  *http.Client
}

// NewClient returns a client for an entry's URL, such as "http://10.0.0.1:8080".
// Deadlines come from the contexts of the calls.
func NewClient(entry, token string, h *http.Client) (*Client, error) {
	u, err := url.Parse(entry)
	if err != nil || u.Host == "" || u.Scheme != "http" && u.Scheme != "https" {
		return nil, &Error{Op: "NewClient", Kind: carobpulley.KindInvalid, Msg: fmt.Sprintf("%q is not a URL such as http://10.0.0.1:8080", entry)}
	}
	return &Client{base: strings.TrimSuffix(entry, "/"), token: token, http: h}, nil
}

// Catalogue returns the newest version.
func (c *Client) Catalogue(ctx context.Context) (DocumentVersion, error) {
	var out DocumentVersion
	return out, c.get(ctx, "Catalogue", pathCatalogue, &out)
}

// Version returns a recent version. The error has kind KindNotFound if the
// entry does not keep that version.
func (c *Client) Version(ctx context.Context, version uint64) (DocumentVersion, error) {
	var out DocumentVersion
	return out, c.get(ctx, "Version", fmt.Sprintf("%s/%d", pathVersions, version), &out)
}

// History returns the recent changes, oldest first.
func (c *Client) History(ctx context.Context) ([]conf.Result, error) {
	var out []conf.Result
	return out, c.get(ctx, "History", pathHistory, &out)
}

// Status returns the state of the service.
func (c *Client) Status(ctx context.Context) (Status, error) {
	var out Status
	return out, c.get(ctx, "Status", pathStatus, &out)
}

// Change returns the state of a change.
func (c *Client) Change(ctx context.Context, id string) (ChangeState, error) {
	return c.changeState(ctx, "Change", http.MethodGet, pathChanges+"/"+url.PathEscape(id), nil)
}

// Publish sends a change. An error of kind KindUnavailable means that the
// request was not sent, one of kind KindUnknown that no response arrived. After
// KindUnknown, Change or another Publish with the same id returns the outcome.
func (c *Client) Publish(ctx context.Context, r ChangeRequest) (ChangeState, error) {
	return c.changeState(ctx, "Publish", http.MethodPost, pathChanges, r)
}

func (c *Client) get(ctx context.Context, op, path string, out any) error {
	code, body, err := c.roundTrip(ctx, op, http.MethodGet, path, nil)
	if err != nil {
		return err
	}
	if code != http.StatusOK {
		return responseError(op, code, body)
	}
	return decodeResponse(op, body, out)
}

func (c *Client) changeState(ctx context.Context, op, method, path string, in any) (ChangeState, error) {
	code, body, err := c.roundTrip(ctx, op, method, path, in)
	if err != nil {
		return ChangeState{}, err
	}
	var state ChangeState
	if json.Unmarshal(body, &state) != nil || state.Outcome == "" {
		return ChangeState{}, responseError(op, code, body)
	}
	return state, nil
}

// roundTrip sends one request and returns the status and body of the response.
func (c *Client) roundTrip(ctx context.Context, op, method, path string, in any) (int, []byte, error) {
	var body io.Reader
	if in != nil {
		data, err := json.Marshal(in)
		if err != nil {
			return 0, nil, &Error{Op: op, Kind: carobpulley.KindInternal, Msg: err.Error()}
		}
		body = bytes.NewReader(data)
	}
	req, err := http.NewRequestWithContext(ctx, method, c.base+path, body)
	if err != nil {
		return 0, nil, &Error{Op: op, Kind: carobpulley.KindInvalid, Msg: err.Error()}
	}
	req.Header.Set("Authorization", "Bearer "+c.token)
	if in != nil {
		req.Header.Set("Content-Type", "application/json")
	}
	resp, err := c.http.Do(req)
	if err != nil {
		return 0, nil, &Error{Op: op, Kind: transportErrorKind(err), Msg: err.Error()}
	}
	defer func() { _ = resp.Body.Close() }()
	data, err := io.ReadAll(io.LimitReader(resp.Body, maxResponseBytes))
	if err != nil {
		return 0, nil, &Error{Op: op, Kind: carobpulley.KindUnknown, Msg: "the answer broke off: " + err.Error()}
	}
	return resp.StatusCode, data, nil
}

// transportErrorKind distinguishes a request that was never sent from one that
// may have arrived.
func transportErrorKind(err error) carobpulley.Kind {
	var op *net.OpError
	if errors.As(err, &op) && op.Op == "dial" {
		return carobpulley.KindUnavailable
	}
	return carobpulley.KindUnknown
}

// responseError converts an error response. A status of 502 to 504 without a
// Failure comes from a load balancer and leaves the request's outcome unknown.
func responseError(op string, code int, body []byte) error {
	var f Failure
	if json.Unmarshal(body, &f) == nil && f.Kind != "" {
		return &Error{Op: op, Kind: f.Kind, Msg: f.Message, Problems: f.Problems}
	}
	kind := carobpulley.KindInternal
	if code >= http.StatusBadGateway && code <= http.StatusGatewayTimeout {
		kind = carobpulley.KindUnknown
	}
	return &Error{Op: op, Kind: kind, Msg: fmt.Sprintf("the entry answered with status %d", code)}
}

func decodeResponse(op string, body []byte, out any) error {
	if err := json.Unmarshal(body, out); err != nil {
		return &Error{Op: op, Kind: carobpulley.KindInternal, Msg: "the answer is not readable: " + err.Error()}
	}
	return nil
}
