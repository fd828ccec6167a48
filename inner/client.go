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

// Times and sizes of connections between processes.
const (
	// PingInterval is how long a connection may carry no frame before a ping.
	PingInterval = time.Second
	// PingTimeout is how long a ping may be unanswered before the connection is
	// closed and its calls fail.
	PingTimeout = time.Second
	// DeadConnTimeout is the time within which a silent connection is found.
	DeadConnTimeout = PingInterval + PingTimeout
	// DialTimeout bounds the opening of a connection, TLS included.
	DialTimeout = time.Second
	// idleConnTimeout closes connections that carry no call.
	idleConnTimeout = 90 * time.Second
	// MaxMessageBytes bounds a request to an entry.
	MaxMessageBytes = 16 << 20
	// MaxAgentMessageBytes bounds a request to an agent: one payload and names.
	MaxAgentMessageBytes = carobpulley.MaxPayloadBytes + 16<<10
	// MaxReplyBytes bounds a reply. The largest one is a yield reply with the
	// claims held of the shards (owner.MaxHeldBytes, more after a handover).
	MaxReplyBytes = 160 << 20
)

// Client sends HTTP calls to other processes over HTTP/2. Calls share a
// connection per address until it fails. Safe for concurrent use.
type Client struct {
	transport *http.Transport
	scheme    string
}

// NewClient returns a client for the TLS settings. In plain text it speaks h2c.
func NewClient(t TLS) (*Client, error) {
	cfg, err := t.Client()
	if err != nil {
		return nil, err
	}
	dialer := &net.Dialer{Timeout: DialTimeout}
	tr := &http.Transport{
		DialContext:         checkedDial(dialer, t),
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

// checkedDial refuses plain text to addresses that the settings do not allow.
func checkedDial(d *net.Dialer, t TLS) func(context.Context, string, string) (net.Conn, error) {
	return func(ctx context.Context, network, addr string) (net.Conn, error) {
		ap, err := netip.ParseAddrPort(addr)
		if err != nil {
			return nil, &net.OpError{Op: "dial", Net: network, Err: err}
		}
		if err := t.CheckAddr(ap); err != nil {
			return nil, &net.OpError{Op: "dial", Net: network, Err: err}
		}
		return d.DialContext(ctx, network, addr)
	}
}

// Do sends a call. It refuses one whose context has no deadline.
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

// WithNewConns returns a client that opens a connection of its own for each call, so
// that a call does not wait on a connection that went silent.
func (c *Client) WithNewConns() *Client {
	tr := c.transport.Clone()
	tr.DisableKeepAlives = true
	return &Client{transport: tr, scheme: c.scheme}
}

// Agent returns the calls of the agent at an address. Errors are
// *carobpulley.Error.
func (c *Client) Agent(addr netip.AddrPort) wire.AgentServiceClient {
	return wire.NewAgentServiceClient(c, c.url(addr), clientOptions()...)
}

// Entry returns the calls of the entry at an address. Errors are
// *carobpulley.Error.
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

// clientOptions turns compression off, since most messages are short.
func clientOptions() []connect.ClientOption {
	return []connect.ClientOption{
		connect.WithReadMaxBytes(MaxReplyBytes),
		connect.WithAcceptCompression("gzip", nil, nil),
		connect.WithInterceptors(connect.UnaryInterceptorFunc(restoreErrors)),
	}
}
