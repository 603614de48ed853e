// Package members runs this host's part of the membership protocol of core/membership: it exchanges heartbeats with the
// host's neighbours on the overlay, synchronises member tables, reads the platform's list of hosts and floods broadcasts.
package members

import (
	"context"
	"log/slog"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/cockroachdb/errors"
	"golang.org/x/sync/errgroup"

	"vanillatally/core/membership"
	"vanillatally/io/peers"
	"vanillatally/io/platform"
)

// Kinds of messages between hosts.
const (
	kindHeartbeat = "heartbeat"
	kindUpdate    = "membership-update"
	kindSync      = "membership-exchange"
	kindBroadcast = "broadcast"
)

const (
	// tickInterval bounds how late an event that is due by time happens, such as the suspicion of a silent host.
	tickInterval = 250 * time.Millisecond
	// sendShards is the number of workers that send messages. One of them sends all messages to a host, in order.
	sendShards = 8
	// queueLength bounds the messages that wait for one worker. Further messages are dropped and counted; later
	// heartbeats and syncs make up for lost updates.
	queueLength  = 512
	syncWorkers  = 3
	sendTimeout  = time.Second
	listInterval = 5 * time.Second
	listTimeout  = 3 * time.Second
)

// ErrQueueFull is returned when a broadcast could not be queued for any neighbour.
var ErrQueueFull = errors.New("the send queues of all overlay links are full")

// Options configure a Service. Self, Caller and Handlers are required.
type Options struct {
	// Self describes this host. Its incarnation defaults to the start time in milliseconds.
	Self membership.Member
	// Seeds are the peer addresses of hosts to join through. Until a seed's host id is known, Caller gets the address
	// in place of the id, and Service.Address resolves it to itself.
	Seeds  []string
	Caller peers.Caller
	// Handlers is where New registers the handlers of this package. It also holds the handlers of broadcasts.
	Handlers *peers.HandlerTable
	// PlatformList may be nil. Then hosts are found through seeds and peers only.
	PlatformList platform.List
	// Now returns the monotonic time since the start of the process.
	Now    func() time.Duration
	Timing membership.Timing
	// Versions returns the versions of the configuration and the ledger at this host, which heartbeats carry.
	Versions func() membership.Versions
	// OnNewerVersions is called when a heartbeat carries a higher sequence or epoch than Versions. It must not block.
	OnNewerVersions func(host string, versions membership.Versions)
	// OnMembersChanged is called with the member records that changed. It must not block.
	OnMembersChanged func(changed []membership.Member)
	Logger           *slog.Logger
}

// Service runs this host's part of the membership protocol.
type Service struct {
	options        Options
	mu             sync.Mutex
	view           membership.View // guarded by mu
	leaving        bool            // guarded by mu
	seenBroadcasts *broadcastIDSet // guarded by mu
	snapshot       atomic.Pointer[[]membership.Member]
	queues         [sendShards]chan outgoingMessage
	// syncTargets queues the hosts and seed addresses to sync with. If it is full, a target is dropped; later heartbeats
	// request the sync again.
	syncTargets chan string
	nextID      atomic.Uint64
	dropped     atomic.Uint64
	done        chan struct{}
}

type outgoingMessage struct {
	to, kind string
	message  any
}

// updateMessage carries member records that changed. Hosts flood them.
type updateMessage struct {
	Members []membership.Member `cbor:"members"`
}

// New returns a service and registers its message handlers in options.Handlers. Run must be called for it to work.
func New(options Options) *Service {
	if options.Now == nil {
		start := time.Now()
		options.Now = func() time.Duration { return time.Since(start) }
	}
	if options.Timing == (membership.Timing{}) {
		options.Timing = membership.DefaultTiming()
	}
	if options.Self.Incarnation == 0 {
		options.Self.Incarnation = uint64(time.Now().UnixMilli())
	}
	if options.Versions == nil {
		options.Versions = func() membership.Versions { return membership.Versions{} }
	}
	if options.OnNewerVersions == nil {
		options.OnNewerVersions = func(string, membership.Versions) {}
	}
	if options.OnMembersChanged == nil {
		options.OnMembersChanged = func([]membership.Member) {}
	}
	if options.Logger == nil {
		options.Logger = slog.New(slog.DiscardHandler)
	}
	s := &Service{
		options: options, seenBroadcasts: newBroadcastIDSet(maxSeenBroadcasts), done: make(chan struct{}),
		view:        membership.New(options.Timing, options.Self, options.Seeds, options.Now()),
		syncTargets: make(chan string, 4*syncWorkers),
	}
	// Ids start above those of earlier processes of this host, whose incarnations were lower.
	s.nextID.Store(options.Self.Incarnation << 20)
	for i := range s.queues {
		s.queues[i] = make(chan outgoingMessage, queueLength)
	}
	s.publishMembers(s.view)
	peers.Handle(options.Handlers, kindHeartbeat, s.handleHeartbeat)
	peers.Handle(options.Handlers, kindUpdate, s.handleUpdate)
	peers.Handle(options.Handlers, kindSync, s.handleSync)
	peers.Handle(options.Handlers, kindBroadcast, s.handleBroadcast)
	return s
}

