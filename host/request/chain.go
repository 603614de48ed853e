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

// filter is one step of the request path. run calls x.next to pass the request on, and returns its error.
type filter struct {
	name string
	run  func(x *exchange) error
}

// newFilterChain returns the chain in its order.
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

// exchange is one request on its way through the chain. It belongs to the goroutine that serves the request;
// a hedged attempt works on a copy that shares only what shared points to.
type exchange struct {
	service    *Service
	w          http.ResponseWriter
	r          *http.Request
	nextFilter int
	received   time.Time
	// context ends with the caller's connection for idempotent requests only, since the others must not be cut off.
	context context.Context

	// identify
	configuration *config.Configuration
	// effectiveTeam is the team of the caller's key, or nil; team is its name.
	effectiveTeam   *config.EffectiveTeam
	team            string
	apiKey          string
	callerRequestID string
	// route
	routeName  string
	route      config.Route
	idempotent bool
	// idempotencyKey is the caller's Idempotency-Key.
	idempotencyKey string
	// deadline
	deadline time.Time
	// quarantine
	body        body
	fingerprint uint64
	// alone is set while the request is suspected of crashing servers, so that it runs alone on a server.
	alone bool
	// queue
	limiter *concurrencyLimiter
	// limiterAcquired is set while the request has a place at the gate.
	limiterAcquired bool
	stats           *routeStats
	queueTime       time.Duration
	// choose
	version  string
	server   *server
	serverID string
	tried    []*server
	pool     *pool
	// attemptStart is the position of the filters that each attempt passes.
	attemptStart int
	// mayHaveRun is set once a byte of the request was sent and no proof came that it did not run.
	mayHaveRun bool
	// claim
	openClaim *claim.Request
	// forward
	releasePermit func()
	response      *backends.Response
	backendTime   time.Duration
	hedge         *hedge
	// isHedge marks the copy of a hedged attempt; abandon gives up the first attempt.
	isHedge      bool
	abandonFirst func()
	// serverCrashed is set when the server of the last attempt serverCrashed.
	serverCrashed bool
	// holdsReservation is set while the server is kept for this request.
	holdsReservation bool
	// answer
	status int
}

// next runs the following filter.
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

// FinishedRequest describes one finished request.
type FinishedRequest struct {
	Team, Route, Service, Version, Server string
	Status                                int
	// Reason is the refusal's reason, empty for a response of a backend server.
	Reason string
	// Ran is set for refusals and aborted responses.
	Ran callers.Ran
	// Aborted reports that the response could not be completed.
	Aborted bool
	// QueueTime, BackendTime and OverheadTime split the request's time.
	QueueTime, BackendTime, OverheadTime time.Duration
}

// Hook receives what metrics and logs need. Its methods return quickly and may be called concurrently.
type Hook interface {
	// RequestFinished is called once for each request.
	RequestFinished(finished FinishedRequest)
	// Event is called for an event, such as a retired connection or a quarantined request, with its subject.
	Event(name, subject string)
}

type noHook struct{}

func (noHook) RequestFinished(FinishedRequest) {}
func (noHook) Event(string, string)            {}
