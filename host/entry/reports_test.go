package entry

import (
	"testing"

	"vanillatally/io/platform"
)

// reported returns the entry of a server, whose process started at the given time, from its report of the given number.
func reported(id string, started int64, report uint64) platform.BackendServer {
	s := restoredServer(id, started)
	s.Report = report
	return s
}

func reportedLeaving(id string, started int64, report uint64) platform.BackendServer {
	s := reported(id, started, report)
	s.Leaving = true
	return s
}

// Guards against a leaving server that gets requests again because the store executed an earlier report of it late, up to its
// exit and after it (review/9, DRAIN).
func TestLateReportDoesNotTakeBackLeaving(t *testing.T) {
	h := newRestoreHost(t, nil)
	list := func(entries ...platform.BackendServer) {
		h.SetServers(append([]platform.BackendServer{restoredServer("a", 1), restoredServer("b", 1)}, entries...))
	}
	list(reported("c", 1, 1))
	expectUsable(t, h, "at first", "a", "b", "c")
	list(reportedLeaving("c", 1, 5))
	list(reported("c", 1, 2))
	expectUsable(t, h, "after a late report", "a", "b")
	list(reportedLeaving("c", 1, 6))
	list()
	list(reported("c", 1, 3))
	expectUsable(t, h, "after a late report of a server that has left", "a", "b")
	h.start = h.start.Add(-removalTTL)
	h.expireUnlisted()
	list()
	list(reported("c", 2, 1))
	expectUsable(t, h, "after a restart", "a", "b", "c")
}

// Guards against a server that stays out of use: after a newer report that takes its leaving back, after its entry lapsed and was
// written again, and when it states no number or no start.
func TestNewerReportsAreUsed(t *testing.T) {
	h := newRestoreHost(t, nil)
	expectAfter := func(when string, listed platform.BackendServer, want ...string) {
		t.Helper()
		h.SetServers([]platform.BackendServer{restoredServer("a", 1), restoredServer("b", 1), listed})
		expectUsable(t, h, when, want...)
	}
	expectAfter("leaving", reportedLeaving("c", 1, 5), "a", "b")
	expectAfter("taken back", reported("c", 1, 6), "a", "b", "c")
	h.SetServers([]platform.BackendServer{restoredServer("a", 1), restoredServer("b", 1)})
	expectUsable(t, h, "lapsed", "a", "b")
	expectAfter("listed again as before", reported("c", 1, 6), "a", "b", "c")
	expectAfter("leaving without a number", reportedLeaving("c", 1, 0), "a", "b")
	expectAfter("ready without a number", reported("c", 1, 0), "a", "b", "c")
	expectAfter("leaving without a start", reportedLeaving("c", 0, 9), "a", "b")
	expectAfter("restarted without a start", reported("c", 0, 1), "a", "b", "c")
}

// Guards against an entry of an earlier process that replaces a restarted server: requests would go to an address that nobody or
// another service has, and the crash of a process that runs would be counted.
func TestLateReportOfEarlierProcessIsIgnored(t *testing.T) {
	h := newRestoreHost(t, nil)
	at := func(s platform.BackendServer, address string) platform.BackendServer {
		s.Address = address
		return s
	}
	h.SetServers([]platform.BackendServer{at(reported("c", 1, 8), "10.0.0.3:80")})
	h.SetServers([]platform.BackendServer{at(reported("c", 2, 1), "10.0.0.4:80")})
	cold := at(reported("c", 2, 2), "10.0.0.4:80")
	cold.ColdFor = removalTTL
	h.SetServers([]platform.BackendServer{cold})
	h.SetServers([]platform.BackendServer{at(reported("c", 1, 9), "10.0.0.3:80")})
	s := h.servers["c"]
	if s.Address != "10.0.0.4:80" || !s.isCold(h.now()) {
		t.Errorf("after a late report of the earlier process, the server is at %s, cold %t; want 10.0.0.4:80 and cold", s.Address, s.isCold(h.now()))
	}
	h.SetServers(nil)
	h.keepUnlistedUntil = 0
	h.expireUnlisted()
	h.SetServers([]platform.BackendServer{at(reported("c", 1, 10), "10.0.0.3:80")})
	if h.servers["c"] != nil {
		t.Error("a late report of the earlier process brought back a server that has left")
	}
}
