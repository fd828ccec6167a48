package main

import (
	"google.golang.org/protobuf/proto"

	"carobpulley"
	"carobpulley/conf"
	"carobpulley/inner"
)

// cost measures what a node spends. Bytes are sent and received.
func (s spreadSize) cost() spreadCost {
	page, doc := spreadChanges(s)
	endpoints := s.nodes - s.entries
	contact := inner.Contact{Entry: s.names()[0], Incarnation: uint64(origin.UnixNano()), ConfigVersion: 1, OwnersOffset: 1}
	asked := inner.ContactToWire(contact)
	answered := inner.ContactAnswerToWire(inner.ContactAnswer{Contact: contact, Vouch: true})
	announce := inner.AnnouncementToWire(inner.Announcement{
		Endpoint: endpointAt(0, min(servicesPerEndpoint, s.members*servicesPerMember), s.members*servicesPerMember), AgentTime: 1 << 40, ConfigVersion: 1,
	})
	announced := inner.AnnounceAnswerToWire(inner.AnnounceAnswer{ConfigVersion: 1, InService: true})
	perSecond := int(1e9 / carobpulley.ContactInterval)
	contacts := 2 * perSecond * (s.entries - 1)
	pushed := proto.Size(inner.PublishToWire(inner.ConfigRecord{Version: 2, Document: doc})) + proto.Size(inner.PublishAnswerToWire(2))
	exchange := proto.Size(announce) + proto.Size(announced)
	rest := func(asks, answers proto.Message) float64 {
		return cpu(2000, func() {
			roundTrip(asks)
			roundTrip(answers)
		})
	}
	perExchange := rest(announce, announced)
	return spreadCost{
		DocumentBytes: len(doc),
		// The record from the log, and as the publishing entry one push to each
		// peer; the others have one push each.
		EntryChangeBytes: len(page.Records[1].Data) + pushed*(s.entries-1),
		EntryRestBytes:   contacts*(proto.Size(asked)+proto.Size(answered)) + endpoints*exchange,
		AgentRestBytes:   s.entries * exchange,
		EntryChangeNanos: s.changeNanos(page),
		EntryRestNanos:   float64(contacts)*rest(asked, answered) + float64(endpoints)*perExchange,
		AgentChangeNanos: agentChangeNanos(),
		AgentRestNanos:   float64(s.entries) * perExchange,
	}
}

// roundTrip encodes and decodes a message.
func roundTrip(m proto.Message) {
	data, err := proto.Marshal(m)
	if err != nil {
		panic(err)
	}
	if err := proto.Unmarshal(data, m.ProtoReflect().New().Interface()); err != nil {
		panic(err)
	}
}

// changeNanos is the processor time in which an entry reads a change from the
// log and puts it in force.
func (s spreadSize) changeNanos(page carobpulley.Page) float64 {
	const times = 20
	ready := make([]*conf.Rollout, samples*times)
	for i := range ready {
		ready[i] = spreadAtFirst(s.names()[0], page)
	}
	next := carobpulley.Page{Records: page.Records[1:], Oldest: page.Oldest, Next: page.Next}
	i := 0
	return cpu(times, func() {
		ready[i].HandlePage(origin, page.Next-1, next)
		i++
	})
}

// agentChangeNanos is the processor time in which an agent takes a version.
func agentChangeNanos() float64 {
	g := openGate()
	version := uint64(1)
	return cpu(100_000, func() {
		version++
		g.Configure(version, version%2 == 0)
	})
}
