package entry

import (
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	"vanillatally/core/config"
	"vanillatally/io/platform"
)

// Guards against hosts that send a cold server as many requests as a warm one, because only the host that probed it knows that
// it came back cold: the store, which would tell all hosts, is away.
func TestColdServerIsKnownToAllHosts(t *testing.T) {
	cold := newLimitedServer(t)
	cold.answer = func(w http.ResponseWriter, r *http.Request) bool {
		if r.URL.Path == "/health" {
			w.Header().Set("Server", "server-a")
			w.Header().Set("Cold", "20000")
		}
		return r.URL.Path == "/health"
	}
	servers := []*limitedServer{cold, newLimitedServer(t)}
	synctest.Test(t, func(t *testing.T) {
		f := newLimitFleet(t, 8, servers)
		defer f.stop()
		for _, h := range f.running {
			next := *h.configuration
			next.Sequence, next.Services = 2, map[string]config.Service{"search": {ColdRate: 1, HealthPath: "/health"}}
			next = next.WithIndex()
			h.SetConfiguration(&next)
		}
		prober := f.running[5]
		if !prober.probe(prober.listedServer("server-a")) {
			t.Fatal("the probe failed")
		}
		f.run(3*time.Second, 0)
		for _, h := range f.running {
			if !h.listedServer("server-a").isCold(h.now()) {
				t.Errorf("%s does not know that the server is cold", h.settings.Host)
			}
		}
		before := len(cold.sent())
		f.run(5*time.Second, limitTestRate)
		if got := len(cold.sent()) - before; got > 6 {
			t.Errorf("the cold server got %d requests in 5 s, want at most 6 at 1/s", got)
		}
		// The store lists a new process of the server, which is warm.
		for _, h := range f.running {
			listed := []platform.BackendServer{h.listedServer("server-a").BackendServer, h.listedServer("server-b").BackendServer}
			listed[0].Started = 5
			h.SetServers(listed)
		}
		f.run(2*time.Second, 0)
		for _, h := range f.running {
			if h.listedServer("server-a").isCold(h.now()) {
				t.Errorf("%s takes a new process of the server for cold", h.settings.Host)
			}
		}
	})
}
