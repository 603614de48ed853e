// Package moves runs rollouts and traffic shifts, which it calls moves, on a host. Each move has one host as its driver, which
// holds a lease in the store, decides the steps and records them. Every host applies the recorded shares to its requests,
// counts the results and reports them to the driver. A host whose own test finds a fault vetoes a move at once.
//
// A higher share takes effect only after it was recorded in the store. A lower one takes effect at once and is recorded later,
// so that a bad version gets no more requests even while the store or the driver is down.
package moves

import (
	"context"
	"log/slog"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"golang.org/x/sync/errgroup"

	"vanillatally/core/config"
	"vanillatally/core/membership"
	"vanillatally/core/shift"
	"vanillatally/host/configs"
	"vanillatally/io/peers"
	"vanillatally/io/store"
)

// Members gives access to the fleet's membership.
type Members interface {
	Members() []membership.Member
	Broadcast(ctx context.Context, kind string, body []byte) error
}

// Configs gives access to the configuration.
type Configs interface {
	Current() *config.Configuration
	Fresh(team string) bool
	Subscribe(fn func(*config.Configuration))
	Apply(ctx context.Context, expect uint64, edits []config.Edit) (configs.ChangeOutcome, error)
}

// Places gives access to the state of regions and backend servers, between which shifts move requests. Region and Usable are
// called for each request and must not block.
type Places interface {
	// Region returns the region of a backend server, or an empty string if it is not known.
	Region(server string) string
	// Usable reports whether a region or backend server may receive shifted requests.
	Usable(place string) bool
	// DestinationLoad returns the load of a shift's destination and of the link to it.
	DestinationLoad(s config.Shift) (to, link shift.Load)
}

// Options configure a Service. Log may be nil.
type Options struct {
	Host string
	// Incarnation is a number that differs at each start of the host.
	Incarnation uint64
	Store       store.Store
	Peers       peers.Caller
	Table       *peers.HandlerTable
	Members     Members
	Configs     Configs
	Places      Places
	Log         *slog.Logger
	Seed        uint64
}

const (
	// tickInterval is the time between two decisions of a driver about a move, and between two reports of a host.
	tickInterval = time.Second
	// renewInterval is how often a driver renews its lease. Another host takes over the lease if it wasn't renewed for
	// takeoverTimeout, so that two lost renewals do no harm.
	renewInterval   = 5 * time.Second
	takeoverTimeout = 15 * time.Second
	// candidateCount is the number of hosts that check whether a move's lease is renewed. Each one waits for delayPerRank longer
	// than the one before it, so that they don't take over the lease at the same time.
	candidateCount = 3
	delayPerRank   = 2 * time.Second
	// reportTimeout is the maximum age of the last report of each other live host. If one is older or missing, the measurements
	// are incomplete.
	reportTimeout = 5 * time.Second
	// callTimeout bounds each call to the store or another host.
	callTimeout = 2 * time.Second
	// maxMoves bounds the moves of a configuration. In the order of kind and name, further ones are ignored.
	maxMoves = 256
)

// Service runs the moves of the current configuration.
type Service struct {
	opts  Options
	start time.Time
	done  chan struct{}
	// table holds the current moves; it is replaced when the configuration changes.
	table atomic.Pointer[moveTable]

	mu     sync.Mutex
	random *rand.Rand
	// lastReportAt holds the time of each host's last report to this one, at most one entry for each known host.
	lastReportAt map[string]time.Duration
	// lastVetoNumber is the number in the id of this host's newest veto.
	lastVetoNumber uint64
}

// New returns a service and registers its message handlers in opts.Table. The caller has to call Run.
func New(opts Options) *Service {
	if opts.Log == nil {
		opts.Log = slog.New(slog.DiscardHandler)
	}
	s := &Service{
		opts: opts, start: time.Now(), done: make(chan struct{}), lastReportAt: map[string]time.Duration{},
		random: rand.New(rand.NewPCG(opts.Seed, opts.Incarnation)),
	}
	s.table.Store(&moveTable{})
	s.registerHandlers(opts.Table)
	opts.Configs.Subscribe(s.applyConfiguration)
	return s
}

// Run drives moves and sends reports until ctx ends, and then closes Done.
func (s *Service) Run(ctx context.Context) error {
	defer close(s.done)
	group, ctx := errgroup.WithContext(ctx)
	// Reports and vetoes have a loop of their own, so that a slow store doesn't delay them.
	for _, step := range []func(context.Context){s.sendReports, s.drive} {
		group.Go(func() error {
			s.runEverySecond(ctx, step)
			return nil
		})
	}
	return group.Wait()
}

// Done returns a channel that is closed when Run has stopped.
func (s *Service) Done() <-chan struct{} { return s.done }

// runEverySecond calls step each second until ctx ends. The first call is after a random delay, so that the hosts don't act
// at the same moment.
func (s *Service) runEverySecond(ctx context.Context, step func(context.Context)) {
	s.mu.Lock()
	delay := time.Duration(s.random.Int64N(int64(tickInterval)))
	s.mu.Unlock()
	timer := time.NewTimer(delay)
	defer timer.Stop()
	for {
		select {
		case <-timer.C:
		case <-ctx.Done():
			return
		}
		began := s.now()
		step(ctx)
		timer.Reset(max(tickInterval-(s.now()-began), tickInterval/10))
	}
}

// now returns the monotonic time since the service was created.
func (s *Service) now() time.Duration { return time.Since(s.start) }

// liveHosts returns the members that are alive, suspected or leaving.
func (s *Service) liveHosts() (live []membership.Member) {
	for _, m := range s.opts.Members.Members() {
		if m.State == membership.Alive || m.State == membership.Leaving || m.State == membership.Suspected {
			live = append(live, m)
		}
	}
	return live
}

// Cancel sets Cancelled in a move's document. Its driver then reverts the move.
func (s *Service) Cancel(ctx context.Context, kind, name string) (configs.ChangeOutcome, error) {
	current := s.opts.Configs.Current()
	edit, err := cancellationEdit(current, kind, name)
	if err != nil {
		return configs.ChangeOutcome{}, err
	}
	return s.opts.Configs.Apply(ctx, current.Sequence, []config.Edit{edit})
}
