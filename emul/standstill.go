package emul

import (
	"context"
	"time"

	"carobpulley"
)

// standstill is the state of an endpoint whose host can be suspended. Meanwhile its clock stands, its runs
// and their lease make no progress, and commands and their answers wait.
type standstill struct {
	// since is the beginning of a suspension, and awake is closed at its end; zero while the host runs.
	since time.Time
	awake chan struct{}
	// total is the length of all suspensions of this generation that are over.
	total time.Duration
}

// now returns the time, or that of the beginning of the suspension.
func (s *standstill) now() time.Time {
	if s.awake != nil {
		return s.since
	}
	return time.Now()
}

// Suspend suspends the endpoint for a time.
func (e *Endpoint) Suspend(d time.Duration) {
	e.suspend()
	time.Sleep(d)
	e.wake()
}

func (e *Endpoint) suspend() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.standstill.since, e.standstill.awake = time.Now(), make(chan struct{})
	for _, r := range e.running {
		r.timer.Stop()
	}
	if e.leaseTimer != nil {
		e.leaseTimer.Stop()
	}
}

func (e *Endpoint) wake() {
	e.mu.Lock()
	defer e.mu.Unlock()
	d := time.Since(e.standstill.since)
	for _, r := range e.running {
		r.due = r.due.Add(d)
		r.timer = time.AfterFunc(time.Until(r.due), r.end)
	}
	if !e.deadline.IsZero() {
		e.deadline = e.deadline.Add(d)
		e.leaseTimer = time.AfterFunc(time.Until(e.deadline), e.handleLeaseExpiry)
	}
	e.standstill.total += d
	close(e.standstill.awake)
	e.standstill.awake = nil
}

// Standing reports whether the endpoint is suspended.
func (e *Endpoint) Standing() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.standstill.awake != nil
}

// awaitWake waits until the endpoint runs. If the caller doesn't wait as long, the command is in the
// endpoint's socket and is carried out then.
func (e *Endpoint) awaitWake(ctx context.Context, apply func()) error {
	for {
		e.mu.Lock()
		awake := e.standstill.awake
		e.mu.Unlock()
		if awake == nil {
			return nil
		}
		select {
		case <-awake:
		case <-ctx.Done():
			go func() {
				<-awake
				apply()
			}()
			return commandError(carobpulley.KindUnknown)
		}
	}
}
