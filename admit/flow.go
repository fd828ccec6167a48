package admit

import (
	"container/heap"
	"time"

	"golang.org/x/time/rate"

	"carobpulley"
)

// maxLag bounds the virtual time that a flow which could not be served may
// catch up afterwards, so that it does not hold back the others.
const maxLag = 1.0

// quotaBurst is the time whose starts a member may use at once.
const quotaBurst = time.Second

// classWeights are the shares of the classes (design section 6).
var classWeights = map[carobpulley.Class]float64{
	carobpulley.ClassUrgent: 8,
	carobpulley.ClassNormal: 3,
	carobpulley.ClassBulk:   1,
}

// class is a class of urgency with its virtual time and its lanes.
type class struct {
	weight float64
	// tag orders the classes, clock the flows of this class.
	tag, clock float64
	queued     int
	// active is the sum of weights of the flows with queued tasks.
	active float64
	lanes  map[string]*lane
	flows  map[string]*flow
	ready  tree[*lane]
}

// lane is a service within a class with the flows that wait for it. The class
// tree orders lanes by their first flow.
type lane struct {
	class   *class
	name    string
	service *service
	bins    tree[*bin]
	// tag is the tag of the first flow when the lane was settled. A flow's tag
	// may change the order of several lanes, and a heap takes one change at a time.
	tag   float64
	place int
}

func (l *lane) before(o *lane) bool { return l.tag < o.tag }
func (l *lane) position() *int      { return &l.place }

// settle puts the lane where it belongs in the class tree.
func (l *lane) settle() {
	in := len(l.bins) > 0 && l.service.free()
	if in {
		l.tag = l.bins[0].flow.tag
	}
	switch {
	case !in && l.place >= 0:
		heap.Remove(&l.class.ready, l.place)
	case !in:
	case l.place < 0:
		heap.Push(&l.class.ready, l)
	default:
		heap.Fix(&l.class.ready, l.place)
	}
}

// flow is one member in one class.
type flow struct {
	class  *class
	member *member
	tag    float64
	queued int
	bins   []*bin
}

func (f *flow) bin(service string) *bin {
	for _, b := range f.bins {
		if b.lane.name == service {
			return b
		}
	}
	return nil
}

func (f *flow) weight() float64 {
	return f.member.weight
}

// settle puts the flow's bins where they belong.
func (f *flow) settle() {
	for _, b := range f.bins {
		f.settleBin(b)
	}
}

func (f *flow) settleBin(b *bin) {
	in := b.first != nil && !f.member.blocked
	switch {
	case !in && b.place >= 0:
		heap.Remove(&b.lane.bins, b.place)
	case !in:
	case b.place < 0:
		heap.Push(&b.lane.bins, b)
	default:
		heap.Fix(&b.lane.bins, b.place)
	}
	b.lane.settle()
}

// service is the state of one service.
type service struct {
	limit   int
	running int
	lanes   []*lane
}

func (s *service) free() bool {
	return s.limit == 0 || s.running < s.limit
}

// member is the state of one member's quota.
type member struct {
	weight  float64
	limit   int
	running int
	queued  int
	// bucket is nil without a quota of starts.
	bucket  *rate.Limiter
	blocked bool
	flows   []*flow
	wake    int
	wakeAt  time.Time
}

func (m *member) before(o *member) bool { return m.wakeAt.Before(o.wakeAt) }
func (m *member) position() *int        { return &m.wake }

// bucketRounding is the part of a start that a bucket may lack, because its
// level is a floating-point number.
const bucketRounding = 1e-6

// startsAt returns the time at which the quota allows the next start; the zero
// time if it allows one now.
func (m *member) startsAt(now time.Time) time.Time {
	if m.bucket == nil {
		return time.Time{}
	}
	missing := 1 - m.bucket.TokensAt(now)
	if missing <= bucketRounding {
		return time.Time{}
	}
	wait := time.Duration(missing / float64(m.bucket.Limit()) * float64(time.Second))
	return now.Add(wait + time.Nanosecond)
}

// configure sets the quota to a share of the catalogue's.
func (m *member) configure(now time.Time, c carobpulley.Member, share float64) {
	m.weight = float64(max(1, c.Weight))
	m.limit = portion(c.MaxConcurrent, share)
	if c.StartsPerSecond <= 0 {
		m.bucket = nil
		return
	}
	limit := rate.Limit(c.StartsPerSecond * share)
	burst := max(1, int(float64(limit)*quotaBurst.Seconds()))
	if m.bucket == nil {
		m.bucket = rate.NewLimiter(limit, burst)
		// A restarted entry may have let starts pass just before.
		m.bucket.AllowN(now, burst/2)
		return
	}
	m.bucket.SetLimitAt(now, limit)
	m.bucket.SetBurstAt(now, burst)
}

// portion is this entry's share of a cap, at least 1; 0 stays without limit.
func portion(limit int, share float64) int {
	if limit <= 0 {
		return 0
	}
	return max(1, int(float64(limit)*share))
}
