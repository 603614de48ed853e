package claims

import (
	"context"
	"slices"
	"strings"
	"sync"
	"time"

	"golang.org/x/sync/errgroup"

	"vanillatally/core/claim"
	"vanillatally/core/ledger"
)

// maxPage and maxPageBytes bound the records of one message; one record may exceed the bytes.
const (
	maxPage      = 256
	maxPageBytes = 512 << 10
)

type gather struct {
	Slot     int    `cbor:"slot"`
	Tenure   uint64 `cbor:"tenure"`
	Previous string `cbor:"previous"`
	// After is the last key of the page before.
	After string `cbor:"after"`
}

type gatherAnswer struct {
	// Refused: a later tenure has gathered the slot.
	Refused bool           `cbor:"refused,omitempty"`
	Records []claim.Record `cbor:"records"`
	Next    string         `cbor:"next,omitempty"`
	// Ready: this host owned the slot until now, so its records are complete for BlockedFor.
	Ready      bool          `cbor:"ready,omitempty"`
	BlockedFor time.Duration `cbor:"blocked-for,omitempty"`
	// Complete, KnownFor and Lost are the host's history of losses, as ages.
	Complete bool                  `cbor:"complete,omitempty"`
	KnownFor time.Duration         `cbor:"known-for"`
	Lost     []claim.LostProcess   `cbor:"lost,omitempty"`
	Covers   []claim.Rereplication `cbor:"covers,omitempty"`
}

// takeover is the state of one slot that this host does not own completely yet.
type takeover struct {
	tenure   uint64
	answered map[claim.Process]bool
	covers   []claim.Rereplication
	// ready is set when the previous owner handed over.
	ready      bool
	blockedFor time.Duration
}

func key(id recordID) string { return id.team + "\x00" + id.key }

// handleGather returns the slot's records to its new owner. From here on this host accepts no grant of
// an earlier owner for the slot, and grants none itself.
func (s *Service) handleGather(_ context.Context, _ string, message gather) (answer gatherAnswer, err error) {
	if message.Slot < 0 || message.Slot >= len(s.shards) {
		return gatherAnswer{Refused: true}, nil
	}
	s.observe()
	now := s.options.Now()
	h, covers := s.known(message.Previous)
	answer.Covers = covers
	answer.Complete, answer.KnownFor = h.Complete, now-h.From
	for _, l := range h.Lost {
		answer.Lost = append(answer.Lost, claim.LostProcess{Process: l.Process, At: now - l.At})
	}
	sh := &s.shards[message.Slot]
	sh.mu.Lock()
	defer sh.mu.Unlock()
	if message.Tenure < sh.floor {
		return gatherAnswer{Refused: true}, nil
	}
	sh.floor = message.Tenure
	if sh.tenure != 0 && sh.closedBy == 0 && message.Tenure > sh.tenure {
		sh.closedBy = message.Tenure
	}
	answer.Ready = sh.tenure != 0 && sh.closedBy == message.Tenure
	answer.BlockedFor = max(0, sh.blockedUntil-now)
	var ids []recordID
	for id := range sh.records {
		if key(id) > message.After {
			ids = append(ids, id)
		}
	}
	slices.SortFunc(ids, func(a, b recordID) int { return strings.Compare(key(a), key(b)) })
	size := int64(0)
	for i, id := range ids {
		r := sh.records[id]
		if size += r.Bytes(); i > 0 && (i >= maxPage || size > maxPageBytes) {
			break
		}
		answer.Records = append(answer.Records, aged(r, now))
		if i < len(ids)-1 {
			answer.Next = key(id)
		} else {
			answer.Next = ""
		}
	}
	return answer, nil
}

// known returns the history of losses and what the owner stated to have copied to this host.
func (s *Service) known(owner string) (history claim.LossHistory, covers []claim.Rereplication) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for c := range s.covers {
		if c.Owner.Host == owner {
			covers = append(covers, c)
		}
	}
	return s.history, covers
}

