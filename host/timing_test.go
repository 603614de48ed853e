package host

import (
	"testing"
	"time"

	"vanillatally/core/membership"
	"vanillatally/host/configs"
	"vanillatally/io/peers"
)

// Guards against a paused host that resumes and accepts a withdrawn API key. The withdrawal is confirmed without a host that is
// declared dead, so by then no delayed message may prove to that host that its old configuration is fresh. maxDelayError is the
// maximum error of the estimated delay of such a message.
func TestDeadHostsHaveNoFreshConfiguration(t *testing.T) {
	const maxDelayError = 500 * time.Millisecond
	timing := membership.DefaultTiming()
	dead, fresh := timing.SuspectAfter+timing.DeadAfter, peers.DeadPeerTimeout+configs.FreshnessTTL+maxDelayError
	if dead < fresh {
		t.Errorf("a host that does not respond is declared dead after %s, but may consider its configuration fresh for up to %s",
			dead, fresh)
	}
}
