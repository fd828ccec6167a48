package main

import (
	"context"
	"net/http"
	"time"

	"github.com/rs/zerolog"
	"github.com/urfave/cli/v3"
	"golang.org/x/time/rate"

	"carobpulley/memlog"
	"carobpulley/stream"
)

const logUsage = `Serves the append-only log service from memory, by the protocol in
docs/log.md. Its records are lost when it stops.

PUT /faults replaces the faults:

  {"outage": true}       every call fails
  {"delay_ms": 8}        time between a call and its effect
  {"lost_answers": 3}    the next 3 appends take effect but are answered with an
                         error; -1 loses all answers
  {"lost_appends": 3}    the next 3 appends are lost and answered with an error

Fields that are left out are off. Example:

  curl -X PUT -d '{"outage": true}' http://127.0.0.1:7000/faults`

func logCommand(log zerolog.Logger) *cli.Command {
	return &cli.Command{
		Name:        "log",
		Usage:       "serve the log service",
		Description: logUsage,
		Flags: []cli.Flag{
			listenFlag("127.0.0.1:7000"),
			&cli.DurationFlag{Name: "retention-age", Value: time.Hour, Usage: "age at which records are removed; 0 is no limit", Sources: cli.EnvVars("STANDIN_RETENTION_AGE")},
			&cli.IntFlag{Name: "retention-count", Value: 100_000, Usage: "records kept per stream; 0 is no limit", Sources: cli.EnvVars("STANDIN_RETENTION_COUNT")},
			&cli.DurationFlag{Name: "delay", Value: 3 * time.Millisecond, Usage: "time between a call and its effect, until PUT /faults", Sources: cli.EnvVars("STANDIN_DELAY")},
			&cli.FloatFlag{Name: "rate", Value: 400, Usage: "appends per second of all streams together; 0 is no limit", Sources: cli.EnvVars("STANDIN_RATE")},
		},
		Action: func(ctx context.Context, cmd *cli.Command) error {
			retention := memlog.Retention{Age: cmd.Duration("retention-age"), Count: cmd.Int("retention-count")}
			l := memlog.New(retention, time.Now)
			l.SetFaults(memlog.Faults{Delay: cmd.Duration("delay")})
			h := newLogServer(l, cmd.Float("rate"))
			return serve(ctx, log.With().Str("role", "log").Logger(), cmd.String("listen"), h)
		},
	}
}

// faultSettings is the body of PUT /faults.
type faultSettings struct {
	Outage      bool  `json:"outage"`
	DelayMS     int64 `json:"delay_ms"`
	LostAnswers int   `json:"lost_answers"`
	LostAppends int   `json:"lost_appends"`
}

// newLogServer returns a handler that serves a log with at most perSecond appends
// per second; 0 is no limit.
func newLogServer(l *memlog.Log, perSecond float64) http.Handler {
	limiter := rate.NewLimiter(rate.Inf, 1)
	if perSecond > 0 {
		limiter = rate.NewLimiter(rate.Limit(perSecond), 1)
	}
	records := stream.Handler(l)
	mux := http.NewServeMux()
	mux.Handle("GET /v1/", records)
	mux.HandleFunc("POST /v1/", func(w http.ResponseWriter, r *http.Request) {
		if err := limiter.Wait(r.Context()); err != nil {
			replyError(w, http.StatusServiceUnavailable, err)
			return
		}
		records.ServeHTTP(w, r)
	})
	mux.HandleFunc("PUT /faults", func(w http.ResponseWriter, r *http.Request) {
		var f faultSettings
		if !decode(w, r, &f) {
			return
		}
		l.SetFaults(memlog.Faults{Outage: f.Outage, Delay: milliseconds(f.DelayMS), LostAnswers: f.LostAnswers, LostAppends: f.LostAppends})
		reply(w, http.StatusOK, f)
	})
	return mux
}
