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

	"carobpulley/boottime"
	"carobpulley/intake"
	"carobpulley/logs"
	"carobpulley/meter"
	"carobpulley/platform"
	"carobpulley/work"
)

const (
	// maxHeaderTimeout bounds the time to read a request's header, also where the configuration sets more.
	maxHeaderTimeout = 30 * time.Second
	// closeTimeout bounds the shutdown of the servers that don't serve callers.
	closeTimeout = 100 * time.Millisecond
	// graceMargin is subtracted from the platform's grace period, so that the process can
	// exit within it.
	graceMargin = 700 * time.Millisecond
	// memoryLimitFraction is the fraction of the process's memory limit that is set as the
	// soft limit of the Go runtime. Near it the garbage collector runs more often.
	memoryLimitFraction = 0.6
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
		Usage:   "`IP:PORT` at which other processes reach this one; the address in the settings file if empty",
		Sources: cli.EnvVars("CAROB_ADVERTISE"),
		Validator: func(text string) error {
			_, err := netip.ParseAddrPort(text)
			return err
		},
	}
}

// advertisedAddr returns the address that the process announces to other processes.
func advertisedAddr(cmd *cli.Command, inner netip.AddrPort) netip.AddrPort {
	if addr, err := netip.ParseAddrPort(cmd.String("advertise")); err == nil {
		return addr
	}
	return inner
}

// process holds the settings, outputs and signal handling that both roles share.
type process struct {
	settings platform.Settings
	log      zerolog.Logger
	writer   *logs.Writer
	self     work.Address
	clock    *boottime.Clock
	shards   int
	meter    *meter.Set
	// gate bounds what clients take of the process.
	gate *intake.Gate
	// ctx is cancelled on SIGTERM or SIGINT, or by stop.
	ctx  context.Context
	stop context.CancelFunc
}

func newProcess(ctx context.Context, cmd *cli.Command) (*process, error) {
	hangups := notifyHangups()
	content, err := platform.ReadSettings()
	if err != nil {
		return nil, err
	}
	settings, err := platform.ParseSettings(content)
	if err != nil {
		return nil, err
	}
	clock, err := boottime.New()
	if err != nil {
		return nil, err
	}
	log, writer := logs.New(os.Stdout, settings.Name)
	p := &process{
		settings: settings,
		log:      log,
		writer:   writer,
		clock:    clock,
		shards:   cmd.Int("shards"),
		meter:    meter.New(),
		self: work.Address{
			Name:        settings.Name,
			Addr:        advertisedAddr(cmd, settings.Inner),
			Incarnation: uint64(time.Now().UnixNano()),
			Domain:      settings.Domain,
			Share:       settings.Share,
		},
	}
	setMemoryLimit(settings.MemoryMB)
	p.ctx, p.stop = signal.NotifyContext(ctx, syscall.SIGTERM, syscall.SIGINT)
	signal.Ignore(syscall.SIGPIPE)
	limits, err := settings.IntakeLimits()
	if err != nil {
		return nil, err
	}
	p.gate = intake.NewGate(limits, log, p.meter)
	go p.gate.Run(context.Background()) // also while the process drains
	r := &reloader{log: log, hangups: hangups, read: platform.ReadSettings, content: content, settings: settings, maxFDs: settings.MaxFDs, gate: p.gate}
	go r.watch(p.ctx)
	p.log.Info().Str("role", cmd.Name).Uint64("incarnation", p.self.Incarnation).Stringer("inner", p.self.Addr).Msg("start")
	return p, nil
}

// drainTimeout returns the time for draining after the signal to stop: the grace period less
// graceMargin, but at least 1 s.
func (p *process) drainTimeout() time.Duration {
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
	// callers is set if the listener serves callers. Its open requests are completed before
	// the process ends.
	callers bool
	// role is what the listener's connections count for.
	role intake.Role
}

// metricsPort is the port for metrics, as set in deploy/system.toml.
const metricsPort = 9300

// metrics returns the listener that serves metrics.
func (p *process) metrics() listener {
	mux := http.NewServeMux()
	mux.Handle("/metrics", p.meter)
	return listener{addr: netip.AddrPortFrom(p.settings.IP, metricsPort), handler: mux, role: intake.RoleMetrics}
}

// closeCallersFunc shuts down the servers for callers and waits for their open requests
// until ctx ends.
type closeCallersFunc func(ctx context.Context)

// serve opens the listeners, calls run, and shuts the servers down when run has returned.
// Servers for callers are shut down by run, which calls closeCallers.
func (p *process) serve(listeners []listener, run func(ctx context.Context, closeCallers closeCallersFunc) error) error {
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
		srv := &http.Server{
			Handler: p.gate.Handler(l.handler), ReadHeaderTimeout: maxHeaderTimeout,
			ConnContext: p.gate.ConnContext, ConnState: p.gate.ConnState,
		}
		ln = p.gate.Listener(ln, l.role)
		servers = append(servers, srv)
		if l.callers {
			callers = append(callers, srv)
			srv.ConnContext = func(ctx context.Context, c net.Conn) context.Context {
				return watchCaller(p.gate.ConnContext(ctx, c), c)
			}
			ln = callerListener{ln}
		}
		group.Go(func() error {
			if err := srv.Serve(ln); err != http.ErrServerClosed {
				return err
			}
			return nil
		})
	}
	group.Go(func() error {
		err := run(ctx, func(ctx context.Context) { p.shutdown(ctx, callers) })
		closing, cancel := context.WithTimeout(context.Background(), closeTimeout)
		defer cancel()
		p.shutdown(closing, servers)
		return err
	})
	return group.Wait()
}

func (p *process) shutdown(ctx context.Context, servers []*http.Server) {
	for _, srv := range servers {
		if err := srv.Shutdown(ctx); err != nil {
			p.log.Warn().Err(err).Msg("server shutdown failed, requests may still be open")
		}
	}
}
