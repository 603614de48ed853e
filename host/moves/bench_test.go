package moves_test

import (
	"testing"
	"time"

	"vanillatally/core/rollout"
)

var observation = rollout.Observation{
	Service: "search", Version: "v1", Route: "search", Server: "a-1", Latency: 10 * time.Millisecond,
}

func BenchmarkHotPath(b *testing.B) {
	f := newFleet(b, 1, configuration(b, rolloutEdit("5m"), shiftEdit("move", `"route":"search"`)), 1)
	defer f.close()
	b.ReportAllocs()
	b.RunParallel(func(pb *testing.PB) {
		for pb.Next() {
			callHotPath(f.hosts[0].Service)
		}
	})
}
