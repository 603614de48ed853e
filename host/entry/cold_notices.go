package entry

import (
	"sync"
	"time"
)

const (
	// maxColdNotices bounds the servers of which a host announces that they are cold; further ones are not announced.
	maxColdNotices = 512
	// minColdExtension is the time by which a statement has to extend the cold phase of a server to count as a new one: the
	// ages of messages are inexact.
	minColdExtension = 500 * time.Millisecond
)

// coldNotices holds the cold phases that servers stated in responses to single hosts. They are announced to the other hosts,
// since all of them together may send a cold server few requests only.
type coldNotices struct {
	host *Host
	mu   sync.Mutex
	// entries holds the servers that are cold now, up to maxColdNotices.
	entries map[incarnation]*coldNotice
}

// coldNotice is the cold phase of one server.
type coldNotice struct {
	until  time.Duration
	source noticeSource
	// rounds is the number of heartbeat rounds in which the notice is still announced.
	rounds int
}

// record marks the server as cold until the given time, and announces it if it is news.
func (n *coldNotices) record(now time.Duration, key incarnation, until time.Duration, source noticeSource) {
	n.mu.Lock()
	entry := n.entries[key]
	isNew := until > now && (entry == nil && len(n.entries) < maxColdNotices || entry != nil && until > entry.until+minColdExtension)
	if isNew {
		n.entries[key] = &coldNotice{until: until, source: source, rounds: noticeRounds}
	}
	n.mu.Unlock()
	if !isNew {
		return
	}
	if s := n.host.serverOf(key); s != nil {
		s.markCold(now, until-now)
	}
}

// news returns the notices to announce in this heartbeat round, from the sources.
func (n *coldNotices) news(now time.Duration, sources ...noticeSource) []ColdServer {
	return n.selected(now, func(entry *coldNotice) bool { return entry.rounds > 0 && entry.source.in(sources) })
}

// inForce returns the notices of all cold servers.
func (n *coldNotices) inForce(now time.Duration) []ColdServer {
	return n.selected(now, func(*coldNotice) bool { return true })
}

// selected returns the notices of cold servers for which keep returns true.
func (n *coldNotices) selected(now time.Duration, keep func(*coldNotice) bool) (cold []ColdServer) {
	n.mu.Lock()
	defer n.mu.Unlock()
	for key, entry := range n.entries {
		if left := entry.until - now; left > 0 && keep(entry) {
			cold = append(cold, ColdServer{Server: key.server, Started: key.started, LeftMS: uint32(left.Milliseconds())})
		}
	}
	return cold
}

// endRound records that the news of this heartbeat round were announced, and drops the servers that are warm by now.
func (n *coldNotices) endRound(now time.Duration) {
	n.mu.Lock()
	defer n.mu.Unlock()
	for key, entry := range n.entries {
		entry.rounds = max(entry.rounds-1, 0)
		if entry.until <= now {
			delete(n.entries, key)
		}
	}
}
