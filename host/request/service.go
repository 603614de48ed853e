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

// Options joins the request path with the rest of the host. Nil mechanisms take the local versions of local.go.
type Options struct {
	// Host is this host's id; it starts the ids of requests.
	Host                  string
	Region, FailureDomain string
	// Configuration returns the configuration in force, or nil before there is one.
	Configuration func() *config.Configuration
	// ConfigurationFresh reports whether the configuration may be used for requests of team; nil means always.
	ConfigurationFresh func(team string) bool
	// BackendServers returns the known backend servers. The slice is not changed after it was returned.
	BackendServers func() []platform.BackendServer

	Admitter Admitter
	Permits  Permits
	Claims   Claims
	Moves    Moves
	// AdmitLinkTraffic charges bytes to the link between two regions and reports whether there is room; nil allows all.
	AdmitLinkTraffic func(from, to string, bytes float64) bool

	// BroadcastQuarantineNotice tells the other hosts about a request that crashes servers; nil tells nobody.
	BroadcastQuarantineNotice func(ctx context.Context, notice quarantine.Notice) error
	// NoticePropagationDelay is the time for which the answer to a request that crashed a server waits after that function returned,
	// so that the notice is everywhere before the caller can resend the request to another host.
	NoticePropagationDelay time.Duration

	Hook     Hook
	Policy   balance.Policy
	Backends backends.Options
	// HedgeDelay is the time without a response after which an idempotent request is also sent to another server.
	HedgeDelay time.Duration
	// MaxRequestBodyBytes is the largest request body; 0 means 8 MiB.
	MaxRequestBodyBytes int64
	// InactivityTimeout is the time without progress after which a connection counts as silent.
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

// Service serves the requests of callers. Its state is bounded by the configuration and the list of backend servers.
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

// New returns a service. Run must run beside it.
func New(options Options) *Service {
	s := &Service{options: options.withDefaults(), start: time.Now(), chain: newFilterChain()}
	// The random part keeps the ids of a restarted host apart from those of its earlier process.
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

// Run does the background work until ctx ends.
func (s *Service) Run(ctx context.Context) error { return s.client.Run(ctx) }

// Done is closed when Run has returned.
func (s *Service) Done() <-chan struct{} { return s.client.Done() }

// now is the time since the process started.
func (s *Service) now() time.Duration { return time.Since(s.start) }

func (s *Service) nextRequestID() string {
	var b [64]byte
	return string(strconv.AppendUint(append(b[:0], s.requestIDPrefix...), s.lastRequestID.Add(1), 36))
}

// errResponseAborted ends a request whose response has begun and cannot be completed.
var errResponseAborted = errors.New("the response was aborted")

// ServeHTTP passes one request through the chain of filters.
func (s *Service) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	x := &exchange{service: s, w: w, r: r, received: time.Now(), context: r.Context()}
	err := x.next()
	x.releaseConcurrency()
	x.finish(err)
	if errors.Is(err, errResponseAborted) {
		// This ends the connection without the end of the response, so that the caller sees an incomplete one.
		panic(http.ErrAbortHandler)
	}
}

// finish writes a refusal and reports the request to the hook.
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