// Run runs the service until ctx ends. If Leave was called, it then announces that this host has stopped.
func (s *Service) Run(ctx context.Context) (err error) {
	defer close(s.done)
	defer func() { err = errors.Wrap(err, "run the membership service") }()
	group, groupCtx := errgroup.WithContext(ctx)
	group.Go(func() error { return s.tick(groupCtx) })
	for i := range s.queues {
		group.Go(func() error { return s.sendQueued(groupCtx, s.queues[i]) })
	}
	for range syncWorkers {
		group.Go(func() error { return s.runSyncs(groupCtx) })
	}
	if s.options.PlatformList != nil {
		group.Go(func() error { return s.pollPlatformList(groupCtx) })
	}
	err = group.Wait()
	s.announceStopped(ctx)
	if ctx.Err() != nil {
		return nil
	}
	return err
}

// Done is closed when Run has returned.
func (s *Service) Done() <-chan struct{} { return s.done }

// Members returns all known hosts sorted by id, including this host and dead hosts. Callers must not change the slice,
// which is shared.
func (s *Service) Members() []membership.Member { return *s.snapshot.Load() }

// Address returns the peer address of a host. A seed's address resolves to itself.
func (s *Service) Address(host string) (string, bool) {
	s.mu.Lock()
	view := s.view
	s.mu.Unlock()
	return view.Address(host)
}

// Links returns the hosts with which this host exchanges heartbeats.
func (s *Service) Links() []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.view.Links()
}

// DroppedMessages returns the number of messages that were dropped because their send queue was full.
func (s *Service) DroppedMessages() uint64 { return s.dropped.Load() }

// Leave announces that this host is leaving. The service keeps running until Run's context ends, and then announces that
// this host has stopped.
func (s *Service) Leave(ctx context.Context) error {
	s.mu.Lock()
	s.leaving = true
	s.mu.Unlock()
	s.updateView(func(v membership.View, now time.Duration) (membership.View, membership.Output) {
		return v.WithLeaving(now)
	})
	return ctx.Err()
}

// announceStopped notifies the neighbours that this host has stopped, if it left with Leave.
func (s *Service) announceStopped(ctx context.Context) {
	s.mu.Lock()
	leaving := s.leaving
	_, out := s.view.WithStopped(s.options.Now())
	s.mu.Unlock()
	if !leaving {
		return
	}
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), sendTimeout)
	defer cancel()
	for _, to := range out.UpdateTargets {
		_ = peers.Send(ctx, s.options.Caller, to, kindUpdate, updateMessage{Members: out.Updates})
	}
}

// updateView replaces the view by the result of step and sends the messages that step returned.
func (s *Service) updateView(step func(membership.View, time.Duration) (membership.View, membership.Output)) {
	s.mu.Lock()
	view, out := step(s.view, s.options.Now())
	s.view = view
	if len(out.Updates) > 0 {
		s.publishMembers(view)
	}
	s.mu.Unlock()
	s.sendOutput(out)
}

func (s *Service) publishMembers(view membership.View) {
	members := view.Members()
	s.snapshot.Store(&members)
}

// sendOutput queues the messages and syncs that a step of the view asks for.
func (s *Service) sendOutput(out membership.Output) {
	if len(out.Updates) > 0 {
		for _, to := range out.UpdateTargets {
			s.enqueue(to, kindUpdate, updateMessage{Members: out.Updates})
		}
		for _, m := range out.Updates {
			s.options.Logger.Debug("member changed", "host", m.Host, "incarnation", m.Incarnation, "state", m.State)
		}
		s.options.OnMembersChanged(out.Updates)
	}
	if len(out.Heartbeats) > 0 {
		versions := s.options.Versions()
		for _, h := range out.Heartbeats {
			h.Heartbeat.Sequence, h.Heartbeat.Epoch = versions.Sequence, versions.Epoch
			s.enqueue(h.To, kindHeartbeat, h.Heartbeat)
		}
	}
	for _, to := range out.SyncTargets {
		select {
		case s.syncTargets <- to:
		default:
		}
	}
}

