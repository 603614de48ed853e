package request

import (
	"net/http"
	"sync/atomic"
	"testing"

	"vanillatally/core/config"
	"vanillatally/io/backends"
)

// Guards against a request that is judged by a configuration that is not the newest any more, because the proof of
// freshness came with the next one: its key may have been withdrawn meanwhile.
func TestKeyWithdrawnWhileTheRequestIsRouted(t *testing.T) {
	before := testConfiguration()
	after := testConfiguration()
	after.Sequence++
	after.Teams = map[string]config.Team{"band": {Template: "any"}}
	var current atomic.Pointer[config.Configuration]
	current.Store(before)
	f := newFleet(t, 1, backends.StandInOptions{Service: "main"}, func(o *Options) {
		o.Configuration = current.Load
		o.ConfigurationFresh = func(string) bool {
			// A host that wakes up takes the newest configuration and its proof between two steps of a request.
			current.Store(after)
			return true
		}
	})
	if got := f.send(http.MethodGet, "/search/1", ""); got.status != http.StatusUnauthorized {
		t.Errorf("status %d, reason %q, want 401", got.status, got.reason)
	}
}
