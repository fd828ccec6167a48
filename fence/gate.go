package fence

import (
	"time"

	"carobpulley"
)

// Bounds of the gate's memory.
const (
	// RecordRetention is the longest job deadline (10 min) plus the retention of
	// keys (15 min).
	RecordRetention = 25 * time.Minute
	// MaxResultBytes bounds the total size of the retained results.
	MaxResultBytes = 64 << 20
	// MaxRecords bounds the start records: 174 starts/s for RecordRetention.
	MaxRecords = 1 << 18
	// MaxTombstones bounds the tombstones of refused and cancelled tasks.
	MaxTombstones = 1 << 16
)

// Config describes the agent that a gate belongs to.
type Config struct {
	Endpoint    string
	Incarnation uint64
	// Slots is the number of tasks that run at the same time, at least 1.
	Slots int
	// Started is the zero of the agent's clock, with a monotonic reading.
	Started time.Time
	// MaxRecords, MaxTombstones and MaxResultBytes default to the constants of the
	// same names.
	MaxRecords     int
	MaxTombstones  int
	MaxResultBytes int
}

// Gate implements carobpulley.Gate. It is not safe for concurrent use.
type Gate struct {
	cfg        Config
	epochs     map[int]uint64
	version    uint64
	inService  bool
	draining   bool
	running    int
	records    records
	tombstones tombstones
	// minEcho is a lower bound: only later echoes are accepted. It rises when a
	// tombstone is dropped early.
	minEcho int64
}

var _ carobpulley.Gate = (*Gate)(nil)

// New returns a gate that refuses every dispatch as out of service until it
// receives a configuration version.
func New(cfg Config) *Gate {
	if cfg.MaxRecords == 0 {
		cfg.MaxRecords = MaxRecords
	}
	if cfg.MaxTombstones == 0 {
		cfg.MaxTombstones = MaxTombstones
	}
	if cfg.MaxResultBytes == 0 {
		cfg.MaxResultBytes = MaxResultBytes
	}
	// Records of running tasks are never dropped, so the limit must exceed the
	// number of slots.
	cfg.MaxRecords = max(cfg.MaxRecords, cfg.Slots+1)
	return &Gate{
		cfg:        cfg,
		epochs:     make(map[int]uint64),
		records:    newRecords(cfg.MaxRecords, cfg.MaxResultBytes),
		tombstones: newTombstones(cfg.MaxTombstones),
	}
}

// Enter implements carobpulley.Gate.
func (g *Gate) Enter(now time.Time, in carobpulley.Entering) error {
	if err := g.CheckPermanent(now, in); err != nil {
		return err
	}
	d := &in.Dispatch
	if err := g.transientRefusal(now, in.Echo); err != nil {
		g.addTombstone(now, d.ID, tombstone{epoch: d.Epoch, attempt: d.Attempt})
		return err
	}
	g.records.start(now, d)
	g.running++
	return nil
}

// CheckPermanent returns the refusal of a dispatch that can never start. It
// returns nil if the dispatch can start now or once a slot is free and the
// domain is in service. Whether the task has started is checked first, since
// any other refusal states that it has not.
func (g *Gate) CheckPermanent(now time.Time, in carobpulley.Entering) error {
	d := &in.Dispatch
	if !g.IsAddressee(d.Endpoint, in.Incarnation) {
		return errWrongAgent
	}
	g.expire(now)
	g.Configure(in.ConfigVersion, in.InService)
	if g.records.get(d.ID) != nil {
		return errStarted
	}
	return g.permanentRefusal(now, &in)
}

// RefuseBusy refuses a dispatch for lack of a slot, so that a copy of it cannot
// start later. It returns an error as Enter does.
func (g *Gate) RefuseBusy(now time.Time, in carobpulley.Entering) error {
	d := &in.Dispatch
	if !g.IsAddressee(d.Endpoint, in.Incarnation) {
		return errWrongAgent
	}
	g.expire(now)
	if g.records.get(d.ID) != nil {
		return errStarted
	}
	g.addTombstone(now, d.ID, tombstone{epoch: d.Epoch, attempt: d.Attempt})
	return errBusy
}

