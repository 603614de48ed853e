package entry

import (
	"context"
	"net"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/cockroachdb/errors"

	"vanillatally/core/admission"
	"vanillatally/core/config"
	"vanillatally/core/placement"
	"vanillatally/io/backends"
	"vanillatally/io/callers"
)

const (
	// shortRetryAfter is the Retry-After of refusals whose reason may end at any moment.
	shortRetryAfter = 300 * time.Millisecond
	// maxRetryAfter bounds Retry-After, since callers wait for only a fraction of their remaining time.
	maxRetryAfter = 2 * time.Second
	// maxAttempts bounds the number of times that one request is sent to a server, including those that refused to run it.
	maxAttempts = 4
	// statusClientClosedRequest is logged when the caller closed the connection; the caller does not receive it.
	statusClientClosedRequest = 499
)

// exchange is the handling of one request from its arrival to the end of its response. Only the goroutine that serves the
// request uses it.
type exchange struct {
	host     *Host
	w        http.ResponseWriter
	r        *http.Request
	received time.Time
	context  context.Context

	id         string
	team       *config.EffectiveTeam
	routeName  string
	route      config.Route
	idempotent bool
	service    string
	deadline   time.Time
	body       bufferedBody
	// bodyReservation and responseReservation hold the memory of the bodies; nil without one.
	bodyReservation, responseReservation *bodyReservation
	// affinityKey is the hash of the route and of the affinity key in the request's header; 0 if the request has none.
	affinityKey uint64
	// fingerprint is the result of computeFingerprint, by which the crash tracker recognizes the request.
	fingerprint  uint64
	serviceTimes *routeServiceTimes
	// line admits the requests of the service; nil if they are not ranked. inLine is set while the request has a slot there.
	line   *waitingLine
	inLine bool
	versionFilter
	// tried holds the servers of earlier attempts that must not get the request again.
	tried []*server
	// attempts counts the attempts, including those that ended without a run.
	attempts int
	// possibleRuns counts the servers that may have run the request.
	possibleRuns int
	// fallback is the error response of a server, which the caller gets if no other server gives a better response.
	fallback *backends.Response
	// server is the ID of the server of the last attempt.
	server string
	// attemptPace is the pace of the server of the last attempt when the attempt began.
	attemptPace float64
	// lastServer is the server of the last attempt, which began at attemptStarted.
	lastServer     *server
	attemptStarted time.Duration
	// limitWait is the time after which the first server may get a request again, if the last choice found none because all
	// servers have reached the limits that they state.
	limitWait time.Duration
	// expectedLatency is the estimated time until the response of the server chosen last.
	expectedLatency time.Duration
	status          int
	// logAttributes are added to the log line of a refused request: the values that the decision was based on.
	logAttributes []any
}

// errResponseAborted is returned if a response cannot be completed after its header was written.
var errResponseAborted = errors.New("the response was aborted")

// ServeHTTP serves one request of a caller.
func (h *Host) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	h.inFlight.Add(1)
	defer h.inFlight.Add(-1)
	x := &exchange{host: h, w: w, r: r, received: time.Now(), context: r.Context(), id: r.Header.Get(h.headerNames.RequestID)}
	// A panic must give the memory back too.
	defer x.releaseAll()
	err := x.serve()
	var refusal *callers.Refusal
	if errors.As(err, &refusal) {
		if x.id != "" {
			w.Header().Set(h.headerNames.RequestID, x.id)
		}
		callers.WriteRefusalFractionalSeconds(w, refusal)
	}
	x.recordOutcome(refusal, err)
	if errors.Is(err, errResponseAborted) {
		// ErrAbortHandler closes the connection, so that the caller does not take the incomplete response for a complete one.
		panic(http.ErrAbortHandler)
	}
}

// serve checks the request and forwards it to a server.
func (x *exchange) serve() error {
	v := x.host.awaitView(x.context)
	if v.configuration == nil {
		return callers.Refuse(http.StatusServiceUnavailable, "no-configuration", "this host has no configuration yet").
			WithRetryAfter(shortRetryAfter)
	}
	if err := x.resolve(v.configuration); err != nil {
		return err
	}
	if err := x.checkRate(); err != nil {
		return err
	}
	if err := x.readBody(v.configuration); err != nil {
		return err
	}
	x.service = x.host.trafficSplits.pickService(x.routeName, x.route)
	x.serviceTimes = x.host.serviceTimes.forRoute(x.routeName, x.service, x.route)
	x.host.retryBudgets.countRequest(x.service)
	x.fingerprint = x.computeFingerprint()
	return x.forward()
}

// startupWait bounds the wait of requests that arrive before the host has its first configuration and list of servers. The
// store usually answers within a few round trips.
const startupWait = 250 * time.Millisecond

