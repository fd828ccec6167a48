package main

import (
	"context"
	"net"
	"net/http"
	"net/netip"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/rs/zerolog"
	"github.com/urfave/cli/v3"
	"golang.org/x/sync/errgroup"

	"carobpulley/logs"
	"carobpulley/meter"
	"carobpulley/platform"
	"carobpulley/work"
)

const (
	// headerLimit bounds the reading of a request's header.
	headerLimit = 3 * time.Second
	// closeLimit bounds the closing of listeners that serve no callers.
	closeLimit = 100 * time.Millisecond
	// graceMargin is kept from the platform's grace for the end of the process.
	graceMargin = 700 * time.Millisecond
	// memoryPart is the part of the memory limit from which on the collector works
	// harder.
	memoryPart = 0.6
)

func shardsFlag() cli.Flag {
	return &cli.IntFlag{
		Name:    "shards",
		Usage:   "number of shards of the job ids; the same in every process",
		Value:   1,
		Sources: cli.EnvVars("CAROB_SHARDS"),
		Validator: func(n int) error {
			if n < 1 || n > work.MaxShards {
				return &platform.Error{Op: "shards", Kind: platform.KindInvalid, Msg: "not from 1 to 32"}
			}
			return nil
		},
	}
}

func advertiseFlag() cli.Flag {
	return &cli.StringFlag{
		Name:    "advertise",
		Usage:   "`IP:PORT` at which other processes reach this one; the settings file's own address if empty",
		Sources: cli.EnvVars("CAROB_ADVERTISE"),
		Validator: func(text string) error {
			_, err := netip.ParseAddrPort(text)
			return err
		},
	}
}

// advertised returns the address that others are told.
func advertised(cmd *cli.Command, inner netip.AddrPort) netip.AddrPort {
	if addr, err := netip.ParseAddrPort(cmd.String("advertise")); err == nil {
		return addr
	}
	return inner
}

// process is what both roles need.
type process struct {
	settings platform.Settings
	log      zerolog.Logger
	writer   *logs.Writer
	self     work.Address
	shards   int
	meter    *meter.Set
	// ctx ends when a stop is asked.
	ctx  context.Context
	stop context.CancelFunc
}

func newProcess(ctx context.Context, cmd *cli.Command) (*process, error) {
	hangups := takeHangups()
	content, err := platform.ReadSettings()
	if err != nil {
		return nil, err
	}
	settings, err := platform.ParseSettings(content)
	if err != nil {
		return nil, err
	}
	log, writer := logs.New(os.Stdout, settings.Name)
	p := &process{
		settings: settings,
		log:      log,
		writer:   writer,
		shards:   cmd.Int("shards"),
		meter:    meter.New(),
		self: work.Address{
			Name:        settings.Name,
			Addr:        advertised(cmd, settings.Inner),
			Incarnation: uint64(time.Now().UnixNano()),
			Domain:      settings.Domain,
			Share:       settings.Share,
		},
	}
	limitMemory(settings.MemoryMB)
	p.ctx, p.stop = signal.NotifyContext(ctx, syscall.SIGTERM, syscall.SIGINT)
	signal.Ignore(syscall.SIGPIPE)
	r := &reloader{log: log, hangups: hangups, read: platform.ReadSettings, content: content, settings: settings}
	go r.watch(p.ctx)
	p.log.Info().Str("role", cmd.Name).Uint64("incarnation", p.self.Incarnation).Stringer("inner", p.self.Addr).Msg("start")
	return p, nil
}

// drainLimit is the time for the work after a stop was asked.
func (p *process) drainLimit() time.Duration {
	return max(p.settings.Grace-graceMargin, time.Second)
}

func (p *process) close() {
	p.stop()
	p.log.Info().Int64("dropped_lines", p.writer.Dropped()).Msg("stop")
	p.writer.Close()
}

// listener serves a handler at an address.
type listener struct {
	addr    netip.AddrPort
	handler http.Handler
	// callers is set if open requests are waited for.
	callers bool
}

// metricsPort is where figures are served, as deploy/system.toml says.
const metricsPort = 9300

// metrics returns the listener for figures.
func (p *process) metrics() listener {
	mux := http.NewServeMux()
	mux.Handle("/metrics", p.meter)
	return listener{addr: netip.AddrPortFrom(p.settings.IP, metricsPort), handler: mux}
}

// leave closes the listeners for callers and waits for their open requests.
type leave func(ctx context.Context)

// serve runs the work with listeners around it: they open before it and close
// after it, but those for callers, which the work closes.
func (p *process) serve(listeners []listener, work func(ctx context.Context, l leave) error) error {
	group, ctx := errgroup.WithContext(context.Background())
	servers := make([]*http.Server, 0, len(listeners))
	var callers []*http.Server
	for _, l := range listeners {
		if !l.addr.IsValid() {
			continue
		}
		lc := net.ListenConfig{}
		ln, err := lc.Listen(ctx, "tcp", l.addr.String())
		if err != nil {
			return err
		}
		srv := &http.Server{Handler: l.handler, ReadHeaderTimeout: headerLimit}
		servers = append(servers, srv)
		if l.callers {
			callers = append(callers, srv)
		}
		group.Go(func() error {
			if err := srv.Serve(ln); err != http.ErrServerClosed {
				return err
			}
			return nil
		})
	}
	group.Go(func() error {
		err := work(ctx, func(ctx context.Context) { p.shutdown(ctx, callers) })
		closing, cancel := context.WithTimeout(context.Background(), closeLimit)
		defer cancel()
		p.shutdown(closing, servers)
		return err
	})
	return group.Wait()
}

func (p *process) shutdown(ctx context.Context, servers []*http.Server) {
	for _, srv := range servers {
		if err := srv.Shutdown(ctx); err != nil {
			p.log.Warn().Err(err).Msg("requests were open at the end")
		}
	}
}
