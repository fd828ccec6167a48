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

	"carobpulley/intake"
	"carobpulley/platform"
)

// pollInterval is the time between two checks of the settings file, which may change
// without a SIGHUP.
const pollInterval = 2 * time.Second

// reloader applies changes of the settings file. The memory limit is the only setting that
// takes effect while the process runs, with the limits on clients that follow from it; all others, such as addresses and names, take effect
// at the next start.
type reloader struct {
	log     zerolog.Logger
	hangups <-chan os.Signal
	read    func() ([]byte, error)
	// content is the newest content of the file that was read, valid or not.
	content  []byte
	settings platform.Settings
	// maxFDs is the limit on descriptors at the start.
	maxFDs int64
	// gate gets the limits that follow from the memory limit.
	gate *intake.Gate
}

// notifyHangups returns a channel that receives SIGHUP. From then on the signal no longer
// terminates the process, not even while it drains.
func notifyHangups() <-chan os.Signal {
	hangups := make(chan os.Signal, 1)
	signal.Notify(hangups, syscall.SIGHUP)
	return hangups
}

// watch reloads the settings file on SIGHUP and every pollInterval.
func (r *reloader) watch(ctx context.Context) {
	tick := time.NewTicker(pollInterval)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-r.hangups:
			r.log.Info().Msg("received SIGHUP, reloading the settings file")
		case <-tick.C:
		}
		r.reload()
	}
}

// reload applies the settings file if it has changed. If the file cannot be read or is
// invalid, the current settings stay in force.
func (r *reloader) reload() {
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
	setMemoryLimit(s.MemoryMB)
	r.limitIntake(s.MemoryMB)
	rest := s
	rest.MemoryMB = old.MemoryMB
	r.log.Info().Int64("memory_mb", s.MemoryMB).Bool("rest_at_next_start", rest != old).Msg("settings reloaded")
}

// limitIntake derives the limits on clients from a new memory limit. The descriptors stay those of the start.
func (r *reloader) limitIntake(memoryMB int64) {
	limits, err := intake.DeriveLimits(memoryMB, r.maxFDs)
	if err != nil {
		r.log.Error().Err(err).Msg("limits on clients not usable, the old ones stay")
		return
	}
	r.gate.SetLimits(limits)
}

// setMemoryLimit sets the soft memory limit of the Go runtime to a fraction of mb, the limit
// above which the process is killed.
func setMemoryLimit(mb int64) {
	if mb > 0 {
		debug.SetMemoryLimit(int64(float64(mb) * memoryLimitFraction * (1 << 20)))
	}
}
