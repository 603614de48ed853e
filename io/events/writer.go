package events

import (
	"context"
	"fmt"
	"io"
	"sync/atomic"
	"time"
)

const (
	// writerLines bounds the lines that wait to be written; further ones are lost and counted.
	writerLines = 1024
	// flushLimit bounds the time in which waiting lines are written at the end.
	flushLimit = 200 * time.Millisecond
)

// Writer passes lines on to another writer without ever blocking: a reader that is slow or has stopped loses lines and
// nothing else.
type Writer struct {
	out   io.Writer
	lines chan []byte
	lost  atomic.Uint64
	done  chan struct{}
}

// NewWriter returns a writer to out; Run must run beside it.
func NewWriter(out io.Writer) *Writer {
	return &Writer{out: out, lines: make(chan []byte, writerLines), done: make(chan struct{})}
}

// Write takes one line. It never blocks and never fails.
func (w *Writer) Write(line []byte) (int, error) {
	select {
	case w.lines <- append([]byte(nil), line...):
	default:
		w.lost.Add(1)
	}
	return len(line), nil
}

// Dropped returns the number of lines that were lost so far.
func (w *Writer) Dropped() uint64 { return w.lost.Load() }

// Run writes lines until ctx ends, and then those that still wait.
func (w *Writer) Run(ctx context.Context) error {
	defer close(w.done)
	reported := uint64(0)
	for {
		select {
		case line := <-w.lines:
			// A log that cannot be written has nowhere to say so.
			_, _ = w.out.Write(line)
		case <-ctx.Done():
			w.flush()
			return nil
		}
		if lost := w.lost.Load(); lost != reported && len(w.lines) == 0 {
			_, _ = fmt.Fprintf(w.out, "{\"event\":%d,\"msg\":%q,\"lost\":%d}\n", LinesOmitted.Number, LinesOmitted.Message, lost-reported)
			reported = lost
		}
	}
}

func (w *Writer) flush() {
	limit := time.Now().Add(flushLimit)
	for len(w.lines) > 0 && time.Now().Before(limit) {
		_, _ = w.out.Write(<-w.lines)
	}
}

// Wait returns once Run has returned, or after a while when the reader has stopped: the end of a process does not wait for
// its log.
func (w *Writer) Wait() {
	timer := time.NewTimer(2 * flushLimit)
	defer timer.Stop()
	select {
	case <-w.done:
	case <-timer.C:
	}
}

// Done is closed when Run has returned.
func (w *Writer) Done() <-chan struct{} { return w.done }
