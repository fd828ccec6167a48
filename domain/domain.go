// Package domain holds what a process knows of the failure domains that operators have taken out of
// service: how much of the operators' records it covers, and up to which time it is known to be
// complete. Processes pass it on, so that those that do not reach the store learn of a change from
// others. The package holds no clock, does no I/O and starts no goroutines.
package domain

import (
	"slices"
	"time"
)

// View is what a process knows of the failure domains. The zero value knows nothing.
type View struct {
	// Offset is the offset of the first of the operators' records that the view does not cover.
	Offset int64
	// Out holds the domains that are out of service.
	Out []string
	// ProvenAt is the latest time of which it is proven that the view covers every record that the
	// store had acknowledged by then; zero if there is no proof.
	ProvenAt time.Time
}

// IsOut reports whether a domain is out of service.
func (v *View) IsOut(domain string) bool { return slices.Contains(v.Out, domain) }

// Apply applies the record at an offset, unless the view covers it. It reports whether Out has
// changed.
func (v *View) Apply(offset int64, domain string, out bool) bool {
	if offset < v.Offset {
		return false
	}
	v.Offset = offset + 1
	if v.IsOut(domain) == out {
		return false
	}
	// Out is shared with copies of the view, so it is never changed in place.
	if out {
		v.Out = append(slices.Clip(v.Out), domain)
		return true
	}
	v.Out = slices.DeleteFunc(slices.Clone(v.Out), func(d string) bool { return d == domain })
	return true
}

// Replace sets the domains that are out of service from a list of the newest records, which covers
// all records before an offset. A list that is older than the view is ignored: it would put a
// domain back into service. Replace reports whether Out has changed.
func (v *View) Replace(offset int64, out []string) bool {
	if offset < v.Offset {
		return false
	}
	v.Offset = offset
	changed := !sameDomains(v.Out, out)
	v.Out = out
	return changed
}

// Confirm handles a read that was sent at a time and showed that the records end at an offset, all
// of which were applied.
func (v *View) Confirm(offset int64, sent time.Time) {
	v.Offset = max(v.Offset, offset)
	v.prove(sent)
}

// Merge takes over what another process knows, and reports whether Out has changed.
func (v *View) Merge(other View) bool {
	v.prove(other.ProvenAt)
	if other.Offset <= v.Offset {
		return false
	}
	return v.Replace(other.Offset, other.Out)
}

func (v *View) prove(at time.Time) {
	if at.After(v.ProvenAt) {
		v.ProvenAt = at
	}
}

func sameDomains(a, b []string) bool {
	a, b = slices.Clone(a), slices.Clone(b)
	slices.Sort(a)
	slices.Sort(b)
	return slices.Equal(slices.Compact(a), slices.Compact(b))
}
