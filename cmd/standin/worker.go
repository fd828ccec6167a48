package main

import (
	"context"
	"net/http"
	"sync"
	"time"

	"github.com/go-faster/errors"
	"github.com/rs/zerolog"
	"github.com/urfave/cli/v3"
)

const workerUsage = `Serves a worker that runs tasks under a lease. One lease is held at a time.

POST /lease {"holder": "a", "ttl_ms": 5000}         acquire the lease
PUT /lease {"lease": 1, "ttl_ms": 5000}             renew it from now on; a time
                                                    to live of 0 expires it
POST /tasks/{task} {"lease": 1, "cores": 2}         start a task under it
DELETE /tasks/{task} {"lease": 1}                   stop a task
GET /usage                                          cores and tasks in use, as
                                                    they were one lag ago

Tasks stop when their lease expires. Status 409: the lease is held, a task of
that name runs, or too few cores are free. Status 410: the lease has expired, or
the task does not run.`

func workerCommand(log zerolog.Logger) *cli.Command {
	return &cli.Command{
		Name:        "worker",
		Usage:       "serve a worker with leases",
		Description: workerUsage,
		Flags: []cli.Flag{
			listenFlag("127.0.0.1:7200"),
			&cli.IntFlag{Name: "cores", Value: 64, Usage: "cores of the worker", Sources: cli.EnvVars("STANDIN_CORES")},
			&cli.DurationFlag{Name: "lag", Value: 2 * time.Second, Usage: "lag of the usage report", Sources: cli.EnvVars("STANDIN_LAG")},
		},
		Action: func(ctx context.Context, cmd *cli.Command) error {
			w := newWorker(cmd.Int("cores"), cmd.Duration("lag"))
			return serve(ctx, log.With().Str("role", "worker").Logger(), cmd.String("listen"), w.handler())
		},
	}
}

// leaseCall is the body of the requests to a worker.
type leaseCall struct {
	Lease  int    `json:"lease"`
	Holder string `json:"holder"`
	TTLMS  int64  `json:"ttl_ms"`
	Cores  int    `json:"cores"`
}

// lease is the response to the requests to a worker. Tasks holds the cores by task.
type lease struct {
	Lease     int            `json:"lease"`
	Holder    string         `json:"holder"`
	ExpiresAt time.Time      `json:"expires_at"`
	Tasks     map[string]int `json:"tasks"`
}

// usageSample is the usage of a worker from time At on.
type usageSample struct {
	At    time.Time `json:"at"`
	Cores int       `json:"cores"`
	Tasks int       `json:"tasks"`
}

type worker struct {
	cores int
	lag   time.Duration

	mu    sync.Mutex
	lease lease
	// history holds the changes of usage since one lag ago, oldest first.
	history []usageSample
}

func newWorker(cores int, lag time.Duration) *worker {
	return &worker{cores: cores, lag: lag, history: []usageSample{{}}}
}

func (wk *worker) handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /lease", wk.handle(wk.acquire))
	mux.HandleFunc("PUT /lease", wk.handle(wk.requireLease(wk.renew)))
	mux.HandleFunc("POST /tasks/{task}", wk.handle(wk.requireLease(wk.startTask)))
	mux.HandleFunc("DELETE /tasks/{task}", wk.handle(wk.requireLease(wk.stopTask)))
	mux.HandleFunc("GET /usage", func(w http.ResponseWriter, _ *http.Request) {
		wk.mu.Lock()
		defer wk.mu.Unlock()
		wk.advance(time.Now())
		reply(w, http.StatusOK, wk.history[0])
	})
	return mux
}

// leaseOperation changes the lease. On a refusal it returns the status and the cause,
// else 0 and nil.
type leaseOperation func(now time.Time, task string, c leaseCall) (int, error)

// handle returns a handler that brings the worker up to date, runs an operation and
// responds with the lease.
func (wk *worker) handle(operation leaseOperation) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		var c leaseCall
		if !decode(w, r, &c) {
			return
		}
		wk.mu.Lock()
		defer wk.mu.Unlock()

		now := time.Now()
		wk.advance(now)
		if status, err := operation(now, r.PathValue("task"), c); err != nil {
			replyError(w, status, err)
			return
		}
		wk.advance(now)
		reply(w, http.StatusOK, wk.lease)
	}
}

// requireLease refuses an operation under a lease that has expired or been replaced.
func (wk *worker) requireLease(operation leaseOperation) leaseOperation {
	return func(now time.Time, task string, c leaseCall) (int, error) {
		if c.Lease != wk.lease.Lease || !now.Before(wk.lease.ExpiresAt) {
			return http.StatusGone, errors.Errorf("lease %d has expired", c.Lease)
		}
		return operation(now, task, c)
	}
}

func (wk *worker) acquire(now time.Time, _ string, c leaseCall) (int, error) {
	if now.Before(wk.lease.ExpiresAt) {
		return http.StatusConflict, errors.Errorf("acquire: held by %s", wk.lease.Holder)
	}
	wk.lease = lease{wk.lease.Lease + 1, c.Holder, now.Add(milliseconds(c.TTLMS)), make(map[string]int)}
	return 0, nil
}

func (wk *worker) renew(now time.Time, _ string, c leaseCall) (int, error) {
	wk.lease.ExpiresAt = now.Add(milliseconds(c.TTLMS))
	return 0, nil
}

func (wk *worker) startTask(_ time.Time, task string, c leaseCall) (int, error) {
	free := wk.cores - wk.currentUsage().Cores
	if _, ok := wk.lease.Tasks[task]; ok || c.Cores < 1 || c.Cores > free {
		return http.StatusConflict, errors.Errorf("start: %s runs already, or its cores are not 1 to %d", task, free)
	}
	wk.lease.Tasks[task] = c.Cores
	return 0, nil
}

func (wk *worker) stopTask(_ time.Time, task string, _ leaseCall) (int, error) {
	if _, ok := wk.lease.Tasks[task]; !ok {
		return http.StatusGone, errors.Errorf("stop: %s does not run", task)
	}
	delete(wk.lease.Tasks, task)
	return 0, nil
}

// advance applies the expiry of the lease and updates the usage history up to now.
func (wk *worker) advance(now time.Time) {
	at := now
	if !now.Before(wk.lease.ExpiresAt) {
		at = wk.lease.ExpiresAt
		clear(wk.lease.Tasks)
	}
	u := wk.currentUsage()
	if last := wk.history[len(wk.history)-1]; u != (usageSample{Cores: last.Cores, Tasks: last.Tasks}) {
		u.At = at
		wk.history = append(wk.history, u)
	}
	for len(wk.history) > 1 && !wk.history[1].At.After(now.Add(-wk.lag)) {
		wk.history = wk.history[1:]
	}
}

// currentUsage returns the current usage with At unset.
func (wk *worker) currentUsage() usageSample {
	u := usageSample{Tasks: len(wk.lease.Tasks)}
	for _, cores := range wk.lease.Tasks {
		u.Cores += cores
	}
	return u
}
