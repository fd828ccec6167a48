package link

import (
	"time"

	"carobpulley/domain"
	"carobpulley/wire/relay"
)

const (
	// MaxOffset is the largest offset of a record of the store.
	MaxOffset = 1 << 53
	// maxDomainAge bounds the age of knowledge that is passed on; older knowledge proves nothing.
	maxDomainAge = time.Hour
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
// may have been delayed. An offset out of range would outweigh all later knowledge, so the message is
// ignored.
func DomainsFromWire(m *relay.Domains, notBefore time.Time) domain.View {
	if m.GetOffset() < 0 || m.GetOffset() > MaxOffset {
		return domain.View{}
	}
	v := domain.View{Offset: m.GetOffset(), Out: m.GetOut()}
	if m.GetAgeMs() > 0 && m.GetAgeMs() <= maxDomainAge.Milliseconds() && !notBefore.IsZero() {
		v.ProvenAt = notBefore.Add(-time.Duration(m.GetAgeMs()) * time.Millisecond)
	}
	return v
}
