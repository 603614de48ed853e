package configs

import (
	"context"
	"math"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/cockroachdb/errors"

	"vanillatally/core/config"
	"vanillatally/core/membership"
	"vanillatally/io/peers"
	"vanillatally/io/store"
)

const (
	// watchTimeout is short because the response that ends a watch proves contact with the store; this way there is one at
	// least twice a second. The first watch of a new relay is shorter, since the other hosts' freshness is running out.
	watchTimeout      = 500 * time.Millisecond
	firstWatchTimeout = 100 * time.Millisecond
	// relayCheckInterval is how often a host checks whether it has become a relay.
	relayCheckInterval = 200 * time.Millisecond
	// rebroadcastDelay is the time that a relay waits for the writer's own broadcast of a change, not counting the jitter.
	rebroadcastDelay = 200 * time.Millisecond
	// maxKnownRelays bounds the relays in relayState; at the limit the one that was silent for longest is evicted.
	maxKnownRelays = 256
)

// relayState is what a host knows about the statements of relays and, if it is a relay, about the store.
type relayState struct {
	// lastNumbers holds the number of each relay's newest statement, at most maxKnownRelays of them.
	lastNumbers map[string]uint64
	// delays holds the delay estimates of the relays in lastNumbers.
	delays map[string]delayEstimate
	// ownStatementAt is when this host sent its last statement.
	ownStatementAt time.Duration
	// otherStatementAt is when the last statement of another relay arrived, or 0.
	otherStatementAt time.Duration
	// yieldUntil and yieldStoreUntil are the times until which this host sends no statements, because a relay with a
	// lower host id sends them. A relay in contact with the store yields only to another one, until yieldStoreUntil.
	yieldUntil, yieldStoreUntil time.Duration
	// storeReadAt is the start of the last watch that the store answered, or 0.
	storeReadAt time.Duration
	// storeFailedAt is the end of the last watch that failed, or 0.
	storeFailedAt time.Duration
	// ownNumber is the number of this host's last statement.
	ownNumber uint64
}

// evictOldest removes the relay whose last statement has the lowest number. Numbers are based on the clock, so this is the
// relay that has been silent for longest.
func (r *relayState) evictOldest() {
	oldest, lowest := "", uint64(math.MaxUint64)
	for relay, number := range r.lastNumbers {
		if number < lowest {
			oldest, lowest = relay, number
		}
	}
	delete(r.lastNumbers, oldest)
	delete(r.delays, oldest)
}

