package link

import (
	"time"

	"carobpulley/domain"
	"carobpulley/wire/relay"
)

// DomainsToWire converts what is known of the failure domains for sending now; nil if that is
// nothing.
func DomainsToWire(now time.Time, v domain.View) *relay.Domains {
	if v.Offset == 0 && v.ProvenAt.IsZero() {
		return nil
	}
	out := &relay.Domains{Offset: v.Offset, Out: v.Out}
	if !v.ProvenAt.IsZero() {
		out.AgeMs = max(now.Sub(v.ProvenAt).Milliseconds()+1, 1)
	}
	return out
}

// DomainsFromWire converts what another process knows of the failure domains. notBefore is a time
// before which the message was certainly not sent; without it the message proves nothing, since it
// may have been delayed.
func DomainsFromWire(m *relay.Domains, notBefore time.Time) domain.View {
	v := domain.View{Offset: max(m.GetOffset(), 0), Out: m.GetOut()}
	if m.GetAgeMs() > 0 && !notBefore.IsZero() {
		v.ProvenAt = notBefore.Add(-time.Duration(m.GetAgeMs()) * time.Millisecond)
	}
	return v
}
