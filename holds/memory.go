package holds

import (
	"math"
	"slices"
	"time"
)

// Memory tells for which homes a process may not know of holds that are in force.
type Memory struct {
	self string
	// horizon is the time after which each live holder has asked again and no run of another one is on.
	horizon time.Duration
	// since is the time before which holds may be unknown, of all homes.
	since time.Time
	// passedOverAt is the latest time at which it was found that another process has stood in for this one.
	passedOverAt time.Time
	// recalled holds, by home, when the latest recall began.
	recalled map[string]time.Time
	// doubts holds, by home, the latest holder that has ended, and when.
	doubts map[string]doubt
}

type doubt struct {
	holder Holder
	at     time.Time
}

// NewMemory returns the memory of a process that starts now.
func NewMemory(now time.Time, self string, horizon time.Duration) *Memory {
	return &Memory{self: self, horizon: horizon, since: now, recalled: make(map[string]time.Time), doubts: make(map[string]doubt)}
}

// Lost records that holds from before now may be unknown: this process was paused, or ids have moved to it.
func (m *Memory) Lost(now time.Time) { m.since = now }

// LostSince reports whether holds from before a later time than the given one may be unknown.
func (m *Memory) LostSince(at time.Time) bool { return at.Before(m.since) }

// PassedOver records that another process has stood in for this one, at least since a time.
func (m *Memory) PassedOver(now, since time.Time) {
	if m.recalled[m.self].Before(since) {
		m.passedOverAt = now
	}
}

// Recalled records that the holds of a home are recalled from the other coordinators.
func (m *Memory) Recalled(now time.Time, home string) { m.recalled[home] = now }

// Since returns the time before which the hold of an id may be unknown here. It is now if a member that comes
// before this one is not known to be out: it may grant the id.
func (m *Memory) Since(now time.Time, id string, members []Member, homes *Homes) time.Time {
	since := m.since
	if First(id, members) == m.self {
		return later(since, m.passedOverAt)
	}
	own := math.Inf(-1)
	for _, member := range members {
		if member.Name == m.self {
			own = score(id, member)
		}
	}
	for _, member := range members {
		if member.Name == m.self || score(id, member) < own {
			continue
		}
		o, out := homes.down[member.Name]
		if !out {
			return now
		}
		since = later(since, o.since)
	}
	return since
}

// Gap reports whether the holds of the ids of a home have to be recalled before this process grants one,
// given the time before which its hold may be unknown.
func (m *Memory) Gap(now, since time.Time, home string) bool {
	return now.Sub(since) < m.horizon && m.recalled[home].Before(since)
}

// Ended records that a process has ended, which may have held ids of a home that nobody else knows of.
func (m *Memory) Ended(home string, by Holder, at time.Time) {
	if at.After(m.doubts[home].at) {
		m.doubts[home] = doubt{by, at}
	}
}

// Doubt returns a hold that stands for that of a process which has ended, if an id of a home may have had
// one. Its holder was seen for the last time so long ago that it counts as gone once the process's runs are
// over, runsEnd after its end.
func (m *Memory) Doubt(now time.Time, home string, runsEnd time.Duration) (Hold, bool) {
	d := m.doubts[home]
	if now.Sub(d.at) >= runsEnd {
		return Hold{}, false
	}
	return Hold{Holder: d.holder, At: d.at, Seen: d.at.Add(runsEnd - m.horizon)}, true
}

func later(a, b time.Time) time.Time {
	if b.After(a) {
		return b
	}
	return a
}

// Evidence is the kind of a report of a hold.
type Evidence int

// Kinds of evidence, from the strongest on.
const (
	// Present means that the holder has the job.
	Present Evidence = iota
	// Granted means that the reporter has granted the id.
	Granted
	// Pending means that the holder asks for the id.
	Pending
)

// Report is what another process knows of a hold.
type Report struct {
	ID       string
	Hold     Hold
	Evidence Evidence
}

// Learn takes over reports of holds by other processes, given that own grants from before since may be
// outdated. It returns the number of holds that it has recorded, and of the reports that contradict a grant
// in force.
func (t *Table) Learn(now, since time.Time, reports []Report) (learned, contrary int) {
	t.expire(now)
	reports = slices.Clone(reports)
	slices.SortStableFunc(reports, func(a, b Report) int {
		if a.Evidence != b.Evidence {
			return int(a.Evidence - b.Evidence)
		}
		return b.Hold.At.Compare(a.Hold.At)
	})
	for _, r := range reports {
		old, held := t.holds[r.ID]
		if held && old.Holder.Same(r.Hold.Holder) {
			old.pending = old.pending && r.Evidence != Present
			old.Seen = later(old.Seen, r.Hold.Seen)
			t.holds[r.ID] = old
			continue
		}
		if held && r.isOlderThan(old) {
			continue
		}
		if held && !old.pending && !old.At.Before(since) {
			contrary++
			continue
		}
		h := r.Hold
		h.pending = r.Evidence == Pending
		if r.Evidence != Granted {
			h.Number = t.next(now)
		}
		t.last = max(t.last, h.Number)
		t.put(now, r.ID, h)
		learned++
	}
	return learned, contrary
}

// isOlderThan reports whether a report tells nothing against a hold of another holder.
func (r Report) isOlderThan(h Hold) bool {
	return r.Evidence == Pending || r.Evidence == Granted && !h.pending && !r.Hold.At.After(h.At)
}

// Grants returns the grants for the ids of which belongs is true, whose holders were seen since a time.
func (t *Table) Grants(since time.Time, belongs func(id string) bool) []Report {
	var reports []Report
	for id, h := range t.holds {
		h.Seen = t.lastSeen(h)
		if !h.pending && h.Seen.After(since) && belongs(id) {
			reports = append(reports, Report{id, h, Granted})
		}
	}
	return reports
}