// enqueue returns false if it dropped the message because the send queue is full.
func (s *Service) enqueue(to, kind string, message any) bool {
	select {
	case s.queues[xxhash.Sum64String(to)%sendShards] <- outgoingMessage{to: to, kind: kind, message: message}:
		return true
	default:
		s.dropped.Add(1)
		return false
	}
}

func (s *Service) tick(ctx context.Context) error {
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	for {
		s.updateView(func(v membership.View, now time.Duration) (membership.View, membership.Output) {
			return v.Tick(now, rand.Uint64())
		})
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-ticker.C:
		}
	}
}

func (s *Service) sendQueued(ctx context.Context, queue <-chan outgoingMessage) error {
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case m := <-queue:
			sendCtx, cancel := context.WithTimeout(ctx, sendTimeout)
			// Errors are ignored: failure detection relies on missing heartbeats.
			_ = peers.Send(sendCtx, s.options.Caller, m.to, m.kind, m.message)
			cancel()
		}
	}
}

func (s *Service) runSyncs(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case to := <-s.syncTargets:
			s.syncWith(ctx, to)
		}
	}
}

func (s *Service) syncWith(ctx context.Context, to string) {
	ctx, cancel := context.WithTimeout(ctx, sendTimeout)
	defer cancel()
	s.mu.Lock()
	request := s.view.NewSyncRequest(to)
	s.mu.Unlock()
	response, err := peers.Call[membership.SyncRequest, membership.SyncResponse](ctx, s.options.Caller, to, kindSync, request)
	if err != nil {
		return
	}
	s.updateView(func(v membership.View, now time.Duration) (membership.View, membership.Output) {
		return v.HandleSyncResponse(now, to, response)
	})
}

// pollPlatformList reads the platform's list of hosts periodically. If that fails, the last list stays in use.
func (s *Service) pollPlatformList(ctx context.Context) error {
	for {
		s.readPlatformList(ctx)
		jitter := time.Duration(rand.Int64N(int64(listInterval / 5)))
		timer := time.NewTimer(listInterval - listInterval/10 + jitter)
		select {
		case <-ctx.Done():
			timer.Stop()
			return ctx.Err()
		case <-timer.C:
		}
	}
}

func (s *Service) readPlatformList(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, listTimeout)
	defer cancel()
	hosts, err := s.options.PlatformList.Hosts(ctx)
	if err != nil {
		s.options.Logger.Warn("cannot read the platform's list of hosts", "error", err)
	}
	if !platform.IsUsable(err) {
		return
	}
	listed := make(map[string]membership.PlatformHost, len(hosts))
	for _, h := range hosts[:min(len(hosts), membership.MaxMembers)] {
		listed[h.ID] = membership.PlatformHost{PeerAddress: h.PeerAddress, Leaving: h.Leaving}
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.view = s.view.WithPlatformHosts(listed)
	s.publishMembers(s.view)
}

func (s *Service) handleHeartbeat(_ context.Context, from string, heartbeat membership.Heartbeat) (struct{}, error) {
	s.updateView(func(v membership.View, now time.Duration) (membership.View, membership.Output) {
		return v.HandleHeartbeat(now, from, heartbeat)
	})
	own := s.options.Versions()
	if heartbeat.Sequence > own.Sequence || heartbeat.Epoch > own.Epoch {
		s.options.OnNewerVersions(from, membership.Versions{Sequence: heartbeat.Sequence, Epoch: heartbeat.Epoch})
	}
	return struct{}{}, nil
}

func (s *Service) handleUpdate(_ context.Context, _ string, message updateMessage) (struct{}, error) {
	s.updateView(func(v membership.View, now time.Duration) (membership.View, membership.Output) {
		return v.MergeUpdates(now, message.Members)
	})
	return struct{}{}, nil
}

func (s *Service) handleSync(
	_ context.Context, _ string, request membership.SyncRequest,
) (response membership.SyncResponse, err error) {
	s.updateView(func(v membership.View, now time.Duration) (membership.View, membership.Output) {
		v, a, out := v.HandleSyncRequest(now, request)
		response = a
		return v, out
	})
	return response, nil
}
