package entry

import (
	"net/http"
	"sync"
	"time"

	"vanillatally/core/admission"
	"vanillatally/core/concurrency"
	"vanillatally/core/config"
	"vanillatally/core/share"
	"vanillatally/core/waiting"
	"vanillatally/io/backends"
	"vanillatally/io/callers"
)

// waitFraction is the part of a route's latency objective for which a request may wait at a host. A request that has not started
// by then is refused while its caller can still come back in time.
const waitFraction = 0.5

// waitingLines holds a line for each service whose requests have several ranks. Without ranks, a request that waits here would
// only wait in another place than at the server.
type waitingLines struct {
	host *Host
	mu   sync.Mutex
	// entries holds at most one line for each service of the configuration. A request that began under an earlier configuration
	// may add a service of that one, which the next configuration removes.
	entries map[string]*waitingLine
}

// waitingLine admits the requests of one service to its backend servers: as many at once as the concurrency limit allows, the
// others wait in the order of their ranks.
type waitingLine struct {
	// now is the host's clock. It is read under mu, since the line needs times that don't go back.
	now      func() time.Duration
	mu       sync.Mutex
	limit    concurrency.Limit
	inFlight int
	line     *waiting.Line[*waiter]
	// started is the rate of the requests that were sent.
	started share.Rate
}

// waiter is a waiting request.
type waiter struct {
	// decided is closed when the request may start or is refused; started says which. started is guarded by waitingLine.mu until
	// then.
	decided chan struct{}
	started bool
}

// rankedServices returns the services whose requests differ in rank, by the priorities of routes and of the teams that may use
// them.
func rankedServices(c *config.Configuration) map[string]bool {
	ranks := map[string]map[int]bool{}
	add := func(service string, rank int) {
		if ranks[service] == nil {
			ranks[service] = map[int]bool{}
		}
		ranks[service][rank] = true
	}
	var prioritized []*config.EffectiveTeam
	for name := range c.Teams {
		if team, ok := c.EffectiveTeam(name); ok && team.Priority > 0 {
			prioritized = append(prioritized, team)
		}
	}
	for name, route := range c.Routes {
		priorities := []int{route.Priority}
		for _, team := range prioritized {
			if route.Open || team.Allows(name) {
				priorities = append(priorities, team.Priority)
			}
		}
		for _, priority := range priorities {
			if len(route.Split) == 0 {
				add(route.Service, priority)
			}
			for _, part := range route.Split {
				add(part.Service, priority)
			}
		}
	}
	ranked := map[string]bool{}
	for service, found := range ranks {
		ranked[service] = len(found) > 1
	}
	return ranked
}

// forService returns the line of the service, or nil if its requests don't differ in rank. It also returns nil while no server
// is known, since a limit that is set without servers would be far too low for them when they are listed.
func (l *waitingLines) forService(v *view, service string) *waitingLine {
	slots := v.slots[service]
	if !v.ranked[service] || slots == 0 {
		return nil
	}
	line := l.getOrCreate(service, slots)
	line.setSlots(slots)
	return line
}

// getOrCreate returns the line of the service, a new one if there is none.
func (l *waitingLines) getOrCreate(service string, slots int) *waitingLine {
	l.mu.Lock()
	defer l.mu.Unlock()
	line := l.entries[service]
	if line == nil {
		// Each failure domain has at least one host that callers are sent to.
		hosts := len(l.host.settings.Regions)
		line = &waitingLine{
			now: l.host.now, limit: concurrency.New(slots, hosts), line: waiting.New[*waiter](waiting.Limits{}),
		}
		l.entries[service] = line
	}
	return line
}

// totalLimit returns the sum of the concurrency limits of all services with a line.
func (l *waitingLines) totalLimit() (sum float64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, line := range l.entries {
		line.mu.Lock()
		sum += line.limit.Value()
		line.mu.Unlock()
	}
	return sum
}

// prune removes the lines of services that the configuration no longer ranks. Requests that wait there still end at their
// deadlines.
func (l *waitingLines) prune(ranked map[string]bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for service := range l.entries {
		if !ranked[service] {
			delete(l.entries, service)
		}
	}
}

// setSlots sets the number of slots of all servers of the service.
func (l *waitingLine) setSlots(slots int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.limit = l.limit.WithSlots(slots)
}

// enter waits until the request may be sent. It returns a refusal if the request cannot be answered in time, or has to make room
// for others. Each call that returns nil must be followed by one of leave.
func (l *waitingLine) enter(x *exchange, request waiting.Request[*waiter]) *callers.Refusal {
	w := &waiter{decided: make(chan struct{})}
	request.Value = w
	ticket, depth := l.push(request)
	x.awaitSlot(w, request.Work)
	return l.conclude(x, w, ticket, request.Rank, depth)
}

// push enqueues the request and starts what the limit allows. It returns the request's ticket and the length of the line.
func (l *waitingLine) push(request waiting.Request[*waiter]) (ticket *waiting.Ticket[*waiter], depth int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.now()
	l.refuse(l.line.Expired(now))
	ticket, evicted := l.line.Push(now, request)
	l.refuse(evicted)
	l.startNext(now)
	return ticket, l.line.Len()
}

