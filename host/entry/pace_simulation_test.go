package entry

import (
	"math/rand/v2"
	"strconv"
	"time"

	"vanillatally/core/placement"
	"vanillatally/io/platform"
)

// simulatedServer is a backend server of paceFleet. Its machine is slow in the periods of its schedule.
type simulatedServer struct {
	slots   int
	running []*simulatedRun
	waiting []*simulatedRun
	// slowFrom and slowUntil bound the current or the next slow period.
	slowFrom, slowUntil time.Duration
	random              *rand.Rand
	// received counts the requests that were sent to the server.
	received int
}

// simulatedRun is a request of one host at a server.
type simulatedRun struct {
	host, server int
	sent, left   time.Duration
	// choice and paceWhenSent are what the host expected.
	choice       placement.Choice
	paceWhenSent float64
}

// paceFleet is a fleet of hosts and servers in one region without a network. Every host decides with its own knowledge of the
// servers.
type paceFleet struct {
	// arrivals and ties are the random sources of the requests and of the choices, apart from each other so that fleets with the
	// same seed get the same requests.
	arrivals, ties *rand.Rand
	servers        []*simulatedServer
	// known is what each host knows of each server; times is what it knows of service times.
	known [][]*server
	times []*routeServiceTimes
	// reportsPace is set if the servers report their pace.
	reportsPace bool
	latencies   []time.Duration
}

const (
	simulatedServers  = 180
	simulatedWork     = 300 * time.Millisecond
	simulatedSlowPace = 2.5
	simulatedSlowTime = 600 * time.Millisecond
	// simulatedNormalTime is the mean time between slow periods; 15% of the machines are slow then.
	simulatedNormalTime = simulatedSlowTime * 85 / 15
)

func newPaceFleet(seed uint64, hosts int, reportsPace bool) *paceFleet {
	f := &paceFleet{
		arrivals: rand.New(rand.NewPCG(seed, 2)), ties: rand.New(rand.NewPCG(seed, 3)), reportsPace: reportsPace,
	}
	for i := range simulatedServers {
		s := &simulatedServer{slots: 4 + i%2, random: rand.New(rand.NewPCG(seed, uint64(100+i)))}
		s.slowFrom = time.Duration(s.random.ExpFloat64()*float64(simulatedNormalTime)) - simulatedSlowTime
		s.slowUntil = s.slowFrom + simulatedSlowTime
		f.servers = append(f.servers, s)
	}
	for range hosts {
		known := make([]*server, simulatedServers)
		for i := range known {
			known[i] = newServer(platform.BackendServer{ID: "server-" + strconv.Itoa(i), Slots: f.servers[i].slots}, true, 0)
		}
		f.known = append(f.known, known)
		usual := float64(simulatedWork)
		f.times = append(f.times, &routeServiceTimes{warm: usual, cold: usual, service: &meanServiceTime{mean: usual}})
	}
	return f
}

// pace returns the true pace of a server.
func (f *paceFleet) pace(now time.Duration, s *simulatedServer) float64 {
	for now >= s.slowUntil {
		s.slowFrom = s.slowUntil + time.Duration(s.random.ExpFloat64()*float64(simulatedNormalTime))
		s.slowUntil = s.slowFrom + simulatedSlowTime
	}
	if now >= s.slowFrom {
		return simulatedSlowPace
	}
	return 1
}

// send lets a host choose a server for a request, and sends it.
func (f *paceFleet) send(now time.Duration, host int) int {
	warm, cold, mean := f.times[host].estimates()
	candidates := make([]placement.Candidate, simulatedServers)
	for i, s := range f.known[host] {
		candidates[i] = s.candidate(now, 0, mean)
	}
	choice := placement.Choose(placement.Request{
		WarmServiceTime: warm, ColdServiceTime: cold, MeanServiceTime: mean, Random: f.ties.Float64,
	}, candidates)
	chosen := f.known[host][choice.Index]
	run := &simulatedRun{
		host: host, server: choice.Index, sent: now, choice: choice, paceWhenSent: chosen.paceAt(now),
		left: time.Duration((0.5 + f.arrivals.Float64()) * float64(simulatedWork)),
	}
	chosen.requestStarted(now, 0)
	s := f.servers[choice.Index]
	s.waiting = append(s.waiting, run)
	s.received++
	return choice.Index
}

// advance lets the servers work for one step.
func (f *paceFleet) advance(now, step time.Duration) {
	for _, s := range f.servers {
		progress := time.Duration(float64(step) / f.pace(now, s))
		running := s.running[:0]
		var ended []*simulatedRun
		for _, run := range s.running {
			if run.left -= progress; run.left <= 0 {
				ended = append(ended, run)
			} else {
				running = append(running, run)
			}
		}
		s.running = running
		for len(s.waiting) > 0 && len(s.running) < s.slots {
			s.running, s.waiting = append(s.running, s.waiting[0]), s.waiting[1:]
		}
		for _, run := range ended {
			f.end(now+step, run)
		}
	}
}

// end passes a response to the run's host.
func (f *paceFleet) end(now time.Duration, run *simulatedRun) {
	known := f.known[run.host][run.server]
	known.requestEnded()
	known.recordResult(now, false)
	known.recordLoad(now, 0, f.report(now, run.server))
	if served := now - run.sent - run.choice.QueueWait; served > 0 && !run.choice.Queued {
		pace := max(run.paceWhenSent, known.paceAt(now), 1)
		known.recordSlowness(now, f.times[run.host].observe(false, served, pace))
	}
	f.latencies = append(f.latencies, now-run.sent)
}

// report returns a server's load report.
func (f *paceFleet) report(now time.Duration, index int) loadReport {
	s := f.servers[index]
	report := loadReport{running: len(s.running), waiting: len(s.waiting), slots: s.slots}
	if f.reportsPace {
		report.pacePercent = int(100 * f.pace(now, s))
	}
	return report
}

// run sends requests at the given share of what the servers could do at their mean pace.
func (f *paceFleet) run(from, until time.Duration, load float64) {
	const step = time.Millisecond
	slots := 0
	for _, s := range f.servers {
		slots += s.slots
	}
	perStep := load * float64(slots) * step.Seconds() / simulatedWork.Seconds()
	due := 0.0
	for now := from; now < until; now += step {
		for due += perStep * f.arrivals.ExpFloat64(); due >= 1; due-- {
			f.send(now, f.arrivals.IntN(len(f.known)))
		}
		f.advance(now, step)
	}
}

func (f *paceFleet) meanLatency() time.Duration {
	sum := time.Duration(0)
	for _, latency := range f.latencies {
		sum += latency
	}
	return sum / time.Duration(max(len(f.latencies), 1))
}
