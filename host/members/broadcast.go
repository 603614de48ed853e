package members

import (
	"context"

	"github.com/cockroachdb/errors"
)

// maxSeenBroadcasts bounds the set of ids of handled broadcasts. When it is full the oldest id is evicted, so that a duplicate
// that arrives after 4,096 newer broadcasts would be handled again.
const maxSeenBroadcasts = 4096

// maxHops ends the flooding of a broadcast whose id was evicted from the sets of hosts on its way. 4,500 hosts need about
// 6 hops.
const maxHops = 32

// broadcastMessage is a broadcast as hosts forward it. Origin and ID identify it.
type broadcastMessage struct {
	Origin string `cbor:"origin"`
	ID     uint64 `cbor:"id"`
	Hops   int    `cbor:"hops"`
	Kind   string `cbor:"kind"`
	Body   []byte `cbor:"body"`
}

type broadcastID struct {
	origin string
	id     uint64
}

// Broadcast floods a message over the overlay. Every other host passes it once to its handler of kind, with this host as
// the sender. A host without a connection to the overlay misses it.
func (s *Service) Broadcast(ctx context.Context, kind string, body []byte) (err error) {
	if err := ctx.Err(); err != nil {
		return errors.Wrapf(err, "broadcast %s", kind)
	}
	message := broadcastMessage{Origin: s.options.Self.Host, ID: s.nextID.Add(1), Kind: kind, Body: body}
	s.mu.Lock()
	s.seenBroadcasts.add(broadcastID{origin: message.Origin, id: message.ID})
	links := s.view.Links()
	s.mu.Unlock()
	if s.forward(links, "", message) == 0 && len(links) > 0 {
		return errors.Wrapf(ErrQueueFull, "broadcast %s", kind)
	}
	return nil
}

// forward queues the message for all links except one, and returns for how many there was room in the queue.
func (s *Service) forward(links []string, except string, message broadcastMessage) (queued int) {
	for _, to := range links {
		if to != except && s.enqueue(to, kindBroadcast, message) {
			queued++
		}
	}
	return queued
}

func (s *Service) handleBroadcast(ctx context.Context, from string, message broadcastMessage) (struct{}, error) {
	s.mu.Lock()
	isNew := s.seenBroadcasts.add(broadcastID{origin: message.Origin, id: message.ID})
	links := s.view.Links()
	s.mu.Unlock()
	if !isNew {
		return struct{}{}, nil
	}
	if message.Hops++; message.Hops < maxHops {
		// The message is forwarded before the handler runs, so that a slow handler does not delay other hosts.
		s.forward(links, from, message)
	}
	handler, known := s.options.Handlers.Lookup(message.Kind)
	if !known {
		return struct{}{}, nil
	}
	_, err := handler(ctx, message.Origin, message.Body)
	return struct{}{}, errors.Wrapf(err, "handle broadcast %s of %s", message.Kind, message.Origin)
}

// broadcastIDSet holds the ids of the broadcasts that were added last, at most len(order) of them. order is a ring buffer
// with the position next.
type broadcastIDSet struct {
	ids   map[broadcastID]struct{}
	order []broadcastID
	next  int
}

func newBroadcastIDSet(size int) *broadcastIDSet {
	return &broadcastIDSet{ids: make(map[broadcastID]struct{}, size), order: make([]broadcastID, size)}
}

// add adds id, evicting the oldest one if the set is full. It returns false if id is already in the set.
func (t *broadcastIDSet) add(id broadcastID) bool {
	if _, known := t.ids[id]; known {
		return false
	}
	delete(t.ids, t.order[t.next])
	t.order[t.next] = id
	t.next = (t.next + 1) % len(t.order)
	t.ids[id] = struct{}{}
	return true
}
