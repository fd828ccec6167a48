package main

import (
	"context"
	"expvar"
	"math/rand/v2"
	"net/http"
	"os"
	"time"

	"github.com/oklog/run"
	"github.com/rs/zerolog"

	"carobpulley"
	"carobpulley/admit"
	"carobpulley/api"
	"carobpulley/entry"
	"carobpulley/inner"
	"carobpulley/oper"
	"carobpulley/owner"
	"carobpulley/place"
	"carobpulley/roster"
	"carobpulley/setup"
	"carobpulley/stats"
	"carobpulley/stream"
)

// stopLimit bounds the stop of the servers after the drain.
const stopLimit = 5 * time.Second

// program is the state of a running entryd.
type program struct {
	cfg    config
	logger zerolog.Logger
	entry  *entry.Entry
	client *inner.Client
	inner  *inner.Server
	admin  *inner.Server
	api    *apiServer
}

// jsonVar is an expvar.Var that returns an encoded JSON value.
type jsonVar func() string

// String implements expvar.Var.
func (v jsonVar) String() string {
	return v()
}

func serve(ctx context.Context, cfg config) error {
	p := &program{
		cfg:    cfg,
		logger: setup.NewLogger(os.Stderr, cfg.level, "entryd").With().Str("entry", cfg.name).Logger(),
	}
	if err := p.build(ctx); err != nil {
		return err
	}
	return p.run(ctx)
}

// build creates the entry, its client and its servers. It opens the listeners but
// does not serve yet.
func (p *program) build(ctx context.Context) error {
	var err error
	if p.client, err = inner.NewClient(p.cfg.tls); err != nil {
		return err
	}
	counts := stats.New()
	p.entry = p.newEntry(counts)
	if err := p.listen(ctx); err != nil {
		return err
	}
	expvar.Publish("latency", counts)
	expvar.Publish("entry", jsonVar(p.entry.Metrics))
	return nil
}

func (p *program) newEntry(counts *stats.Set) *entry.Entry {
	now := time.Now()
	incarnation := uint64(now.UnixNano())
	seed := uint64(p.cfg.seed)
	if seed == 0 {
		seed = incarnation
	}
	placer := place.New(rand.NewPCG(seed, 1), nil, p.cfg.domain)
	return entry.New(entry.Settings{
		Name:        p.cfg.name,
		Incarnation: incarnation,
		Domain:      p.cfg.domain,
		Peers:       p.cfg.peers,
		Shards:      carobpulley.Shards,

		LogRetention: p.cfg.logRetention,
	}, entry.Dependencies{
		Log:       stream.NewClient(p.cfg.logAddr, &http.Client{}),
		Client:    p.client,
		Authority: owner.NewAuthority(now, p.cfg.name, incarnation, carobpulley.Shards),
		Table:     owner.NewTable(p.cfg.name, carobpulley.Shards),
		Placer:    placer,
		Admitter:  admit.New(placer),
		Roster:    roster.New(),
		Retry:     place.NewBudget(rand.NewPCG(seed, 2)),
		Stats:     counts,
		Logger:    p.logger,
	})
}

func (p *program) listen(ctx context.Context) error {
	var err error
	innerMux := http.NewServeMux()
	innerMux.Handle(inner.EntryHandler(p.entry.Service()))
	if p.inner, err = inner.NewServer(ctx, p.cfg.innerListen, p.cfg.tls, innerMux); err != nil {
		return err
	}
	adminMux := http.NewServeMux()
	setup.MountStatus(adminMux, p.entry.Ready)
	adminMux.Handle("/v1/admin/", oper.NewHandler(p.entry, [][32]byte{p.cfg.operatorHash}, time.Now))
	if p.admin, err = inner.NewServer(ctx, p.cfg.adminListen, p.cfg.tls, adminMux); err != nil {
		return err
	}
	handler, err := api.New(p.entry, time.Now)
	if err != nil {
		return err
	}
	p.api, err = listenAPI(ctx, p.cfg.listen, handler)
	return err
}

// run serves until ctx ends, then drains the entry and stops it together with the
// servers.
func (p *program) run(ctx context.Context) error {
	p.logger.Info().
		Stringer("api", p.api.Addr()).
		Stringer("inner", p.inner.Addr()).
		Stringer("admin", p.admin.Addr()).
		Msg("listening")
	entryCtx, cancel := context.WithCancel(context.WithoutCancel(ctx))
	defer cancel()
	var g run.Group
	g.Add(func() error { return p.entry.Run(entryCtx) }, func(error) { cancel() })
	g.Add(p.inner.Serve, func(error) { p.stop("inner", p.inner.Stop) })
	g.Add(p.admin.Serve, func(error) { p.stop("admin", p.admin.Stop) })
	g.Add(p.api.Serve, func(error) { p.stop("api", p.api.Stop) })
	done := make(chan struct{})
	g.Add(func() error {
		select {
		case <-ctx.Done():
			p.drain()
		case <-done:
		}
		return nil
	}, func(error) { close(done) })
	err := g.Run()
	p.client.Close()
	p.logger.Info().Err(err).Msg("stopped")
	return err
}

// drain hands the shards over and waits for calls in progress, for at most
// drainTimeout.
func (p *program) drain() {
	ctx, cancel := context.WithTimeout(context.Background(), p.cfg.drainTimeout)
	defer cancel()
	p.entry.Drain(ctx)
	if err := p.api.Stop(ctx); err != nil {
		p.logger.Warn().Err(err).Msg("drain time limit reached with open calls from callers")
	}
}

func (p *program) stop(name string, stop func(context.Context) error) {
	ctx, cancel := context.WithTimeout(context.Background(), stopLimit)
	defer cancel()
	if err := stop(ctx); err != nil {
		p.logger.Warn().Err(err).Str("server", name).Msg("server stopped with open calls")
	}
}
