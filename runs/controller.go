package runs

import (
	"strconv"
	"time"

	"carobpulley"
	"carobpulley/domain"
	"carobpulley/work"
)

const (
	// ProofTTL is how long a proof that a run's coordinator is alive, or owns the run's shard, keeps
	// the run alive. With ClockSlack it ends before the 1.3 s after which, by the platform's bounds,
	// a caller without an answer resubmits a job to another coordinator.
	ProofTTL = 1150 * time.Millisecond
	// resubmitAfter is the platform's time from a caller's broken call to its next one for the same job.
	resubmitAfter = 1300 * time.Millisecond
	// orphanTimeout is the age of that proof at which the run is stopped; the rest of ProofTTL is
	// for the stop itself. The lease ends with ProofTTL if the stop is lost.
	orphanTimeout = time.Second
	// MaxEchoAge is the greatest age of the echo in a dispatch. It leaves the runs that the dispatch
	// starts time to get a newer proof.
	MaxEchoAge = 700 * time.Millisecond
	// coordinatorRetention is the age of the last proof at which an unresponsive coordinator is
	// removed, and endRetention the age at which its unreported ends are dropped.
	coordinatorRetention = 10 * time.Second
	endRetention         = 3 * time.Second
	// maxPageSize is the number of ends that an endpoint returns at a time, as PROTOCOL.md gives it.
	// A page of this size may lack later ends.
	maxPageSize = 500
	// ClockSlack is the fraction by which an endpoint's clock may be slow, as PROTOCOL.md gives it.
	ClockSlack = 0.02
	// leaseExpiryMargin is added to a lease before its runs count as lost.
	leaseExpiryMargin = 60 * time.Millisecond
	// maxFailedPolls is the number of consecutive failed polls after which the endpoint counts as
	// unresponsive and gets no starts; single requests may be left unanswered.
	maxFailedPolls = 2
	// startDelayLimit is the time without an answer after which a start is fenced before a lease is renewed. It
	// exceeds the time limit of a start's call on a host that waits for its share of the processor, and is
	// far below the time after which a coordinator that hears nothing starts the task elsewhere.
	startDelayLimit = 250 * time.Millisecond
	// tombstoneTTL is how long a stop or an ended run is remembered for a start that arrives after
	// it; dispatches older than MaxEchoAge are rejected anyway.
	tombstoneTTL = 3 * time.Second
	// maxStartAttempts bounds the attempts at a start that the endpoint refuses for a stale token or
	// an expired lease.
	maxStartAttempts = 6
	// endResendInterval is the time after which an end that the owner has received but not
	// acknowledged as stored is reported again, since the acknowledgement may be lost.
	endResendInterval = 900 * time.Millisecond
)

// Config holds the parameters of a Controller.
type Config struct {
	Agent       string
	Incarnation uint64
	// Token is the first fencing token; it exceeds those of earlier processes.
	Token    int64
	MaxLease time.Duration
	Shards   int
	// DomainTTL is how old the knowledge of the failure domains out of service, or the last attempt
	// to renew it, may be at a start; 0 if it is not checked.
	DomainTTL time.Duration
	// Suspended is the time for which the host was suspended in total before.
	Suspended time.Duration
}

type phase int

const (
	// phaseQueued is a run that waits for free capacity. The endpoint has got no command for it.
	phaseQueued phase = iota
	phaseStarting
	phaseRunning
	// phaseUncertain is a run whose start got no answer.
	phaseUncertain
)

