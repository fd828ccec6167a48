package main

import (
	"context"
	"encoding/json"
	"net"
	"net/http"
	"net/netip"
	"time"

	"github.com/go-faster/errors"
	"github.com/oklog/run"
	"github.com/rs/zerolog"
	"github.com/urfave/cli/v3"
)

const (
	// shutdownTimeout bounds the requests in progress after SIGTERM (design section 8).
	shutdownTimeout = 30 * time.Second
	headerTimeout   = 5 * time.Second
	maxBodyBytes    = 1 << 20
)

func listenFlag(addr string) cli.Flag {
	return &cli.StringFlag{Name: "listen", Value: addr, Usage: "`IP:PORT` to serve HTTP on; port 0 selects a free one", Sources: cli.EnvVars("STANDIN_LISTEN")}
}

// serve serves h until ctx ends, and returns after the requests in progress have been
// answered.
func serve(ctx context.Context, log zerolog.Logger, listen string, h http.Handler) error {
	addr, err := netip.ParseAddrPort(listen)
	if err != nil {
		return errors.Wrap(err, "serve: listen")
	}
	ln, err := net.ListenTCP("tcp", net.TCPAddrFromAddrPort(addr))
	if err != nil {
		return errors.Wrap(err, "serve")
	}
	log.Info().Stringer("addr", ln.Addr()).Msg("listening")

	srv := &http.Server{Handler: h, ReadHeaderTimeout: headerTimeout}
	ctx, cancel := context.WithCancel(ctx)
	var shutdownErr error
	var g run.Group
	g.Add(func() error {
		<-ctx.Done()
		return nil
	}, func(error) { cancel() })
	g.Add(func() error { return srv.Serve(ln) }, func(error) {
		shutdownCtx, cancelShutdown := context.WithTimeout(context.WithoutCancel(ctx), shutdownTimeout)
		defer cancelShutdown()
		shutdownErr = srv.Shutdown(shutdownCtx)
	})
	if err := g.Run(); err != nil {
		return errors.Wrap(err, "serve")
	}
	if shutdownErr != nil {
		return errors.Wrap(shutdownErr, "serve: requests in progress were cut off")
	}
	log.Info().Msg("stopped")
	return nil
}

func reply(w http.ResponseWriter, status int, v any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	// An error means that the client has closed the connection.
	_ = json.NewEncoder(w).Encode(v)
}

func replyError(w http.ResponseWriter, status int, err error) {
	reply(w, status, map[string]string{"message": err.Error()})
}

// decode reads a JSON body into v. If the body is invalid, it responds with status 400
// and returns false.
func decode(w http.ResponseWriter, r *http.Request, v any) bool {
	d := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxBodyBytes))
	d.DisallowUnknownFields()
	if err := d.Decode(v); err != nil {
		replyError(w, http.StatusBadRequest, err)
		return false
	}
	return true
}

func milliseconds(ms int64) time.Duration {
	return time.Duration(ms) * time.Millisecond
}
