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

// stalled is a reader that has stopped, until release is closed.
type stalled struct {
	release chan struct{}
	bytes.Buffer
}

func (s *stalled) Write(line []byte) (int, error) {
	<-s.release
	return s.Buffer.Write(line)
}

// Guards against a standard output that has stalled and holds up requests or the end of the process, and against lines
// that are lost without a count.
func TestStalledOutputLosesLinesOnly(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		out := &stalled{release: make(chan struct{})}
		w := NewWriter(out)
		ctx, cancel := context.WithCancel(context.Background())
		var group errgroup.Group
		group.Go(func() error { return w.Run(ctx) })
		const lines = 2 * writerLines
		for range lines {
			if _, err := io.WriteString(w, "line\n"); err != nil {
				t.Fatal(err)
			}
		}
		synctest.Wait()
		// One line may be in the stalled write.
		if lost := w.Dropped(); lost < lines-writerLines-1 {
			t.Errorf("%d lines are lost of %d beside %d that wait", lost, lines, writerLines)
		}
		close(out.release)
		synctest.Wait()
		if !strings.Contains(out.String(), LinesOmitted.Message) {
			t.Error("the loss is not stated")
		}
		cancel()
		_ = group.Wait()
	})
}

// Guards against a process that does not end because nobody reads its log.
func TestEndDoesNotWaitForTheLog(t *testing.T) {
	synctest.Test(t, func(*testing.T) {
		out := &stalled{release: make(chan struct{})}
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