// awaitView returns the current view. While the host starts it waits a little for the first one.
func (h *Host) awaitView(ctx context.Context) *view {
	select {
	case <-h.viewReady:
		return h.view.Load()
	default:
	}
	timer := time.NewTimer(startupWait)
	defer timer.Stop()
	select {
	case <-h.viewReady:
	case <-timer.C:
	case <-ctx.Done():
	}
	return h.view.Load()
}

// resolve finds the route and the team, checks that the team may use the route, and determines the deadline and the affinity
// key.
func (x *exchange) resolve(c *config.Configuration) error {
	host := x.r.Host
	if name, _, err := net.SplitHostPort(host); err == nil {
		host = name
	}
	found, ok := c.RouteByVirtualHost(host, x.r.URL.Path)
	if !ok {
		return callers.Refuse(http.StatusNotFound, "route-unknown", "no route has this path")
	}
	x.routeName, x.route = found.Name, found.Route
	x.idempotent = x.route.Replay == config.ReplayAllowed
	if x.route.Replay == config.ReplayByMethod {
		x.idempotent = x.r.Method == http.MethodGet || x.r.Method == http.MethodHead || x.r.Method == http.MethodOptions
	}
	if !x.idempotent {
		// A request that must not run twice is completed even if the caller closes the connection.
		x.context = x.host.grace
	}
	key := x.r.Header.Get(x.host.headerNames.TeamKey)
	if key != "" {
		x.team, _ = c.TeamByAPIKey(key)
	}
	if !x.route.Open && len(c.Teams) > 0 && (x.team == nil || !x.team.Allows(x.routeName)) {
		return callers.Refuse(http.StatusUnauthorized, "key-unknown", "the key is not known or was withdrawn")
	}
	x.deadline = x.received.Add(time.Duration(x.route.Timeout))
	if left, err := strconv.ParseInt(x.r.Header.Get(x.host.headerNames.TimeLeft), 10, 64); err == nil && left >= 0 {
		if at := x.received.Add(time.Duration(left) * time.Millisecond); at.Before(x.deadline) {
			x.deadline = at
		}
	}
	x.limitToDrain()
	if affinityKey := x.r.Header.Get(x.host.headerNames.AffinityKey); affinityKey != "" && x.route.Sticky {
		x.affinityKey = placement.Hash(x.routeName + " " + affinityKey)
	}
	return nil
}

// checkRate takes a token of the team's rate limit, and refuses the request if there is none.
func (x *exchange) checkRate() error {
	if x.team == nil {
		return nil
	}
	if decision := x.host.teams.admit(x.host.now(), x.team); !decision.allowed {
		x.logAttributes = append(x.logAttributes, "rate", decision.rate, "burst", x.team.Burst, "part", decision.fraction,
			"own-demand", decision.ownDemand, "others-demand", decision.othersDemand)
		return callers.Refuse(http.StatusTooManyRequests, "rate-exceeded", "the team is over its rate").
			WithRetryAfter(min(max(decision.retryAfter, shortRetryAfter), maxRetryAfter))
	}
	return nil
}

// readBody buffers the whole body, so that it can be sent to another server in a retry and a slow caller does not occupy a
// server. The body's bytes are taken from the host's budget as they arrive.
func (x *exchange) readBody(c *config.Configuration) error {
	if x.r.Body == nil || x.r.Body == http.NoBody || x.r.ContentLength == 0 {
		return nil
	}
	limit := x.host.limits.Load().RequestBytes
	if stated := c.Limits["callers"].BodyBytes; stated > 0 {
		limit = min(limit, stated)
	}
	if x.r.ContentLength > limit {
		return bodyTooLarge(limit)
	}
	// An error means that this ResponseWriter does not support deadlines.
	_ = http.NewResponseController(x.w).SetReadDeadline(x.deadline)
	err := x.receiveBody(http.MaxBytesReader(x.w, x.r.Body, limit), x.r.ContentLength)
	var refusal *callers.Refusal
	tooLarge := new(http.MaxBytesError)
	switch {
	case errors.As(err, &refusal):
		return err
	case errors.As(err, &tooLarge):
		return bodyTooLarge(limit)
	case err != nil:
		return callers.Refuse(http.StatusRequestTimeout, "body-incomplete", "the request's body could not be read in time")
	}
	_ = http.NewResponseController(x.w).SetReadDeadline(time.Time{})
	return nil
}

// computeFingerprint returns a hash of the request's team, method, target and body.
func (x *exchange) computeFingerprint() uint64 {
	team := ""
	if x.team != nil {
		team = x.team.Name
	}
	head := strings.Join([]string{team, x.r.Method, x.r.Host, x.r.RequestURI, ""}, "\x00")
	if x.body.length == 0 {
		return placement.Hash(head)
	}
	return placement.HashParts(head, x.body.chunks)
}

