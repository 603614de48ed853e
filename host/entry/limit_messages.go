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
	// limitsPerMessage bounds the statements in a message, so that it fits one datagram.
	limitsPerMessage = 40
	// limitScale turns requests per second into the integers of messages.
	limitScale = 1000
	// limitChangeRounds is the number of heartbeat rounds in which a changed limit is announced, since messages may be lost.
	limitChangeRounds = 3
	// limitRefreshInterval is the age of the announced statement from which a newer one with the same limit is announced.
	limitRefreshInterval = time.Second
)

// isEmpty reports whether no server stated a limit recently.
func (l *serverLimits) isEmpty() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.entries) == 0
}

// news returns the statements to announce in this heartbeat round, from the sources.
func (l *serverLimits) news(now time.Duration, sources ...limitSource) (limits []ServerLimit) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for key, entry := range l.entries {
		if slices.Contains(sources, entry.source) && (entry.changeRounds > 0 || entry.At-entry.announcedAt >= limitRefreshInterval) {
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
		if entry.changeRounds > 0 || entry.At-entry.announcedAt >= limitRefreshInterval {
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

// encode returns the statement in the form in which it is sent.
func (e *serverLimit) encode(now time.Duration, key incarnation) ServerLimit {
	return ServerLimit{
		Server: key.server, Started: key.started, Rate: uint32(math.Round(e.PerSecond * limitScale)),
		AgeMS: uint32(max(now-e.At, 0).Milliseconds()),
	}
}

// handleLimits records the statements that another host sent.
func (f *fleet) handleLimits(message *ServerLimitsMessage) {
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
		f.host.serverLimits.record(now, incarnation{limit.Server, limit.Started}, throttle.Statement{PerSecond: rate, At: now - age}, source)
	}
}

// announceLimits sends what is new about the limits of servers. A host tells the primary delegate of its failure domain what
// it got from responses. The primary delegate tells the other domains what comes from its own one, and the hosts of its domain
// everything.
func (f *fleet) announceLimits(now time.Duration) {
	limits := &f.host.serverLimits
	if limits.isEmpty() {
		return
	}
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
		f.sendLimits(limits.news(now, fromResponse, fromOwnDomain, fromOtherDomain), domainPeers)
		f.sendLimits(limits.news(now, fromResponse, fromOwnDomain), others)
	} else {
		f.sendLimits(limits.news(now, fromResponse), primary)
	}
	limits.endRound()
}

// sendLimits sends statements to the addresses, in as many messages as they need.
func (f *fleet) sendLimits(limits []ServerLimit, addresses []netip.AddrPort) {
	f.mu.Lock()
	origin := f.origin()
	f.mu.Unlock()
	for len(limits) > 0 {
		n := min(len(limits), limitsPerMessage)
		f.sendPacket(Packet{ServerLimits: &ServerLimitsMessage{Origin: origin, Limits: limits[:n]}}, addresses)
		limits = limits[n:]
	}
}
