package concurrency

import (
	"math/rand/v2"
	"testing"
	"time"
)

// fleet is a number of hosts that send requests to servers without a network, each with its own limit.
type fleet struct {
	random   *rand.Rand
	limits   []Limit
	inFlight []int
	// running and waiting hold the host of each request at each server.
	running, waiting [][]int
	slots            int
	// demand is the number of requests that a host would send at once.
	demand []int
}

func newFleet(hosts, servers, slots int) *fleet {
	f := &fleet{
		random: rand.New(rand.NewPCG(1, 2)), running: make([][]int, servers), waiting: make([][]int, servers), slots: slots,
		inFlight: make([]int, hosts), demand: make([]int, hosts),
	}
	for range hosts {
		f.limits = append(f.limits, New(servers*slots, hosts))
	}
	return f
}

// step sends what the limits allow, and then lets each running request end with a probability of a tenth.
func (f *fleet) step() {
	for host := range f.limits {
		for f.inFlight[host] < f.demand[host] && f.limits[host].Allows(f.inFlight[host]) {
			server := f.random.IntN(len(f.running))
			if other := f.random.IntN(len(f.running)); len(f.waiting[other])+len(f.running[other]) <
				len(f.waiting[server])+len(f.running[server]) {
				server = other
			}
			f.waiting[server] = append(f.waiting[server], host)
			f.inFlight[host]++
		}
	}
	for server := range f.running {
		running := f.running[server][:0]
		for _, host := range f.running[server] {
			if f.random.IntN(10) > 0 {
				running = append(running, host)
				continue
			}
			f.inFlight[host]--
			f.limits[host] = f.limits[host].WithResponse(f.response(server), f.inFlight[host]+1)
		}
		for len(running) < f.slots && len(f.waiting[server]) > 0 {
			running = append(running, f.waiting[server][0])
			f.waiting[server] = f.waiting[server][1:]
		}
		f.running[server] = running
	}
}

// serviceTime is the mean time of a request, which ends with a probability of a tenth in each step.
const serviceTime = 10 * time.Millisecond

// response returns what a response of the server says; a request may wait for one service time.
func (f *fleet) response(server int) Response {
	return Response{Wait: serviceTime * time.Duration(len(f.waiting[server])) / time.Duration(f.slots), Allowed: serviceTime}
}

// count returns the running and the waiting requests of all servers.
func (f *fleet) count() (running, waiting int) {
	for server := range f.running {
		running, waiting = running+len(f.running[server]), waiting+len(f.waiting[server])
	}
	return running, waiting
}

// average returns the mean numbers of running and waiting requests over some steps.
func (f *fleet) average(steps int) (running, waiting float64) {
	for range steps {
		f.step()
		r, w := f.count()
		running, waiting = running+float64(r)/float64(steps), waiting+float64(w)/float64(steps)
	}
	return running, waiting
}

// Guards against servers that idle or queue for long under a demand of twice their slots, with few and with many hosts, against
// a host that takes the part of others, and against slots that stay unused after half of the hosts were lost.
func TestHostsShareSlots(t *testing.T) {
	for _, hosts := range []int{2, 12, 68} {
		const servers, slots = 180, 5
		f := newFleet(hosts, servers, slots)
		for host := range f.demand {
			f.demand[host] = 2 * servers * slots / hosts
		}
		f.average(500)
		check := func(when string) {
			t.Helper()
			running, waiting := f.average(500)
			if running < 0.85*servers*slots || waiting > 1.2*servers*slots {
				t.Errorf("%d hosts, %s: %.0f of %d slots in use, %.0f requests wait at the servers", hosts, when, running, servers*slots, waiting)
			}
		}
		check("all hosts run")
		least, most := f.limits[0].Value(), f.limits[0].Value()
		for _, l := range f.limits {
			least, most = min(least, l.Value()), max(most, l.Value())
		}
		if most > 2*least {
			t.Errorf("%d hosts with equal demand have limits from %.1f to %.1f", hosts, least, most)
		}
		for host := range hosts / 2 {
			f.demand[host] = 0
		}
		for host := range hosts {
			f.demand[host] *= 2
		}
		f.average(500)
		check("half of the hosts were lost")
	}
}

// Guards against limits outside of their bounds and against a host that sends nothing any more and so gets no reports.
func TestLimitStaysInBounds(t *testing.T) {
	l := New(900, 12)
	for range 10000 {
		l = l.WithResponse(Response{Full: true}, 10)
	}
	if !l.Allows(minLimit-1) || l.Allows(minLimit) {
		t.Errorf("after refusals only, the limit is %v", l.Value())
	}
	for range 10_000_000 {
		l = l.WithResponse(Response{}, 1<<20)
	}
	if l.Value() > 900*maxPerSlot {
		t.Errorf("without queues, the limit is %v", l.Value())
	}
	if idle := New(900, 12); idle.WithResponse(Response{}, 1).Value() != idle.Value() {
		t.Error("the limit of an idle host rises")
	}
	if few := l.WithSlots(10); few.Value() > 10*maxPerSlot {
		t.Errorf("with 10 slots, the limit is %v", few.Value())
	}
	if New(0, 6).WithSlots(900) != New(900, 6) {
		t.Error("a host that learns of the servers after its start keeps the limit for no servers")
	}
	half := New(900, 6).WithResponse(Response{Full: true}, 10)
	if more := half.WithSlots(1800); more.Value() != 2*half.Value() {
		t.Errorf("with twice the slots the limit goes from %v to %v", half.Value(), more.Value())
	}
	if New(0, 0).Value() < minLimit {
		t.Error("a host that knows no servers may send nothing")
	}
}
