package main

import (
	"fmt"
	"net/http"
	"net/http/httptest"
	"runtime"
	"testing"

	"github.com/coder/websocket"
	"github.com/fxamacker/cbor/v2"

	"vanillatally/core/config"
	"vanillatally/core/membership"
)

// BenchmarkLoss compares the algorithms that select sites when sites fail. The time per operation is that of a whole
// simulation.
func BenchmarkLoss(b *testing.B) {
	for _, sites := range []int{290, 967, 2900} {
		f := newFleet(sites, 0.6)
		for _, loss := range lossScenarios {
			for name, newSelector := range map[string]func() siteSelector{
				"rendezvous":     func() siteSelector { return newRendezvous(f) },
				"bounded":        func() siteSelector { return newBoundedLoads(f, false) },
				"bounded-oracle": func() siteSelector { return newBoundedLoads(f, true) },
			} {
				b.Run(fmt.Sprintf("way=%s/loss=%s/sites=%d", name, loss.name, sites), func(b *testing.B) {
					var result lossResult
					for b.Loop() {
						result = simulateLoss(f, newSelector(), loss.affects, loss.flapping)
					}
					b.ReportMetric(result.moved, "moved")
					b.ReportMetric(result.before, "load/capacity-before")
					b.ReportMetric(result.after, "load/capacity-after")
					b.ReportMetric(result.unserved, "unserved")
				})
			}
		}
	}
}

// BenchmarkMessage encodes and decodes a sample of each kind of message between hosts and reports its size.
func BenchmarkMessage(b *testing.B) {
	for _, s := range sampleMessages {
		for _, n := range s.sizes {
			b.Run(fmt.Sprintf("kind=%s/entries=%d", s.kind, n), func(b *testing.B) {
				var message []byte
				for b.Loop() {
					var err error
					if message, err = s.encode(n); err != nil {
						b.Fatal(err)
					}
					var decoded any
					if err = cbor.Unmarshal(message, &decoded); err != nil {
						b.Fatal(err)
					}
				}
				b.ReportMetric(float64(len(message)), "payload-B")
				b.ReportMetric(float64(tcpWireBytes(len(message))), "tcp-B")
				b.ReportMetric(float64(udpWireBytes(len(message))), "udp-B")
			})
		}
	}
}

// BenchmarkExchange sends a message and its response over a WebSocket on the loopback interface. The time per operation
// includes both ends.
func BenchmarkExchange(b *testing.B) {
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		c, err := websocket.Accept(w, r, nil)
		if err != nil {
			return
		}
		defer c.CloseNow()
		for {
			kind, message, err := c.Read(r.Context())
			if err != nil || c.Write(r.Context(), kind, message) != nil {
				return
			}
		}
	}))
	defer server.Close()
	for _, size := range []int{100, 400, 1600} {
		b.Run(fmt.Sprintf("bytes=%d", size), func(b *testing.B) {
			c, _, err := websocket.Dial(b.Context(), server.URL, nil)
			if err != nil {
				b.Fatal(err)
			}
			defer c.CloseNow()
			message := make([]byte, size)
			for b.Loop() {
				if err := c.Write(b.Context(), websocket.MessageBinary, message); err != nil {
					b.Fatal(err)
				}
				if _, _, err := c.Read(b.Context()); err != nil {
					b.Fatal(err)
				}
			}
		})
	}
}

// BenchmarkTables measures the memory that a host needs for its tables of members and teams.
func BenchmarkTables(b *testing.B) {
	heap := func() float64 {
		runtime.GC()
		runtime.GC()
		var m runtime.MemStats
		runtime.ReadMemStats(&m)
		return float64(m.HeapAlloc)
	}
	for _, n := range []int{9, 90, 900, 4500} {
		b.Run(fmt.Sprintf("hosts=%d", n), func(b *testing.B) {
			before := heap()
			var table map[string]membership.Member
			var teams config.Configuration
			for b.Loop() {
				table, teams = map[string]membership.Member{}, config.Configuration{Teams: map[string]config.Team{}}
				for i, m := range sampleMembers(n) {
					table[hostName(i)] = m
				}
				for i := range 2000 { // about 1 MB of documents, the maximum size of a value in the store
					teams.Teams[teamName(i)] = config.Team{
						Template: "standard", Keys: []string{hexDigits64(i), hexDigits64(i + 1)},
						Routes: []string{"search", "calendars"},
					}
				}
			}
			b.ReportMetric((heap()-before)/1e6, "MB")
			runtime.KeepAlive(table)
			runtime.KeepAlive(teams)
		})
	}
}
