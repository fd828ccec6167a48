package logs

import (
	"io"
	"slices"
	"strings"
	"testing"
	"time"
)

// blockedOutput is an output whose writes block until release is closed.
type blockedOutput struct{ release chan struct{} }

func (b blockedOutput) Write(p []byte) (int, error) {
	<-b.release
	return len(p), nil
}

// Guards against requests that block because nothing reads standard output. Ten times the
// capacity of the queue is logged without blocking, and the dropped lines are counted.
func TestBlockedOutputDoesNotBlockLogging(t *testing.T) {
	out := blockedOutput{make(chan struct{})}
	log, w := New(out, "p")
	done := make(chan struct{})
	go func() {
		defer close(done)
		for n := range 10 * queueCapacity {
			log.Info().Int("n", n).Msg("line")
		}
	}()
	select {
	case <-done:
	case <-time.After(10 * time.Second):
		t.Fatal("logging blocks while the output is blocked")
	}
	if got := w.Dropped(); got < 8*queueCapacity {
		t.Errorf("%d lines dropped, want at least %d", got, 8*queueCapacity)
	}
	close(out.release)
	w.Close()
}

// Guards against queued lines that are not written before the process ends.
func TestCloseWritesQueuedLines(t *testing.T) {
	r, out := io.Pipe()
	var got strings.Builder
	read := make(chan struct{})
	go func() {
		defer close(read)
		_, _ = io.Copy(&got, r) // reading the pipe ends without an error
	}()
	log, w := New(out, "p")
	for range 100 {
		log.Info().Msg("line")
	}
	w.Close()
	_ = out.Close()
	<-read
	if n := strings.Count(got.String(), `"message":"line"`); n != 100 {
		t.Errorf("%d lines written, want 100", n)
	}
}

// recordedWrites is an output that keeps the size and the end of each write.
type recordedWrites struct {
	sizes   []int
	written int
	torn    bool
}

func (r *recordedWrites) Write(p []byte) (int, error) {
	r.sizes = append(r.sizes, len(p))
	r.written += len(p)
	r.torn = r.torn || p[len(p)-1] != '\n'
	return len(p), nil
}

// Guards against lines that are torn or lost because the platform takes no more than 8 KiB of a write.
func TestWritesAreShort(t *testing.T) {
	const lines = 1500
	out := &recordedWrites{}
	log, w := New(out, "p")
	for n := range lines {
		log.Info().Str("text", strings.Repeat("x", n%400)).Msg("m")
	}
	w.Close()
	if out.torn || slices.Max(out.sizes) > 8<<10 || w.Dropped() > 0 {
		t.Errorf("writes of %v bytes, torn %v, %d lines dropped", out.sizes, out.torn, w.Dropped())
	}
	if most := 2 * (1 + out.written/maxWriteBytes); len(out.sizes) > most {
		t.Errorf("%d writes for %d bytes, want at most %d", len(out.sizes), out.written, most)
	}
}
