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

// maxRecordsPerMessage and maxBytesPerMessage bound the records of one message. A single record may exceed the bytes.
const (
	maxRecordsPerMessage = 256
	maxBytesPerMessage   = 512 << 10
)

type gatherRequest struct {
	Slot       int    `cbor:"slot"`
	OwnerEpoch uint64 `cbor:"tenure"`
	Previous   string `cbor:"previous"`
	// AfterKey is the last key of the previous page.
	AfterKey string `cbor:"after"`
}

type gatherAnswer struct {
	// Refused: a later owner has gathered the slot.
	Refused bool           `cbor:"refused,omitempty"`
	Records []claim.Record `cbor:"records"`
	// NextKey is the AfterKey of the next page, empty on the last page.
	NextKey string `cbor:"next,omitempty"`
	// HandedOver: this host owned the slot until now, so its records are complete. For BlockedFor, keys without a record
	// must still be answered with Unknown.
	HandedOver bool          `cbor:"ready,omitempty"`
	BlockedFor time.Duration `cbor:"blocked-for,omitempty"`
	// LossesComplete, LossesKnownFor and Lost are the host's history of losses, with ages instead of times.
	LossesComplete bool                  `cbor:"complete,omitempty"`
	LossesKnownFor time.Duration         `cbor:"known-for"`
	Lost           []claim.LostProcess   `cbor:"lost,omitempty"`
	Rereplications []claim.Rereplication `cbor:"covers,omitempty"`
}

// takeover is the progress of taking over one slot.
type takeover struct {
	ownerEpoch     uint64
	answered       map[claim.Process]bool
	rereplications []claim.Rereplication
	// handedOver is set when the previous owner has handed the slot over.
	handedOver bool
	blockedFor time.Duration
}

func sortKey(id recordID) string { return id.team + "\x00" + id.key }

// handleGather returns the slot's records to its new owner. From then on this host accepts no grant of an earlier owner for
// the slot and grants none itself.
func (s *Service) handleGather(_ context.Context, _ string, message gatherRequest) (answer gatherAnswer, err error) {
	if message.Slot < 0 || message.Slot >= len(s.shards) {
		return gatherAnswer{Refused: true}, nil
	}
	s.observeLosses()
	now := s.options.Now()
	h, rereplications := s.knownLosses(message.Previous)
	answer.Rereplications = rereplications
	answer.LossesComplete, answer.LossesKnownFor = h.Complete, now-h.From
	for _, l := range h.Lost {
		answer.Lost = append(answer.Lost, claim.LostProcess{Process: l.Process, At: now - l.At})
	}
	sh := &s.shards[message.Slot]
	sh.mu.Lock()
	defer sh.mu.Unlock()
	if message.OwnerEpoch < sh.minOwnerEpoch {
		return gatherAnswer{Refused: true}, nil
	}
	sh.minOwnerEpoch = message.OwnerEpoch
	if sh.ownerEpoch != 0 && sh.successorEpoch == 0 && message.OwnerEpoch > sh.ownerEpoch {
		sh.successorEpoch = message.OwnerEpoch
	}
	answer.HandedOver = sh.ownerEpoch != 0 && sh.successorEpoch == message.OwnerEpoch
	answer.BlockedFor = max(0, sh.blockedUntil-now)
	var ids []recordID
	for id := range sh.records {
		if sortKey(id) > message.AfterKey {
			ids = append(ids, id)
		}
	}
	slices.SortFunc(ids, func(a, b recordID) int { return strings.Compare(sortKey(a), sortKey(b)) })
	size := int64(0)
	for i, id := range ids {
		r := sh.records[id]
		if size += r.Bytes(); i > 0 && (i >= maxRecordsPerMessage || size > maxBytesPerMessage) {
			break
		}
		answer.Records = append(answer.Records, swapTimeAndAge(r, now))
		if i < len(ids)-1 {
			answer.NextKey = sortKey(id)
		} else {
			answer.NextKey = ""
		}
	}
	return answer, nil
}

// knownLosses returns the history of losses and what owner has stated to have copied to this host.
func (s *Service) knownLosses(owner string) (history claim.LossHistory, rereplications []claim.Rereplication) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for c := range s.rereplications {
		if c.Owner.Host == owner {
			rereplications = append(rereplications, c)
		}
	}
	return s.losses, rereplications
}

