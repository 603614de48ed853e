package members

import (
	"context"

	"github.com/cockroachdb/errors"
)

// maxSeenBroadcasts bounds the table of handled broadcasts. When it is full the oldest id is dropped, so a
// duplicate that arrives after 4,096 newer broadcasts would be handled again.
const maxSeenBroadcasts = 4096

// maxHops ends a flood whose ids were dropped from the tables on its way. 4,500 hosts need about 6.
const maxHops = 32

// broadcastMessage is a broadcast on its way over the overlay.
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

// Broadcast floods a message over the overlay. Each other host passes it once to its handler of kind,
// with this host as the sender; this host does not handle it. A host that is cut off misses it.
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

// forward queues the message for all links but one and returns how many took it.
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
		// The flood goes on before the handler runs, so a slow handler delays nobody else.
		s.forward(links, from, message)
	}
	handler, known := s.options.Handlers.Lookup(message.Kind)
	if !known {
		return struct{}{}, nil
	}
	_, err := handler(ctx, message.Origin, message.Body)
	return struct{}{}, errors.Wrapf(err, "handle broadcast %s of %s", message.Kind, message.Origin)
}

// seenTable remembers the last ids that were added, at most the length of order.
type seenTable struct {
	ids   map[broadcastID]struct{}
	order []broadcastID
	next  int
}

func newSeenTable(size int) *seenTable {
	return &seenTable{ids: make(map[broadcastID]struct{}, size), order: make([]broadcastID, size)}
}

// add says whether id was not yet known.
func (t *seenTable) add(id broadcastID) bool {
	if _, known := t.ids[id]; known {
		return false
	}
	delete(t.ids, t.order[t.next])
	t.order[t.next] = id
	t.next = (t.next + 1) % len(t.order)
	t.ids[id] = struct{}{}
	return true
}
