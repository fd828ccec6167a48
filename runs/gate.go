package runs

import (
	"strconv"
	"time"

	"carobpulley"
	"carobpulley/work"
)

const (
	// ProofTTL is how long a proof that a run's coordinator lives, or owns its
	// shard, keeps the run alive. With ClockSlack it ends before the 1.3 s after
	// which, by the platform's bounds, a caller without an answer submits a job
	// again at another coordinator.
	ProofTTL = 1150 * time.Millisecond
	// orphanLimit is the age of that proof at which the run is stopped; the rest
	// of ProofLife is for the stop itself.
	orphanLimit = 850 * time.Millisecond
	// MaxEchoAge is the greatest age of the echo in an order; what is started by it
	// has time to get a newer proof.
	MaxEchoAge = 700 * time.Millisecond
	// ownerIdle is when a silent coordinator is forgotten, and endIdle when it is
	// not told of ends any more.
	ownerIdle = 10 * time.Second
	endIdle   = 3 * time.Second
	// fullPage is the number of ends that a runner returns at a time, as PROTOCOL.md
	// gives it. Later ends may be missing from such a page.
	fullPage = 500
	// ClockSlack is the part by which a runner's clock may be slow, as PROTOCOL.md
	// gives it.
	ClockSlack = 0.02
	// lapseMargin is added to a lease before its runs count as gone.
	lapseMargin = 60 * time.Millisecond
	// silentAfter is the number of unanswered looks in a row after which the runner
	// gets no starts: single orders may be left unanswered.
	silentAfter = 2
	// tombstoneLife is how long a stop is remembered for a start that arrives
	// after it; orders older than EchoLimit are refused anyway.
	tombstoneLife = 3 * time.Second
	// startTries bounds the tries of a start that the runner refuses as fenced or
	// late.
	startTries = 6
	// tellAgain is when an end that the owner has received but not stored is told
	// again, since the answer that says so may be lost.
	tellAgain = 900 * time.Millisecond
)

// Config holds what a Gate is built from.
type Config struct {
	Agent       string
	Incarnation uint64
	// Token is the first fencing token; it exceeds those of earlier processes.
	Token    int64
	MaxLease time.Duration
	Shards   int
}

type phase int

const (
	// phaseQueued is an order that waits for room. Nothing of it has reached the
	// runner.
	phaseQueued phase = iota
	phaseStarting
	phaseRunning
	phaseUncertain
)

type run struct {
	start work.Start
	phase phase
	// owner is the coordinator that ordered a run of a job that is not kept, and
	// incarnation its process. It is empty for a run found on the runner that an
	// earlier process of this agent started.
	owner       string
	incarnation uint64
	stopping    bool
	// token is that of the last try to start.
	token int64
	tries int
	// since is when the phase was entered.
	since time.Time
	// begun is when the runner confirmed the start.
	begun time.Time
	// latest and until are the latest start that is of full use, and the end of
	// waiting, of a queued run.
	latest time.Time
	until  time.Time
}

// owner is a coordinator that attached.
type owner struct {
	addr        string
	attachment  uint64
	incarnation uint64
	// proof is the latest time at which the coordinator is known to have lived.
	proof time.Time
}

type shard struct {
	epoch uint64
	owner string
	proof time.Time
}

type end struct {
	work.End
	// owner is set as in run.
	owner       string
	incarnation uint64
	// told is set once the owner's attachment has received it, at toldAt.
	told   bool
	toldAt time.Time
	// acked is set once the owner has stored it.
	acked bool
	// lapsed is set once the runner's lease has lapsed after it.
	lapsed bool
}

// Gate is the state beside one runner.
type Gate struct {
	cfg    Config
	origin time.Time

	beat     carobpulley.Heartbeat
	beaten   bool
	gone     bool
	draining bool
	silent   bool
	// read is set once it is known what the runner runs: its lists were read, or it
	// is a life that this process saw begin.
	read bool
	// failures counts looks in a row without an answer.
	failures int
	token    int64
	clockMS  int64
	clockAt  time.Time
	lapseAt  time.Time
	listed   int64
	seen     int64
	life     int64
	runs     map[work.Run]*run
	ends     []*end
	shards   map[int]*shard
	owners   map[string]*owner
	// stopped holds runs whose stop came before their start, over those that
	// ended here: an order that is sent again starts neither.
	stopped  map[work.Run]time.Time
	over     map[work.Run]past
	commands []Command
}

// Command is something that the shell carries out.
type Command struct {
	// Start is nil for a stop.
	Start *work.Start
	Stop  work.Run
}

// New returns a Gate. Times in messages are counted from now.
func New(cfg Config, now time.Time) *Gate {
	return &Gate{
		cfg:     cfg,
		origin:  now,
		token:   cfg.Token,
		runs:    make(map[work.Run]*run),
		shards:  make(map[int]*shard),
		owners:  make(map[string]*owner),
		stopped: make(map[work.Run]time.Time),
		over:    make(map[work.Run]past),
	}
}

// Commands returns the commands since the last call.
func (g *Gate) Commands() []Command {
	c := g.commands
	g.commands = nil
	return c
}

// stamp turns a time of this process into the number that messages carry.
func (g *Gate) stamp(t time.Time) int64 { return int64(t.Sub(g.origin)) + 1 }

func (g *Gate) unstamp(n int64) time.Time { return g.origin.Add(time.Duration(n - 1)) }

