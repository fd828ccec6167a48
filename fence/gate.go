package fence

import (
	"time"

	"carobpulley"
)

// Limits of the gate's memory.
const (
	// RecordRetention is the longest job deadline (10 min) plus the retention of
	// keys (15 min).
	RecordRetention = 25 * time.Minute
	// MaxResultBytes bounds the results kept.
	MaxResultBytes = 64 << 20
	// MaxRecords bounds the start records kept: 174 starts/s for RecordRetention.
	MaxRecords = 1 << 18
	// MaxMarks bounds the marks of refused and cancelled tasks.
	MaxMarks = 1 << 16
)

// Config describes the agent that a gate belongs to.
type Config struct {
	Endpoint    string
	Incarnation uint64
	// Slots is the number of tasks that run at the same time, at least 1.
	Slots int
	// Started is the zero of the agent's clock, with a monotonic reading.
	Started time.Time
	// MaxRecords, MaxMarks and MaxResultBytes default to the constants.
	MaxRecords     int
	MaxMarks       int
	MaxResultBytes int
}

// Gate implements carobpulley.Gate. It is not safe for concurrent use.
type Gate struct {
	cfg      Config
	epochs   map[int]uint64
	version  uint64
	inServ   bool
	draining bool
	running  int
	records  records
	marks    marks
	// echoFloor is the least echo accepted, raised when a mark is dropped.
	echoFloor int64
}

var _ carobpulley.Gate = (*Gate)(nil)

// New returns a gate that refuses everything as out of service until it hears
// of a configuration version.
func New(cfg Config) *Gate {
	if cfg.MaxRecords == 0 {
		cfg.MaxRecords = MaxRecords
	}
	if cfg.MaxMarks == 0 {
		cfg.MaxMarks = MaxMarks
	}
	if cfg.MaxResultBytes == 0 {
		cfg.MaxResultBytes = MaxResultBytes
	}
	// Running tasks are never dropped, so there must be room beside them.
	cfg.MaxRecords = max(cfg.MaxRecords, cfg.Slots+1)
	return &Gate{
		cfg:     cfg,
		epochs:  make(map[int]uint64),
		records: newRecords(cfg.MaxRecords, cfg.MaxResultBytes),
		marks:   newMarks(cfg.MaxMarks),
	}
}

// Enter implements carobpulley.Gate.
func (g *Gate) Enter(now time.Time, in carobpulley.Entering) error {
	if err := g.Check(now, in); err != nil {
		return err
	}
	d := &in.Dispatch
	if err := g.passing(now, in.Echo); err != nil {
		g.mark(now, d.ID, mark{epoch: d.Epoch, attempt: d.Attempt})
		return err
	}
	g.records.start(now, d)
	g.running++
	return nil
}

// Check returns the refusal of a dispatch that can never start; nil if only a
// slot or the domain may be missing. A task that has started is reported as such
// before anything else, since any other refusal says that it has not.
func (g *Gate) Check(now time.Time, in carobpulley.Entering) error {
	d := &in.Dispatch
	if !g.Is(d.Endpoint, in.Incarnation) {
		return errWrongAgent
	}
	g.expire(now)
	g.Configure(in.ConfigVersion, in.InService)
	if g.records.get(d.ID) != nil {
		return errStarted
	}
	return g.lasting(now, &in)
}

// Refuse refuses a dispatch that found the agent's queue full, so that a copy
// of it cannot start later. It returns an error as Enter does.
func (g *Gate) Refuse(now time.Time, in carobpulley.Entering) error {
	d := &in.Dispatch
	if !g.Is(d.Endpoint, in.Incarnation) {
		return errWrongAgent
	}
	g.expire(now)
	if g.records.get(d.ID) != nil {
		return errStarted
	}
	g.mark(now, d.ID, mark{epoch: d.Epoch, attempt: d.Attempt})
	return errBusy
}

// lasting checks the conditions that the same message can never meet later.
func (g *Gate) lasting(now time.Time, in *carobpulley.Entering) error {
	d := &in.Dispatch
	if err := g.Withdrawn(d); err != nil {
		return err
	}
	switch {
	case g.draining:
		return errDraining
	case !d.ID.IsRequest() && !g.raise(d.Shard, d.Epoch):
		return errStaleEpoch
	case !now.Before(d.Deadline):
		return errDeadline
	case !g.fresh(now, in.Echo):
		return errStaleEcho
	default:
		return nil
	}
}

// Withdrawn returns the refusal of an attempt that was cancelled, refused or
// withdrawn by a query; nil otherwise.
func (g *Gate) Withdrawn(d *carobpulley.Dispatch) error {
	m, marked := g.marks.get(d.ID)
	switch {
	case marked && m.cancelled:
		return errCancelled
	case marked && !m.before(d.Epoch, d.Attempt):
		return errWithdrawn
	default:
		return nil
	}
}

// passing checks the conditions that the same message could meet later.
func (g *Gate) passing(now time.Time, echo int64) error {
	switch {
	case echo > g.Clock(now):
		return errStaleEcho
	case !g.inServ:
		return errOutService
	case g.running >= g.cfg.Slots:
		return errBusy
	default:
		return nil
	}
}

// fresh reports whether an echo is not older than EchoValidity.
func (g *Gate) fresh(now time.Time, echo int64) bool {
	return echo > g.echoFloor && g.Clock(now)-echo <= int64(carobpulley.EchoValidity)
}

