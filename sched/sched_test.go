package sched

import (
	"runtime"
	"testing"
	"time"
)

// spin uses the processor for a time.
func spin(d time.Duration) {
	for began := time.Now(); time.Since(began) < d; {
	}
}

// Guards against figures that don't show a process that falls behind, or that show one for its past.
func TestLoadShowsGoroutinesThatWait(t *testing.T) {
	const goroutines, slice = 200, 2 * time.Millisecond
	defer runtime.GOMAXPROCS(runtime.GOMAXPROCS(1))
	p := New()
	done := make(chan bool)
	for range goroutines {
		go func() {
			spin(slice)
			done <- true
		}()
	}
	for range goroutines {
		<-done
	}
	busy := p.Load()
	if busy.Wait < 10*slice || busy.Used < goroutines*slice/20 {
		t.Errorf("%d goroutines of %v each on one processor: load %+v, want waits of %v and %v of processor time at least", goroutines, slice, busy, 10*slice, goroutines*slice/20)
	}
	for range goroutines {
		time.Sleep(time.Millisecond)
	}
	if idle := p.Load(); idle.Wait > busy.Wait/4 {
		t.Errorf("an idle process: load %+v, want waits of %v at most", idle, busy.Wait/4)
	}
}
