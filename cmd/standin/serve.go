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
	// stopLimit is how long requests in progress may take after SIGTERM (design
	// section 8).
	stopLimit     = 30 * time.Second
	headerTimeout = 5 * time.Second
	maxBody       = 1 << 20
)

func listenFlag(addr string) cli.Flag {
	return &cli.StringFlag{Name: "listen", Value: addr, Usage: "`IP:PORT` to serve HTTP on; port 0 takes a free one", Sources: cli.EnvVars("STANDIN_LISTEN")}
}

// serve serves h until ctx ends and the requests in progress are answered.
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
	var stopped error
	var g run.Group
	g.Add(func() error {
		<-ctx.Done()
		return nil
	}, func(error) { cancel() })
	g.Add(func() error { return srv.Serve(ln) }, func(error) {
		limit, done := context.WithTimeout(context.WithoutCancel(ctx), stopLimit)
		defer done()
		stopped = srv.Shutdown(limit)
	})
	if err := g.Run(); err != nil {
		return errors.Wrap(err, "serve")
	}
	if stopped != nil {
		return errors.Wrap(stopped, "serve: requests in progress were cut off")
	}
	log.Info().Msg("stopped")
	return nil
}

func reply(w http.ResponseWriter, status int, v any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	// An error means that the client has left.
	_ = json.NewEncoder(w).Encode(v)
}

func replyError(w http.ResponseWriter, status int, err error) {
	reply(w, status, map[string]string{"message": err.Error()})
}

// decode reads a JSON body into v and answers the request if it can't.
func decode(w http.ResponseWriter, r *http.Request, v any) bool {
	d := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxBody))
	d.DisallowUnknownFields()
	if err := d.Decode(v); err != nil {
		replyError(w, http.StatusBadRequest, err)
		return false
	}
	return true
}

func millis(ms int64) time.Duration {
	return time.Duration(ms) * time.Millisecond
}
