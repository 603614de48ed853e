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
	// watchTimeout is short so that each answer proves contact with the store, twice a second. The first watch of a
	// stand-in is shorter, since the others' freshness runs out meanwhile.
	watchTimeout      = 500 * time.Millisecond
	firstWatchTimeout = 100 * time.Millisecond
	// relayCheck is how often a host that is no relay looks whether it has become one.
	relayCheck = 200 * time.Millisecond
	// repeatAfter is the time that a relay gives the writer's own broadcast.
	repeatAfter = 200 * time.Millisecond
	// maxRelays bounds the relays whose statements are numbered; at the bound the oldest is forgotten.
	maxRelays = 256
)

// relays is what a host knows of the relays' statements and, as a relay, of the store.
type relays struct {
	// last holds the number of each relay's newest statement, at most maxRelays.
	last map[string]uint64
	// lags holds the delays of the relays in last.
	lags map[string]lag
	// statedAt is the time of this host's own newest statement.
	statedAt time.Duration
	// heardAt is the time of the newest statement of another relay, 0 for none.
	heardAt time.Duration
	// yieldUntil is set by statements of a relay that goes first, with the same or a better root.
	yieldUntil, yieldContactUntil time.Duration
	// readAt is the time of the last answer from the store, 0 for none.
	readAt time.Duration
	// failedAt is the time of the last call that the store did not answer, 0 for none.
	failedAt time.Duration
	number   uint64
}

// forgetOldest drops the relay with the lowest number, which is the one that has been silent for longest.
func (r *relays) forgetOldest() {
	oldest, lowest := "", uint64(math.MaxUint64)
	for relay, number := range r.last {
		if number < lowest {
			oldest, lowest = relay, number
		}
	}
	delete(r.last, oldest)
	delete(r.lags, oldest)
}

