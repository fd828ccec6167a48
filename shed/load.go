package shed

// Parts of a service's capacity.
const (
	// peerReserve is the part that each less urgent priority leaves free for each further coordinator that
	// works with the same endpoints, up to maxReserve for all. Coordinators learn of each other's starts up to
	// a report interval late; what is left free is there for more urgent tasks that arrive meanwhile.
	peerReserve = 0.006
	maxReserve  = 0.24
	// minShare is the part that each priority may hold whatever the demand of the more urgent ones is, so
	// that none is shut out.
	minShare = 0.04
)

// Class is the urgency of a queue.
type Class struct {
	// Rank is the number of priorities that are more urgent among the queues of the service.
	Rank int
	// Priority is the queue's; 0 is the most urgent.
	Priority int
}

// Load is how the capacity of a service's endpoints is used. CPU is in millicores.
type Load struct {
	// Capacity is the CPU capacity in service, Free the part of it that no run holds.
	Capacity, Free int64
	// Coordinators is the number of coordinators that work with an endpoint.
	Coordinators int
	// used holds the CPU capacity that runs of each priority hold.
	used map[int]int64
}

// Use records that runs of a priority hold CPU capacity.
func (l *Load) Use(priority int, cpu int64) {
	if l.used == nil {
		l.used = make(map[int]int64)
	}
	l.used[priority] += cpu
}

// Take records that a task gets free capacity.
func (l *Load) Take(priority int, cpu int64) {
	l.Free -= cpu
	l.Use(priority, cpu)
}

// Room returns the CPU capacity that further tasks of a class may take now, each of which needs the given
// CPU capacity. A reserve that is smaller than one task is not kept: on a small fleet it would leave the
// capacity for a whole task idle.
//
// Answers the pattern of less urgent jobs that fill all endpoints before a burst of urgent short ones, which
// then wait for the end of long runs.
func (l *Load) Room(c Class, task int64) int64 {
	if c.Rank <= 0 {
		return l.Free
	}
	reserve := l.reserve(c.Rank)
	if reserve < task {
		reserve = 0
	}
	return max(l.Free-reserve, l.floor()-l.used[c.Priority])
}

// open returns the capacity that runs of a class and of less urgent ones may hold.
func (l *Load) open(c Class) int64 {
	if c.Rank <= 0 {
		return l.Capacity
	}
	var urgent int64
	for priority, cpu := range l.used {
		if priority < c.Priority {
			urgent += cpu
		}
	}
	return max(l.Capacity-l.reserve(c.Rank)-urgent, l.floor())
}

// BelowFloor reports whether runs of a class hold less than what is kept for them.
func (l *Load) BelowFloor(c Class) bool { return c.Rank > 0 && l.used[c.Priority] < l.floor() }

// reserve returns the capacity that tasks of a rank leave free.
func (l *Load) reserve(rank int) int64 {
	part := min(peerReserve*float64(max(l.Coordinators-1, 0)*rank), maxReserve)
	return int64(part * float64(l.Capacity))
}

func (l *Load) floor() int64 { return int64(minShare * float64(l.Capacity)) }
