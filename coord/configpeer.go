package coord

import (
	"cmp"
	"errors"
	"maps"
	"slices"
	"time"

	"connectrpc.com/connect"

	"carobpulley"
	"carobpulley/link"
	"carobpulley/wire/relay"
	"carobpulley/work"
)

const (
	// configReadGrace is how long this process waits for its own read of an operators' record that
	// others know, before it asks its peers for the configuration.
	configReadGrace = 300 * time.Millisecond
	// configAskInterval is the interval between two such calls.
	configAskInterval = 200 * time.Millisecond
	// configAskTimeout bounds one call: a configuration has up to 256 KiB, and hosts may have
	// 20 Mbit/s.
	configAskTimeout = 500 * time.Millisecond
)

// peerConfig is the state of asking the peers for the configuration.
type peerConfig struct {
	// offset is the offset of the first of the operators' records that no peer's answer covers.
	offset int64
	// askAt is the time of the next call; zero if this process knows all that others do.
	askAt  time.Time
	asking bool
	// asked is the name of the peer that was asked last.
	asked string
}

// configOffset returns the offset of the first of the operators' records that the configuration in
// force does not cover. The caller holds the lock.
func (c *Coordinator) configOffset() int64 { return max(c.configRead.next, c.peerConfig.offset) }

// followConfig asks the peers in turn for the configuration while others know of operators' records
// that this process has not read: it may not reach the store. The caller holds the lock.
func (c *Coordinator) followConfig(now time.Time) {
	p := &c.peerConfig
	if c.domains.Offset <= c.configOffset() {
		p.askAt = time.Time{}
		return
	}
	if p.askAt.IsZero() {
		p.askAt = now.Add(configReadGrace)
	}
	if p.asking || now.Before(p.askAt) {
		return
	}
	p.askAt = now.Add(configAskInterval)
	peer, ok := c.nextPeer(cmp.Or(p.asked, c.cfg.Self.Name))
	if !ok {
		return
	}
	p.asking, p.asked = true, peer.Name
	go c.askConfig(peer, c.configOffset())
}

// nextPeer returns the coordinator that follows a name in the order of names, and then the first one.
// The caller holds the lock.
func (c *Coordinator) nextPeer(after string) (work.Address, bool) {
	names := slices.Sorted(maps.Keys(c.coordinators))
	names = slices.DeleteFunc(names, func(name string) bool { return name == c.cfg.Self.Name })
	if len(names) == 0 {
		return work.Address{}, false
	}
	i, found := slices.BinarySearch(names, after)
	if found {
		i++
	}
	return c.coordinators[names[i%len(names)]], true
}

// askConfig asks a peer for the configuration among the operators' records from an offset on.
func (c *Coordinator) askConfig(peer work.Address, from int64) {
	client := c.peers.At(peer.Addr)
	call, cancel := withTimeout(c.baseCtx, configAskTimeout)
	defer cancel()
	reply, err := client.Coordinator.Config(call, connect.NewRequest(&relay.ConfigRequest{Offset: from}))
	if err != nil && call.Err() != nil {
		client.CloseIdleConnections()
	}
	c.lock()
	defer c.mu.Unlock()
	c.peerConfig.asking = false
	if err == nil {
		err = c.handlePeerConfig(peer.Name, reply.Msg)
	}
	if err != nil {
		c.cfg.Meter.Add("config_asks_failed", 1)
		c.log.Warn().Err(err).Str("peer", peer.Name).Msg("no configuration from a peer")
	}
}

// handlePeerConfig applies the configuration of a peer that knows more of the operators' records. The
// caller holds the lock.
func (c *Coordinator) handlePeerConfig(peer string, m *relay.ConfigReply) error {
	if m.GetOffset() <= c.configOffset() {
		return nil
	}
	if m.GetOffset() > link.MaxOffset || m.GetRecordOffset() < 0 || m.GetRecordOffset() > link.MaxOffset {
		return &carobpulley.Error{Op: "config", Kind: carobpulley.KindInvalid, Msg: "offset out of range"}
	}
	if len(m.GetValue()) > 0 {
		r := carobpulley.KeyedRecord{Key: m.GetKey(), Value: m.GetValue(), Offset: m.GetRecordOffset()}
		change, err := c.configSource.Decode(r)
		if err != nil {
			return err
		}
		c.applyConfig(change, r, peer)
		c.table.PlaceReady(c.now)
		c.flush()
	}
	c.peerConfig.offset = m.GetOffset()
	return nil
}

// applyConfig puts a configuration in force unless it is nil or not newer than the present one. The
// caller holds the lock.
func (c *Coordinator) applyConfig(change carobpulley.ConfigChange, r carobpulley.KeyedRecord, from string) {
	config := change.Config
	if config == nil || c.routing != nil && config.Version <= c.routing.Version {
		return
	}
	c.log.Info().Int64("version", config.Version).Int("routes", len(config.Routes)).Str("from", from).Msg("configuration in force")
	if n := len(change.LeftOut); n > 0 {
		c.rejects.Add(c.now, "configuration", n, r.Key, errors.Join(change.LeftOut...))
	}
	c.cfg.Meter.Set("plan_version", config.Version)
	c.routing = config
	c.configRecord = r
	c.table.SetConfig(config)
}

// configReply answers a peer that knows the operators' records before an offset.
func (c *Coordinator) configReply(offset int64) *relay.ConfigReply {
	c.lock()
	defer c.mu.Unlock()
	m := &relay.ConfigReply{Offset: c.configOffset()}
	if c.routing != nil && c.configRecord.Offset >= offset {
		m.Key, m.Value, m.RecordOffset = c.configRecord.Key, c.configRecord.Value, c.configRecord.Offset
	}
	return m
}
