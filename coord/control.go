package coord

import (
	"context"
	"time"

	"carobpulley"
	"carobpulley/meter"
	"carobpulley/work"
)

const (
	// controlTailWait is how long a read of the control topic waits for new records.
	// Two of them and the time of an answer stay below AuthorityTTL.
	controlTailWait = 800 * time.Millisecond
	// controlReadPause is the pause after a read of the control topic that returned records. When
	// many agents start, one read returns the records of all that came meanwhile.
	controlReadPause = 100 * time.Millisecond
	// confirmInterval is the least time between two reads that confirm the ownership.
	confirmInterval = 100 * time.Millisecond
	// configTailWait is the same for the operators' topic. A read may miss a record until
	// its wait is over, and operators expect a change to take effect within 2 s.
	configTailWait = 800 * time.Millisecond
	// readRetryInterval is the pause after a failed read.
	readRetryInterval = 120 * time.Millisecond
	// readTimeout bounds the reading of a topic's newest records.
	readTimeout = 3 * time.Second
	// appendTimeout bounds one append.
	appendTimeout = time.Second
)

var controlPartition = carobpulley.Partition{Topic: carobpulley.TopicControl}

// tailControl reads the newest records of the control topic, then tails it. It starts
// again from the newest records when the offset has expired.
func (c *Coordinator) tailControl(ctx context.Context) error {
	needSnapshot := true
	for ctx.Err() == nil {
		sent := c.clock.Now()
		records := 0
		var err error
		if needSnapshot {
			err = c.readControlSnapshot(ctx, sent)
			needSnapshot = err != nil
		} else {
			records, err = c.readControlTail(ctx, sent, controlTailWait)
			needSnapshot = err != nil && carobpulley.KindOf(err) == carobpulley.KindExpired
		}
		switch {
		case err != nil:
			c.recordStoreError("control", err)
			sleep(ctx, readRetryInterval)
		case records > 0:
			sleep(ctx, controlReadPause)
		}
	}
	return nil
}

func (c *Coordinator) readControlSnapshot(ctx context.Context, sent time.Time) error {
	call, cancel := context.WithTimeout(ctx, readTimeout)
	defer cancel()
	records, end, err := c.store.Newest(call, controlPartition)
	if err != nil {
		return err
	}
	c.lock()
	defer c.mu.Unlock()
	c.applyControlRecords(records)
	c.removeAgentsWithout(records)
	c.controlOffset = end
	c.ownershipProof = sent
	c.table.ConfirmOwnership(sent)
	c.notifyOwnershipChange()
	now := c.now
	c.updateShare(now)
	c.attachDetached(now)
	c.table.PlaceReady(now)
	c.flush()
	return nil
}

// readControlTail applies the next records and returns their number.
func (c *Coordinator) readControlTail(ctx context.Context, sent time.Time, wait time.Duration) (int, error) {
	c.lock()
	from := c.controlOffset
	c.mu.Unlock()
	records, next, err := c.store.Tail(ctx, controlPartition, from, wait)
	if err != nil {
		return 0, err
	}
	c.lock()
	defer c.mu.Unlock()
	// A read for a confirmation may have been faster than the waiting one: records that it has
	// applied are older than what is known now.
	for len(records) > 0 && records[0].Offset < c.controlOffset {
		records = records[1:]
	}
	c.applyControlRecords(records)
	c.controlOffset = max(c.controlOffset, next)
	if sent.After(c.ownershipProof) {
		c.ownershipProof = sent
		c.table.ConfirmOwnership(sent)
		c.table.PlaceReady(c.now)
		c.flush()
	}
	if len(records) > 0 {
		c.notifyOwnershipChange()
	}
	return len(records), nil
}

// confirmOwnership reads the control topic at once, beside the waiting read, if ends or tasks wait for
// a confirmation of the ownership: the endpoints of such ends take no starts meanwhile. The caller
// holds the lock.
func (c *Coordinator) confirmOwnership() {
	now := c.now
	if now.Before(c.nextConfirmAt) || !c.table.AwaitsProof() {
		return
	}
	c.nextConfirmAt = now.Add(confirmInterval)
	go func() {
		if _, err := c.readControlTail(c.baseCtx, c.clock.Now(), 0); err != nil {
			c.recordStoreError("confirm", err)
		}
	}()
}

// applyControlRecords applies records of the control topic. The caller holds the lock.
func (c *Coordinator) applyControlRecords(records []carobpulley.KeyedRecord) {
	agents := len(c.agents)
	for i := range records {
		r, err := work.DecodeControl(records[i].Key, records[i].Value)
		if err != nil {
			c.rejects.Add(c.now, "control", 1, records[i].Key, err)
			continue
		}
		switch {
		case r.Agent != nil:
			c.handleAgentAddress(*r.Agent)
		case r.Coordinator != nil:
			c.handleCoordinatorAddress(*r.Coordinator)
		case r.Claim != nil:
			c.handleClaim(*r.Claim)
		case r.DeletedAgent != "":
			c.removeAgent(r.DeletedAgent)
		}
	}
	if len(c.agents) != agents {
		c.log.Info().Int("agents", len(c.agents)).Int("before", agents).Msg("agents found")
	}
	c.flush()
}

