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

// maxInFlight limits the requests in flight of one stream; arrivals beyond it are skipped and counted.
const maxInFlight = 128

// result is the result of one request, as its caller saw it.
type result struct {
	team, route string
	// sent and finished are times since the start of the run.
	sent, finished time.Duration
	status         int
	// refusal is the reason of a refusal, or empty. ran is what the refusal says about the execution.
	refusal string
	ran     string
	// failed is set when there was neither a response nor a refusal.
	failed         bool
	tag            string
	idempotencyKey string
	attempts       int
	// wrongBody is set when the response body does not belong to the request.
	wrongBody bool
}

// echoResponse is the response body of a stand-in backend server, which repeats parts of the request.
type echoResponse struct {
	Target string `json:"target"`
	Tag    string `json:"tag"`
}

// Runner sends the traffic of a profile and collects the results.
type Runner struct {
	profile Profile
	start   time.Time
	// id is random and begins the tags and idempotency keys, which distinguishes those of different runs.
	id string
	// requestCount is the number of the latest request.
	requestCount atomic.Uint64
	skipped      atomic.Uint64

	mu sync.Mutex
	// results holds every result and is bounded only by the duration of the run.
	results []result
}

// NewRunner returns a runner for profile.
func NewRunner(profile Profile) *Runner {
	return &Runner{profile: profile, id: fmt.Sprintf("%x", rand.Uint64())}
}

// Run sends traffic until ctx ends and waits for the requests in flight. seed determines the arrival times.
func (r *Runner) Run(ctx context.Context, seed uint64) {
	r.start = time.Now()
	group := &errgroup.Group{}
	for i, team := range r.profile.Teams {
		client := hosts.New(r.rotatedHosts(i), team.ClientAddress)
		defer client.Close()
		for j, stream := range team.Streams {
			rng := rand.New(rand.NewPCG(seed, uint64(i*100+j)))
			group.Go(func() error {
				r.sendStream(ctx, client, team, stream, rng)
				return nil
			})
		}
	}
	_ = group.Wait()
}

// rotatedHosts returns the hosts rotated by offset, which spreads the look-ups of the teams over the hosts.
func (r *Runner) rotatedHosts(offset int) []string {
	n := len(r.profile.Hosts)
	return append(append([]string(nil), r.profile.Hosts[offset%n:]...), r.profile.Hosts[:offset%n]...)
}

// sendStream sends the requests of a stream with exponentially distributed gaps. It sends them at their arrival times
// even if earlier ones are still in flight (an open workload), so that a slow system does not reduce the load.
func (r *Runner) sendStream(ctx context.Context, client *hosts.Client, team Team, stream Stream, rng *rand.Rand) {
	requests := &errgroup.Group{}
	requests.SetLimit(maxInFlight)
	defer func() { _ = requests.Wait() }()
	arrival := time.Now()
	for {
		arrival = arrival.Add(time.Duration(rng.ExpFloat64() / stream.Rate * float64(time.Second)))
		timer := time.NewTimer(time.Until(arrival))
		select {
		case <-ctx.Done():
			timer.Stop()
			return
		case <-timer.C:
		}
		number := r.requestCount.Add(1)
		started := requests.TryGo(func() error {
			r.sendRequest(client, team, stream, number)
			return nil
		})
		if !started {
			r.skipped.Add(1)
		}
	}
}

// sendRequest sends a request and records its result. The context of the run does not apply to it, so that the end of
// the run does not cancel requests in flight.
func (r *Runner) sendRequest(client *hosts.Client, team Team, stream Stream, number uint64) {
	ctx, cancel := context.WithTimeout(context.Background(), time.Duration(stream.Deadline))
	defer cancel()
	tag := fmt.Sprintf("%s-%d", r.id, number)
	res := result{team: team.Name, route: stream.Route, tag: tag, sent: time.Since(r.start)}
	path := fmt.Sprintf("%s/%d", stream.Path, number)
	request := hosts.Request{
		Route: stream.Route, Method: stream.Method, Path: path, Key: team.Key,
		Body:   make([]byte, stream.BodyBytes),
		RunTag: func(attempt int) string { return fmt.Sprintf("%s-%d", tag, attempt) },
	}
	if stream.Method == http.MethodPost {
		res.idempotencyKey = tag
		request.IdempotencyKey = tag
	}
	response, err := client.Do(ctx, request)
	res.finished = time.Since(r.start)
	res.status, res.failed, res.attempts = response.Status, err != nil, response.Attempts
	if response.Refusal != nil {
		res.refusal, res.ran = response.Refusal.Reason, response.Refusal.Ran
	} else if err == nil && response.Status == http.StatusOK {
		var body echoResponse
		// A retry may get the response to an earlier attempt, so the attempt number at the end of the tag is not compared.
		res.wrongBody = json.Unmarshal(response.Body, &body) != nil || body.Target != path ||
			len(body.Tag) < len(tag) || body.Tag[:len(tag)] != tag
	}
	r.mu.Lock()
	r.results = append(r.results, res)
	r.mu.Unlock()
}
