package coord

import (
	"carobpulley"
	"carobpulley/domain"
)

// replaceDomains takes over the failure domains that are out of service from the newest records of
// the operators' topic, which cover all before an offset. The caller holds the lock.
func (c *Coordinator) replaceDomains(records []carobpulley.KeyedRecord, end int64) {
	var out []string
	for i := range records {
		if change, err := c.configSource.Decode(records[i]); err == nil && change.OutOfService {
			out = append(out, change.Domain)
		}
	}
	c.domainsChanged(c.domains.Replace(end, out), "store")
}

// mergeDomains takes over what another process knows of the failure domains: this one may not
// reach the store. The caller holds the lock.
func (c *Coordinator) mergeDomains(v domain.View, from string) {
	if c.domains.Merge(v) {
		c.domainsChanged(true, from)
		c.table.PlaceReady(c.now)
	}
}

// domainsChanged hands a change of the failure domains to the table. The caller holds the lock.
func (c *Coordinator) domainsChanged(changed bool, from string) {
	if !changed {
		return
	}
	c.log.Info().Strs("out", c.domains.Out).Int64("offset", c.domains.Offset).Str("from", from).Msg("failure domains")
	c.table.SetDomainsOutOfService(c.domains.Out)
}