func (g *Gate) shardOf(task string) int {
	return work.ShardOf(work.JobOfTask(task), g.cfg.Shards)
}

// Token returns the fencing token in use.
func (g *Gate) Token() int64 { return g.token }

// Instance returns the life of the runner that orders are meant for; empty if
// none has told of itself.
func (g *Gate) Instance() string { return g.beat.Instance }

// EndpointGeneration names the runner's life that the numbers of ends belong to.
func (g *Gate) EndpointGeneration() string {
	return g.beat.Instance + "/" + strconv.FormatInt(g.life, 10)
}

// taken returns the room taken by all runs that may have reached the runner.
func (g *Gate) taken() work.Resources {
	var sum work.Resources
	for _, r := range g.runs {
		if r.phase != phaseQueued {
			sum = sum.Add(r.start.Resources)
		}
	}
	return sum
}

// others returns the room of all runs, queued ones too, but those of one
// coordinator.
func (g *Gate) others(coordinator string) work.Resources {
	var sum work.Resources
	for _, r := range g.runs {
		if g.ownerOf(r) != coordinator {
			sum = sum.Add(r.start.Resources)
		}
	}
	return sum
}

// ownerOf returns the coordinator that a run belongs to.
func (g *Gate) ownerOf(r *run) string {
	if r.owner != "" && !r.start.Durable {
		return r.owner
	}
	return g.shardOwner(r.start.Run.Task)
}

// shardOwner returns the owner of a task's shard.
func (g *Gate) shardOwner(task string) string {
	if s := g.shards[g.shardOf(task)]; s != nil {
		return s.owner
	}
	return ""
}

// endOwner returns the coordinator that is told of an end.
func (g *Gate) endOwner(e *end) string {
	if e.owner != "" {
		return e.owner
	}
	return g.shardOwner(e.Run.Task)
}

// newEnd returns an end with its run's owner.
func newEnd(e work.End, r *run) *end {
	out := &end{End: e}
	if r != nil && !r.start.Durable {
		out.owner = r.owner
		out.incarnation = r.incarnation
		// Nothing of it is stored: the runner may forget it, this process keeps it
		// until the coordinator has it.
		out.acked = true
	}
	return out
}

// HandleHeartbeat takes what the runner says of itself. It reports whether the runner is
// usable in another way than before.
func (g *Gate) HandleHeartbeat(now time.Time, b carobpulley.Heartbeat) bool {
	if g.beaten && !g.newer(b) {
		return false
	}
	changed := !g.beaten || g.gone || g.beat.Draining != b.Draining || g.beat.Instance != b.Instance || g.beat.Generation != b.Generation
	another := g.beaten && (g.beat.Instance != b.Instance || b.Generation != 0 && g.life != b.Generation)
	if another {
		g.restarted(now)
	}
	g.beat = b
	g.beaten = true
	g.gone = false
	if b.Generation != 0 {
		g.life = b.Generation
	}
	return changed
}

// newer refuses a beat that was overtaken by a later one or by a later life.
func (g *Gate) newer(b carobpulley.Heartbeat) bool {
	if b.Generation != g.beat.Generation {
		return b.Generation > g.beat.Generation
	}
	if b.Instance != g.beat.Instance {
		return true
	}
	return b.Sequence > g.beat.Sequence
}

// HandleShutdown takes the announced end of the runner.
func (g *Gate) HandleShutdown(now time.Time, instance string) bool {
	if !g.beaten || g.gone || g.beat.Instance != instance {
		return false
	}
	g.gone = true
	g.restarted(now)
	return true
}

// restarted gives up all runs of a runner that runs nothing any more.
func (g *Gate) restarted(now time.Time) {
	g.read = true
	for key, r := range g.runs {
		if r.phase == phaseStarting || r.phase == phaseUncertain {
			// The order may still reach the next life of the runner, which knows no
			// token: a look at it settles the start.
			r.phase = phaseUncertain
			r.token = g.token
			r.since = now
			continue
		}
		g.settle(now, key, r, work.OutcomeLost)
	}
	g.token++
	for _, e := range g.ends {
		e.Sequence = 0
	}
	g.listed = 0
	g.seen = 0
	g.clockMS = 0
	g.silent = false
}

// past is a run that is over.
type past struct {
	at          time.Time
	owner       string
	incarnation uint64
}

// bury remembers a run that is over.
func (g *Gate) bury(now time.Time, key work.Run, r *run) {
	p := past{at: now}
	if r != nil {
		p.owner = r.owner
		p.incarnation = r.incarnation
	}
	g.over[key] = p
}

// settle ends a run without the runner's word.
func (g *Gate) settle(now time.Time, key work.Run, r *run, how work.Outcome) {
	delete(g.runs, key)
	g.bury(now, key, r)
	g.ends = append(g.ends, newEnd(work.End{Run: key, Outcome: how, ElapsedMS: elapsed(now, r)}, r))
}

func elapsed(now time.Time, r *run) int64 {
	if r == nil || r.begun.IsZero() {
		return 0
	}
	return now.Sub(r.begun).Milliseconds()
}

// Usable reports whether starts can be sent to the runner.
func (g *Gate) Usable() bool {
	return !g.draining && !g.strangers() && g.beaten && !g.gone && !g.beat.Draining && !g.silent && g.clockMS != 0
}