// isRelay reports whether this host acts as its region's relay: the first live host in rendezvous order does, and when no
// statements arrive, the next ones do too, one after the other.
func (s *Service) isRelay() bool {
	own, rank := s.rendezvousWeight(s.opts.Host), 0
	members := s.otherHosts(func(membership.Member) bool { return true })
	for _, m := range members {
		if m.Region == s.opts.Region && m.State == membership.Alive && s.rendezvousWeight(m.Host) > own {
			rank++
		}
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.hadPeers = s.hadPeers || len(members) > 0
	if rank == 0 {
		return true
	}
	silence := s.now() - s.relay.otherStatementAt
	return rank < relayCandidates && silence > backupRelayDelay+time.Duration(rank-1)*backupRelayStep
}

func (s *Service) rendezvousWeight(host string) uint64 {
	return xxhash.Sum64String("config-relay/" + s.opts.Region + "/" + host)
}

// watchStore watches the configuration in the store while this host is a relay.
func (s *Service) watchStore(ctx context.Context) {
	for attempt := 0; ctx.Err() == nil; {
		if !s.isRelay() {
			attempt = 0
			sleep(ctx, s.jitter(relayCheckInterval))
			continue
		}
		s.mu.Lock()
		after, began, timeout := s.storeVersion, s.now(), watchTimeout
		if s.relay.storeReadAt == 0 || began-s.relay.storeReadAt > storeContactTTL {
			timeout = firstWatchTimeout
		}
		s.mu.Unlock()
		watchCtx, cancel := context.WithTimeout(ctx, timeout)
		object, err := s.opts.Store.Watch(watchCtx, config.StoreKey, after)
		cancel()
		switch {
		case err == nil:
			attempt = 0
			s.handleStored(object, began)
		case errors.Is(err, store.ErrNotModified):
			attempt = 0
			s.recordStoreRead(began)
			// Avoids a busy loop if the store answers without waiting.
			sleep(ctx, minRetryDelay-min(minRetryDelay, s.now()-began))
		default:
			s.opts.Logger.Debug("watch failed", "error", err)
			attempt++
			s.mu.Lock()
			s.relay.storeFailedAt = s.now()
			s.mu.Unlock()
			s.backOff(ctx, attempt)
		}
	}
}

// handleStored handles a configuration that a watch returned; began is the start of the watch.
func (s *Service) handleStored(object store.Object, began time.Duration) {
	before := s.Sequence()
	c, err := s.installObject(object)
	if err != nil {
		// The watch goes on after this version, and the configuration in force stays.
		s.opts.Logger.Error("invalid configuration in the store was ignored", "error", err)
		s.mu.Lock()
		s.storeVersion = max(s.storeVersion, object.Version)
		s.mu.Unlock()
		return
	}
	s.recordStoreRead(began)
	if c.Sequence < before {
		s.opts.Logger.Error("configuration in the store is older than the one in force", "stored", c.Sequence, "in-force", before)
	}
	if c.Sequence > before {
		select {
		case s.rebroadcasts <- c.Sequence:
		default:
		}
	}
}

// recordStoreRead records that the store responded to a call. It takes the start of the call, because the response may
// have waited while this host was paused.
func (s *Service) recordStoreRead(began time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.relay.storeReadAt = max(s.relay.storeReadAt, began)
}

// rebroadcastMissed broadcasts changes that the watch returned and that the writer has not broadcast, for instance because
// it crashed.
func (s *Service) rebroadcastMissed(ctx context.Context) {
	for {
		var sequence uint64
		select {
		case sequence = <-s.rebroadcasts:
		case <-ctx.Done():
			return
		}
		if !sleep(ctx, rebroadcastDelay+s.jitter(rebroadcastDelay)) {
			return
		}
		s.mu.Lock()
		changes, ok := s.history.changesAfter(sequence - 1)
		broadcastSeen := s.lastBroadcast >= sequence
		s.mu.Unlock()
		if broadcastSeen || !ok {
			// If the history lacks the change, the next statement makes the other hosts pull it.
			continue
		}
		for _, change := range changes {
			s.broadcastChange(ctx, "", change)
		}
	}
}

// sendStatements sends a freshness statement each second while this host is a relay and does not yield to another one.
func (s *Service) sendStatements(ctx context.Context) {
	due := s.now()
	for {
		s.mu.Lock()
		firstStatement := s.relay.ownStatementAt == 0 || s.now()-s.relay.ownStatementAt > 2*statementInterval
		s.mu.Unlock()
		if s.isRelay() && s.Current() != nil && s.sendStatement(ctx, s.now() >= due) {
			// The jitter is small, so that FreshnessTTL allows two lost statements in a row.
			due = s.now() + statementInterval - s.jitter(statementInterval/20)
			if firstStatement {
				// The other hosts trust a relay from its second statement on.
				due = s.now() + baselineMinAge + relayCheckInterval
			}
		}
		delay := relayCheckInterval
		if left := due - s.now(); left > 0 {
			delay = min(left, relayCheckInterval)
		}
		if !sleep(ctx, delay) {
			return
		}
	}
}

// sendStatement extends the freshness of this host and, when a statement is due, broadcasts one. It returns true when it
// broadcast one or when no peer confirmed this host's sequence; the next attempt is then due after the interval.
func (s *Service) sendStatement(ctx context.Context, due bool) bool {
	s.mu.Lock()
	now, storeReadAt, neverHadPeers := s.now(), s.relay.storeReadAt, !s.hadPeers
	storeContact := storeReadAt > 0 && now-storeReadAt < storeContactTTL
	storeUnreachable := !storeContact && s.relay.storeFailedAt > storeReadAt
	yield := now < s.relay.yieldStoreUntil || !storeContact && now < s.relay.yieldUntil
	s.mu.Unlock()
	age := now - storeReadAt
	switch {
	case storeContact:
		s.extendFreshness(age, true)
		if !due {
			return false
		}
	case !storeUnreachable || !due:
		// Either no statement is due, or it is not known yet whether the store is reachable.
		return false
	default:
		age = 0
		if !neverHadPeers && !s.confirmedByPeer(ctx) {
			return true
		}
		// The peer's response may have waited while this host was paused, so it counts from the request on.
		age = s.now() - now
		s.extendFreshness(age, false)
	}
	if yield {
		// The statement stays due, so that it is sent as soon as the other relay falls silent.
		return false
	}
	s.mu.Lock()
	s.relay.ownNumber = max(s.relay.ownNumber+1, uint64(time.Now().UnixMilli()))
	number, sent := s.relay.ownNumber, s.now()
	s.relay.ownStatementAt = sent
	s.mu.Unlock()
	s.broadcast(ctx, KindFreshness, freshnessStatement{
		Relay: s.opts.Host, Number: number, Sequence: s.Sequence(), StoreContact: storeContact,
		AgeMillis: uint64(age.Milliseconds()), Instance: s.instance, SentMillis: uint64(sent.Milliseconds()),
	})
	return true
}

// confirmedByPeer reports whether another host responds and has no newer sequence. Without this check, a host that is cut
// off from the store and from all peers would act as a relay and consider its configuration fresh forever.
func (s *Service) confirmedByPeer(ctx context.Context) bool {
	targets := s.otherHosts(func(m membership.Member) bool { return m.State != membership.Dead })
	s.mu.Lock()
	s.random.Shuffle(len(targets), func(i, j int) { targets[i], targets[j] = targets[j], targets[i] })
	s.mu.Unlock()
	for _, m := range targets[:min(len(targets), 2)] {
		callCtx, cancel := context.WithTimeout(ctx, statementInterval/4)
		response, err := peers.Call[sequenceMessage, sequenceMessage](
			callCtx, s.opts.Caller, m.Host, KindStatus, sequenceMessage{Sequence: s.Sequence()})
		cancel()
		if err == nil {
			s.ObserveSequence(m.Host, response.Sequence)
			return response.Sequence <= s.Sequence()
		}
	}
	return false
}

// handleStatement handles a freshness statement of another relay.
func (s *Service) handleStatement(st freshnessStatement) {
	if st.Relay == s.opts.Host {
		return
	}
	s.mu.Lock()
	last, known := s.relay.lastNumbers[st.Relay]
	if known && st.Number <= last {
		s.mu.Unlock()
		return
	}
	if !known && len(s.relay.lastNumbers) >= maxKnownRelays {
		s.relay.evictOldest()
	}
	now := s.now()
	s.relay.lastNumbers[st.Relay] = st.Number
	s.relay.otherStatementAt = now
	next, extraDelay, hasBaseline := s.relay.delays[st.Relay].withStatement(
		now, time.Duration(st.SentMillis)*time.Millisecond, st.Instance)
	s.relay.delays[st.Relay] = next
	if st.Relay < s.opts.Host {
		s.relay.yieldUntil = now + statementInterval + statementInterval/10
		if st.StoreContact {
			s.relay.yieldStoreUntil = s.relay.yieldUntil
		}
	}
	s.mu.Unlock()
	if st.Sequence > s.Sequence() {
		s.requestPull(pullHint{host: st.Relay, sequence: st.Sequence})
		return
	}
	if !hasBaseline {
		return
	}
	s.extendFreshness(extraDelay+st.age(), st.StoreContact)
}
