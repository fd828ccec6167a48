package intake

import "time"

// phase is what a connection is doing.
type phase int

const (
	// phaseIdle waits for the next request.
	phaseIdle phase = iota
	// phaseHead and phaseBody receive a request.
	phaseHead
	phaseBody
	// phaseServed has received a request whole, and its response is not complete.
	phaseServed
)

const (
	// bytesPerByte is the memory that a byte of a request takes: it is copied once into a contiguous body,
	// which is then decoded.
	bytesPerByte = 2
	// progressFraction is how much of what a request has sent it has to send again to count as making
	// progress, at least minProgressBytes. Single bytes at intervals are no progress.
	progressFraction = 8
	minProgressBytes = 512
	// heldFraction of the budget is the most that requests take that can't be aborted, so that they leave
	// room to receive others.
	heldFraction = 0.75
	// freedFraction of the budget is freed at once when it is exhausted, since each choice looks at all requests.
	freedFraction = 0.125
	// headSlackBytes is what net/http may read of a body together with its head.
	headSlackBytes = 4 << 10
	// stalledAfter is the time without progress after which a request is aborted before idle connections are
	// closed. Idle ones are those of ordinary clients.
	stalledAfter = time.Second
)

// Reason says why a connection was ended or refused.
type Reason string

// Reasons.
const (
	ReasonBudget      Reason = "budget"
	ReasonConnections Reason = "connections"
	ReasonHead        Reason = "head"
	ReasonHeadSize    Reason = "head_size"
	ReasonBody        Reason = "body"
	ReasonIdle        Reason = "idle"
	// reasonClosed is that of a connection that its server or its client has closed.
	reasonClosed Reason = "closed"
)

// Entry is a connection in a Ledger.
type Entry struct {
	role  Role
	phase phase
	// bytes is the memory charged for the request, and ahead for what was read ahead of later ones.
	bytes, ahead int64
	// received is how much of the request has arrived, and marked how much of it at progressAt.
	received, marked int64
	// progressAt is when the request made progress last, or the connection became idle.
	progressAt time.Time
	// deadline is when the phase has to be over.
	deadline time.Time
	// aborted is why the connection is being ended; empty if it isn't.
	aborted Reason
}

// Aborted returns why the connection is being ended; empty if it isn't.
func (e *Entry) Aborted() Reason { return e.aborted }

// receiving reports whether the entry has an unfinished request that can be aborted.
func (e *Entry) receiving() bool {
	return e.aborted == "" && (e.phase == phaseHead || e.phase == phaseBody)
}

// Ledger holds the connections of a process. It is not safe for concurrent use.
type Ledger struct {
	limits   Limits
	timeouts map[Role]Timeouts
	entries  map[*Entry]struct{}
	open     map[Role]int
	// charged is the memory of all requests. dying is the part of those being aborted, and held that of those
	// received whole and of what was read ahead.
	charged, dying, held int64
}

// NewLedger returns a Ledger without connections.
func NewLedger(l Limits) *Ledger {
	return &Ledger{limits: l, timeouts: make(map[Role]Timeouts), entries: make(map[*Entry]struct{}), open: make(map[Role]int)}
}

// SetLimits changes the limits. Connections beyond them stay until others need their place.
func (l *Ledger) SetLimits(limits Limits) { l.limits = limits }

// SetTimeouts sets what holds for a role from the next phase of each of its connections on.
func (l *Ledger) SetTimeouts(r Role, t Timeouts) { l.timeouts[r] = t }

// Open adds a connection. If the role has as many as it may, victim is the connection to end for it at
// once, or if there is none, entry is nil: all others are served.
func (l *Ledger) Open(now time.Time, r Role) (entry, victim *Entry) {
	if l.open[r] >= l.limits.connections(r) {
		victim = l.leastUseful(now, r)
		if victim == nil {
			return nil, nil
		}
		if victim.aborted == "" {
			l.abort(victim, ReasonConnections)
		}
		l.Close(victim)
	}
	e := &Entry{role: r}
	l.entries[e] = struct{}{}
	l.open[r]++
	l.enter(now, e, phaseHead)
	return e, victim
}

// Close removes a connection; it may be called again.
func (l *Ledger) Close(e *Entry) {
	if _, ok := l.entries[e]; !ok {
		return
	}
	delete(l.entries, e)
	l.open[e.role]--
	l.uncharge(e)
	l.charged -= e.ahead
	l.held -= e.ahead
	e.ahead = 0
	if e.aborted == "" {
		e.aborted = reasonClosed
	}
}

// enter begins a phase.
func (l *Ledger) enter(now time.Time, e *Entry, p phase) {
	t := l.timeouts[e.role]
	if e.phase == phaseServed {
		l.held -= e.bytes
	}
	e.phase, e.progressAt = p, now
	switch p {
	case phaseIdle:
		e.deadline = after(now, t.Idle)
	case phaseHead:
		e.received, e.marked = 0, 0
		e.deadline = after(now, t.Head)
	case phaseBody:
		e.deadline = after(now, t.Body)
	case phaseServed:
		l.held += e.bytes
		e.deadline = time.Time{}
	}
}

