package request

import (
	"context"
	"net/http"
	"time"

	"vanillatally/core/claim"
	"vanillatally/core/config"
	"vanillatally/io/backends"
	"vanillatally/io/callers"
)

// filter is one step of the chain. run calls x.next to run the following filters, and returns their error.
type filter struct {
	name string
	run  func(x *exchange) error
}

// newFilterChain returns the filters in the order in which they run.
func newFilterChain() []filter {
	return []filter{
		{"identify", identifyTeam},
		{"route", routeRequest},
		{"deadline", setDeadline},
		{"quarantine", checkQuarantine},
		{"admission", admit},
		{"queue", acquireConcurrency},
		{"claim", claimIdempotencyKey},
		{"choose", tryServers},
		{"permit", takePermit},
		{"forward", forward},
		{"answer", writeResponse},
	}
}

// exchange is the state of one request. It belongs to the goroutine that serves the request; a hedged attempt runs on a copy,
// which shares only what pointers refer to.
type exchange struct {
	service *Service
	w       http.ResponseWriter
	r       *http.Request
	// nextFilter is the index in the chain of the filter that runs next.
	nextFilter int
	received   time.Time
	// context ends when the caller disconnects, but only for idempotent requests: others must not be interrupted.
	context context.Context

	// Set by identifyTeam.
	configuration *config.Configuration
	// effectiveTeam is the team of the API key, or nil; team is its name.
	effectiveTeam   *config.EffectiveTeam
	team            string
	apiKey          string
	callerRequestID string
	// Set by routeRequest.
	routeName  string
	route      config.Route
	idempotent bool
	// idempotencyKey is the caller's Idempotency-Key header.
	idempotencyKey string
	// Set by setDeadline.
	deadline time.Time
	// Set by checkQuarantine. The fingerprint identifies the request in the quarantine table.
	body        body
	fingerprint uint64
	// alone is set while the request is suspected of crashing servers and must be the only one on its server.
	alone bool
	// Set by acquireConcurrency.
	limiter *concurrencyLimiter
	// limiterAcquired is set while the request counts against the concurrency limit of its service.
	limiterAcquired bool
	stats           *routeStats
	queueTime       time.Duration
	// Set by tryServers. tried holds the servers of the failed attempts.
	version  string
	server   *server
	serverID string
	tried    []*server
	pool     *pool
	// attemptStart is the index of the first filter that each attempt runs.
	attemptStart int
	// mayHaveRun is set once a byte of the request was sent, unless the server stated that it did not run the request.
	mayHaveRun bool
	// openClaim is the granted claim whose outcome was not reported yet. Set by claimIdempotencyKey.
	openClaim *claim.Request
	// Set by takePermit and forward.
	releasePermit func()
	response      *backends.Response
	backendTime   time.Duration
	hedge         *hedge
	// isHedge marks the copy that runs the hedged attempt; abandonFirst aborts the first attempt.
	isHedge      bool
	abandonFirst func()
	// serverCrashed is set when the server of the last attempt crashed.
	serverCrashed bool
	// holdsReservation is set while the server is reserved for this request.
	holdsReservation bool
	// status is the status that was sent to the caller.
	status int
}

// next runs the next filter.
func (x *exchange) next() error {
	position := x.nextFilter
	if position == len(x.service.chain) {
		return nil
	}
	x.nextFilter++
	err := x.service.chain[position].run(x)
	x.nextFilter = position
	return err
}

// FinishedRequest describes a request that has ended.
type FinishedRequest struct {
	Team, Route, Service, Version, Server string
	Status                                int
	// Reason is the refusal's reason, empty for a response of a backend server.
	Reason string
	// Ran is set for refusals and aborted responses.
	Ran callers.Ran
	// Aborted reports that the response was partly sent and could not be completed.
	Aborted bool
	// QueueTime is the time spent waiting in the queue and for permits, BackendTime that of the attempts at backend servers, and
	// OverheadTime the rest.
	QueueTime, BackendTime, OverheadTime time.Duration
}

// Hook receives events for metrics and logs. Its methods must return quickly and be safe for concurrent use.
type Hook interface {
	// RequestFinished is called once for each request.
	RequestFinished(finished FinishedRequest)
	// Event is called for other events, such as a retired connection or a quarantined request; subject says what it concerns.
	Event(name, subject string)
}

type noHook struct{}

func (noHook) RequestFinished(FinishedRequest) {}
func (noHook) Event(string, string)            {}
