package admission

import (
	"testing"
	"time"
)

const ms = time.Millisecond

// A request that can't be answered in time must be refused at once, and one that only a short queue makes late must be accepted.
func TestDecide(t *testing.T) {
	saturated := Pressure{}
	for i := range 100 {
		saturated = saturated.WithRequest(time.Duration(i)*50*ms, true)
	}
	for _, c := range []struct {
		name     string
		pressure Pressure
		request  Request
		want     Decision
	}{
		{"idle", Pressure{}, Request{ExpectedLatency: 100 * ms, TimeLeft: time.Second, LatencyObjective: 400 * ms}, Accept},
		{
			"deadline unreachable",
			Pressure{},
			Request{ExpectedLatency: 1100 * ms, TimeLeft: time.Second, LatencyObjective: 400 * ms},
			DeadlineUnreachable,
		},
		{
			"late from a short queue",
			Pressure{},
			Request{ExpectedLatency: 600 * ms, QueueWait: 450 * ms, TimeLeft: time.Second, LatencyObjective: 400 * ms},
			Accept,
		},
		{
			"late from the queue under overload", saturated,
			Request{ExpectedLatency: 600 * ms, QueueWait: 450 * ms, TimeLeft: time.Second, LatencyObjective: 400 * ms},
			Overloaded,
		},
		{
			"in time despite the queue", saturated,
			Request{ExpectedLatency: 300 * ms, QueueWait: 150 * ms, TimeLeft: time.Second, LatencyObjective: 400 * ms},
			Accept,
		},
		{
			"late without a queue", saturated,
			Request{ExpectedLatency: 800 * ms, TimeLeft: time.Second, LatencyObjective: 400 * ms},
			Accept,
		},
	} {
		if got, _ := Decide(c.pressure, c.request); got != c.want {
			t.Errorf("%s: %s, want %s", c.name, got, c.want)
		}
	}
}

// simulateOverload sends requests for 30 s to a server that runs one at a time, for 100 ms each. It counts the responses within
// the objective of 400 ms, all responses, and all requests.
func simulateOverload(interval time.Duration, refuse bool) (inTime, answered, all int) {
	const work, objective, timeLeft = 100 * ms, 400 * ms, 2 * time.Second
	var free time.Duration
	var p Pressure
	for now := time.Duration(0); now < 30*time.Second; now += interval {
		all++
		wait := max(free-now, 0)
		r := Request{ExpectedLatency: wait + work, QueueWait: wait, TimeLeft: timeLeft, LatencyObjective: objective}
		p = p.WithRequest(now, r.LateFromQueueing())
		decision, _ := Decide(p, r)
		if refuse && decision != Accept || r.ExpectedLatency > timeLeft {
			continue
		}
		free = now + wait + work
		answered++
		if r.ExpectedLatency <= objective {
			inTime++
		}
	}
	return inTime, answered, all
}

// Without refusals, an overload of 1.5 times the capacity makes every request wait until it is late. With refusals, most
// responses must be in time, and there must be about as many responses.
func TestOverloadIsAnsweredInTime(t *testing.T) {
	before, answeredBefore, _ := simulateOverload(67*ms, false)
	inTime, answered, all := simulateOverload(67*ms, true)
	if inTime < 4*before || inTime < all/3 {
		t.Errorf("%d of %d in time, %d without refusals", inTime, all, before)
	}
	if answered < answeredBefore*95/100 {
		t.Errorf("%d answered, %d without refusals", answered, answeredBefore)
	}
	if inTime, _, all := simulateOverload(110*ms, true); inTime != all {
		t.Errorf("below the capacity %d of %d in time", inTime, all)
	}
}