// removeAgentsWithout removes the agents without a record among the newest ones: the history with
// their deletion may be gone. The caller holds the lock.
func (c *Coordinator) removeAgentsWithout(records []carobpulley.KeyedRecord) {
	listed := make(map[string]bool, len(records))
	for i := range records {
		listed[records[i].Key] = true
	}
	for name := range c.agents {
		if !listed[work.AgentKey(name)] {
			c.removeAgent(name)
		}
	}
}

// removeAgent removes an agent whose record was deleted. The caller holds the lock.
func (c *Coordinator) removeAgent(name string) {
	delete(c.agents, name)
	c.membersChanged = true
	c.table.RemoveAgent(c.now, name)
}

func (c *Coordinator) handleCoordinatorAddress(a work.Address) {
	if c.coordinators[a.Name].Incarnation != a.Incarnation {
		c.holdings.members.Called(c.now, a.Name) // its host is back
	}
	c.coordinators[a.Name] = a
	c.membersChanged = true
	c.updateMembers()
}

func (c *Coordinator) handleAgentAddress(a work.Address) {
	old, known := c.agents[a.Name]
	c.agents[a.Name] = a
	c.table.AddAgent(a.Name, a.Domain, a.Endpoint)
	c.table.ExpectAgent(a.Name, a.Incarnation)
	c.membersChanged = true
	// The record of an agent that has restarted may come after the attachment to its new process.
	if known && old.Incarnation != a.Incarnation && c.table.Incarnation(a.Name) != a.Incarnation {
		c.log.Info().Str("host", a.Name).Stringer("addr", a.Addr).Msg("agent restarted")
		c.table.Detach(a.Name, c.table.FollowingAttachment(a.Name)-1)
		delete(c.nextAttachAt, a.Name)
	}
}

// tailConfig reads the newest records of the operators' topic, then tails it.
func (c *Coordinator) tailConfig(ctx context.Context) error {
	partition := c.configSource.Partition()
	from := int64(-1)
	for ctx.Err() == nil {
		sent := c.clock.Now()
		var err error
		if from < 0 {
			from, err = c.readConfigSnapshot(ctx, partition)
		} else {
			from, err = c.readConfigTail(ctx, partition, from)
		}
		if err != nil {
			c.recordStoreError("operators", err)
			sleep(ctx, readRetryInterval)
			continue
		}
		c.recordConfigRead(sent, from)
	}
	return nil
}

func (c *Coordinator) readConfigSnapshot(ctx context.Context, partition carobpulley.Partition) (int64, error) {
	call, cancel := context.WithTimeout(ctx, readTimeout)
	defer cancel()
	records, end, err := c.store.Newest(call, partition)
	if err != nil {
		return -1, err
	}
	c.lock()
	defer c.mu.Unlock()
	c.replaceDomains(records, end)
	c.applyConfigRecords(records)
	if c.routing == nil {
		// The topic holds no configuration yet: the caller retries.
		return -1, &carobpulley.Error{Op: "plans", Kind: carobpulley.KindNotFound, Msg: "no configuration yet"}
	}
	return end, nil
}

func (c *Coordinator) readConfigTail(ctx context.Context, partition carobpulley.Partition, from int64) (int64, error) {
	records, next, err := c.store.Tail(ctx, partition, from, configTailWait)
	if err != nil {
		if carobpulley.KindOf(err) == carobpulley.KindExpired {
			return -1, err
		}
		return from, err
	}
	if len(records) > 0 {
		c.lock()
		c.applyConfigRecords(records)
		c.mu.Unlock()
	}
	return next, nil
}

// applyConfigRecords applies records of the operators' topic. The caller holds the lock.
func (c *Coordinator) applyConfigRecords(records []carobpulley.KeyedRecord) {
	for i := range records {
		change, err := c.configSource.Decode(records[i])
		if err != nil {
			c.rejects.Add(c.now, "operators", 1, records[i].Key, err)
			continue
		}
		if change.Domain != "" {
			c.domainsChanged(c.domains.Apply(records[i].Offset, change.Domain, change.OutOfService), "store")
		}
		c.applyConfig(change, records[i], "store")
	}
	c.table.PlaceReady(c.now)
	c.flush()
}

// announce appends this coordinator's address to the control topic.
func (c *Coordinator) announce(ctx context.Context) error {
	value, err := work.EncodeControl(c.cfg.Self)
	if err != nil {
		return err
	}
	records := []carobpulley.KeyedRecord{{Key: work.CoordinatorKey(c.cfg.Self.Name), Value: value}}
	for ctx.Err() == nil {
		call, cancel := context.WithTimeout(ctx, appendTimeout)
		err := c.store.Append(call, controlPartition, records)
		cancel()
		if err == nil {
			return nil
		}
		c.recordStoreError("announce", err)
		sleep(ctx, 4*readRetryInterval)
	}
	return nil
}

// recordStoreError counts and logs an error of the store. KindNotFound is left out: the
// store has answered, and the record does not exist yet.
func (c *Coordinator) recordStoreError(operation string, err error) {
	if carobpulley.KindOf(err) == carobpulley.KindNotFound {
		return
	}
	c.cfg.Meter.Add(meter.Name("store_failures", operation), 1)
	c.log.Warn().Err(err).Str("what", operation).Msg("store")
}

func sleep(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}