// raise takes an epoch of a shard and reports whether it is the newest.
func (g *Gate) raise(shard int, epoch uint64) bool {
	if epoch < g.epochs[shard] {
		return false
	}
	g.epochs[shard] = epoch
	return true
}

// Is reports whether a message means this agent.
func (g *Gate) Is(endpoint string, incarnation uint64) bool {
	return endpoint == g.cfg.Endpoint && incarnation == g.cfg.Incarnation
}

// End implements carobpulley.Gate. It keeps t.Result. Unknown and ended tasks
// are left as they are. PhaseNotRun takes a start back: the endpoint was never
// reached, and this attempt stays refused.
func (g *Gate) End(now time.Time, t carobpulley.StartedTask) {
	r := g.records.get(t.ID)
	if r == nil || r.phase != carobpulley.PhaseRunning {
		return
	}
	g.running--
	if t.Phase == carobpulley.PhaseNotRun {
		g.records.remove(r)
		g.mark(now, t.ID, mark{epoch: r.epoch, attempt: r.attempt})
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
	return g.report(r), true
}

// Query implements carobpulley.Gate. The error has kind KindUnknown if the
// record of the task may have been dropped early.
func (g *Gate) Query(now time.Time, id carobpulley.TaskID, shard int, epoch uint64, attempt int) (carobpulley.StartedTask, error) {
	g.expire(now)
	if !id.IsRequest() {
		g.raise(shard, epoch)
	}
	g.mark(now, id, mark{epoch: epoch, attempt: attempt})
	if r := g.records.get(id); r != nil {
		return g.report(r), nil
	}
	if !g.complete(now) {
		return carobpulley.StartedTask{}, errDropped
	}
	return g.notRun(id), nil
}

// Cancel refuses a task for good in all attempts, also if its start is taken
// back later. It returns the state as Query does.
func (g *Gate) Cancel(now time.Time, id carobpulley.TaskID, shard int, epoch uint64) (carobpulley.StartedTask, error) {
	g.expire(now)
	if !id.IsRequest() {
		g.raise(shard, epoch)
	}
	g.mark(now, id, mark{epoch: epoch, cancelled: true})
	if r := g.records.get(id); r != nil {
		return g.report(r), nil
	}
	if !g.complete(now) {
		return carobpulley.StartedTask{}, errDropped
	}
	return g.notRun(id), nil
}

// Fence implements carobpulley.Gate. Epochs older than the newest seen are
// ignored; use Epoch to find out.
func (g *Gate) Fence(
	now time.Time, shards []carobpulley.Ownership, after uint64, maxBytes int,
) (started []carobpulley.StartedTask, next uint64, complete bool) {
	g.expire(now)
	asked := make(map[int]bool, len(shards))
	for _, s := range shards {
		g.raise(s.Shard, s.Epoch)
		asked[s.Shard] = true
	}
	size := 0
	for r := g.records.oldest; r != nil; r = r.next {
		if r.seq <= after || !asked[r.shard] || r.id.IsRequest() {
			continue
		}
		size += r.size()
		if len(started) > 0 && size > maxBytes {
			return started, next, g.complete(now)
		}
		started = append(started, g.report(r))
		next = r.seq
	}
	return started, 0, g.complete(now)
}

// Epoch returns the newest epoch seen of a shard; 0 if none.
func (g *Gate) Epoch(shard int) uint64 {
	return g.epochs[shard]
}

// Configure implements carobpulley.Gate.
func (g *Gate) Configure(version uint64, inService bool) {
	if version <= g.version {
		return
	}
	g.version = version
	g.inServ = inService
}

// Config returns the newest configuration version and the state of the domain.
func (g *Gate) Config() (version uint64, inService bool) {
	return g.version, g.inServ
}

// Drain implements carobpulley.Gate.
func (g *Gate) Drain() {
	g.draining = true
}

// Running returns the number of started tasks that have not ended.
func (g *Gate) Running() int {
	return g.running
}

// Records returns the number of start records and the bytes of results kept.
func (g *Gate) Records() (records, resultBytes int) {
	return len(g.records.byID), g.records.resultBytes
}

// Clock implements carobpulley.Gate. Readings are nanoseconds, from 1.
func (g *Gate) Clock(now time.Time) int64 {
	return int64(now.Sub(g.cfg.Started)) + 1
}

// complete reports whether every start of the last RecordRetention is known.
func (g *Gate) complete(now time.Time) bool {
	return !now.Before(g.records.incompleteUntil)
}

func (g *Gate) expire(now time.Time) {
	g.records.expire(now)
	g.marks.expire(now)
}

// mark adds a mark. If another one is dropped for it, copies of the messages
// that it stood for must be refused by their echo.
func (g *Gate) mark(now time.Time, id carobpulley.TaskID, m mark) {
	if dropped, ok := g.marks.add(now, id, m); ok {
		g.echoFloor = max(g.echoFloor, g.Clock(dropped))
	}
}

func (g *Gate) report(r *record) carobpulley.StartedTask {
	t := carobpulley.StartedTask{
		ID:       r.id,
		Endpoint: g.cfg.Endpoint,
		Phase:    r.phase,
		Status:   r.status,
		Result:   r.result,
		Err:      r.err,
	}
	if r.lost {
		t.Phase = carobpulley.PhaseFailed
		t.Err = ResultLost
	}
	return t
}

func (g *Gate) notRun(id carobpulley.TaskID) carobpulley.StartedTask {
	return carobpulley.StartedTask{ID: id, Endpoint: g.cfg.Endpoint, Phase: carobpulley.PhaseNotRun}
}
