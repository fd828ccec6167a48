//go:build review

// Command kit2 plays one case of the second independent review: it starts the programs of the deploy file as
// separate processes on loopback addresses, with stand-ins for the store, the runners, clients and the operator,
// and checks one rule. It exits with 1 if the rule was broken, 0 if it held and 2 if the case couldn't run.
//
// Usage: kit2 CASE FOLDER. The record goes into FOLDER/record.txt. With TROUBLE=0 the disruption is left out.
package main

import (
	"context"
	"errors"
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"syscall"
	"time"
)

// limit bounds a case, with time left for the end of the processes.
const limit = 110 * time.Second

// scenario is one case. It reports whether the rule was broken.
type scenario struct {
	shape shape
	play  func(f *fleet, trouble bool) (broken bool, err error)
}

var scenarios = map[string]scenario{}

func main() {
	code, err := run()
	if err != nil {
		fmt.Fprintln(os.Stderr, "the case couldn't run:", err)
		code = 2
	}
	os.Exit(code)
}

func run() (int, error) {
	if len(os.Args) != 3 {
		return 2, errors.New("usage: kit2 CASE FOLDER")
	}
	s, known := scenarios[os.Args[1]]
	if !known {
		return 2, fmt.Errorf("no case %q", os.Args[1])
	}
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT, syscall.SIGHUP)
	defer stop()
	ctx, cancel := context.WithTimeout(ctx, limit)
	defer cancel()
	rec, err := newRecord(filepath.Join(os.Args[2], "record.txt"))
	if err != nil {
		return 2, err
	}
	defer rec.close()
	dir, err := os.MkdirTemp("", "kit2-")
	if err != nil {
		return 2, err
	}
	defer func() {
		if os.Getenv("KEEP") == "" {
			_ = os.RemoveAll(dir) // a temporary folder
		}
	}()
	f, err := newFleet(ctx, s.shape, dir, rec)
	if f != nil {
		defer f.close()
	}
	if err != nil {
		return 2, err
	}
	trouble := os.Getenv("TROUBLE") != "0"
	rec.add("trouble %v", trouble)
	broken, err := s.play(f, trouble)
	if err == nil {
		err = ctx.Err()
	}
	if err == nil {
		err = f.failure()
	}
	switch {
	case err != nil:
		rec.add("the case couldn't run: %v", err)
		return 2, err
	case broken:
		rec.add("result: the rule was broken")
		return 1, nil
	}
	rec.add("result: the rule held")
	return 0, nil
}
