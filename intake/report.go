package intake

import (
	"time"

	"github.com/rs/zerolog"

	"carobpulley/meter"
)

// logInterval is the least time between two log lines of one kind: a client can cause thousands a second.
const logInterval = time.Second

// event is a kind of thing that is counted and logged.
type event struct {
	what   string
	role   Role
	reason Reason
}

// tally holds the events of a kind that have no log line yet.
type tally struct {
	silentUntil time.Time
	count       int
	// client is the address of the newest one's client.
	client string
}

// report counts and logs refusals and aborted requests. It is guarded by its Gate's lock.
type report struct {
	log     zerolog.Logger
	meter   *meter.Set
	tallies map[event]*tally
}

func newReport(log zerolog.Logger, m *meter.Set) *report {
	return &report{log: log, meter: m, tallies: make(map[event]*tally)}
}

func (r *report) aborted(now time.Time, e *Entry, client string) {
	if e.aborted == ReasonIdle {
		r.meter.Add(meter.Name("intake_aborted", string(e.role)+" "+string(e.aborted)), 1)
		return // the usual end of a connection
	}
	r.add(now, event{"aborted", e.role, e.aborted}, client)
}

func (r *report) refused(now time.Time, role Role, reason Reason, client string) {
	r.add(now, event{"refused", role, reason}, client)
}

func (r *report) add(now time.Time, e event, client string) {
	r.meter.Add(meter.Name("intake_"+e.what, string(e.role)+" "+string(e.reason)), 1)
	t := r.tallies[e]
	if t == nil {
		t = &tally{}
		r.tallies[e] = t
	}
	t.count++
	t.client = client
	r.write(now, e, t)
}

// flush writes the lines of events that happened while their kind was silent.
func (r *report) flush(now time.Time) {
	for e, t := range r.tallies {
		if t.count > 0 {
			r.write(now, e, t)
		}
	}
}

func (r *report) write(now time.Time, e event, t *tally) {
	if now.Before(t.silentUntil) {
		return
	}
	r.log.Warn().Str("what", e.what).Str("listener", string(e.role)).Str("why", string(e.reason)).
		Int("requests", t.count).Str("client", t.client).Msg("request not received")
	t.silentUntil, t.count = now.Add(logInterval), 0
}

// gauges shows what is in use.
func (r *report) gauges(l *Ledger, budget int64) {
	r.meter.Set("intake_bytes", l.Charged())
	r.meter.Set("intake_budget_bytes", budget)
	for role := range shares {
		r.meter.Set(meter.Name("intake_connections", string(role)), int64(l.Connections(role)))
	}
}
