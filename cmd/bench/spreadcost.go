package main

import (
	"google.golang.org/protobuf/proto"

	"carobpulley"
	"carobpulley/conf"
	"carobpulley/inner"
)

// measureCost measures the cost at a node. Bytes are those sent and received together.
func (s installation) measureCost() propagationCost {
	page, doc := twoVersions(s)
	endpoints := s.nodes - s.entries
	contact := inner.Contact{Entry: s.entryNames()[0], Incarnation: uint64(virtualStart.UnixNano()), ConfigVersion: 1, OwnersOffset: 1}
	contactRequest := inner.ContactToWire(contact)
	contactReply := inner.ContactAnswerToWire(inner.ContactAnswer{Contact: contact, Vouch: true})
	announceRequest := inner.AnnouncementToWire(inner.Announcement{
		Endpoint: newEndpoint(0, min(servicesPerEndpoint, s.members*servicesPerMember), s.members*servicesPerMember), AgentTime: 1 << 40, ConfigVersion: 1,
	})
	announceReply := inner.AnnounceAnswerToWire(inner.AnnounceAnswer{ConfigVersion: 1, InService: true})
	perSecond := int(1e9 / carobpulley.ContactInterval)
	contacts := 2 * perSecond * (s.entries - 1)
	publishBytes := proto.Size(inner.PublishToWire(inner.ConfigRecord{Version: 2, Document: doc})) + proto.Size(inner.PublishAnswerToWire(2))
	announceBytes := proto.Size(announceRequest) + proto.Size(announceReply)
	exchangeNanos := func(request, reply proto.Message) float64 {
		return cpuNanos(2000, func() {
			roundTrip(request)
			roundTrip(reply)
		})
	}
	announceNanos := exchangeNanos(announceRequest, announceReply)
	return propagationCost{
		DocumentBytes: len(doc),
		// The publishing entry reads the record from the log and publishes it to each peer;
		// each other entry has one such exchange.
		EntryChangeBytes: len(page.Records[1].Data) + publishBytes*(s.entries-1),
		EntrySteadyBytes: contacts*(proto.Size(contactRequest)+proto.Size(contactReply)) + endpoints*announceBytes,
		AgentSteadyBytes: s.entries * announceBytes,
		EntryChangeNanos: s.entryChangeNanos(page),
		EntrySteadyNanos: float64(contacts)*exchangeNanos(contactRequest, contactReply) + float64(endpoints)*announceNanos,
		AgentChangeNanos: agentChangeNanos(),
		AgentSteadyNanos: float64(s.entries) * announceNanos,
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

// entryChangeNanos returns the processor time in which an entry handles the read of a
// change from the log and puts the change in force.
func (s installation) entryChangeNanos(page carobpulley.Page) float64 {
	const calls = 20
	rollouts := make([]*conf.Rollout, sampleCount*calls)
	for i := range rollouts {
		rollouts[i] = newRolloutAtFirstVersion(s.entryNames()[0], page)
	}
	next := carobpulley.Page{Records: page.Records[1:], Oldest: page.Oldest, Next: page.Next}
	i := 0
	return cpuNanos(calls, func() {
		rollouts[i].HandlePage(virtualStart, page.Next-1, next)
		i++
	})
}

// agentChangeNanos returns the processor time in which an agent adopts a version.
func agentChangeNanos() float64 {
	g := newOpenGate()
	version := uint64(1)
	return cpuNanos(100_000, func() {
		version++
		g.Configure(version, version%2 == 0)
	})
}
