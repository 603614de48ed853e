package peers

import (
	"context"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
)

// Network joins hosts in one process for tests. Its faults are switched by the test.
type Network struct {
	mu    sync.Mutex
	hosts map[string]*HandlerTable
	// cut holds the directed pairs whose messages are lost.
	cut map[[2]string]bool
	// doubled delivers each one-way message twice when set.
	doubled bool
	delay   time.Duration
	// messages and bytes count what was sent, lost messages included, by sending host.
	messages map[string]uint64
	bytes    map[string]uint64
}

// NewNetwork returns a network without hosts.
func NewNetwork() *Network {
	return &Network{
		hosts: map[string]*HandlerTable{}, cut: map[[2]string]bool{},
		messages: map[string]uint64{}, bytes: map[string]uint64{},
	}
}

// Join connects a host under its id and returns its Caller. A second Join replaces the first.
func (n *Network) Join(id string, table *HandlerTable) Caller {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.hosts[id] = table
	return memoryCaller{network: n, from: id}
}

// Leave disconnects a host; messages to it are lost.
func (n *Network) Leave(id string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	delete(n.hosts, id)
}

// SetLinkDown loses, or with lost false restores, the messages from one host to another.
func (n *Network) SetLinkDown(from, to string, lost bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.cut[[2]string{from, to}] = lost
}

// SetDelay delays each message by d.
func (n *Network) SetDelay(d time.Duration) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.delay = d
}

// SetDuplicated delivers each one-way message twice.
func (n *Network) SetDuplicated(doubled bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.doubled = doubled
}

// Sent returns the messages and bytes that a host has sent.
func (n *Network) Sent(from string) (messages, bytes uint64) {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.messages[from], n.bytes[from]
}

// deliver passes one message on and returns the receiver's table, or nil when it is lost.
func (n *Network) deliver(ctx context.Context, from, to string, size int) *HandlerTable {
	n.mu.Lock()
	delay, table, lost := n.delay, n.hosts[to], n.cut[[2]string{from, to}]
	n.messages[from]++
	n.bytes[from] += uint64(size)
	n.mu.Unlock()
	if delay > 0 {
		timer := time.NewTimer(delay)
		defer timer.Stop()
		select {
		case <-timer.C:
		case <-ctx.Done():
			return nil
		}
	}
	if lost {
		return nil
	}
	return table
}

type memoryCaller struct {
	network *Network
	from    string
}

// Call implements Caller. A lost request or answer is reported when ctx ends.
func (c memoryCaller) Call(ctx context.Context, to, kind string, body []byte) ([]byte, error) {
	table := c.network.deliver(ctx, c.from, to, len(body))
	if table == nil {
		return nil, errors.Mark(errors.Newf("no answer from %s", to), ErrUnreachable)
	}
	handler, ok := table.Lookup(kind)
	if !ok {
		return nil, errors.Newf("host %s does not know messages of kind %s", to, kind)
	}
	answer, err := handler(ctx, c.from, body)
	if err != nil {
		return nil, err
	}
	if c.network.deliver(ctx, to, c.from, len(answer)) == nil {
		return nil, errors.Mark(errors.Newf("answer from %s was lost", to), ErrUnreachable)
	}
	return answer, nil
}

// Send implements Caller. It delivers in the sender's goroutine, so the order is kept.
func (c memoryCaller) Send(ctx context.Context, to, kind string, body []byte) error {
	table := c.network.deliver(ctx, c.from, to, len(body))
	if table == nil {
		return nil
	}
	handler, ok := table.Lookup(kind)
	if !ok {
		return nil
	}
	c.network.mu.Lock()
	doubled := c.network.doubled
	c.network.mu.Unlock()
	_, err := handler(ctx, c.from, body)
	if doubled {
		_, err = handler(ctx, c.from, body)
	}
	return errors.Wrapf(err, "handle %s", kind)
}
