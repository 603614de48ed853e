package events

import (
	"bytes"
	"context"
	"io"
	"strings"
	"testing"
	"testing/synctest"

	"golang.org/x/sync/errgroup"
)

// stalledOutput is an output that blocks until release is closed, such as a pipe whose reader has stopped.
type stalledOutput struct {
	release chan struct{}
	bytes.Buffer
}

func (s *stalledOutput) Write(line []byte) (int, error) {
	<-s.release
	return s.Buffer.Write(line)
}

// Guards against log calls that block requests while nobody reads the standard output, and against lines that are dropped
// without a log line about it.
func TestStalledOutputOnlyDropsLines(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		out := &stalledOutput{release: make(chan struct{})}
		w := NewWriter(out)
		ctx, cancel := context.WithCancel(context.Background())
		var group errgroup.Group
		group.Go(func() error { return w.Run(ctx) })
		const lines = 2 * writeQueueLength
		for range lines {
			if _, err := io.WriteString(w, "line\n"); err != nil {
				t.Fatal(err)
			}
		}
		synctest.Wait()
		// One more line may be in the blocked call of Write.
		if dropped := w.Dropped(); dropped < lines-writeQueueLength-1 {
			t.Errorf("%d of %d lines were dropped; want all but the %d in the queue and one", dropped, lines, writeQueueLength)
		}
		close(out.release)
		synctest.Wait()
		if !strings.Contains(out.String(), LinesOmitted.Message) {
			t.Error("no log line says that lines were dropped")
		}
		cancel()
		_ = group.Wait()
	})
}

// Guards against a process that doesn't end because nobody reads its log.
func TestProcessEndsWhileOutputIsStalled(t *testing.T) {
	synctest.Test(t, func(*testing.T) {
		out := &stalledOutput{release: make(chan struct{})}
		w := NewWriter(out)
		ctx, cancel := context.WithCancel(context.Background())
		var group errgroup.Group
		group.Go(func() error { return w.Run(ctx) })
		_, _ = io.WriteString(w, "line\n")
		synctest.Wait()
		cancel()
		w.Wait()
		close(out.release)
		_ = group.Wait()
	})
}
