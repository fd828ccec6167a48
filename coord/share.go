package coord

import (
	"time"

	"carobpulley/share"
	"carobpulley/work"
)

// shareInterval is the least time between two computations of the share: members come in
// groups when a fleet starts.
const shareInterval = 250 * time.Millisecond

// updateShare computes this coordinator's share of the agents after a change of the members.
// The caller holds the lock.
func (c *Coordinator) updateShare(now time.Time) {
	if !c.membersChanged || now.Before(c.nextShareAt) {
		return
	}
	c.membersChanged = false
	c.nextShareAt = now.Add(shareInterval)
	names := c.picker.Agents(c.cfg.Self.Name, members(c.coordinators), members(c.agents))
	c.table.SetShare(names)
	c.table.SetCoordinatorCount(c.picker.Coordinators(len(c.agents)))
	c.cfg.Meter.Set("share_agents", int64(len(names)))
	c.log.Info().Int("agents", len(names)).Int("of", len(c.agents)).Int("coordinators", len(c.coordinators)).Msg("share of the agents")
}

func members(addresses map[string]work.Address) []share.Member {
	out := make([]share.Member, 0, len(addresses))
	for name, a := range addresses {
		out = append(out, share.Member{Name: name, Domain: a.Domain})
	}
	return out
}

// growShare extends the share, and attaches to the added agents, if tasks wait for capacity. The
// caller holds the lock.
func (c *Coordinator) growShare(now time.Time) {
	if c.table.Grow(now) {
		c.cfg.Meter.Add("share_extensions", 1)
		c.log.Info().Msg("share extended, tasks wait for capacity")
		c.attachDetached(now)
	}
}
