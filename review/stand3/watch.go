//go:build review

package main

import (
	"context"
	"sync"
	"time"

	"carobpulley"
	"carobpulley/emul"
	"carobpulley/work"
)

// end is the end of a run as its runner lists it.
type end struct {
	at      time.Time
	run     work.Run
	runner  int
	outcome work.Outcome
}

// watched is a runner's model that records each end that it lists for the first time.
type watched struct {
	*emul.Endpoint
	r *runner

	mu     sync.Mutex
	listed map[listedEnd]bool
}

type listedEnd struct{ generation, sequence int64 }

// Renew implements carobpulley.EndpointClient.
func (w *watched) Renew(ctx context.Context, l carobpulley.Lease, acked int64, wait time.Duration) (carobpulley.RunLists, string, error) {
	lists, refusal, err := w.Endpoint.Renew(ctx, l, acked, wait)
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, e := range lists.Finished {
		key := listedEnd{lists.Generation, e.Sequence}
		if w.listed[key] {
			continue
		}
		w.listed[key] = true
		w.r.f.record.ended(end{at: time.Now(), run: e.Run, runner: w.r.number, outcome: e.Outcome})
	}
	return lists, refusal, err
}