// takeOver takes over the slots that the ledger assigns to this host by gathering their records from the other members.
func (s *Service) takeOver(ctx context.Context) {
	l := s.options.Ledger.Ledger()
	var group errgroup.Group
	group.SetLimit(maxConcurrentCalls)
	for slot := range l.Slots {
		if l.Slots[slot].Holder != s.options.Host {
			continue
		}
		ownerEpoch, sh := claim.OwnerEpoch(l, slot), &s.shards[slot]
		sh.mu.Lock()
		if sh.ownerEpoch == ownerEpoch || sh.minOwnerEpoch > ownerEpoch {
			sh.mu.Unlock()
			continue
		}
		if sh.takeover == nil || sh.takeover.ownerEpoch != ownerEpoch {
			sh.takeover = &takeover{ownerEpoch: ownerEpoch, answered: map[claim.Process]bool{}}
		}
		progress := sh.takeover
		sh.ownerEpoch, sh.successorEpoch, sh.minOwnerEpoch = 0, 0, ownerEpoch
		sh.mu.Unlock()
		if claim.HasOriginalOwner(l, slot) {
			if s.options.Ledger.Holds(slot) {
				s.startOwnership(sh, progress, 0)
			}
			continue
		}
		group.Go(func() error {
			s.takeOverSlot(ctx, l, slot, progress)
			return nil
		})
	}
	_ = group.Wait()
}

// takeOverSlot asks the members that have not answered yet for their records, and starts the ownership when nothing is missing.
func (s *Service) takeOverSlot(ctx context.Context, l ledger.Ledger, slot int, progress *takeover) {
	previous := claim.PreviousOwner(l, slot)
	others := slices.DeleteFunc(claim.CopyCandidates(l, s.options.Host), func(h claim.Process) bool { return progress.answered[h] })
	var mu sync.Mutex
	var group errgroup.Group
	group.SetLimit(maxConcurrentCalls)
	for _, other := range others {
		group.Go(func() error {
			answer, ok := s.gatherFrom(ctx, other, slot, gatherRequest{Slot: slot, OwnerEpoch: progress.ownerEpoch, Previous: previous})
			mu.Lock()
			defer mu.Unlock()
			if !ok {
				return nil
			}
			progress.answered[other] = true
			progress.rereplications = append(progress.rereplications, answer.Rereplications...)
			if answer.HandedOver && other.Host == previous {
				progress.handedOver, progress.blockedFor = true, answer.BlockedFor
			}
			return nil
		})
	}
	_ = group.Wait()
	// Losses up to now count: a member that was removed before it answered is among them.
	s.observeLosses()
	now := s.options.Now()
	var until time.Duration
	if progress.handedOver {
		until = now + progress.blockedFor
	} else {
		current := s.options.Ledger.Ledger()
		for _, other := range claim.CopyCandidates(current, s.options.Host) {
			if !progress.answered[other] && claim.IsMember(l, other) {
				return
			}
		}
		h, rereplications := s.knownLosses(previous)
		rereplications = append(rereplications, progress.rereplications...)
		lost := slices.ContainsFunc(h.Lost, func(l claim.LostProcess) bool { return l.Process.Host == previous })
		if until = h.BlockedUntil(slot, previous, rereplications, s.options.Retention); !lost && claim.Incarnation(l, previous) != 0 {
			until = h.BlockedUntilUnknownOwner(s.options.Retention)
		}
	}
	if s.replaceCopies(ctx, slot, progress.ownerEpoch) {
		s.startOwnership(&s.shards[slot], progress, until)
	}
}

// startOwnership starts this host's ownership of a slot whose records are complete. Keys without a record are
// answered with Unknown before the time until.
func (s *Service) startOwnership(sh *shard, progress *takeover, until time.Duration) {
	sh.mu.Lock()
	defer sh.mu.Unlock()
	if sh.minOwnerEpoch > progress.ownerEpoch {
		return
	}
	sh.ownerEpoch, sh.blockedUntil, sh.takeover = progress.ownerEpoch, until, nil
}

// gatherFrom requests the records of a slot from one member and merges all pages.
func (s *Service) gatherFrom(
	ctx context.Context, other claim.Process, slot int, message gatherRequest,
) (answer gatherAnswer, ok bool) {
	sh := &s.shards[slot]
	for {
		page, err := call[gatherRequest, gatherAnswer](ctx, s, other.Host, kindGather, message)
		if err != nil || page.Refused {
			return answer, false
		}
		now := s.options.Now()
		sh.mu.Lock()
		for _, r := range page.Records {
			s.storeRecord(sh, claim.Merge(sh.records[recordID{team: r.Request.Team, key: r.Request.Key}], swapTimeAndAge(r, now)))
		}
		sh.mu.Unlock()
		if page.NextKey == "" {
			lost := make([]claim.LostProcess, len(page.Lost))
			for i, l := range page.Lost {
				lost[i] = claim.LostProcess{Process: l.Process, At: now - l.At}
			}
			s.mu.Lock()
			s.losses = s.losses.Merge(page.LossesComplete, now-page.LossesKnownFor, lost, now, s.options.Retention)
			s.mu.Unlock()
			return page, true
		}
		message.AfterKey = page.NextKey
	}
}

