package emul

import (
	"context"
	"time"

	"carobpulley"
	"carobpulley/work"
)

const (
	// minLate and maxLate bound how much later a late command is carried out.
	minLate = 2 * time.Second
	maxLate = 12 * time.Second
)

// Command is a kind of command to an endpoint.
type Command int

// Kinds of commands.
const (
	CommandStart Command = iota
	CommandStop
	CommandRenew
	commandCount
)

// Trouble is what happens to commands of one kind on their way to an endpoint and back.
type Trouble struct {
	// Lost is the share of commands that are carried out and whose connection ends before the answer: half
	// of these before the command is carried out, up to MaxDelay later.
	Lost float64
	// Unsent is the share of commands that are never carried out and get no answer.
	Unsent float64
	// Late is the share of commands that get no answer and are carried out minLate to maxLate later, also
	// by a later generation of the endpoint.
	Late float64
	// MaxLate bounds the time by which late commands are late instead, without a least time; 0 if it doesn't.
	MaxLate time.Duration
	// FromArrival makes the lease of a late command last as long from its arrival as it would have from
	// its sending.
	FromArrival bool
	// MaxDelay bounds the delay of a command and of its answer. Commands overtake each other.
	MaxDelay time.Duration
}

// SetTrouble sets the trouble of some kinds of commands.
func (e *Endpoint) SetTrouble(t Trouble, commands ...Command) {
	e.mu.Lock()
	defer e.mu.Unlock()
	for _, c := range commands {
		e.troubles[c] = t
	}
}

// commandError returns the error of a command without an answer.
func commandError(kind carobpulley.Kind) error {
	return &carobpulley.Error{Op: "order", Kind: kind}
}

// fate is what happens to one command.
type fate struct {
	lost, unsent bool
	// cut is the time from the sending of a lost command to the end of its connection, if that precedes
	// the command.
	cut            time.Duration
	late           time.Duration
	fromArrival    bool
	before, behind time.Duration
}

func (e *Endpoint) drawFate(c Command) fate {
	e.mu.Lock()
	defer e.mu.Unlock()
	t := e.troubles[c]
	if t == (Trouble{}) {
		return fate{}
	}
	f := fate{
		before: time.Duration(e.rng.Float64() * float64(t.MaxDelay)),
		behind: time.Duration(e.rng.Float64() * float64(t.MaxDelay)),
	}
	switch draw := e.rng.Float64(); {
	case draw < t.Late:
		f.late = minLate + time.Duration(e.rng.Float64()*float64(maxLate-minLate))
		if t.MaxLate > 0 {
			f.late = time.Duration(e.rng.Float64() * float64(t.MaxLate))
		}
		f.fromArrival = t.FromArrival
	case draw < t.Late+t.Unsent:
		f.unsent = true
	case draw < t.Late+t.Unsent+t.Lost:
		f.lost = true
		if e.rng.IntN(2) == 0 {
			f.cut = time.Duration(e.rng.Float64() * float64(f.before))
		}
	}
	return f
}

// send carries out a command under the endpoint's trouble. An answer is lost at the time at which it
// would have been sent.
func send[A any](ctx context.Context, e *Endpoint, c Command, lease carobpulley.Lease, call func(context.Context, carobpulley.Lease) (A, error)) (A, error) {
	f := e.drawFate(c)
	var none A
	if f.late > 0 {
		time.AfterFunc(f.late, func() {
			if f.fromArrival && lease.DeadlineMS > 0 {
				lease.DeadlineMS += f.late.Milliseconds() * 98 / 100
			}
			callLater(lease, call)
		})
	}
	if f.late > 0 || f.unsent {
		return none, commandError(e.holdBack(ctx))
	}
	if f.cut > 0 {
		time.AfterFunc(f.before, func() { callLater(lease, call) })
		if err := sleep(ctx, f.cut); err != nil {
			return none, err
		}
		return none, commandError(carobpulley.KindBroken)
	}
	if err := sleep(ctx, f.before); err != nil {
		return none, err
	}
	a, err := call(ctx, lease)
	if err != nil {
		return none, err
	}
	if f.lost {
		return none, commandError(carobpulley.KindBroken)
	}
	if err := sleep(ctx, f.behind); err != nil {
		return none, err
	}
	return a, nil
}

// holdBack waits until the sender of a command gives up, or its connection ends with the endpoint.
func (e *Endpoint) holdBack(ctx context.Context) carobpulley.Kind {
	e.mu.Lock()
	crashed, down := e.crashed, e.down
	e.mu.Unlock()
	if down {
		return carobpulley.KindGone
	}
	select {
	case <-ctx.Done():
		return carobpulley.KindUnknown
	case <-crashed:
		return carobpulley.KindBroken
	}
}

// callLater carries a command out that gets no answer.
func callLater[A any](lease carobpulley.Lease, call func(context.Context, carobpulley.Lease) (A, error)) {
	ctx, cancel := context.WithTimeout(context.Background(), 2*commandLatency)
	defer cancel()
	_, _ = call(ctx, lease)
}

// Start implements carobpulley.EndpointClient.
func (e *Endpoint) Start(ctx context.Context, lease carobpulley.Lease, start work.Start) (carobpulley.StartAnswer, error) {
	return send(ctx, e, CommandStart, lease, func(ctx context.Context, lease carobpulley.Lease) (carobpulley.StartAnswer, error) {
		return e.execute(ctx, func() carobpulley.StartAnswer { return e.startRun(lease, start) })
	})
}

// Stop implements carobpulley.EndpointClient.
func (e *Endpoint) Stop(ctx context.Context, lease carobpulley.Lease, run work.Run) (carobpulley.StartAnswer, error) {
	return send(ctx, e, CommandStop, lease, func(ctx context.Context, lease carobpulley.Lease) (carobpulley.StartAnswer, error) {
		return e.execute(ctx, func() carobpulley.StartAnswer { return e.stopRun(lease, run) })
	})
}

// answeredRenewal is the answer to a renewal.
type answeredRenewal struct {
	lists   carobpulley.RunLists
	refusal string
}

// Renew implements carobpulley.EndpointClient.
func (e *Endpoint) Renew(ctx context.Context, lease carobpulley.Lease, acknowledged int64, maxWait time.Duration) (carobpulley.RunLists, string, error) {
	a, err := send(ctx, e, CommandRenew, lease, func(ctx context.Context, lease carobpulley.Lease) (answeredRenewal, error) {
		lists, refusal, err := e.renew(ctx, lease, acknowledged, maxWait)
		return answeredRenewal{lists, refusal}, err
	})
	return a.lists, a.refusal, err
}