// takeOver gathers the claims of the slots that the ledger names for this host.
func (s *Service) takeOver(ctx context.Context) {
	l := s.options.Ledger.Ledger()
	var group errgroup.Group
	group.SetLimit(concurrency)
	for slot := range l.Slots {
		if l.Slots[slot].Holder != s.options.Host {
			continue
		}
		tenure, sh := claim.OwnerEpoch(l, slot), &s.shards[slot]
		sh.mu.Lock()
		if sh.tenure == tenure || sh.floor > tenure {
			sh.mu.Unlock()
			continue
		}
		if sh.takeover == nil || sh.takeover.tenure != tenure {
			sh.takeover = &takeover{tenure: tenure, answered: map[claim.Process]bool{}}
		}
		work := sh.takeover
		sh.tenure, sh.closedBy, sh.floor = 0, 0, tenure
		sh.mu.Unlock()
		if claim.HasOriginalOwner(l, slot) {
			if s.options.Ledger.Holds(slot) {
				s.own(sh, work, 0)
			}
			continue
		}
		group.Go(func() error {
			s.takeOverSlot(ctx, l, slot, work)
			return nil
		})
	}
	_ = group.Wait()
}

// takeOverSlot asks the members that have not answered yet and owns the slot when nothing is missing.
func (s *Service) takeOverSlot(ctx context.Context, l ledger.Ledger, slot int, work *takeover) {
	previous := claim.PreviousOwner(l, slot)
	others := slices.DeleteFunc(claim.CopyCandidates(l, s.options.Host), func(h claim.Process) bool { return work.answered[h] })
	var mu sync.Mutex
	var group errgroup.Group
	group.SetLimit(concurrency)
	for _, other := range others {
		group.Go(func() error {
			answer, ok := s.gatherFrom(ctx, other, slot, gather{Slot: slot, Tenure: work.tenure, Previous: previous})
			mu.Lock()
			defer mu.Unlock()
			if !ok {
				return nil
			}
			work.answered[other] = true
			work.covers = append(work.covers, answer.Covers...)
			if answer.Ready && other.Host == previous {
				work.ready, work.blockedFor = true, answer.BlockedFor
			}
			return nil
		})
	}
	_ = group.Wait()
	// Losses up to this moment count: a member that was removed before it answered is among them.
	s.observe()
	now := s.options.Now()
	var until time.Duration
	if work.ready {
		until = now + work.blockedFor
	} else {
		current := s.options.Ledger.Ledger()
		for _, other := range claim.CopyCandidates(current, s.options.Host) {
			if !work.answered[other] && claim.IsMember(l, other) {
				return
			}
		}
		h, covers := s.known(previous)
		covers = append(covers, work.covers...)
		lost := slices.ContainsFunc(h.Lost, func(l claim.LostProcess) bool { return l.Process.Host == previous })
		if until = h.BlockedUntil(slot, previous, covers, s.options.Retention); !lost && claim.Incarnation(l, previous) != 0 {
			until = h.BlockedUntilUnknownOwner(s.options.Retention)
		}
	}
	if s.recopy(ctx, slot, work.tenure) {
		s.own(&s.shards[slot], work, until)
	}
}

// own starts a tenure whose claims are complete.
func (s *Service) own(sh *shard, work *takeover, until time.Duration) {
	sh.mu.Lock()
	defer sh.mu.Unlock()
	if sh.floor > work.tenure {
		return
	}
	sh.tenure, sh.blockedUntil, sh.takeover = work.tenure, until, nil
}

// gatherFrom merges all pages of one member.
func (s *Service) gatherFrom(ctx context.Context, other claim.Process, slot int, message gather) (answer gatherAnswer, ok bool) {
	sh := &s.shards[slot]
	for {
		page, err := call[gather, gatherAnswer](ctx, s, other.Host, kindGather, message)
		if err != nil || page.Refused {
			return answer, false
		}
		now := s.options.Now()
		sh.mu.Lock()
		for _, r := range page.Records {
			s.put(sh, claim.Merge(sh.records[recordID{team: r.Request.Team, key: r.Request.Key}], aged(r, now)))
		}
		sh.mu.Unlock()
		if page.Next == "" {
			lost := make([]claim.LostProcess, len(page.Lost))
			for i, l := range page.Lost {
				lost[i] = claim.LostProcess{Process: l.Process, At: now - l.At}
			}
			s.mu.Lock()
			s.history = s.history.Merge(page.Complete, now-page.KnownFor, lost, now, s.options.Retention)
			s.mu.Unlock()
			return page, true
		}
		message.After = page.Next
	}
}

