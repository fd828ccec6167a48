package inner

import (
	"context"
	"io"
	"log"
	"net"
	"net/http"
	"net/netip"
	"time"

	"connectrpc.com/connect"
	"github.com/go-faster/errors"

	"carobpulley/wire"
)

// Limits of a server.
const (
	// headerTimeout bounds the time to read the header of a request.
	headerTimeout = 5 * time.Second
	// serverIdleTimeout is the time after which a connection without calls is
	// closed.
	serverIdleTimeout = 3 * time.Minute
	// serverPingInterval is both the interval and the timeout of pings to clients.
	// The connection of a client that has disappeared is closed within twice this
	// time. Clients detect an unresponsive server themselves, and faster.
	serverPingInterval = 15 * time.Second
	// maxHeaderBytes bounds the size of a request's header.
	maxHeaderBytes = 16 << 10
	// maxStreams bounds the concurrent calls on a connection. An entry has one call
	// open per waiting job of another entry.
	maxStreams = 4096
)

// Server serves HTTP/2 and HTTP/1.1 on one address and supports a graceful stop.
type Server struct {
	srv      *http.Server
	listener net.Listener
}

// NewServer returns a server that listens on an address. It returns an error if the
// settings do not allow plain text there. With port 0 the system selects a free
// port.
func NewServer(ctx context.Context, addr netip.AddrPort, t TLS, h http.Handler) (*Server, error) {
	if err := t.CheckAddr(addr); err != nil {
		return nil, err
	}
	var lc net.ListenConfig
	l, err := lc.Listen(ctx, "tcp", addr.String())
	if err != nil {
		return nil, errors.Wrap(err, "listen")
	}
	s, err := NewServerOn(l, t, h)
	if err != nil {
		return nil, errors.Join(err, l.Close())
	}
	return s, nil
}

// NewServerOn returns a server on a listener, which Stop closes.
func NewServerOn(l net.Listener, t TLS, h http.Handler) (*Server, error) {
	cfg, err := t.Server()
	if err != nil {
		return nil, err
	}
	protocols := new(http.Protocols)
	protocols.SetHTTP1(true)
	if cfg == nil {
		protocols.SetUnencryptedHTTP2(true)
	} else {
		protocols.SetHTTP2(true)
	}
	return &Server{
		listener: l,
		srv: &http.Server{
			Handler:           h,
			ReadHeaderTimeout: headerTimeout,
			IdleTimeout:       serverIdleTimeout,
			MaxHeaderBytes:    maxHeaderBytes,
			Protocols:         protocols,
			TLSConfig:         cfg,
			HTTP2: &http.HTTP2Config{
				MaxConcurrentStreams: maxStreams,
				SendPingTimeout:      serverPingInterval,
				PingTimeout:          serverPingInterval,
				WriteByteTimeout:     serverPingInterval,
			},
		},
	}, nil
}

// SetErrorLog makes the server write connection errors, such as failed TLS
// handshakes, to w. It must be called before Serve.
func (s *Server) SetErrorLog(w io.Writer) {
	s.srv.ErrorLog = log.New(w, "", 0)
}

// Addr returns the address that the server listens on.
func (s *Server) Addr() netip.AddrPort {
	addr, ok := s.listener.Addr().(*net.TCPAddr)
	if !ok {
		return netip.AddrPort{}
	}
	return addr.AddrPort()
}

// Serve accepts connections until Stop is called.
func (s *Server) Serve() error {
	err := s.serve()
	if errors.Is(err, http.ErrServerClosed) {
		return nil
	}
	return errors.Wrap(err, "serve")
}

func (s *Server) serve() error {
	if s.srv.TLSConfig == nil {
		return s.srv.Serve(s.listener)
	}
	return s.srv.ServeTLS(s.listener, "", "")
}

// Stop closes the listener, waits for calls in progress until ctx ends and then
// closes the remaining connections.
func (s *Server) Stop(ctx context.Context) error {
	err := s.srv.Shutdown(ctx)
	if err == nil {
		return nil
	}
	return errors.Join(errors.Wrap(err, "stop"), s.srv.Close())
}

// AgentHandler returns the path and the handler of an agent's service, whose methods
// may return errors of type *carobpulley.Error.
func AgentHandler(svc wire.AgentServiceHandler) (string, http.Handler) {
	return wire.NewAgentServiceHandler(svc, handlerOptions(MaxAgentMessageBytes)...)
}

// EntryHandler returns the path and the handler of an entry's service, whose methods
// may return errors of type *carobpulley.Error.
func EntryHandler(svc wire.EntryServiceHandler) (string, http.Handler) {
	return wire.NewEntryServiceHandler(svc, handlerOptions(MaxMessageBytes)...)
}

func handlerOptions(maxRequestBytes int) []connect.HandlerOption {
	return []connect.HandlerOption{
		connect.WithReadMaxBytes(maxRequestBytes),
		connect.WithInterceptors(connect.UnaryInterceptorFunc(convertErrors)),
	}
}
