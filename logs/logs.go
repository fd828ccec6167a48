// Package logs writes structured log lines without blocking the caller, and merges the
// logs of several processes into the timeline of one request.
package logs

import (
	"io"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"
)

const (
	// queueCapacity is the number of lines that are queued while the output is slow.
	queueCapacity = 2048
	// maxWriteBytes is the most that one write takes, unless a line is longer. The platform loses what
	// a write holds beyond 8 KiB.
	maxWriteBytes = 8 << 10
	// flushInterval is the delay between a batch's first line and its write, so that later
	// lines share the write.
	flushInterval = 20 * time.Millisecond
)

// Writer queues lines for output and drops them while the queue is full. Dropped returns
// how many were dropped.
type Writer struct {
	out io.Writer
	// batch holds the lines of the next write.
	batch   []byte
	lines   chan []byte
	dropped atomic.Int64
	stop    chan struct{}
	done    chan struct{}
}

// New returns a logger that writes to out, and its Writer, which the caller closes before
// the process ends.
func New(out io.Writer, process string) (zerolog.Logger, *Writer) {
	w := &Writer{
		out:   out,
		lines: make(chan []byte, queueCapacity),
		stop:  make(chan struct{}),
		done:  make(chan struct{}),
	}
	go w.run()
	zerolog.TimeFieldFormat = zerolog.TimeFormatUnixMs
	return zerolog.New(w).With().Timestamp().Str("process", process).Logger(), w
}

// Write implements io.Writer. It queues a copy of the line and never blocks.
func (w *Writer) Write(p []byte) (int, error) {
	select {
	case w.lines <- append([]byte(nil), p...):
	default:
		w.dropped.Add(1)
	}
	return len(p), nil
}

// Dropped returns the number of lines dropped so far.
func (w *Writer) Dropped() int64 { return w.dropped.Load() }

// Close writes the queued lines and stops the writer.
func (w *Writer) Close() {
	close(w.stop)
	<-w.done
}

func (w *Writer) run() {
	defer close(w.done)
	for {
		select {
		case line := <-w.lines:
			time.Sleep(flushInterval)
			w.writeQueued(line)
		case <-w.stop:
			w.writeQueued(nil)
			return
		}
	}
}

// writeQueued writes a line and those that are queued.
func (w *Writer) writeQueued(line []byte) {
	w.batch = append(w.batch[:0], line...)
	for {
		select {
		case line = <-w.lines:
		default:
			w.writeBatch()
			return
		}
		if len(w.batch)+len(line) > maxWriteBytes {
			w.writeBatch()
		}
		w.batch = append(w.batch, line...)
	}
}

func (w *Writer) writeBatch() {
	if len(w.batch) > 0 {
		_, _ = w.out.Write(w.batch) // a failed log write cannot be reported
	}
	w.batch = w.batch[:0]
}