// permanentRefusal checks the conditions that the same message cannot meet at a
// later time either.
func (g *Gate) permanentRefusal(now time.Time, in *carobpulley.Entering) error {
	d := &in.Dispatch
	if err := g.CheckWithdrawn(d); err != nil {
		return err
	}
	switch {
	case g.draining:
		return errDraining
	case !d.ID.IsRequest() && !g.raiseEpoch(d.Shard, d.Epoch):
		return errStaleEpoch
	case !now.Before(d.Deadline):
		return errDeadline
	case !g.echoValid(now, in.Echo):
		return errStaleEcho
	default:
		return nil
	}
}

// CheckWithdrawn returns the refusal of an attempt that was cancelled, refused
// or withdrawn by a query, and nil otherwise.
func (g *Gate) CheckWithdrawn(d *carobpulley.Dispatch) error {
	ts, ok := g.tombstones.get(d.ID)
	switch {
	case ok && ts.cancelled:
		return errCancelled
	case ok && !ts.olderThan(d.Epoch, d.Attempt):
		return errWithdrawn
	default:
		return nil
	}
}

// transientRefusal checks the conditions that the same message could meet at a
// later time.
func (g *Gate) transientRefusal(now time.Time, echo int64) error {
	switch {
	case echo > g.Clock(now):
		return errStaleEcho
	case !g.inService:
		return errOutOfService
	case g.running >= g.cfg.Slots:
		return errBusy
	default:
		return nil
	}
}

// echoValid reports whether an echo is later than minEcho and not older than
// EchoValidity.
func (g *Gate) echoValid(now time.Time, echo int64) bool {
	return echo > g.minEcho && g.Clock(now)-echo <= int64(carobpulley.EchoValidity)
}

// raiseEpoch records an epoch of a shard and reports whether it is the newest
// so far. An older epoch is ignored.
func (g *Gate) raiseEpoch(shard int, epoch uint64) bool {
	if epoch < g.epochs[shard] {
		return false
	}
	g.epochs[shard] = epoch
	return true
}

// IsAddressee reports whether a message is meant for this agent.
func (g *Gate) IsAddressee(endpoint string, incarnation uint64) bool {
	return endpoint == g.cfg.Endpoint && incarnation == g.cfg.Incarnation
}

// End implements carobpulley.Gate. It retains t.Result without a copy. It has
// no effect on unknown and ended tasks. PhaseNotRun reverts a start whose call
// never reached the endpoint; the attempt stays refused.
func (g *Gate) End(now time.Time, t carobpulley.StartedTask) {
	r := g.records.get(t.ID)
	if r == nil || r.phase != carobpulley.PhaseRunning {
		return
	}
	g.running--
	if t.Phase == carobpulley.PhaseNotRun {
		g.records.remove(r)
		g.addTombstone(now, t.ID, tombstone{epoch: r.epoch, attempt: r.attempt})
		return
	}
	g.records.end(r, t)
	g.expire(now)
}

// State returns the state of a started task.
func (g *Gate) State(id carobpulley.TaskID) (carobpulley.StartedTask, bool) {
	r := g.records.get(id)
	if r == nil {
		return carobpulley.StartedTask{}, false
	}
	return g.stateOf(r), true
}

// Query implements carobpulley.Gate. It returns an error of kind KindUnknown if
// the record of the task may have been dropped early.
func (g *Gate) Query(now time.Time, id carobpulley.TaskID, shard int, epoch uint64, attempt int) (carobpulley.StartedTask, error) {
	g.expire(now)
	if !id.IsRequest() {
		g.raiseEpoch(shard, epoch)
	}
	g.addTombstone(now, id, tombstone{epoch: epoch, attempt: attempt})
	if r := g.records.get(id); r != nil {
		return g.stateOf(r), nil
	}
	if !g.recordsComplete(now) {
		return carobpulley.StartedTask{}, errDropped
	}
	return g.notRun(id), nil
}

