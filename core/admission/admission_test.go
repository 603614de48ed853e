package admission

import (
	"testing"
	"time"
)

const ms = time.Millisecond

// Guards against holding what cannot be served, and against refusing what a short queue makes late.
func TestDecide(t *testing.T) {
	standing := Pressure{}
	for i := range 100 {
		standing = standing.WithRequest(time.Duration(i)*50*ms, true)
	}
	for _, c := range []struct {
		name     string
		pressure Pressure
		request  Request
		want     Decision
	}{
		{"idle", Pressure{}, Request{ExpectedLatency: 100 * ms, TimeLeft: time.Second, LatencyObjective: 400 * ms}, Accept},
		{"cannot be served", Pressure{}, Request{ExpectedLatency: 1100 * ms, TimeLeft: time.Second, LatencyObjective: 400 * ms}, DeadlineUnreachable},
		{"late by a short queue", Pressure{}, Request{ExpectedLatency: 600 * ms, QueueWait: 450 * ms, TimeLeft: time.Second, LatencyObjective: 400 * ms}, Accept},
		{"late by a standing queue", standing, Request{ExpectedLatency: 600 * ms, QueueWait: 450 * ms, TimeLeft: time.Second, LatencyObjective: 400 * ms}, Overloaded},
		{"in time in spite of a queue", standing, Request{ExpectedLatency: 300 * ms, QueueWait: 150 * ms, TimeLeft: time.Second, LatencyObjective: 400 * ms}, Accept},
		{"late without a queue", standing, Request{ExpectedLatency: 800 * ms, TimeLeft: time.Second, LatencyObjective: 400 * ms}, Accept},
	} {
		if got, _ := Decide(c.pressure, c.request); got != c.want {
			t.Errorf("%s: %s, want %s", c.name, got, c.want)
		}
	}
}

// serve plays 30 s of requests at a server with one slot and a work time of 100 ms, and counts those that are answered
// within the objective of 400 ms and those that are answered at all.
func serve(every time.Duration, refuse bool) (inTime, answered, all int) {
	const work, objective, left = 100 * ms, 400 * ms, 2 * time.Second
	var free time.Duration
	var p Pressure
	for now := time.Duration(0); now < 30*time.Second; now += every {
		all++
		wait := max(free-now, 0)
		r := Request{ExpectedLatency: wait + work, QueueWait: wait, TimeLeft: left, LatencyObjective: objective}
		p = p.WithRequest(now, r.LateFromQueueing())
		verdict, _ := Decide(p, r)
		if refuse && verdict != Accept || r.ExpectedLatency > left {
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

// Guards against an overload in which every request waits until it is late: with 1.5 times the capacity most answers
// must be in time, with as many answers as before.
func TestOverloadIsAnsweredInTime(t *testing.T) {
	before, answeredBefore, _ := serve(67*ms, false)
	inTime, answered, all := serve(67*ms, true)
	if inTime < 4*before || inTime < all/3 {
		t.Errorf("%d of %d in time, %d without refusals", inTime, all, before)
	}
	if answered < answeredBefore*95/100 {
		t.Errorf("%d answered, %d without refusals", answered, answeredBefore)
	}
	if inTime, _, all := serve(110*ms, true); inTime != all {
		t.Errorf("below the capacity %d of %d in time", inTime, all)
	}
}
