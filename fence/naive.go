package fence

import (
	"time"

	"carobpulley"
)

// Naive is the reference gate for differential tests and the baseline of
// measurements. It ignores epochs and echoes and keeps no record of ended tasks,
// so it is correct only while no message is lost, repeated or late.
type Naive struct {
	cfg       Config
	version   uint64
	inService bool
	draining  bool
	running   map[carobpulley.TaskID]bool
}

var _ carobpulley.Gate = (*Naive)(nil)

// NewNaive returns a naive gate.
func NewNaive(cfg Config) *Naive {
	return &Naive{cfg: cfg, running: make(map[carobpulley.TaskID]bool)}
}

// Enter implements carobpulley.Gate.
func (g *Naive) Enter(now time.Time, in carobpulley.Entering) error {
	g.Configure(in.ConfigVersion, in.InService)
	switch {
	case in.Dispatch.Endpoint != g.cfg.Endpoint || in.Incarnation != g.cfg.Incarnation:
		return errWrongAgent
	case g.draining:
		return errDraining
	case !now.Before(in.Dispatch.Deadline):
		return errDeadline
	case !g.inService:
		return errOutOfService
	case len(g.running) >= g.cfg.Slots:
		return errBusy
	}
	g.running[in.Dispatch.ID] = true
	return nil
}

// End implements carobpulley.Gate.
func (g *Naive) End(_ time.Time, t carobpulley.StartedTask) {
	delete(g.running, t.ID)
}

// Query implements carobpulley.Gate. It returns an error for a task that is not
// running.
func (g *Naive) Query(_ time.Time, id carobpulley.TaskID, _ int, _ uint64, _ int) (carobpulley.StartedTask, error) {
	if !g.running[id] {
		return carobpulley.StartedTask{}, errDropped
	}
	return carobpulley.StartedTask{ID: id, Endpoint: g.cfg.Endpoint, Phase: carobpulley.PhaseRunning}, nil
}

// Fence implements carobpulley.Gate. It returns no tasks and reports the answer as
// incomplete.
func (g *Naive) Fence(time.Time, []carobpulley.Ownership, uint64, int) ([]carobpulley.StartedTask, uint64, bool) {
	return nil, 0, false
}

// Configure implements carobpulley.Gate.
func (g *Naive) Configure(version uint64, inService bool) {
	if version > g.version {
		g.version, g.inService = version, inService
	}
}

// Drain implements carobpulley.Gate.
func (g *Naive) Drain() { g.draining = true }

// Clock implements carobpulley.Gate.
func (g *Naive) Clock(now time.Time) int64 {
	return int64(now.Sub(g.cfg.Started)) + 1
}
