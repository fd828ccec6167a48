package admit

import (
	"container/heap"
	"time"

	"golang.org/x/time/rate"

	"carobpulley"
)

// maxCatchUp bounds the virtual time by which a flow or class that could not be
// served may lag and later catch up, so that it does not delay the others.
const maxCatchUp = 1.0

// quotaBurst is the period whose quota of starts a member may use at once.
const quotaBurst = time.Second

// classWeights are the shares of the classes (design section 6).
var classWeights = map[carobpulley.Class]float64{
	carobpulley.ClassUrgent: 8,
	carobpulley.ClassNormal: 3,
	carobpulley.ClassBulk:   1,
}

// class is the state of an urgency class. Classes and the flows within a class are
// scheduled by start-time fair queueing: the lowest start tag is served first.
type class struct {
	weight float64
	// startTag orders the classes; virtualTime is the clock of the flows of this
	// class.
	startTag, virtualTime float64
	queued                int
	// activeWeight is the sum of the weights of the flows with queued tasks.
	activeWeight float64
	groups       map[string]*queueGroup
	flows        map[string]*flow
	ready        indexedHeap[*queueGroup]
}

// queueGroup holds the queues of one service within a class, one for each flow.
// The heap of the class orders groups by their first flow.
type queueGroup struct {
	class   *class
	name    string
	service *service
	queues  indexedHeap[*queue]
	// startTag is a copy of the first flow's start tag, taken by updateHeap. A
	// change of a flow's tag may reorder several groups, but a heap can fix the
	// position of only one item at a time.
	startTag  float64
	heapIndex int
}

func (g *queueGroup) before(o *queueGroup) bool { return g.startTag < o.startTag }
func (g *queueGroup) position() *int            { return &g.heapIndex }

// updateHeap adds the group to the heap of its class, moves it there or removes it.
func (g *queueGroup) updateHeap() {
	in := len(g.queues) > 0 && g.service.belowLimit()
	if in {
		g.startTag = g.queues[0].flow.startTag
	}
	switch {
	case !in && g.heapIndex >= 0:
		heap.Remove(&g.class.ready, g.heapIndex)
	case !in:
	case g.heapIndex < 0:
		heap.Push(&g.class.ready, g)
	default:
		heap.Fix(&g.class.ready, g.heapIndex)
	}
}

// flow is the state of one member within one class.
type flow struct {
	class    *class
	member   *member
	startTag float64
	queued   int
	queues   []*queue
}

func (f *flow) queueOf(service string) *queue {
	for _, q := range f.queues {
		if q.group.name == service {
			return q
		}
	}
	return nil
}

func (f *flow) weight() float64 {
	return f.member.weight
}

// updateQueues updates the heap positions of the flow's queues.
func (f *flow) updateQueues() {
	for _, q := range f.queues {
		f.updateQueue(q)
	}
}

func (f *flow) updateQueue(q *queue) {
	in := q.first != nil && !f.member.blocked
	switch {
	case !in && q.heapIndex >= 0:
		heap.Remove(&q.group.queues, q.heapIndex)
	case !in:
	case q.heapIndex < 0:
		heap.Push(&q.group.queues, q)
	default:
		heap.Fix(&q.group.queues, q.heapIndex)
	}
	q.group.updateHeap()
}

// service is the state of one service.
type service struct {
	limit   int
	running int
	groups  []*queueGroup
}

func (s *service) belowLimit() bool {
	return s.limit == 0 || s.running < s.limit
}

// member is the state of one member's quota.
type member struct {
	weight  float64
	limit   int
	running int
	queued  int
	// bucket is nil if there is no quota of starts.
	bucket       *rate.Limiter
	blocked      bool
	flows        []*flow
	unblockIndex int
	unblockAt    time.Time
}

func (m *member) before(o *member) bool { return m.unblockAt.Before(o.unblockAt) }
func (m *member) position() *int        { return &m.unblockIndex }

// bucketTolerance is the fraction of a start by which a bucket may fall short,
// because its level is a floating-point number.
const bucketTolerance = 1e-6

// nextStartAt returns the time at which the quota allows the next start, or the
// zero time if it allows one now.
func (m *member) nextStartAt(now time.Time) time.Time {
	if m.bucket == nil {
		return time.Time{}
	}
	missing := 1 - m.bucket.TokensAt(now)
	if missing <= bucketTolerance {
		return time.Time{}
	}
	wait := time.Duration(missing / float64(m.bucket.Limit()) * float64(time.Second))
	return now.Add(wait + time.Nanosecond)
}

// configure sets the quota to the given share of the catalogue's.
func (m *member) configure(now time.Time, c carobpulley.Member, share float64) {
	m.weight = float64(max(1, c.Weight))
	m.limit = scaleLimit(c.MaxConcurrent, share)
	if c.StartsPerSecond <= 0 {
		m.bucket = nil
		return
	}
	limit := rate.Limit(c.StartsPerSecond * share)
	burst := max(1, int(float64(limit)*quotaBurst.Seconds()))
	if m.bucket == nil {
		m.bucket = rate.NewLimiter(limit, burst)
		// The bucket starts half full, because the entry may have allowed starts
		// just before it restarted.
		m.bucket.AllowN(now, burst/2)
		return
	}
	m.bucket.SetLimitAt(now, limit)
	m.bucket.SetBurstAt(now, burst)
}

// scaleLimit returns this entry's share of a limit, at least 1. A limit of 0 means
// unlimited and stays 0.
func scaleLimit(limit int, share float64) int {
	if limit <= 0 {
		return 0
	}
	return max(1, int(float64(limit)*share))
}
