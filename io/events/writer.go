package events

import (
	"context"
	"fmt"
	"io"
	"sync/atomic"
	"time"
)

const (
	// writeQueueLength bounds the lines that wait to be written. Further ones are dropped and counted.
	writeQueueLength = 1024
	// flushTimeout bounds the time for writing the queued lines when Run ends.
	flushTimeout = 200 * time.Millisecond
)

// Writer is an asynchronous, non-blocking writer of log lines. When the reader of the output is slow or has stopped, lines are
// dropped, and nothing else is affected.
type Writer struct {
	out     io.Writer
	lines   chan []byte
	dropped atomic.Uint64
	done    chan struct{}
}

// NewWriter returns a writer to out. The lines are written while Run runs.
func NewWriter(out io.Writer) *Writer {
	return &Writer{out: out, lines: make(chan []byte, writeQueueLength), done: make(chan struct{})}
}

// Write queues one line. It never blocks and never fails.
func (w *Writer) Write(line []byte) (int, error) {
	select {
	case w.lines <- append([]byte(nil), line...):
	default:
		w.dropped.Add(1)
	}
	return len(line), nil
}

// Dropped returns the number of lines that were dropped so far.
func (w *Writer) Dropped() uint64 { return w.dropped.Load() }

// Run writes lines until ctx ends, and then those in the queue. It writes a LinesOmitted event after lines were dropped.
func (w *Writer) Run(ctx context.Context) error {
	defer close(w.done)
	reported := uint64(0)
	for {
		select {
		case line := <-w.lines:
			// The error is ignored: there is no other place to log it.
			_, _ = w.out.Write(line)
		case <-ctx.Done():
			w.flush()
			return nil
		}
		if dropped := w.dropped.Load(); dropped != reported && len(w.lines) == 0 {
			_, _ = fmt.Fprintf(w.out, "{\"event\":%d,\"msg\":%q,\"lost\":%d}\n",
				LinesOmitted.Number, LinesOmitted.Message, dropped-reported)
			reported = dropped
		}
	}
}

// flush writes the queued lines, for at most flushTimeout.
func (w *Writer) flush() {
	deadline := time.Now().Add(flushTimeout)
	for len(w.lines) > 0 && time.Now().Before(deadline) {
		_, _ = w.out.Write(<-w.lines)
	}
}

// Wait waits until Run has stopped, but not for long: a process must end even if nobody reads its log and Run is blocked.
func (w *Writer) Wait() {
	timer := time.NewTimer(2 * flushTimeout)
	defer timer.Stop()
	select {
	case <-w.done:
	case <-timer.C:
	}
}

// Done returns a channel that is closed when Run has stopped.
func (w *Writer) Done() <-chan struct{} { return w.done }
