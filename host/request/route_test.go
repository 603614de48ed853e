package request

import (
	"net/http"
	"sync/atomic"
	"testing"

	"vanillatally/core/config"
	"vanillatally/io/backends"
)

// Guards against accepting an API key that was withdrawn while its request was being routed. The host checks that the
// configuration is fresh after it has looked up the key, and the check may succeed because of a newer configuration.
func TestAPIKeyWithdrawnDuringRouting(t *testing.T) {
	before := testConfiguration()
	after := testConfiguration()
	after.Sequence++
	after.Teams = map[string]config.Team{"band": {Template: "any"}}
	var current atomic.Pointer[config.Configuration]
	current.Store(before)
	f := newTestHost(t, 1, backends.StandInOptions{Service: "main"}, func(o *Options) {
		o.Configuration = current.Load
		o.ConfigurationFresh = func(string) bool {
			// A host that was paused receives the newest configuration, and the proof that it is fresh, while it routes a
			// request.
			current.Store(after)
			return true
		}
	})
	if got := f.send(http.MethodGet, "/search/1", ""); got.status != http.StatusUnauthorized {
		t.Errorf("a withdrawn API key got status %d, reason %q, want status 401", got.status, got.reason)
	}
}