// Cancel refuses all attempts of a task permanently, even if its start is
// reverted later. It returns the state as Query does.
func (g *Gate) Cancel(now time.Time, id carobpulley.TaskID, shard int, epoch uint64) (carobpulley.StartedTask, error) {
	g.expire(now)
	if !id.IsRequest() {
		g.raiseEpoch(shard, epoch)
	}
	g.addTombstone(now, id, tombstone{epoch: epoch, cancelled: true})
	if r := g.records.get(id); r != nil {
		return g.stateOf(r), nil
	}
	if !g.recordsComplete(now) {
		return carobpulley.StartedTask{}, errDropped
	}
	return g.notRun(id), nil
}

// Fence implements carobpulley.Gate. Epochs older than the newest seen are
// ignored; Epoch returns the newest.
func (g *Gate) Fence(
	now time.Time, shards []carobpulley.Ownership, after uint64, maxBytes int,
) (started []carobpulley.StartedTask, next uint64, complete bool) {
	g.expire(now)
	requested := make(map[int]bool, len(shards))
	for _, s := range shards {
		g.raiseEpoch(s.Shard, s.Epoch)
		requested[s.Shard] = true
	}
	size := 0
	for r := g.records.oldest; r != nil; r = r.next {
		if r.seq <= after || !requested[r.shard] || r.id.IsRequest() {
			continue
		}
		size += r.size()
		if len(started) > 0 && size > maxBytes {
			return started, next, g.recordsComplete(now)
		}
		started = append(started, g.stateOf(r))
		next = r.seq
	}
	return started, 0, g.recordsComplete(now)
}

// Epoch returns the newest epoch seen for a shard; 0 if there is none.
func (g *Gate) Epoch(shard int) uint64 {
	return g.epochs[shard]
}

// Configure implements carobpulley.Gate.
func (g *Gate) Configure(version uint64, inService bool) {
	if version <= g.version {
		return
	}
	g.version = version
	g.inService = inService
}

// Config returns the newest configuration version and whether the agent's
// domain is in service at that version.
func (g *Gate) Config() (version uint64, inService bool) {
	return g.version, g.inService
}

// Drain implements carobpulley.Gate.
func (g *Gate) Drain() {
	g.draining = true
}

// Running returns the number of started tasks that have not ended.
func (g *Gate) Running() int {
	return g.running
}

// Records returns the number of start records and the total size of the
// retained results.
func (g *Gate) Records() (records, resultBytes int) {
	return len(g.records.byID), g.records.resultBytes
}

// Clock implements carobpulley.Gate. Readings are in nanoseconds and begin at 1.
func (g *Gate) Clock(now time.Time) int64 {
	return int64(now.Sub(g.cfg.Started)) + 1
}

// recordsComplete reports whether every start of the last RecordRetention still
// has its record.
func (g *Gate) recordsComplete(now time.Time) bool {
	return !now.Before(g.records.incompleteUntil)
}

func (g *Gate) expire(now time.Time) {
	g.records.expire(now)
	g.tombstones.expire(now)
}

// addTombstone adds a tombstone. If an older one is dropped to stay within the
// limit, minEcho rises so that late copies of the messages that it refused are
// refused by their echo.
func (g *Gate) addTombstone(now time.Time, id carobpulley.TaskID, ts tombstone) {
	if dropped, ok := g.tombstones.add(now, id, ts); ok {
		g.minEcho = max(g.minEcho, g.Clock(dropped))
	}
}

func (g *Gate) stateOf(r *record) carobpulley.StartedTask {
	t := carobpulley.StartedTask{
		ID:       r.id,
		Endpoint: g.cfg.Endpoint,
		Phase:    r.phase,
		Status:   r.status,
		Result:   r.result,
		Err:      r.err,
	}
	if r.resultDropped {
		t.Phase = carobpulley.PhaseFailed
		t.Err = ResultDroppedText
	}
	return t
}

func (g *Gate) notRun(id carobpulley.TaskID) carobpulley.StartedTask {
	return carobpulley.StartedTask{ID: id, Endpoint: g.cfg.Endpoint, Phase: carobpulley.PhaseNotRun}
}
