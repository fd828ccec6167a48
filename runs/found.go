package runs

import (
	"time"

	"carobpulley/work"
)

// Reasons for which a listed run is unknown to this process.
const (
	// FoundInherited means that a lease of an earlier process of this agent may still keep the run.
	FoundInherited = "inherited"
	// FoundEnded means that this process took the run to be over: its task may be running elsewhere.
	FoundEnded = "ended"
	// FoundLate means that this process knows nothing of the run. Its start was carried out late, or at
	// a later generation of the endpoint.
	FoundLate = "late"
)

// FoundRun is a run that the endpoint lists as running and that this process does not hold as a run.
type FoundRun struct {
	Run    work.Run
	Reason string
	// Coordinator and EndedAt are those of the run that was taken to be over; zero if there is none.
	Coordinator string
	EndedAt     time.Time
	// GenerationAt is the time at which the endpoint's generation was first shown.
	GenerationAt time.Time
}

// recordFound records a listed run that this process does not hold as a run.
func (c *Controller) recordFound(now time.Time, key work.Run) {
	f := FoundRun{Run: key, Reason: FoundLate, GenerationAt: c.generationAt}
	ended, known := c.endedRuns[key]
	switch {
	case known:
		f.Reason, f.Coordinator, f.EndedAt = FoundEnded, ended.coordinator, ended.at
	case !now.After(c.inheritedLeaseExpiry()):
		f.Reason = FoundInherited
	}
	c.found = append(c.found, f)
}

// Found returns the unknown runs that were listed since the last call.
func (c *Controller) Found() []FoundRun {
	found := c.found
	c.found = nil
	return found
}
