package entry

import (
	"math"
	"net/netip"
	"slices"
	"time"

	"vanillatally/core/delegates"
	"vanillatally/core/throttle"
	"vanillatally/io/events"
)

const (
	// noticesPerMessage bounds the entries in a message, so that it fits one datagram.
	noticesPerMessage = 40
	// limitScale turns requests per second into the integers of messages.
	limitScale = 1000
	// noticeRounds is the number of heartbeat rounds in which news are announced, since messages may be lost.
	noticeRounds = 3
	// limitRefreshInterval is the age of the announced statement from which a newer one with the same limit is announced.
	limitRefreshInterval = time.Second
	// maxColdTime is the longest cold phase that is accepted from a server or another host.
	maxColdTime = 10 * time.Minute
)

// noticeSource is the origin of a notice.
type noticeSource uint8

// The sources: a response of the server, another host of this host's failure domain, and a host of another domain.
const (
	fromResponse noticeSource = iota
	fromOwnDomain
	fromOtherDomain
)

func (s noticeSource) in(sources []noticeSource) bool { return slices.Contains(sources, s) }

// isNews reports whether the statement is announced in this heartbeat round.
func (e *serverLimit) isNews() bool {
	return e.changeRounds > 0 || e.At-e.announcedAt >= limitRefreshInterval
}

// news returns the statements to announce in this heartbeat round, from the sources.
func (l *serverLimits) news(now time.Duration, sources ...noticeSource) (limits []ServerLimit) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for key, entry := range l.entries {
		if entry.isNews() && entry.source.in(sources) {
			limits = append(limits, entry.encode(now, key))
		}
	}
	return limits
}

// endRound records that the news of this heartbeat round were announced.
func (l *serverLimits) endRound() {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, entry := range l.entries {
		if entry.isNews() {
			entry.changeRounds, entry.announcedAt = max(entry.changeRounds-1, 0), entry.At
		}
	}
}

// inForce returns the statements of all servers with a limit.
func (l *serverLimits) inForce(now time.Duration) (limits []ServerLimit) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for key, entry := range l.entries {
		if entry.Limited() {
			limits = append(limits, entry.encode(now, key))
		}
	}
	return limits
}

// noticesInForce returns all that is known of servers with a limit and of cold ones.
func (h *Host) noticesInForce(now time.Duration) ServerNotices {
	return ServerNotices{Limits: h.serverLimits.inForce(now), Cold: h.coldNotices.inForce(now)}
}

// encode returns the statement in the form in which it is sent.
func (e *serverLimit) encode(now time.Duration, key incarnation) ServerLimit {
	return ServerLimit{
		Server: key.server, Started: key.started, Rate: uint32(math.Round(e.PerSecond * limitScale)),
		AgeMS: uint32(max(now-e.At, 0).Milliseconds()),
	}
}

// handleNotices records what another host passed on from backend servers.
func (f *fleet) handleNotices(message *ServerNotices) {
	if message.Host == f.host.settings.Host {
		return
	}
	source := fromOtherDomain
	if message.FailureDomain == f.host.settings.FailureDomain {
		source = fromOwnDomain
	}
	now := f.host.now()
	for _, limit := range message.Limits {
		age, rate := time.Duration(limit.AgeMS)*time.Millisecond, float64(limit.Rate)/limitScale
		if age > forgetStatementAfter || rate > throttle.MaxRate || rate > 0 && rate < throttle.MinRate {
			f.host.log.EmitRateLimited(events.ServerLimitInvalid, message.Host, "peer", message.Host, "per-second", rate, "age", age)
			continue
		}
		statement := throttle.Statement{PerSecond: rate, At: now - age}
		f.host.serverLimits.record(now, incarnation{limit.Server, limit.Started}, statement, source)
	}
	for _, cold := range message.Cold {
		left := min(time.Duration(cold.LeftMS)*time.Millisecond, maxColdTime)
		f.host.coldNotices.record(now, incarnation{cold.Server, cold.Started}, now+left, source)
	}
}

// announceNotices sends new notices. A host sends those from responses to the primary delegate of its failure domain, which
// forwards the notices of its own domain to the other domains, and all notices to the hosts of its domain.
func (f *fleet) announceNotices(now time.Duration) {
	f.mu.Lock()
	chosen := delegates.Choose(f.domainHosts(now))
	isPrimary := len(chosen) > 0 && chosen[0] == f.host.settings.Host
	var primary, domainPeers, others []netip.AddrPort
	if isPrimary {
		domainPeers, others = f.domainPeerAddresses(now), f.otherDelegates(now)
	} else if len(chosen) > 0 {
		primary = []netip.AddrPort{f.peers[chosen[0]].address}
	}
	f.mu.Unlock()
	if isPrimary {
		f.sendNews(now, domainPeers, fromResponse, fromOwnDomain, fromOtherDomain)
		f.sendNews(now, others, fromResponse, fromOwnDomain)
	} else {
		f.sendNews(now, primary, fromResponse)
	}
	f.host.serverLimits.endRound()
	f.host.coldNotices.endRound(now)
}

// sendNews sends what is new from the sources to the addresses.
func (f *fleet) sendNews(now time.Duration, addresses []netip.AddrPort, sources ...noticeSource) {
	f.sendNotices(ServerNotices{
		Limits: f.host.serverLimits.news(now, sources...), Cold: f.host.coldNotices.news(now, sources...),
	}, addresses)
}

// sendNotices sends the notices to the addresses, in as many messages as they need.
func (f *fleet) sendNotices(all ServerNotices, addresses []netip.AddrPort) {
	f.mu.Lock()
	origin := f.origin()
	f.mu.Unlock()
	for len(all.Limits)+len(all.Cold) > 0 {
		limits := min(len(all.Limits), noticesPerMessage)
		cold := min(len(all.Cold), noticesPerMessage-limits)
		f.sendPacket(Packet{ServerNotices: &ServerNotices{
			Origin: origin, Limits: all.Limits[:limits], Cold: all.Cold[:cold],
		}}, addresses)
		all.Limits, all.Cold = all.Limits[limits:], all.Cold[cold:]
	}
}