// isRelay tells whether this host holds its region's watch: the first live host in rendezvous order does, and the
// next ones stand in one after the other when no statement is heard.
func (s *Service) isRelay() bool {
	own, rank := s.weight(s.opts.Host), 0
	members := s.others(func(membership.Member) bool { return true })
	for _, m := range members {
		if m.Region == s.opts.Region && m.State == membership.Alive && s.weight(m.Host) > own {
			rank++
		}
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.met = s.met || len(members) > 0
	if rank == 0 {
		return true
	}
	silence := s.now() - s.relays.heardAt
	return rank < standIns && silence > standInAfter+time.Duration(rank-1)*standInStep
}

func (s *Service) weight(host string) uint64 {
	return xxhash.Sum64String("config-relay/" + s.opts.Region + "/" + host)
}

// watch holds the watch on the configuration while this host is a relay.
func (s *Service) watch(ctx context.Context) {
	for attempt := 0; ctx.Err() == nil; {
		if !s.isRelay() {
			attempt = 0
			wait(ctx, s.jitter(relayCheck))
			continue
		}
		s.mu.Lock()
		after, began, timeout := s.version, s.now(), watchTimeout
		if s.relays.readAt == 0 || began-s.relays.readAt > contactFor {
			timeout = firstWatchTimeout
		}
		s.mu.Unlock()
		watching, cancel := context.WithTimeout(ctx, timeout)
		object, err := s.opts.Store.Watch(watching, config.StoreKey, after)
		cancel()
		switch {
		case err == nil:
			attempt = 0
			s.seen(object, began)
		case errors.Is(err, store.ErrNotModified):
			attempt = 0
			s.readSince(began)
			// An adapter that answers at once must not turn this into a busy loop.
			wait(ctx, firstDelay-min(firstDelay, s.now()-began))
		default:
			s.opts.Logger.Debug("watch failed", "error", err)
			attempt++
			s.mu.Lock()
			s.relays.failedAt = s.now()
			s.mu.Unlock()
			s.pause(ctx, attempt)
		}
	}
}

// seen takes an object that the watch returned.
func (s *Service) seen(object store.Object, began time.Duration) {
	before := s.Sequence()
	c, err := s.takeObject(object)
	if err != nil {
		// The version is skipped: the watch goes on, and the configuration in force stays.
		s.opts.Logger.Error("stored configuration was refused", "error", err)
		s.mu.Lock()
		s.version = max(s.version, object.Version)
		s.mu.Unlock()
		return
	}
	s.readSince(began)
	if c.Sequence < before {
		s.opts.Logger.Error("the store holds an older configuration than the one in force", "stored", c.Sequence, "in-force", before)
	}
	if c.Sequence > before {
		select {
		case s.gaps <- c.Sequence:
		default:
		}
	}
}

// readSince notes an answer of the store to a call that began at began. The answer may have waited since then, if this
// host was paused.
func (s *Service) readSince(began time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.relays.readAt = max(s.relays.readAt, began)
}

// repeat broadcasts a change that the watch showed and that no writer broadcast, because the writer died.
func (s *Service) repeat(ctx context.Context) {
	for {
		var sequence uint64
		select {
		case sequence = <-s.gaps:
		case <-ctx.Done():
			return
		}
		if !wait(ctx, repeatAfter+s.jitter(repeatAfter)) {
			return
		}
		s.mu.Lock()
		changes, ok := s.history.after(sequence - 1)
		done := s.broadcast >= sequence
		s.mu.Unlock()
		if done || !ok {
			// Without the change itself the next statement makes the others pull.
			continue
		}
		for _, change := range changes {
			s.announce(ctx, "", change)
		}
	}
}

// state sends this relay's statement each second, unless a relay that goes first has sent an equal one.
func (s *Service) state(ctx context.Context) {
	due := s.now()
	for {
		s.mu.Lock()
		fresh := s.relays.statedAt == 0 || s.now()-s.relays.statedAt > 2*statementEvery
		s.mu.Unlock()
		if s.isRelay() && s.Current() != nil && s.stateOnce(ctx, s.now() >= due) {
			// The jitter is small, so that FreshFor covers two lost statements.
			due = s.now() + statementEvery - s.jitter(statementEvery/20)
			if fresh {
				// Others believe a relay from its second statement on.
				due = s.now() + lagSpacing + relayCheck
			}
		}
		delay := relayCheck
		if left := due - s.now(); left > 0 {
			delay = min(left, relayCheck)
		}
		if !wait(ctx, delay) {
			return
		}
	}
}

// stateOnce proves the freshness at this host and, when due, at the others. It tells whether the turn was used.
func (s *Service) stateOnce(ctx context.Context, due bool) bool {
	s.mu.Lock()
	now, readAt, alone := s.now(), s.relays.readAt, !s.met
	contact := readAt > 0 && now-readAt < contactFor
	unreachable := !contact && s.relays.failedAt > readAt
	yield := now < s.relays.yieldContactUntil || !contact && now < s.relays.yieldUntil
	s.mu.Unlock()
	age := now - readAt
	switch {
	case contact:
		s.prove(age, true)
		if !due {
			return false
		}
	case !unreachable || !due:
		// Before the first answer of the store, nothing is known that could be stated.
		return false
	default:
		age = 0
		if !alone && !s.provenByPeer(ctx) {
			return true
		}
		// An answer that waited while this host was paused is as old as the question.
		age = s.now() - now
		s.prove(age, false)
	}
	if yield {
		// A relay that yields is ready to speak as soon as the other falls silent.
		return false
	}
	s.mu.Lock()
	s.relays.number = max(s.relays.number+1, uint64(time.Now().UnixMilli()))
	number, sent := s.relays.number, s.now()
	s.relays.statedAt = sent
	s.mu.Unlock()
	s.flood(ctx, KindFreshness, statement{
		Relay: s.opts.Host, Number: number, Sequence: s.Sequence(), Contact: contact, AgeMillis: uint64(age.Milliseconds()),
		Instance: s.instance, SentMillis: uint64(sent.Milliseconds()),
	})
	return true
}

// provenByPeer tells whether another host answers. Without it, a host that is cut off from the store and from all
// peers would take itself for a relay and never count as isolated.
func (s *Service) provenByPeer(ctx context.Context) bool {
	targets := s.others(func(m membership.Member) bool { return m.State != membership.Dead })
	s.mu.Lock()
	s.random.Shuffle(len(targets), func(i, j int) { targets[i], targets[j] = targets[j], targets[i] })
	s.mu.Unlock()
	for _, m := range targets[:min(len(targets), 2)] {
		ask, cancel := context.WithTimeout(ctx, statementEvery/4)
		answer, err := peers.Call[status, status](ask, s.opts.Caller, m.Host, KindStatus, status{Sequence: s.Sequence()})
		cancel()
		if err == nil {
			s.ObserveSequence(m.Host, answer.Sequence)
			return answer.Sequence <= s.Sequence()
		}
	}
	return false
}

// heard handles another relay's statement.
func (s *Service) heard(st statement) {
	if st.Relay == s.opts.Host {
		return
	}
	s.mu.Lock()
	last, known := s.relays.last[st.Relay]
	if known && st.Number <= last {
		s.mu.Unlock()
		return
	}
	if !known && len(s.relays.last) >= maxRelays {
		s.relays.forgetOldest()
	}
	now := s.now()
	s.relays.last[st.Relay] = st.Number
	s.relays.heardAt = now
	next, extra, baseline := s.relays.lags[st.Relay].withStatement(now, time.Duration(st.SentMillis)*time.Millisecond, st.Instance)
	s.relays.lags[st.Relay] = next
	if st.Relay < s.opts.Host {
		s.relays.yieldUntil = now + statementEvery + statementEvery/10
		if st.Contact {
			s.relays.yieldContactUntil = s.relays.yieldUntil
		}
	}
	s.mu.Unlock()
	if st.Sequence > s.Sequence() {
		s.hint(hint{host: st.Relay, sequence: st.Sequence})
		return
	}
	if !baseline {
		return
	}
	// A faulty age must not extend the freshness.
	s.prove(extra+min(time.Duration(st.AgeMillis)*time.Millisecond, FreshnessTTL), st.Contact)
}