// after returns the time d after now; the zero time, which is no deadline, if d is 0.
func after(now time.Time, d time.Duration) time.Time {
	if d <= 0 {
		return time.Time{}
	}
	return now.Add(d)
}

// Head records n bytes of the connection in phase idle or head, and returns the connections to abort. In
// other phases the bytes are those of a body, which Body records, or read ahead, which Ahead records.
func (l *Ledger) Head(now time.Time, e *Entry, n int) []*Entry {
	if e.phase == phaseIdle {
		l.enter(now, e, phaseHead)
	}
	if e.phase != phaseHead || e.aborted != "" {
		return nil
	}
	if limit := l.timeouts[e.role].MaxHeadBytes; limit > 0 && e.received+int64(n) > limit+headSlackBytes {
		l.abort(e, ReasonHeadSize)
		return []*Entry{e}
	}
	return l.grow(now, e, n)
}

// Begin records that the head of a request has been received.
func (l *Ledger) Begin(now time.Time, e *Entry, hasBody bool) {
	if e.aborted != "" {
		return
	}
	if hasBody {
		l.enter(now, e, phaseBody)
		return
	}
	l.enter(now, e, phaseServed)
}

// Body records n bytes of the body, and returns the connections to abort.
func (l *Ledger) Body(now time.Time, e *Entry, n int) []*Entry {
	if e.phase != phaseBody || e.aborted != "" {
		return nil
	}
	return l.grow(now, e, n)
}

// Whole records the end of the body. It returns false if there is no memory for the request until its
// response: it must not be carried out.
func (l *Ledger) Whole(now time.Time, e *Entry) bool {
	if e.phase != phaseBody || e.aborted != "" {
		return e.phase == phaseServed
	}
	fits := float64(l.held+e.bytes) <= float64(l.limits.BudgetBytes)*heldFraction
	l.enter(now, e, phaseServed)
	return fits
}

// Ahead records n bytes that were read ahead of a request, or -n that were taken from them. It returns
// false, and records nothing, if there is no memory for them.
func (l *Ledger) Ahead(e *Entry, n int) bool {
	charge := int64(n) * bytesPerByte
	if n > 0 && float64(l.held+charge) > float64(l.limits.BudgetBytes)*heldFraction {
		return false
	}
	if _, ok := l.entries[e]; !ok {
		return false
	}
	e.ahead += charge
	l.held += charge
	l.charged += charge
	return true
}

// Done records that the request's handler has returned, so that its memory is free.
func (l *Ledger) Done(e *Entry) { l.uncharge(e) }

// Idle records that the response is complete.
func (l *Ledger) Idle(now time.Time, e *Entry) {
	if e.aborted != "" {
		return
	}
	l.uncharge(e)
	l.enter(now, e, phaseIdle)
}

func (l *Ledger) uncharge(e *Entry) {
	switch {
	case e.aborted != "":
		l.dying -= e.bytes
	case e.phase == phaseServed:
		l.held -= e.bytes
	}
	l.charged -= e.bytes
	e.bytes = 0
}

// grow charges n bytes to a request and returns the requests to abort for them.
func (l *Ledger) grow(now time.Time, e *Entry, n int) []*Entry {
	e.received += int64(n)
	if e.received-e.marked >= max(e.marked/progressFraction, minProgressBytes) {
		e.marked, e.progressAt = e.received, now
	}
	e.bytes += int64(n) * bytesPerByte
	l.charged += int64(n) * bytesPerByte
	if l.charged-l.dying <= l.limits.BudgetBytes {
		return nil
	}
	return l.free()
}

// Full reports whether the memory of requests that are being aborted has to be free before more is read.
func (l *Ledger) Full() bool { return l.charged > l.limits.BudgetBytes && l.dying > 0 }

// Charged returns the memory charged for requests, in bytes.
func (l *Ledger) Charged() int64 { return l.charged }

// Connections returns the open connections of a role.
func (l *Ledger) Connections(r Role) int { return l.open[r] }

// Expired returns the connections whose phase should be over, as aborted.
func (l *Ledger) Expired(now time.Time) []*Entry {
	var out []*Entry
	for e := range l.entries {
		if e.aborted != "" || e.deadline.IsZero() || now.Before(e.deadline) {
			continue
		}
		l.abort(e, e.lateness())
		out = append(out, e)
	}
	return out
}

// lateness returns the reason for which a connection is ended at its deadline. A new connection without a
// byte counts as idle: clients keep such ones for later.
func (e *Entry) lateness() Reason {
	switch {
	case e.phase == phaseBody:
		return ReasonBody
	case e.phase == phaseHead && e.received > 0:
		return ReasonHead
	}
	return ReasonIdle
}

func (l *Ledger) abort(e *Entry, r Reason) {
	e.aborted = r
	l.dying += e.bytes
}