// forward sends the request to one server after the other until one answers, an attempt must not be repeated, or a limit is
// reached.
func (x *exchange) forward() error {
	defer x.leaveLine(nil)
	if refusal := x.enterLine(x.host.view.Load()); refusal != nil {
		return refusal
	}
	// A rollout may have gone on or back while the request waited.
	x.versionFilter = x.host.versionFilter(x.host.view.Load(), x.service)
	for {
		if x.host.grace.Err() != nil {
			return x.fail(graceOver())
		}
		if (x.idempotent || x.possibleRuns == 0) && callers.Disconnected(x.r.Context()) {
			return x.fail(callerGone())
		}
		if x.host.crashTracker.isQuarantined(x.host.now(), x.fingerprint) {
			return x.fail(callers.Refuse(http.StatusServiceUnavailable, "quarantined",
				"the request crashed the backend servers that ran it"))
		}
		v := x.host.view.Load()
		s, choice := x.chooseServer(v)
		if s == nil && x.only != "" && !x.finished {
			// The new version's servers may all be cold or down during a rollout; use the other versions then.
			x.versionFilter = versionFilter{except: x.only}
			s, choice = x.chooseServer(v)
		}
		timeLeft := time.Until(x.deadline)
		if s == nil {
			return x.fail(x.noServer())
		}
		verdict, wait := x.host.queuePressures.decide(x.host.now(), x.service, admission.Request{
			ExpectedLatency: choice.ExpectedLatency, QueueWait: choice.QueueWait, TimeLeft: timeLeft,
			LatencyObjective: latencyObjective(x.route), Elapsed: time.Since(x.received),
		})
		if verdict != admission.Accept {
			x.logAttributes = append(x.logAttributes, "wait", choice.QueueWait, "candidate", s.ID)
			x.expectedLatency = choice.ExpectedLatency
			return x.fail(callers.Refuse(http.StatusServiceUnavailable, string(verdict), "no backend server can answer in time").
				WithRetryAfter(min(max(wait, shortRetryAfter), maxRetryAfter)))
		}
		if !x.host.reserve(v, s, x.host.now()) {
			continue
		}
		if x.attempts > 0 && !x.host.retryBudgets.allowRetry(x.service) {
			return x.fail(callers.Refuse(http.StatusServiceUnavailable, "retry-budget", "too many requests are being retried").
				WithRetryAfter(shortRetryAfter))
		}
		x.reenterLine()
		x.expectedLatency, x.server, x.lastServer = choice.ExpectedLatency, s.ID, s
		result := x.attempt(v, s, choice)
		switch {
		case result.response != nil:
			return x.writeResponse(result.response)
		case result.final != nil:
			return x.fail(result.final)
		}
		x.attempts++
		x.dropReceived()
		if !result.mayRepeat {
			x.tried = append(x.tried, s)
		}
		if x.attempts == maxAttempts || x.possibleRuns >= x.maxRuns() {
			return x.fail(result.retryable)
		}
	}
}

// noServer returns the refusal of a request for which there is no server.
func (x *exchange) noServer() *callers.Refusal {
	if x.limitWait > 0 {
		x.logAttributes = append(x.logAttributes, "limit-wait", x.limitWait)
		return callers.Refuse(http.StatusServiceUnavailable, "server-limit", "the backend servers take no more requests for now").
			WithRetryAfter(x.limitWait)
	}
	return callers.Refuse(http.StatusServiceUnavailable, "no-backend-server", "no backend server of the service is available").
		WithRetryAfter(shortRetryAfter)
}

// jitter returns a random duration between half and one and a half times the mean, so that callers do not return together.
func (h *Host) jitter(mean time.Duration) time.Duration {
	return time.Duration((0.5 + h.random()) * float64(mean))
}

// maxRuns returns the number of servers that may run the request.
func (x *exchange) maxRuns() int {
	if !x.idempotent {
		return 1
	}
	if x.route.Attempts > 0 {
		return x.route.Attempts
	}
	return 2
}

// fail ends a request without a good response: with the error response of an earlier attempt if there is one, or else with
// refusal. If a server may have run the request, the refusal says so and asks for no retry.
func (x *exchange) fail(refusal *callers.Refusal) error {
	if x.fallback != nil {
		return x.writeResponse(x.fallback)
	}
	if x.possibleRuns == 0 {
		return refusal
	}
	refusal = refusal.WithRan(callers.RunUnknown).WithRetryAfter(0)
	refusal.Status = http.StatusBadGateway
	if !time.Now().Before(x.deadline) {
		refusal.Status = http.StatusGatewayTimeout
	}
	return refusal
}
