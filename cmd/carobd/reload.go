package main

import (
	"bytes"
	"context"
	"os"
	"os/signal"
	"runtime/debug"
	"syscall"
	"time"

	"github.com/rs/zerolog"

	"carobpulley/platform"
)

// watchEvery is the time between two looks at the settings file, which may change
// without a signal.
const watchEvery = 2 * time.Second

// reloader follows the settings file. Memory is the only setting that takes effect
// while the process runs; all others, addresses and names among them, are in force
// at the next start.
type reloader struct {
	log      zerolog.Logger
	hangups  <-chan os.Signal
	read     func() ([]byte, error)
	content  []byte
	settings platform.Settings
}

// takeHangups returns the channel of SIGHUP, which ends the process no more from
// then on, also while it drains.
func takeHangups() <-chan os.Signal {
	hangups := make(chan os.Signal, 1)
	signal.Notify(hangups, syscall.SIGHUP)
	return hangups
}

// watch rereads the settings file upon SIGHUP and when it has changed.
func (r *reloader) watch(ctx context.Context) {
	tick := time.NewTicker(watchEvery)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-r.hangups:
			r.log.Info().Msg("asked to reload")
		case <-tick.C:
		}
		r.look()
	}
}

// look takes a changed file. One that cannot be used changes nothing.
func (r *reloader) look() {
	b, err := r.read()
	if err != nil {
		r.log.Error().Err(err).Msg("settings not read, the old ones stay")
		return
	}
	if bytes.Equal(b, r.content) {
		return
	}
	r.content = b
	s, err := platform.ParseSettings(b)
	if err != nil {
		r.log.Error().Err(err).Msg("settings not usable, the old ones stay")
		return
	}
	old := r.settings
	r.settings = s
	limitMemory(s.MemoryMB)
	later := s
	later.MemoryMB = old.MemoryMB
	r.log.Info().Int64("memory_mb", s.MemoryMB).Bool("rest_at_next_start", later != old).Msg("settings reloaded")
}

// limitMemory lets the collector work harder below the limit after which the
// process is killed.
func limitMemory(mb int64) {
	if mb > 0 {
		debug.SetMemoryLimit(int64(float64(mb) * memoryPart * (1 << 20)))
	}
}
