package load

import (
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"golang.org/x/sync/errgroup"

	"vanillatally/io/hosts"
)

// maxInFlight bounds the requests that one stream has in flight; arrivals beyond it are skipped and counted.
const maxInFlight = 128

// sample is one finished request.
type sample struct {
	team, route string
	// sent and finished are times since the start of the run.
	sent, finished time.Duration
	status         int
	refusal        string
	ran            string
	failed         bool
	tag            string
	key            string
	attempts       int
	// wrong is set when the body does not belong to the request.
	wrong bool
}

// echo is what a stand-in backend server answers.
type echo struct {
	Target string `json:"target"`
	Tag    string `json:"tag"`
}

// Runner sends the traffic of a profile.
type Runner struct {
	profile Profile
	start   time.Time
	// run distinguishes the idempotency keys of different runs.
	run string
	// next numbers the requests.
	next    atomic.Uint64
	skipped atomic.Uint64

	mu sync.Mutex
	// samples grows with each request; a run is bounded by its duration.
	samples []sample
}

// NewRunner returns a runner; seed fixes the arrivals.
func NewRunner(profile Profile) *Runner {
	return &Runner{profile: profile, run: fmt.Sprintf("%x", rand.Uint64())}
}

// Run sends traffic until ctx ends and waits for the requests in flight.
func (r *Runner) Run(ctx context.Context, seed uint64) {
	r.start = time.Now()
	group := &errgroup.Group{}
	for i, team := range r.profile.Teams {
		client := hosts.New(r.hostsFrom(i), team.ClientAddress)
		defer client.Close()
		for j, stream := range team.Streams {
			random := rand.New(rand.NewPCG(seed, uint64(i*100+j)))
			group.Go(func() error {
				r.stream(ctx, client, team, stream, random)
				return nil
			})
		}
	}
	_ = group.Wait()
}

// hostsFrom rotates the hosts, so that the look-ups of the teams are spread.
func (r *Runner) hostsFrom(i int) []string {
	n := len(r.profile.Hosts)
	return append(append([]string(nil), r.profile.Hosts[i%n:]...), r.profile.Hosts[:i%n]...)
}

// stream sends one kind of request with exponential gaps between arrivals.
func (r *Runner) stream(ctx context.Context, client *hosts.Client, team Team, stream Stream, random *rand.Rand) {
	requests := &errgroup.Group{}
	requests.SetLimit(maxInFlight)
	defer func() { _ = requests.Wait() }()
	due := time.Now()
	for {
		due = due.Add(time.Duration(random.ExpFloat64() / stream.Rate * float64(time.Second)))
		timer := time.NewTimer(time.Until(due))
		select {
		case <-ctx.Done():
			timer.Stop()
			return
		case <-timer.C:
		}
		number := r.next.Add(1)
		started := requests.TryGo(func() error {
			r.one(client, team, stream, number)
			return nil
		})
		if !started {
			r.skipped.Add(1)
		}
	}
}

// one sends one request and records what its caller saw. It has its own deadline, so that the end of the
// run does not cancel requests in flight.
func (r *Runner) one(client *hosts.Client, team Team, stream Stream, number uint64) {
	ctx, cancel := context.WithTimeout(context.Background(), time.Duration(stream.Deadline))
	defer cancel()
	tag := fmt.Sprintf("%s-%d", r.run, number)
	s := sample{team: team.Name, route: stream.Route, tag: tag, sent: time.Since(r.start)}
	path := fmt.Sprintf("%s/%d", stream.Path, number)
	request := hosts.Request{
		Route: stream.Route, Method: stream.Method, Path: path, Key: team.Key,
		Body:   make([]byte, stream.BodyBytes),
		RunTag: func(attempt int) string { return fmt.Sprintf("%s-%d", tag, attempt) },
	}
	if stream.Method == http.MethodPost {
		s.key = tag
		request.IdempotencyKey = tag
	}
	response, err := client.Do(ctx, request)
	s.finished = time.Since(r.start)
	s.status, s.failed, s.attempts = response.Status, err != nil, response.Attempts
	if response.Refusal != nil {
		s.refusal, s.ran = response.Refusal.Reason, response.Refusal.Ran
	} else if err == nil && response.Status == http.StatusOK {
		var body echo
		// A resend may get the answer of the first attempt, so only the part before the attempt is compared.
		s.wrong = json.Unmarshal(response.Body, &body) != nil || body.Target != path ||
			len(body.Tag) < len(tag) || body.Tag[:len(tag)] != tag
	}
	r.mu.Lock()
	r.samples = append(r.samples, s)
	r.mu.Unlock()
}
