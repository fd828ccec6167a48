package inner

import (
	"context"
	"net"
	"net/http"
	"net/netip"
	"time"

	"connectrpc.com/connect"

	"carobpulley"
	"carobpulley/wire"
)

// Timeouts and limits of connections between processes.
const (
	// PingInterval is how long a connection may receive no frame before a ping is
	// sent.
	PingInterval = time.Second
	// PingTimeout is how long a ping may stay unanswered before the connection is
	// closed and its calls fail.
	PingTimeout = time.Second
	// DeadConnTimeout is the time within which an unresponsive connection is
	// detected and closed.
	DeadConnTimeout = PingInterval + PingTimeout
	// DialTimeout bounds the dialing of a connection, and separately its TLS
	// handshake.
	DialTimeout = time.Second
	// idleConnTimeout is the time after which a connection without calls is closed.
	idleConnTimeout = 90 * time.Second
	// MaxMessageBytes bounds a request to an entry.
	MaxMessageBytes = 16 << 20
	// MaxAgentMessageBytes bounds a request to an agent: one payload and 16 KiB for
	// the other fields.
	MaxAgentMessageBytes = carobpulley.MaxPayloadBytes + 16<<10
	// MaxReplyBytes bounds a reply. The largest reply is a yield reply with the
	// claims held of the shards (owner.MaxHeldBytes, more after a handover).
	MaxReplyBytes = 160 << 20
)

// Client calls other processes over HTTP/2. Calls to an address share a connection
// until it fails. A Client is safe for concurrent use.
type Client struct {
	transport *http.Transport
	scheme    string
}

// DialFunc opens a connection to an address.
type DialFunc = func(ctx context.Context, network, addr string) (net.Conn, error)

// NewClient returns a client with the TLS settings. It uses h2c if TLS is disabled.
func NewClient(t TLS) (*Client, error) {
	dialer := &net.Dialer{Timeout: DialTimeout}
	return NewClientWithDial(t, dialer.DialContext)
}

// NewClientWithDial returns a client that opens its connections with dial, which must take at most
// DialTimeout.
func NewClientWithDial(t TLS, dial DialFunc) (*Client, error) {
	cfg, err := t.Client()
	if err != nil {
		return nil, err
	}
	tr := &http.Transport{
		DialContext:         checkedDial(dial, t),
		TLSClientConfig:     cfg,
		TLSHandshakeTimeout: DialTimeout,
		IdleConnTimeout:     idleConnTimeout,
		DisableCompression:  true,
		Protocols:           new(http.Protocols),
		HTTP2: &http.HTTP2Config{
			SendPingTimeout:  PingInterval,
			PingTimeout:      PingTimeout,
			WriteByteTimeout: DeadConnTimeout,
		},
	}
	c := &Client{transport: tr, scheme: "http"}
	if cfg == nil {
		tr.Protocols.SetUnencryptedHTTP2(true)
		return c, nil
	}
	tr.Protocols.SetHTTP2(true)
	c.scheme = "https"
	return c, nil
}

// checkedDial returns a dial function that refuses plain text connections to
// addresses where the settings do not allow them.
func checkedDial(dial DialFunc, t TLS) DialFunc {
	return func(ctx context.Context, network, addr string) (net.Conn, error) {
		ap, err := netip.ParseAddrPort(addr)
		if err != nil {
			return nil, &net.OpError{Op: "dial", Net: network, Err: err}
		}
		if err := t.CheckAddr(ap); err != nil {
			return nil, &net.OpError{Op: "dial", Net: network, Err: err}
		}
		return dial(ctx, network, addr)
	}
}

// Do sends a call. It returns an error if the context has no deadline.
func (c *Client) Do(r *http.Request) (*http.Response, error) {
	if _, ok := r.Context().Deadline(); !ok {
		return nil, &carobpulley.Error{
			Op:     "call",
			Kind:   carobpulley.KindInternal,
			Msg:    "a call without a deadline is not sent",
			NotRun: true,
		}
	}
	return c.transport.RoundTrip(r)
}

// WithNewConns returns a client that opens a new connection for each call, so that
// no call is sent on a connection that has become unresponsive.
func (c *Client) WithNewConns() *Client {
	tr := c.transport.Clone()
	tr.DisableKeepAlives = true
	return &Client{transport: tr, scheme: c.scheme}
}

// Agent returns the client for the agent at an address. Its calls return errors of
// type *carobpulley.Error.
func (c *Client) Agent(addr netip.AddrPort) wire.AgentServiceClient {
	return wire.NewAgentServiceClient(c, c.url(addr), clientOptions()...)
}

// Entry returns the client for the entry at an address. Its calls return errors of
// type *carobpulley.Error.
func (c *Client) Entry(addr netip.AddrPort) wire.EntryServiceClient {
	return wire.NewEntryServiceClient(c, c.url(addr), clientOptions()...)
}

// Close closes idle connections.
func (c *Client) Close() {
	c.transport.CloseIdleConnections()
}

func (c *Client) url(addr netip.AddrPort) string {
	return c.scheme + "://" + addr.String()
}

// clientOptions returns the options of all clients. Compression is off, since most
// messages are short.
func clientOptions() []connect.ClientOption {
	return []connect.ClientOption{
		connect.WithReadMaxBytes(MaxReplyBytes),
		connect.WithAcceptCompression("gzip", nil, nil),
		connect.WithInterceptors(connect.UnaryInterceptorFunc(restoreErrors)),
	}
}
