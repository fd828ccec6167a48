package coord

// recordInterference counts the pairs of kinds in force and what they change. The caller holds the lock.
func (c *Coordinator) recordInterference() {
	figures, on := c.table.Interference()
	if !on {
		return
	}
	c.cfg.Meter.Set("interfering_pairs", int64(figures.Pairs))
	c.cfg.Meter.Set("placed_apart", figures.Moved)
}
