package host

import (
	"testing"
	"time"

	"vanillatally/core/membership"
	"vanillatally/host/configs"
	"vanillatally/io/peers"
)

// Guards against a frozen host that wakes up and honours a withdrawn key: the withdrawal is accepted once the host counts
// as dead, and a statement that waits in its socket must no longer prove its configuration by then. lagError is what the
// estimate of a statement's delay may miss.
func TestDeadHostsHaveNoFreshConfiguration(t *testing.T) {
	const maxDelayError = 500 * time.Millisecond
	timing := membership.DefaultTiming()
	dead, fresh := timing.SuspectAfter+timing.DeadAfter, peers.DeadPeerTimeout+configs.FreshnessTTL+maxDelayError
	if dead < fresh {
		t.Errorf("a silent host counts as dead after %s, and proves its configuration for up to %s", dead, fresh)
	}
}
