package main

import (
	"context"
	"net"
	"net/http"
	"net/netip"
	"time"

	"github.com/go-faster/errors"
)

// Limits of the callers' API, as docs/api.md lists them.
const (
	headerTimeout  = 5 * time.Second
	bodyTimeout    = 30 * time.Second
	idleTimeout    = 2 * time.Minute
	maxHeaderBytes = 16 << 10
)

// apiServer serves the callers' API. It sets no write timeout, since a caller may
// wait for its job up to the job's deadline.
type apiServer struct {
	srv      *http.Server
	listener net.Listener
}

func listenAPI(ctx context.Context, addr netip.AddrPort, h http.Handler) (*apiServer, error) {
	var lc net.ListenConfig
	l, err := lc.Listen(ctx, "tcp", addr.String())
	if err != nil {
		return nil, errors.Wrap(err, "listen for callers")
	}
	return &apiServer{
		listener: l,
		srv: &http.Server{
			Handler:           h,
			ReadHeaderTimeout: headerTimeout,
			ReadTimeout:       bodyTimeout,
			IdleTimeout:       idleTimeout,
			MaxHeaderBytes:    maxHeaderBytes,
		},
	}, nil
}

// Addr returns the address that the server listens on.
func (s *apiServer) Addr() net.Addr {
	return s.listener.Addr()
}

// Serve accepts connections until Stop is called.
func (s *apiServer) Serve() error {
	err := s.srv.Serve(s.listener)
	if errors.Is(err, http.ErrServerClosed) {
		return nil
	}
	return errors.Wrap(err, "serve callers")
}

// Stop waits for calls in progress until ctx ends.
func (s *apiServer) Stop(ctx context.Context) error {
	if err := s.srv.Shutdown(ctx); err != nil {
		return errors.Wrap(err, "stop serving callers")
	}
	return nil
}
