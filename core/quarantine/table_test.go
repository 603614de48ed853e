package quarantine

import (
	"testing"
	"time"
)

// Guards against refusing a bystander, clearing a request that crashes servers, and refusing one for ever.
func TestTableFollowsNotices(t *testing.T) {
	table := Table{}
	notice := func(fingerprint uint64, state State, now time.Duration) {
		table = table.WithNotice(Notice{Fingerprint: fingerprint, State: state}, now)
	}
	state := func(fingerprint uint64, now time.Duration) State { return table.Find(fingerprint, now).Notice.State }
	if got := table.AfterCrash(1, true, 0); got != Suspect {
		t.Errorf("after the first crash: %s", got)
	}
	notice(1, Suspect, 0)
	notice(2, Suspect, 0)
	if got := table.AfterCrash(1, false, 0); got != Suspect {
		t.Errorf("after a crash beside others: %s", got)
	}
	if got := table.AfterCrash(1, true, 0); got != Quarantined {
		t.Errorf("after a crash alone: %s", got)
	}
	notice(1, Quarantined, time.Second)
	notice(1, Clear, time.Second)
	notice(2, Clear, time.Second)
	if state(1, time.Minute) != Quarantined || state(2, time.Minute) != Clear {
		t.Errorf("states %s and %s", state(1, time.Minute), state(2, time.Minute))
	}
	if got := state(1, EntryTTL+time.Second); got != Clear {
		t.Errorf("after its lifetime: %s", got)
	}
	for i := range uint64(2 * MaxEntries) {
		notice(100+i, Suspect, time.Duration(i))
	}
	if table.Len() > MaxEntries || state(1, time.Minute) != Quarantined {
		t.Errorf("%d entries, state %s", table.Len(), state(1, time.Minute))
	}
}