// replaceCopies copies the records of a slot to another member when the holder of their copy is lost, is leaving or
// is this host itself. A request that a lost process was running becomes Unknown.
func (s *Service) replaceCopies(ctx context.Context, slot int, ownerEpoch uint64) bool {
	sh, now := &s.shards[slot], s.options.Now()
	sh.mu.Lock()
	l := s.options.Ledger.Ledger()
	candidates := claim.CopyCandidates(l, s.options.Host)
	if len(candidates) == 0 {
		sh.mu.Unlock()
		return true
	}
	var batch []claim.Record
	for _, r := range sh.records {
		lost := !claim.IsMember(l, r.CopyHolder)
		leaving := claim.IsLeaving(l, r.CopyHolder) && !claim.IsLeaving(l, candidates[0])
		if lost && r.Phase == claim.PhaseRunning && r.CopyHolder.Host == r.CallID.Executor {
			r.Phase = claim.PhaseUnknown
			s.storeRecord(sh, r)
		}
		if r.Phase != claim.PhaseReleased && (lost || leaving || r.CopyHolder.Host == s.options.Host) {
			batch = append(batch, r)
		}
	}
	sh.mu.Unlock()
	for len(batch) > 0 {
		message, size := copyRequest{Slot: slot, OwnerEpoch: ownerEpoch}, int64(0)
		for len(batch) > 0 && len(message.Records) < maxRecordsPerMessage && size < maxBytesPerMessage {
			r := batch[0]
			r.CopyHolder = candidates[0]
			message.Records = append(message.Records, swapTimeAndAge(r, now))
			size += r.Bytes()
			batch = batch[1:]
		}
		answer, err := call[copyRequest, copyAnswer](ctx, s, candidates[0].Host, kindCopy, message)
		if err != nil || !answer.Accepted {
			return false
		}
		sh.mu.Lock()
		for _, r := range message.Records {
			id := recordID{team: r.Request.Team, key: r.Request.Key}
			if known, ok := sh.records[id]; ok && known.Grant == r.Grant {
				known.CopyHolder = r.CopyHolder
				s.storeRecord(sh, known)
			}
		}
		sh.mu.Unlock()
	}
	return true
}

// replaceLostCopies replaces the copies that lost processes held, and then states this to the holder of the new copies.
func (s *Service) replaceLostCopies(ctx context.Context) {
	l := s.options.Ledger.Ledger()
	self := claim.Process{Host: s.options.Host, Incarnation: claim.Incarnation(l, s.options.Host)}
	candidates := claim.CopyCandidates(l, s.options.Host)
	s.observeLosses()
	s.mu.Lock()
	lost, now := s.losses.Lost, s.options.Now()
	for c, at := range s.rereplications {
		if now-at > s.options.Retention {
			delete(s.rereplications, c)
		}
	}
	s.mu.Unlock()
	if len(lost) == 0 || len(candidates) == 0 || self.Incarnation == 0 {
		return
	}
	last, owned := lost[len(lost)-1], uint64(0)
	for slot := range l.Slots {
		sh := &s.shards[slot]
		sh.mu.Lock()
		if l.Slots[slot].Holder == s.options.Host && sh.ownerEpoch == claim.OwnerEpoch(l, slot) &&
			sh.minOwnerEpoch == sh.ownerEpoch && now >= sh.blockedUntil {
			owned |= 1 << slot
		}
		sh.mu.Unlock()
	}
	if c := &s.lastRepair; owned == 0 ||
		c.copyHolder == candidates[0] && c.lastLost == last && c.lostCount == len(lost) && c.slots == owned {
		return
	}
	for slot := range l.Slots {
		if owned>>slot&1 != 0 && !s.replaceCopies(ctx, slot, claim.OwnerEpoch(l, slot)) {
			owned &^= 1 << slot
		}
	}
	message := copyRequest{}
	for _, process := range lost {
		message.Rereplications = append(message.Rereplications, claim.Rereplication{Owner: self, Lost: process.Process, Slots: owned})
	}
	answer, err := call[copyRequest, copyAnswer](ctx, s, candidates[0].Host, kindCopy, message)
	if err == nil && answer.Accepted {
		s.lastRepair.copyHolder, s.lastRepair.lastLost, s.lastRepair.lostCount, s.lastRepair.slots =
			candidates[0], last, len(lost), owned
	}
}
