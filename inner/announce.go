package inner

import (
	"net/netip"
	"time"

	"carobpulley"
	"carobpulley/wire"
)

// Announcement is the message that an agent sends to each entry every second.
type Announcement struct {
	Endpoint carobpulley.Endpoint
	Load     carobpulley.Load
	// AgentTime is a reading of the agent's clock in nanoseconds.
	AgentTime int64
	// Leaving is set in the last announcement, after which no task starts.
	Leaving bool
	// ConfigVersion is the newest configuration version that the agent has received.
	ConfigVersion uint64
}

// AnnounceAnswer is the answer to an Announcement.
type AnnounceAnswer struct {
	ConfigVersion uint64
	// InService is whether the agent's domain is in service at ConfigVersion.
	InService bool
}

// AnnouncementToWire converts an announcement to its wire type.
func AnnouncementToWire(v Announcement) *wire.AnnounceRequest {
	return &wire.AnnounceRequest{
		Endpoint:    v.Endpoint.ID,
		Incarnation: v.Endpoint.Incarnation,
		Addr:        v.Endpoint.Addr.String(),
		Domain:      v.Endpoint.Domain,
		Rack:        v.Endpoint.Rack,
		Services:    v.Endpoint.Services,
		Slots:       uint32(v.Endpoint.Slots),
		Running:     uint32(v.Load.Running),
		Queued:      uint32(v.Load.Queued),
		Draining:    v.Endpoint.Draining,
		AgentTime:   v.AgentTime,
		Leaving:     v.Leaving,

		ConfigVersion: v.ConfigVersion,
	}
}

// AnnouncementFromWire converts an announcement from its wire type and checks it.
// The address must be an IP address and port that other hosts can reach; the rack
// may be empty.
func AnnouncementFromWire(r *wire.AnnounceRequest) (Announcement, error) {
	c := validator{op: "announce request"}
	out := Announcement{
		Endpoint: carobpulley.Endpoint{
			ID:          c.name("endpoint", r.GetEndpoint()),
			Incarnation: c.positive("incarnation", r.GetIncarnation()),
			Addr:        c.addr(r.GetAddr()),
			Domain:      c.name("domain", r.GetDomain()),
			Rack:        c.text("rack", r.GetRack(), 0, MaxNameBytes),
			Services:    c.services(r.GetServices()),
			Slots:       c.number("slots", r.GetSlots(), 1, MaxSlots),
			Draining:    r.GetDraining(),
		},
		Load:      c.load(r.GetRunning(), r.GetQueued()),
		AgentTime: c.agentTime(r.GetAgentTime()),
		Leaving:   r.GetLeaving(),

		ConfigVersion: r.GetConfigVersion(),
	}
	return out, c.result()
}

// AnnounceAnswerToWire converts the answer to an announcement to its wire type.
func AnnounceAnswerToWire(v AnnounceAnswer) *wire.AnnounceReply {
	return &wire.AnnounceReply{ConfigVersion: v.ConfigVersion, InService: v.InService}
}

// AnnounceAnswerFromWire converts the answer to an announcement from its wire type.
func AnnounceAnswerFromWire(r *wire.AnnounceReply) AnnounceAnswer {
	return AnnounceAnswer{ConfigVersion: r.GetConfigVersion(), InService: r.GetInService()}
}

func (c *validator) addr(v string) netip.AddrPort {
	addr, err := netip.ParseAddrPort(v)
	if err != nil || addr.Port() == 0 || addr.Addr().IsUnspecified() || addr.Addr().IsMulticast() {
		c.failf("addr is not an IP address and port")
		return netip.AddrPort{}
	}
	return addr
}

func (c *validator) services(list []string) []string {
	if n := len(list); n < 1 || n > MaxServices {
		c.failf("%d services, want 1 to %d", n, MaxServices)
		return nil
	}
	for _, s := range list {
		c.name("service", s)
	}
	return list
}

// load checks the counts of running and queued tasks. The limit is far above any
// queue of this project.
func (c *validator) load(running, queued uint32) carobpulley.Load {
	const limit = 1 << 20
	return carobpulley.Load{
		Running: c.number("running", running, 0, limit),
		Queued:  c.number("queued", queued, 0, limit),
	}
}

// agentTime checks a reading of an agent's clock, which is always positive.
func (c *validator) agentTime(v int64) int64 {
	if v <= 0 {
		c.failf("agent_time is not positive")
	}
	return v
}

func (c *validator) runTime(v int64) time.Duration {
	if v < 0 {
		c.failf("run_nanos is negative")
	}
	return time.Duration(v)
}