type run struct {
	start work.Start
	phase phase
	// coordinator is the coordinator that dispatched the run, and incarnation its process. A run of
	// a best-effort job belongs to it. It is empty for a run found on the endpoint that an earlier
	// process of this agent started.
	coordinator string
	incarnation uint64
	stopping    bool
	// mayHaveBegun is set once the run was confirmed or listed, or a start of it got no answer that proves
	// that it started nothing.
	mayHaveBegun bool
	// stopProof is the proof of the run's coordinator at the time at which its stop was asked for.
	stopProof time.Time
	// crashed is set once the endpoint has crashed while the run was there or under way, and left once
	// it has left as announced while the run was there.
	crashed *work.Crash
	left    bool
	// onlyCause is set if at the crash nothing else than the run's start could have caused it.
	onlyCause bool
	// brokenAt is the time at which the connection of the start ended before its answer, if it did.
	brokenAt time.Time
	// token is the highest token with which an unanswered start may have been sent.
	token int64
	// minToken is the least token of the latest attempt at the start: an answer to a lower one is to an
	// earlier attempt, or to the start of another coordinator's run of the same number.
	minToken int64
	attempts int
	// leasedAt is the time at which the latest attempt at the start got its lease, with leaseToken; zero before
	// that.
	leasedAt   time.Time
	leaseToken int64
	// repeated is set once a start without an answer was sent again. The earlier one can't be carried out by the
	// endpoint's generation, which has seen a higher token, but by a later one.
	repeated bool
	// phaseSince is the time at which the phase was entered.
	phaseSince time.Time
	// launchedAt is the time at which the start was decided on; zero for a run found on the endpoint.
	launchedAt time.Time
	// listedIn is the number of the last list that showed the run.
	listedIn int64
	// confirmedAt is the time at which the endpoint confirmed the start.
	confirmedAt time.Time
	// listed is the answer that listed the run after its start had got no answer.
	listed Listing
	// latestStart is the latest start of a queued run that meets the job's objective, and waitUntil
	// the end of its time in the queue.
	latestStart time.Time
	waitUntil   time.Time
	// joined is set while the run counts as at the endpoint for the runs beside it.
	joined *joined
}

type attachedCoordinator struct {
	addr        string
	attachment  uint64
	incarnation uint64
	// released is set once the coordinator has ended its attachment. Its number is retained,
	// so that a delayed message of the attachment is still rejected.
	released bool
	// crashesReported is the number of the last crash that the coordinator has got.
	crashesReported int64
	// proof is the latest time at which the coordinator is known to have been alive.
	proof time.Time
}

type shard struct {
	epoch uint64
	owner string
	proof time.Time
}

// Controller is the state of the agent beside one endpoint.
type Controller struct {
	cfg    Config
	origin time.Time

	heartbeat    carobpulley.Heartbeat
	hasHeartbeat bool
	// confirmed is set once the endpoint has answered as the instance and the generation of the
	// heartbeat in force, which was adopted at adoptedAt.
	confirmed bool
	adoptedAt time.Time
	// claim is the latest heartbeat of another generation of the endpoint; nil if there is none.
	claim *claim
	// streak is that of the heartbeats that were passed over as old.
	streak streak
	// adopted is set once a poll has put a heartbeat in force, and rejected holds the heartbeats that
	// were rejected, until they are asked for.
	adopted  bool
	rejected []RejectedHeartbeat
	// shutDown is set while the endpoint has announced that it has shut down.
	shutDown bool
	// gone is set once the endpoint is known to have ended, until one answers again.
	gone         bool
	draining     bool
	unresponsive bool
	// listsKnown is set once it is known what the endpoint runs of an earlier process of this agent: its
	// lists were read, or nothing listened at its address.
	listsKnown bool
	// failedPolls counts consecutive failed polls, and answeredPoll is the time of the latest one that
	// was answered.
	failedPolls  int
	answeredPoll time.Time
	// timedOutAt is the time at which the latest command timed out.
	timedOutAt time.Time
	token      int64
	// clockMS is the latest reading of the endpoint's clock, received at clockAt; 0 if there is
	// none.
	clockMS int64
	clockAt time.Time
	// suspended is the time for which the host was suspended in total, and suspendedSinceReading that since
	// clockAt. readingVoid is set from its last awakening, at wokeAt, until the clock has been read again.
	suspended             time.Duration
	suspendedSinceReading time.Duration
	readingVoid           bool
	wokeAt                time.Time
	// leaseExpiresAt is the time by which every lease that was sent to the endpoint has expired.
	leaseExpiresAt time.Time
	// lastListed is the highest number of an end that the endpoint has listed, and ackedUpTo the
	// number up to which it may drop ends.
	lastListed int64
	ackedUpTo  int64
	// listedEnds holds the numbers above ackedUpTo of the ends that were listed.
	listedEnds map[int64]bool
	unread     unread
	// generation is the latest generation that the endpoint's lists have shown, first at generationAt.
	generation   int64
	generationAt time.Time
	runs         map[work.Run]*run
	ends         []*end
	shards       map[int]*shard
	coordinators map[string]*attachedCoordinator
	// earlyStops holds runs whose stop came before their start, and endedRuns those that ended here:
	// a dispatch that is sent again starts neither.
	earlyStops map[stopKey]time.Time
	endedRuns  map[work.Run]endedRun
	// refusedStarts holds the starts that were refused to a coordinator, which places the tasks
	// elsewhere: a copy of the dispatch that arrives later does not start them either.
	refusedStarts map[startKey]time.Time
	// domains is what is known of the failure domains, and domainsSoughtAt the time of this agent's
	// last read of the operators' records that failed.
	domains         domain.View
	domainsSoughtAt time.Time
	// crashes holds the runs at recent crashes of the endpoint, newCrashes those not yet returned by
	// Crashes, and lastCrash the number of the last one.
	crashes    []crash
	newCrashes []CrashedRun
	lastCrash  int64
	// lost holds the runs that ended as lost and were not yet returned by Lost.
	lost []LostRun
	// found holds the listed runs that this process did not know and that Found has not returned.
	found    []FoundRun
	commands []Command
	company  company
}

