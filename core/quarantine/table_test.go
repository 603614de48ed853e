package quarantine

import (
	"testing"
	"time"
)

// Guards against quarantining a request that merely ran beside the one that crashed the server, clearing a quarantined
// request by a late notice, and keeping a request in quarantine for ever. Also guards against a table that exceeds
// MaxEntries or evicts a quarantined request for suspected ones.
func TestNoticesChangeRequestState(t *testing.T) {
	table := Table{}
	notice := func(fingerprint uint64, state State, now time.Duration) {
		table = table.WithNotice(Notice{Fingerprint: fingerprint, State: state}, now)
	}
	state := func(fingerprint uint64, now time.Duration) State { return table.Find(fingerprint, now).Notice.State }
	if got := table.AfterCrash(1, true, 0); got != Suspect {
		t.Errorf("state after the first crash is %s, want suspect", got)
	}
	notice(1, Suspect, 0)
	notice(2, Suspect, 0)
	if got := table.AfterCrash(1, false, 0); got != Suspect {
		t.Errorf("state after a crash while running with others is %s, want suspect", got)
	}
	if got := table.AfterCrash(1, true, 0); got != Quarantined {
		t.Errorf("state after a crash while running alone is %s, want quarantined", got)
	}
	notice(1, Quarantined, time.Second)
	notice(1, Clear, time.Second)
	notice(2, Clear, time.Second)
	if state(1, time.Minute) != Quarantined || state(2, time.Minute) != Clear {
		t.Errorf("states are %s and %s, want quarantined and clear", state(1, time.Minute), state(2, time.Minute))
	}
	if got := state(1, EntryTTL+time.Second); got != Clear {
		t.Errorf("state after EntryTTL is %s, want clear", got)
	}
	for i := range uint64(2 * MaxEntries) {
		notice(100+i, Suspect, time.Duration(i))
	}
	if table.Len() > MaxEntries || state(1, time.Minute) != Quarantined {
		t.Errorf("%d entries, quarantined request is %s, want at most MaxEntries and quarantined", table.Len(), state(1, time.Minute))
	}
}