// recopy places a second copy of each record of a slot whose copy is at no other member. A request that
// a lost process was running becomes Unknown.
func (s *Service) recopy(ctx context.Context, slot int, tenure uint64) bool {
	sh, now := &s.shards[slot], s.options.Now()
	sh.mu.Lock()
	l := s.options.Ledger.Ledger()
	seconds := claim.CopyCandidates(l, s.options.Host)
	if len(seconds) == 0 {
		sh.mu.Unlock()
		return true
	}
	var batch []claim.Record
	for _, r := range sh.records {
		gone := !claim.IsMember(l, r.CopyHolder)
		leaving := claim.IsLeaving(l, r.CopyHolder) && !claim.IsLeaving(l, seconds[0])
		if gone && r.Phase == claim.PhaseRunning && r.CopyHolder.Host == r.CallID.Executor {
			r.Phase = claim.PhaseUnknown
			s.put(sh, r)
		}
		if r.Phase != claim.PhaseReleased && (gone || leaving || r.CopyHolder.Host == s.options.Host) {
			batch = append(batch, r)
		}
	}
	sh.mu.Unlock()
	for len(batch) > 0 {
		message, size := replicate{Slot: slot, Tenure: tenure}, int64(0)
		for len(batch) > 0 && len(message.Records) < maxPage && size < maxPageBytes {
			r := batch[0]
			r.CopyHolder = seconds[0]
			message.Records = append(message.Records, aged(r, now))
			size += r.Bytes()
			batch = batch[1:]
		}
		answer, err := call[replicate, replicateAnswer](ctx, s, seconds[0].Host, kindCopy, message)
		if err != nil || !answer.Accepted {
			return false
		}
		sh.mu.Lock()
		for _, r := range message.Records {
			id := recordID{team: r.Request.Team, key: r.Request.Key}
			if known, ok := sh.records[id]; ok && known.Grant == r.Grant {
				known.CopyHolder = r.CopyHolder
				s.put(sh, known)
			}
		}
		sh.mu.Unlock()
	}
	return true
}

// repair replaces the copies that were at lost processes, and states so to the holder of the new ones.
func (s *Service) repair(ctx context.Context) {
	l := s.options.Ledger.Ledger()
	self := claim.Process{Host: s.options.Host, Incarnation: claim.Incarnation(l, s.options.Host)}
	seconds := claim.CopyCandidates(l, s.options.Host)
	s.observe()
	s.mu.Lock()
	lost, now := s.history.Lost, s.options.Now()
	for c, at := range s.covers {
		if now-at > s.options.Retention {
			delete(s.covers, c)
		}
	}
	s.mu.Unlock()
	if len(lost) == 0 || len(seconds) == 0 || self.Incarnation == 0 {
		return
	}
	last, owned := lost[len(lost)-1], uint64(0)
	for slot := range l.Slots {
		sh := &s.shards[slot]
		sh.mu.Lock()
		if l.Slots[slot].Holder == s.options.Host && sh.tenure == claim.OwnerEpoch(l, slot) && sh.floor == sh.tenure && now >= sh.blockedUntil {
			owned |= 1 << slot
		}
		sh.mu.Unlock()
	}
	if c := &s.covered; owned == 0 || c.second == seconds[0] && c.last == last && c.count == len(lost) && c.slots == owned {
		return
	}
	for slot := range l.Slots {
		if owned>>slot&1 != 0 && !s.recopy(ctx, slot, claim.OwnerEpoch(l, slot)) {
			owned &^= 1 << slot
		}
	}
	message := replicate{}
	for _, x := range lost {
		message.Covers = append(message.Covers, claim.Rereplication{Owner: self, Lost: x.Process, Slots: owned})
	}
	answer, err := call[replicate, replicateAnswer](ctx, s, seconds[0].Host, kindCopy, message)
	if err == nil && answer.Accepted {
		s.covered.second, s.covered.last, s.covered.count, s.covered.slots = seconds[0], last, len(lost), owned
	}
}
