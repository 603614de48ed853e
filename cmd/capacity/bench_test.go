package main

import (
	"fmt"
	"testing"
)

// BenchmarkLoss compares the ways to choose a site after a loss; the time per operation is that of the whole run.
func BenchmarkLoss(b *testing.B) {
	for _, sites := range []int{290, 967, 2900} {
		f := newFleet(sites, 0.6)
		for _, loss := range losses {
			for name, placer := range map[string]func() placer{
				"rendezvous":     func() placer { return newRendezvous(f) },
				"bounded":        func() placer { return newBounded(f, false) },
				"bounded-oracle": func() placer { return newBounded(f, true) },
			} {
				b.Run(fmt.Sprintf("way=%s/loss=%s/sites=%d", name, loss.name, sites), func(b *testing.B) {
					var o outcome
					for b.Loop() {
						o = runLoss(f, placer(), loss.hits, loss.flap)
					}
					b.ReportMetric(o.moved, "moved")
					b.ReportMetric(o.before, "load/capacity-before")
					b.ReportMetric(o.after, "load/capacity-after")
					b.ReportMetric(o.unserved, "unserved")
				})
			}
		}
	}
}
