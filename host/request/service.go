package request

import (
	"context"
	"math/rand/v2"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"

	"vanillatally/core/balance"
	"vanillatally/core/config"
	"vanillatally/core/quarantine"
	"vanillatally/io/backends"
	"vanillatally/io/callers"
	"vanillatally/io/platform"
)

// Options configures a Service. Nil interfaces take the single-host implementations of local.go; zero durations and sizes take
// the defaults of withDefaults.
type Options struct {
	// Host is the id of this host, the prefix of its request IDs.
	Host                  string
	Region, FailureDomain string
	// Configuration returns the configuration in force, or nil before there is one.
	Configuration func() *config.Configuration
	// ConfigurationFresh reports whether the configuration is known to be recent enough for requests of team; nil means always.
	ConfigurationFresh func(team string) bool
	// BackendServers returns the known backend servers. A returned slice must not change afterwards.
	BackendServers func() []platform.BackendServer

	Admitter Admitter
	Permits  Permits
	Claims   Claims
	Moves    Moves
	// AdmitLinkTraffic charges bytes to the link between two regions and reports whether its capacity allows them; nil allows
	// all.
	AdmitLinkTraffic func(from, to string, bytes float64) bool

	// BroadcastQuarantineNotice sends a notice about a request that may crash servers to the other hosts; nil sends none.
	BroadcastQuarantineNotice func(ctx context.Context, notice quarantine.Notice) error
	// NoticePropagationDelay is how long the response to a request whose server crashed is held back after the broadcast, so
	// that all hosts have the notice before the caller can resend the request to another host.
	NoticePropagationDelay time.Duration

	Hook     Hook
	Policy   balance.Policy
	Backends backends.Options
	// HedgeDelay is the time without a response after which the server is probed and an idempotent request is also sent to a
	// second server.
	HedgeDelay time.Duration
	// MaxRequestBodyBytes bounds the request body; 0 means 8 MiB.
	MaxRequestBodyBytes int64
	// InactivityTimeout is the time without a byte sent or received after which an attempt fails. A route with long latencies
	// gets a longer one.
	InactivityTimeout time.Duration
}

func (o Options) withDefaults() Options {
	if o.ConfigurationFresh == nil {
		o.ConfigurationFresh = func(string) bool { return true }
	}
	if o.Admitter == nil {
		o.Admitter = NewLocalAdmitter(o.Configuration, 1)
	}
	if o.Permits == nil {
		o.Permits = NewLocalPermits(o.BackendServers)
	}
	if o.Claims == nil {
		o.Claims = NewLocalClaims()
	}
	if o.Moves == nil {
		o.Moves = NoMoves{}
	}
	if o.AdmitLinkTraffic == nil {
		o.AdmitLinkTraffic = func(string, string, float64) bool { return true }
	}
	if o.BroadcastQuarantineNotice == nil {
		o.BroadcastQuarantineNotice = func(context.Context, quarantine.Notice) error { return nil }
	}
	if o.Hook == nil {
		o.Hook = noHook{}
	}
	if o.MaxRequestBodyBytes == 0 {
		o.MaxRequestBodyBytes = 8 << 20
	}
	if o.HedgeDelay == 0 {
		o.HedgeDelay = time.Second
	}
	if o.InactivityTimeout == 0 {
		o.InactivityTimeout = 1900 * time.Millisecond
	}
	if o.NoticePropagationDelay == 0 {
		o.NoticePropagationDelay = 150 * time.Millisecond
	}
	return o
}

// Service proxies callers' requests to backend servers. Its memory is bounded by the sizes of the configuration and of the list
// of backend servers.
type Service struct {
	options         Options
	chain           []filter
	client          *backends.Client
	start           time.Time
	lastRequestID   atomic.Uint64
	requestIDPrefix string
	indexed         atomic.Pointer[indexedConfiguration]
	pools           pools
	limiters        concurrencyLimiters
	quarantineTable quarantineTable
	scratch         sync.Pool
}

// New returns a service. Run must be called in a goroutine to maintain its connections.
func New(options Options) *Service {
	s := &Service{options: options.withDefaults(), start: time.Now(), chain: newFilterChain()}
	// The random part keeps request IDs unique across restarts of the host.
	s.requestIDPrefix = s.options.Host + "-" + strconv.FormatUint(rand.Uint64(), 36) + "-"
	backend := s.options.Backends
	counted := backend.OnEvent
	backend.OnEvent = func(event backends.Event, address string) {
		if counted != nil {
			counted(event, address)
		}
		s.options.Hook.Event(string(event), address)
	}
	s.client = backends.New(backend)
	s.scratch.New = func() any { return new(balance.Scratch) }
	s.pools.service = s
	s.limiters.service = s
	s.quarantineTable.service = s
	return s
}

// Run maintains the idle connections to backend servers until ctx ends.
func (s *Service) Run(ctx context.Context) error { return s.client.Run(ctx) }

// Done is closed when Run has returned.
func (s *Service) Done() <-chan struct{} { return s.client.Done() }

// now returns the time since the service was created.
func (s *Service) now() time.Duration { return time.Since(s.start) }

func (s *Service) nextRequestID() string {
	var b [64]byte
	return string(strconv.AppendUint(append(b[:0], s.requestIDPrefix...), s.lastRequestID.Add(1), 36))
}

// errResponseAborted ends a request whose response was partly sent and cannot be completed.
var errResponseAborted = errors.New("the response was aborted")

// ServeHTTP passes a request through the filter chain.
func (s *Service) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	x := &exchange{service: s, w: w, r: r, received: time.Now(), context: r.Context()}
	err := x.next()
	x.releaseConcurrency()
	x.finish(err)
	if errors.Is(err, errResponseAborted) {
		// The panic closes the connection before the end of the response, so that the caller can tell that it is incomplete.
		panic(http.ErrAbortHandler)
	}
}

// finish writes a refusal, if any, and reports the request to the hook.
func (x *exchange) finish(err error) {
	done := FinishedRequest{
		Team: x.team, Route: x.routeName, Service: x.route.Service, Version: x.version, Server: x.serverID, Status: x.status,
		QueueTime: x.queueTime, BackendTime: x.backendTime,
	}
	var refusal *callers.Refusal
	switch {
	case err == nil:
	case errors.As(err, &refusal):
		done.Status, done.Reason, done.Ran = refusal.Status, refusal.Reason, refusal.Ran
		if x.callerRequestID != "" {
			x.w.Header().Set("X-Request-Id", x.callerRequestID)
		}
		callers.WriteRefusal(x.w, refusal)
	default:
		done.Aborted, done.Reason, done.Ran = true, "aborted", callers.RunUnknown
	}
	done.OverheadTime = time.Since(x.received) - x.queueTime - x.backendTime
	x.service.options.Hook.RequestFinished(done)
}
