package entry

import (
	"math/rand/v2"
	"slices"
	"strconv"
	"testing"
	"time"

	"vanillatally/core/placement"
	"vanillatally/io/platform"
)

const (
	usualWork = 300 * time.Millisecond
	slowPace  = 2.5
	slowTime  = 600 * time.Millisecond
	// slowPeriod is the time between the begins of two slow periods of a server; 15% of the servers are slow at a time.
	slowPeriod = slowTime * 100 / 15
)

// paceHost is what one host knows of the servers and of service times.
type paceHost struct {
	known []*server
	times routeServiceTimes
}

func newPaceHosts(hosts, servers int) []*paceHost {
	all := make([]*paceHost, hosts)
	for i := range all {
		usual := float64(usualWork)
		all[i] = &paceHost{times: routeServiceTimes{warm: usual, cold: usual, service: &meanServiceTime{mean: usual}}}
		for s := range servers {
			entry := platform.BackendServer{ID: "server-" + strconv.Itoa(s), Slots: 4 + s%2}
			all[i].known = append(all[i].known, newServer(entry, true, 0))
		}
	}
	return all
}

// choose lets the host choose a server for a request, and counts the request as in flight.
func (h *paceHost) choose(now time.Duration, random *rand.Rand) placement.Choice {
	warm, cold, mean := h.times.estimates()
	candidates := make([]placement.Candidate, len(h.known))
	for i, s := range h.known {
		candidates[i] = s.candidate(now, 0, mean)
	}
	choice := placement.Choose(placement.Request{
		WarmServiceTime: warm, ColdServiceTime: cold, MeanServiceTime: mean, Random: random.Float64,
	}, candidates)
	h.known[choice.Index].requestStarted(now, 0)
	return choice
}

// trueFactor is the factor by which work takes longer on a server. The slow periods of the servers follow each other.
func trueFactor(now time.Duration, server int) float64 {
	if (now+time.Duration(server)*slowTime*7/10)%slowPeriod < slowTime {
		return slowPace
	}
	return 1
}

// meanResponseTime lets hosts send requests to servers that keep half of their slots free, and passes the reports on with the
// responses.
func meanResponseTime(seed uint64, reportsPace bool) time.Duration {
	const servers, requests, interval = 60, 2000, 2 * time.Millisecond
	type run struct {
		host             *paceHost
		server           int
		sent, left       time.Duration
		paceWhenSent     float64
		queuedAtDecision time.Duration
	}
	random, ties := rand.New(rand.NewPCG(seed, 2)), rand.New(rand.NewPCG(seed, 3))
	hosts, running, inFlight, sum := newPaceHosts(3, servers), make([]int, servers), []*run(nil), time.Duration(0)
	for i := range requests {
		now := time.Duration(i) * interval
		inFlight = slices.DeleteFunc(inFlight, func(r *run) bool {
			factor := trueFactor(now, r.server)
			if r.left -= time.Duration(float64(interval) / factor); r.left > 0 {
				return false
			}
			running[r.server]--
			report := loadReport{running: running[r.server], slots: 4 + r.server%2}
			if reportsPace {
				report.pacePercent = int(100 * factor)
			}
			s := r.host.known[r.server]
			s.requestEnded()
			s.recordResult(now, false)
			s.recordLoad(now, 0, report)
			s.recordSlowness(now, r.host.times.observe(false, now-r.sent-r.queuedAtDecision, max(r.paceWhenSent, s.paceAt(now), 1)))
			sum += now - r.sent
			return true
		})
		host := hosts[random.IntN(len(hosts))]
		choice := host.choose(now, ties)
		running[choice.Index]++
		inFlight = append(inFlight, &run{
			host: host, server: choice.Index, sent: now, left: time.Duration((0.5 + random.Float64()) * float64(usualWork)),
			paceWhenSent: host.known[choice.Index].paceAt(now), queuedAtDecision: choice.QueueWait,
		})
	}
	return sum / time.Duration(requests-len(inFlight))
}

// Hosts that know the servers' pace must answer sooner than hosts that only measure service times.
func TestReportedPaceShortensResponses(t *testing.T) {
	for seed := range uint64(3) {
		without, with := meanResponseTime(seed, false), meanResponseTime(seed, true)
		if with >= without {
			t.Errorf("seed %d: mean time to the response %v with the pace, %v without", seed, with, without)
		}
	}
}