// stopKey identifies a stop by its run and the coordinator that asks for it.
type stopKey struct {
	run         work.Run
	coordinator string
}

// startKey identifies a start by its run and the coordinator's process that dispatched it.
type startKey struct {
	run         work.Run
	coordinator string
	incarnation uint64
}

// Command is a request that the caller sends to the endpoint.
type Command struct {
	// Start is nil for a stop.
	Start *work.Start
	Stop  work.Run
}

// New returns a Controller. Times in messages are counted from now.
func New(cfg Config, now time.Time) *Controller {
	return &Controller{
		cfg:          cfg,
		origin:       now,
		suspended:    cfg.Suspended,
		token:        cfg.Token,
		runs:         make(map[work.Run]*run),
		shards:       make(map[int]*shard),
		coordinators: make(map[string]*attachedCoordinator),
		earlyStops:   make(map[stopKey]time.Time),
		endedRuns:    make(map[work.Run]endedRun),
		listedEnds:   make(map[int64]bool),

		refusedStarts: make(map[startKey]time.Time),
	}
}

// Commands returns the commands that were added since the last call.
func (c *Controller) Commands() []Command {
	commands := c.commands
	c.commands = nil
	return commands
}

// encodeTime converts a time of this process to the number that messages carry.
func (c *Controller) encodeTime(t time.Time) int64 { return int64(t.Sub(c.origin)) + 1 }

func (c *Controller) decodeTime(n int64) time.Time { return c.origin.Add(time.Duration(n - 1)) }

func (c *Controller) shardOf(task string) int {
	return work.ShardOf(work.JobOfTask(task), c.cfg.Shards)
}

// Token returns the fencing token in use.
func (c *Controller) Token() int64 { return c.token }

// Instance returns the endpoint instance that commands are addressed to; empty before the first
// heartbeat.
func (c *Controller) Instance() string { return c.heartbeat.Instance }

// EndpointGeneration names the generation of the endpoint that the numbers of ends belong to.
func (c *Controller) EndpointGeneration() string {
	return c.heartbeat.Instance + "/" + strconv.FormatInt(c.generation, 10)
}

// reservedResources returns the resources of all runs that may have reached the endpoint.
func (c *Controller) reservedResources() work.Resources {
	var sum work.Resources
	for _, r := range c.runs {
		if r.phase != phaseQueued {
			sum = sum.Add(r.start.Resources)
		}
	}
	return sum
}

// reservedByOthers returns the resources of all runs, including queued ones, except those of one
// coordinator.
func (c *Controller) reservedByOthers(coordinator string) work.Resources {
	var sum work.Resources
	for _, r := range c.runs {
		if c.coordinatorOf(r) != coordinator {
			sum = sum.Add(r.start.Resources)
		}
	}
	return sum
}

// coordinatorOf returns the coordinator that a run belongs to.
func (c *Controller) coordinatorOf(r *run) string {
	if r.coordinator != "" && !r.start.Durable {
		return r.coordinator
	}
	return c.shardOwner(r.start.Run.Task)
}

// shardOwner returns the owner of a task's shard.
func (c *Controller) shardOwner(task string) string {
	if s := c.shards[c.shardOf(task)]; s != nil {
		return s.owner
	}
	return ""
}

// Usable reports whether starts can be sent to the endpoint. After a suspension its clock has to be read
// first: if it didn't stand, it is ahead of all deadlines.
func (c *Controller) Usable() bool {
	return !c.draining && !c.hasUnknownRuns() && c.hasHeartbeat && !c.shutDown && !c.heartbeat.Draining && !c.unresponsive &&
		c.clockMS != 0 && !c.readingVoid && !c.restartClaimed()
}
