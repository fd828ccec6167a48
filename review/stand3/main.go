//go:build review

// Command stand3 plays the cases of the third review against the programs of the deploy file: it starts them as
// processes on loopback addresses, with stand-ins of the platform's store, the operator, runners and clients.
//
// Usage: stand3 CASE RECORD. The environment variable TROUBLE=0 leaves the case's disruption out. It exits with 1
// if the rule was broken, 0 if it held, 2 if the case could not run.
package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"runtime"
	"sync"
	"syscall"
	"time"
)

// runLimit bounds a case.
const runLimit = 110 * time.Second

var cases = map[string]func(ctx context.Context, dir string, r *record, trouble bool) (string, error){
	"kind":    playKind,
	"pending": playPending,
	"load":    playLoad,
	"long":    playLong,
}

func main() {
	runtime.LockOSThread() // processes are started by this thread, and end with it
	os.Exit(run())
}

func run() int {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: stand3 CASE RECORD")
		return 2
	}
	out, err := os.Create(os.Args[2])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	defer func() { _ = out.Close() }()
	dir, err := os.MkdirTemp("", "review-")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	if os.Getenv("KEEP") == "" {
		defer func() { _ = os.RemoveAll(dir) }()
	}
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	ctx, cancel := context.WithTimeout(ctx, runLimit)
	defer cancel()
	r := &record{out: out, began: time.Now()}
	broken, err := cases[os.Args[1]](ctx, dir, r, os.Getenv("TROUBLE") != "0")
	switch {
	case err != nil:
		r.add("not run: %v", err)
		return 2
	case broken != "":
		r.add("BROKEN: %s", broken)
		return 1
	}
	r.add("held")
	return 0
}

// record writes what was sent, answered and run, with the time since the beginning.
type record struct {
	mu     sync.Mutex
	out    *os.File
	began  time.Time
	starts []start
	ends   []end
}

func (r *record) add(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.line(format, args...)
}

// line writes a line. The caller holds the lock.
func (r *record) line(format string, args ...any) {
	fmt.Fprintf(r.out, "%9.3f  %s\n", time.Since(r.began).Seconds(), fmt.Sprintf(format, args...))
}

func (r *record) begun(s start) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.starts = append(r.starts, s)
	lacks := ""
	if s.lacks != "" {
		lacks = ", the step requires the label " + s.lacks
	}
	r.line("runner %d (kind %s) begins %s run %d%s", s.runner, s.kind, s.run.Task, s.run.Number, lacks)
}

func (r *record) ended(e end) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.ends = append(r.ends, e)
	r.line("runner %d lists the end of %s run %d: %s", e.runner, e.run.Task, e.run.Number, e.outcome)
}

// startsOf returns the starts of a job's tasks; of all jobs if the id is empty.
func (r *record) startsOf(id string) []start {
	r.mu.Lock()
	defer r.mu.Unlock()
	var out []start
	for _, s := range r.starts {
		if id == "" || len(s.run.Task) > len(id) && s.run.Task[:len(id)] == id {
			out = append(out, s)
		}
	}
	return out
}
