package peers

import (
	"context"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
)

// Network is an in-memory network for tests with several hosts in one process. Tests can inject faults.
type Network struct {
	mu    sync.Mutex
	hosts map[string]*HandlerTable
	// downLinks holds the pairs of sender and receiver between which messages are lost.
	downLinks map[[2]string]bool
	// duplicated is set when each one-way message is delivered twice.
	duplicated bool
	delay      time.Duration
	// messages and bytes count what each host sent, lost messages included.
	messages map[string]uint64
	bytes    map[string]uint64
}

// NewNetwork returns a network without hosts and faults.
func NewNetwork() *Network {
	return &Network{
		hosts: map[string]*HandlerTable{}, downLinks: map[[2]string]bool{},
		messages: map[string]uint64{}, bytes: map[string]uint64{},
	}
}

// Join connects a host and returns its Caller. A second call with the same id replaces the first.
func (n *Network) Join(id string, table *HandlerTable) Caller {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.hosts[id] = table
	return memoryCaller{network: n, from: id}
}

// Leave disconnects a host. Messages to it are lost.
func (n *Network) Leave(id string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	delete(n.hosts, id)
}

// SetLinkDown sets whether messages from one host to another are lost.
func (n *Network) SetLinkDown(from, to string, down bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.downLinks[[2]string{from, to}] = down
}

// SetDelay sets the delay of each message.
func (n *Network) SetDelay(d time.Duration) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.delay = d
}

// SetDuplicated sets whether each one-way message is delivered twice.
func (n *Network) SetDuplicated(doubled bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.duplicated = doubled
}

// Sent returns the numbers of messages and bytes that a host has sent, lost messages included.
func (n *Network) Sent(from string) (messages, bytes uint64) {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.messages[from], n.bytes[from]
}

// deliver simulates the delivery of a message. It returns the receiver's handlers, or nil if the message is lost.
func (n *Network) deliver(ctx context.Context, from, to string, size int) *HandlerTable {
	n.mu.Lock()
	delay, table, lost := n.delay, n.hosts[to], n.downLinks[[2]string{from, to}]
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

// memoryCaller is one host's Caller.
type memoryCaller struct {
	network *Network
	from    string
}

// Call implements Caller. It fails without waiting for ctx if the request or the reply is lost.
func (c memoryCaller) Call(ctx context.Context, to, kind string, body []byte) ([]byte, error) {
	table := c.network.deliver(ctx, c.from, to, len(body))
	if table == nil {
		return nil, errors.Mark(errors.Newf("no reply from %s", to), ErrUnreachable)
	}
	handler, ok := table.Lookup(kind)
	if !ok {
		return nil, errors.Newf("host %s does not know message kind %s", to, kind)
	}
	reply, err := handler(ctx, c.from, body)
	if err != nil {
		return nil, err
	}
	if c.network.deliver(ctx, to, c.from, len(reply)) == nil {
		return nil, errors.Mark(errors.Newf("reply from %s was lost", to), ErrUnreachable)
	}
	return reply, nil
}

// Send implements Caller. It calls the handler in the sender's goroutine, so that messages arrive in the order of sending.
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
	doubled := c.network.duplicated
	c.network.mu.Unlock()
	_, err := handler(ctx, c.from, body)
	if doubled {
		_, err = handler(ctx, c.from, body)
	}
	return errors.Wrapf(err, "handle %s", kind)
}
