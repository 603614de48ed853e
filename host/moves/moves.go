// Package moves runs shifts and rollouts: it drives those that this host holds the lease of, applies the shares of
// all, and collects their evidence.
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

// Members is what this package needs of the fleet's membership.
type Members interface {
	Members() []membership.Member
	Broadcast(ctx context.Context, kind string, body []byte) error
}

// Configs is what this package needs of the configuration.
type Configs interface {
	Current() *config.Configuration
	Fresh(team string) bool
	Subscribe(fn func(*config.Configuration))
	Apply(ctx context.Context, expect uint64, edits []config.Edit) (configs.ChangeOutcome, error)
}

// Places is what this package needs to know of regions and backend servers. Its methods are called on the hot path,
// but for Load, and must not block.
type Places interface {
	// Region returns the region of a backend server, or the empty string.
	Region(server string) string
	// Usable tells whether a region or backend server may receive moved requests.
	Usable(place string) bool
	// DestinationLoad returns the use of the receiver and of the link to it by the shift's traffic.
	DestinationLoad(s config.Shift) (to, link shift.Load)
}

// Options are what New needs. Log may be nil.
type Options struct {
	Host string
	// Incarnation differs for each start of the host.
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
	// tickInterval is the time between two looks of a driver, and between two batches of evidence.
	tickInterval = time.Second
	// renewInterval and takeoverAfter are the driver's lease: a successor waits for two lost renewals and more.
	renewInterval   = 5 * time.Second
	takeoverTimeout = 15 * time.Second
	// candidateCount are the hosts that watch a move's lease; each later one waits for rankDelay longer.
	candidateCount = 3
	delayPerRank   = 2 * time.Second
	// reportTimeout is the age of a host's last evidence at which its measurements count as stopped.
	reportTimeout = 5 * time.Second
	// callTimeout bounds each call to the store or a peer.
	callTimeout = 2 * time.Second
	// maxMoves bounds the moves in force; further ones, in the order of their names, are not started.
	maxMoves = 256
)

// Service runs the moves of the configuration in force.
type Service struct {
	opts  Options
	start time.Time
	done  chan struct{}
	// table is what the hot path reads; it is replaced when the configuration changes.
	table atomic.Pointer[moveTable]

	mu     sync.Mutex
	random *rand.Rand
	// lastReportAt holds the time of each host's last evidence to this driver, at most one entry for each known host.
	lastReportAt map[string]time.Duration
	// lastVetoNumber numbers this host's lastVetoNumber.
	lastVetoNumber uint64
}

// New returns the service and registers its handlers in Table. Run must be called for it to work.
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

// Run works until ctx ends and closes the done channel when all its goroutines have stopped.
func (s *Service) Run(ctx context.Context) error {
	defer close(s.done)
	group, ctx := errgroup.WithContext(ctx)
	// Evidence and vetoes have a loop of their own, which a slow store does not hold up.
	for _, step := range []func(context.Context){s.sendReports, s.drive} {
		group.Go(func() error {
			s.runEverySecond(ctx, step)
			return nil
		})
	}
	return group.Wait()
}

// Done is closed when Run has returned.
func (s *Service) Done() <-chan struct{} { return s.done }

// runEverySecond calls step each second; the first call is at a random moment, so that hosts do not act together.
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

func (s *Service) now() time.Duration { return time.Since(s.start) }

func (s *Service) liveHosts() (alive []membership.Member) {
	for _, m := range s.opts.Members.Members() {
		if m.State == membership.Alive || m.State == membership.Leaving || m.State == membership.Suspected {
			alive = append(alive, m)
		}
	}
	return alive
}

// Cancel asks for the end of a move by a change of its document. The driver reverts it.
func (s *Service) Cancel(ctx context.Context, kind, name string) (configs.ChangeOutcome, error) {
	current := s.opts.Configs.Current()
	edit, err := cancellationEdit(current, kind, name)
	if err != nil {
		return configs.ChangeOutcome{}, err
	}
	return s.opts.Configs.Apply(ctx, current.Sequence, []config.Edit{edit})
}