// awaitSlot returns when the request has started or was refused, its caller has left, or it has waited for too long to be
// answered in time. work is the expected service time.
func (x *exchange) awaitSlot(w *waiter, work time.Duration) {
	select {
	case <-w.decided:
		return
	default:
	}
	began := time.Now()
	x.host.metrics.Count("requests-queued", "", x.routeName, "", 1)
	defer func() { x.host.metrics.Observe("queue-wait", "", x.routeName, "host", time.Since(began)) }()
	until := began.Add(time.Duration(waitFraction * float64(latencyObjective(x.route))))
	timer := time.NewTimer(0)
	defer timer.Stop()
	stopping := x.host.stopping
	for {
		timer.Reset(min(time.Until(until), time.Until(x.deadline)-work))
		select {
		case <-stopping:
			x.limitToDrain()
			stopping = nil
		case <-w.decided:
			return
		case <-timer.C:
			return
		case <-x.r.Context().Done():
			return
		}
	}
}

// conclude removes the request from the line if it has not started, and returns its refusal.
func (l *waitingLine) conclude(x *exchange, w *waiter, ticket *waiting.Ticket[*waiter], rank, depth int) *callers.Refusal {
	l.mu.Lock()
	defer l.mu.Unlock()
	if w.started {
		return nil
	}
	l.line.Remove(ticket)
	if x.r.Context().Err() != nil {
		return callerGone()
	}
	now, random := l.now(), x.host.random()
	after := l.line.RetryAfter(now, rank, l.started.At(now), random)
	if after > maxRetryAfter {
		// The bound alone would let all callers return at the same time.
		after = time.Duration((1 + random) / 2 * float64(maxRetryAfter))
	}
	x.logAttributes = append(x.logAttributes, "rank", rank, "queued", depth, "limit", l.limit.Value(), "in-flight", l.inFlight)
	return callers.Refuse(http.StatusServiceUnavailable, "no-slot", "no backend server has a free slot in time").WithRetryAfter(after)
}

// reenter counts a request that is sent again after an attempt.
func (l *waitingLine) reenter() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.inFlight++
}

// leave counts the end of an attempt, updates the limit with the server's report, and starts waiting requests. report is nil if
// there was none.
func (l *waitingLine) leave(report *concurrency.Response) {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.now()
	if report != nil {
		l.limit = l.limit.WithResponse(*report, l.inFlight)
	}
	l.inFlight--
	l.refuse(l.line.Expired(now))
	l.startNext(now)
}

// startNext starts waiting requests while the limit allows. The caller holds l.mu.
func (l *waitingLine) startNext(now time.Duration) {
	for l.limit.Allows(l.inFlight) {
		w, ok := l.line.Next(now)
		if !ok {
			return
		}
		w.started = true
		close(w.decided)
		l.inFlight++
		l.started = l.started.WithEvent(now)
	}
}

// refuse ends the wait of requests that left the line without a start. The caller holds l.mu.
func (l *waitingLine) refuse(refused []*waiter) {
	for _, w := range refused {
		close(w.decided)
	}
}

// rank returns the request's rank; a team's priority takes precedence over the route's.
func (x *exchange) rank() int {
	if x.team != nil && x.team.Priority > 0 {
		return x.team.Priority
	}
	return x.route.Priority
}

// enterLine waits for a slot of the service if its requests are ranked. leaveLine must follow, also after a refusal.
func (x *exchange) enterLine(v *view) *callers.Refusal {
	x.line = x.host.waitingLines.forService(v, x.service)
	if x.line == nil {
		return nil
	}
	work, _, _ := x.serviceTimes.estimates()
	timeLeft := time.Until(x.deadline)
	if timeLeft < work {
		return callers.Refuse(http.StatusServiceUnavailable, string(admission.DeadlineUnreachable),
			"no backend server can answer in time").WithRetryAfter(shortRetryAfter)
	}
	now := x.host.now()
	request := waiting.Request[*waiter]{
		Rank: x.rank(), Work: work, Objective: now + latencyObjective(x.route) - time.Since(x.received), Deadline: now + timeLeft,
	}
	if x.team != nil {
		request.Team, request.Weight = x.team.Name, x.team.Rate
	}
	refusal := x.line.enter(x, request)
	x.inLine = refusal == nil
	// The drain may have begun during the wait.
	x.limitToDrain()
	return refusal
}

// reenterLine takes a slot for another attempt without a wait.
func (x *exchange) reenterLine() {
	if x.line != nil && !x.inLine {
		x.line.reenter()
		x.inLine = true
	}
}

// leaveLine gives the slot back, if the request has one. response is nil if no server has answered.
func (x *exchange) leaveLine(response *backends.Response) {
	if !x.inLine {
		return
	}
	x.inLine = false
	x.line.leave(x.queueReport(response))
}

// queueReport returns what the response says of the queue of its server; nil if it says nothing.
func (x *exchange) queueReport(response *backends.Response) *concurrency.Response {
	if response == nil || response.Status == http.StatusMisdirectedRequest {
		return nil
	}
	rejected := response.Header.Get(x.host.headerNames.NotRun) != ""
	report, invalid := parseLoadReport(response.Header.Get(x.host.headerNames.ServerLoad))
	if invalid == invalidReport {
		// Servers that report no load show by their rejections whether they have room.
		return &concurrency.Response{Full: rejected}
	}
	warm, _, mean := x.serviceTimes.estimates()
	return &concurrency.Response{
		Wait:    queueTime(mean, report),
		Allowed: latencyObjective(x.route) - warm,
		Full:    rejected && !report.hasFreeSlot(),
	}
}

// maxQueueTime bounds the expected wait at a server, so that a report of an absurd number of requests does not overflow it.
const maxQueueTime = time.Hour

// queueTime returns how long a request waits at a server that takes mean for a request.
func queueTime(mean time.Duration, report loadReport) time.Duration {
	wait := float64(mean) * float64(report.waiting) / float64(max(report.slots, 1))
	return time.Duration(min(wait, float64(maxQueueTime)))
}
