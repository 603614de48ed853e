package host_test

import (
	"context"
	"fmt"
	"testing"
	"time"

	"golang.org/x/sync/errgroup"

	"vanillatally/io/backends"
)

// Guards against executing a hold twice when the host that forwards it is killed and the caller sends it again to another host.
func TestHoldRunsOnceWhenItsHostIsKilled(t *testing.T) {
	f := newFleet(t, 3, 2)
	for _, s := range f.servers {
		if err := s.SetFaults(backends.Fault{Kind: backends.FaultSlow, LatencyMS: 300}); err != nil {
			t.Fatal(err)
		}
	}
	client := f.newCaller()
	group := &errgroup.Group{}
	for i := range 24 {
		group.Go(func() error {
			ctx, cancel := context.WithTimeout(context.Background(), 15*time.Second)
			defer cancel()
			// The response may be a refusal; only the number of runs matters here.
			_, _ = client.Do(ctx, holdRequest(fmt.Sprintf("killed-%d", i)))
			return nil
		})
	}
	f.waitFor("a hold to run", func(context.Context) error {
		for _, s := range f.servers {
			if len(s.Runs()) > 0 {
				return nil
			}
		}
		return fmt.Errorf("no hold runs")
	})
	_ = f.hosts[0].command.Process.Kill()
	_ = group.Wait()
	for i := range 24 {
		if key := fmt.Sprintf("killed-%d", i); f.runs(key) > 1 {
			t.Errorf("hold %s ran %d times", key, f.runs(key))
		}
	}
}
