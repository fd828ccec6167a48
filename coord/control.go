package coord

import (
	"context"
	"time"

	"carobpulley"
	"carobpulley/meter"
	"carobpulley/work"
)

const (
	// controlWait is how long a read of the control topic waits for news. Two of
	// them and an answer's time stay below AuthorityLife.
	controlWait = 800 * time.Millisecond
	// plansWait is the same for the operators' topic. A read may miss a record until
	// its wait is over, and operators expect a change within 2 s.
	plansWait = 800 * time.Millisecond
	// readPause follows a failed read.
	readPause = 120 * time.Millisecond
	// readLimit bounds the reading of a topic's newest records.
	readLimit = 3 * time.Second
	// appendLimit bounds one append.
	appendLimit = time.Second
)

var controlPart = carobpulley.Partition{Topic: carobpulley.TopicControl}

// tailControl follows the control topic.
func (c *Coordinator) tailControl(ctx context.Context) error {
	behind := true
	for ctx.Err() == nil {
		sent := time.Now()
		var err error
		if behind {
			err = c.readControl(ctx, sent)
			behind = err != nil
		} else {
			err = c.followControl(ctx, sent)
			behind = err != nil && carobpulley.KindOf(err) == carobpulley.KindExpired
		}
		if err != nil {
			c.storeTrouble("control", err)
			pause(ctx, readPause)
		}
	}
	return nil
}

func (c *Coordinator) readControl(ctx context.Context, sent time.Time) error {
	call, cancel := context.WithTimeout(ctx, readLimit)
	defer cancel()
	records, end, err := c.store.Newest(call, controlPart)
	if err != nil {
		return err
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.applyControl(records)
	c.control = end
	c.verified = sent
	c.table.ConfirmOwnership(sent)
	c.notify()
	return nil
}

func (c *Coordinator) followControl(ctx context.Context, sent time.Time) error {
	c.mu.Lock()
	from := c.control
	c.mu.Unlock()
	records, next, err := c.store.Tail(ctx, controlPart, from, controlWait)
	if err != nil {
		return err
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.applyControl(records)
	c.control = next
	if sent.After(c.verified) {
		c.verified = sent
		c.table.ConfirmOwnership(sent)
	}
	if len(records) > 0 {
		c.notify()
	}
	return nil
}

// applyControl takes records of the control topic. The caller holds the lock.
func (c *Coordinator) applyControl(records []carobpulley.KeyedRecord) {
	for i := range records {
		r, err := work.DecodeControl(records[i].Key, records[i].Value)
		if err != nil {
			c.log.Error().Err(err).Str("key", records[i].Key).Msg("control record ignored")
			continue
		}
		switch {
		case r.Agent != nil:
			c.foundAgent(*r.Agent)
		case r.Coordinator != nil:
			c.peersAt[r.Coordinator.Name] = *r.Coordinator
			c.table.SetCoordinatorCount(len(c.peersAt))
		case r.Claim != nil:
			c.claimed(*r.Claim)
		case r.DeletedAgent != "":
			delete(c.agents, r.DeletedAgent)
			c.table.RemoveAgent(time.Now(), r.DeletedAgent)
		}
	}
	c.flush()
}

func (c *Coordinator) foundAgent(a work.Address) {
	old, known := c.agents[a.Name]
	c.agents[a.Name] = a
	c.table.AddAgent(a.Name)
	if !known || old.Incarnation != a.Incarnation {
		c.log.Info().Str("host", a.Name).Stringer("addr", a.Addr).Msg("agent found")
		c.table.Detach(a.Name, c.table.FollowingAttachment(a.Name)-1)
		delete(c.attaching, a.Name)
	}
}

// tailPlans follows the operators' topic.
func (c *Coordinator) tailPlans(ctx context.Context) error {
	part := c.plans.Partition()
	from := int64(-1)
	for ctx.Err() == nil {
		var err error
		if from < 0 {
			from, err = c.readPlans(ctx, part)
		} else {
			from, err = c.followPlans(ctx, part, from)
		}
		if err != nil {
			c.storeTrouble("operators", err)
			pause(ctx, readPause)
		}
	}
	return nil
}

func (c *Coordinator) readPlans(ctx context.Context, part carobpulley.Partition) (int64, error) {
	call, cancel := context.WithTimeout(ctx, readLimit)
	defer cancel()
	records, end, err := c.store.Newest(call, part)
	if err != nil {
		return -1, err
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.table.ClearDomainsOutOfService()
	c.applyPlans(records)
	if c.plan == nil {
		// Nothing was written yet: ask again until there is a configuration.
		return -1, &carobpulley.Error{Op: "plans", Kind: carobpulley.KindNotFound, Msg: "no configuration yet"}
	}
	return end, nil
}

func (c *Coordinator) followPlans(ctx context.Context, part carobpulley.Partition, from int64) (int64, error) {
	records, next, err := c.store.Tail(ctx, part, from, plansWait)
	if err != nil {
		if carobpulley.KindOf(err) == carobpulley.KindExpired {
			return -1, err
		}
		return from, err
	}
	if len(records) > 0 {
		c.mu.Lock()
		c.applyPlans(records)
		c.mu.Unlock()
	}
	return next, nil
}

// applyPlans takes records of the operators' topic. The caller holds the lock.
func (c *Coordinator) applyPlans(records []carobpulley.KeyedRecord) {
	for i := range records {
		change, err := c.plans.Decode(records[i])
		if err != nil {
			c.log.Error().Err(err).Str("key", records[i].Key).Msg("operators' record ignored")
			continue
		}
		if change.Domain != "" {
			c.log.Info().Str("domain", change.Domain).Bool("out", change.OutOfService).Msg("failure domain")
			c.table.SetDomainOutOfService(change.Domain, change.OutOfService)
		}
		if change.Config != nil && (c.plan == nil || change.Config.Version > c.plan.Version) {
			c.log.Info().Int64("version", change.Config.Version).Int("routes", len(change.Config.Routes)).Msg("configuration in force")
			c.cfg.Meter.Set("plan_version", change.Config.Version)
			c.plan = change.Config
			c.table.SetConfig(change.Config)
		}
	}
	c.table.PlaceReady(time.Now())
	c.flush()
}

// announce stores this coordinator's address.
func (c *Coordinator) announce(ctx context.Context) error {
	value, err := work.EncodeControl(c.cfg.Self)
	if err != nil {
		return err
	}
	records := []carobpulley.KeyedRecord{{Key: work.CoordinatorKey(c.cfg.Self.Name), Value: value}}
	for ctx.Err() == nil {
		call, cancel := context.WithTimeout(ctx, appendLimit)
		err := c.store.Append(call, controlPart, records)
		cancel()
		if err == nil {
			return nil
		}
		c.storeTrouble("announce", err)
		pause(ctx, 4*readPause)
	}
	return nil
}

func (c *Coordinator) storeTrouble(what string, err error) {
	if carobpulley.KindOf(err) == carobpulley.KindNotFound {
		return
	}
	c.cfg.Meter.Add(meter.Name("store_failures", what), 1)
	c.log.Warn().Err(err).Str("what", what).Msg("store")
}

func pause(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}
