package main

import (
	"encoding/binary"
	"net/netip"
	"time"

	"vanillatally/core/steering"
)

// The comparison's constants: callers keep answers for 5 s ± 20%, and the loads that decisions see are 2 s old.
const (
	stepTime  = 500 * time.Millisecond
	stepsTTL  = 10
	stepsLag  = 4
	lossStep  = 120
	endStep   = 200
	flapSteps = 20
)

// placer is a way to choose a site.
type placer interface {
	// measure passes the loads, which are stepsLag old, and the sites that are down now.
	measure(now time.Duration, loads []float64, down []bool)
	// down passes a change of the sites that are down.
	change(down []bool)
	// place returns the site of a client, or -1, given its current site and the loads of this instant.
	place(client int, current int32, loads []float64) int32
}

// outcome is what one loss did.
type outcome struct {
	// moved is the share of the clients that were on no lost site and changed their site.
	moved float64
	// before and after are the highest load over capacity of a site that is up, cached answers counted.
	before, after float64
	// unserved is the largest share of the clients that got no site.
	unserved float64
}

// losses are the compared events; each says which sites it takes.
var losses = []struct {
	name string
	hits func(steering.Site) bool
	flap bool
}{
	{"none", func(steering.Site) bool { return false }, false},
	{"site", func(s steering.Site) bool { return s.Name == "site-0035" }, false},
	{"domain", func(s steering.Site) bool { return s.FailureDomain == "domain-35" }, false},
	{"region", func(s steering.Site) bool { return s.Region == "region-14" }, false},
	{"flapping", func(s steering.Site) bool { return s.Name == "site-0035" }, true},
}

// runLoss lets all clients renew their answers as they expire, takes the sites at lossStep, and returns what happened
// until endStep. Clients of a lost site ask again at once. A flapping site comes and goes every 10 s.
func runLoss(f *fleet, p placer, hits func(steering.Site) bool, flap bool) (o outcome) {
	loads := make([]float64, len(f.sites))
	history := make([][]float64, stepsLag+1)
	down := make([]bool, len(f.sites))
	current, expiry := make([]int32, f.clients), make([]int32, f.clients)
	hit, moved := make([]bool, f.clients), make([]bool, f.clients)
	for c := range current {
		current[c], expiry[c] = -1, int32(c%stepsTTL)
	}
	p.change(down)
	served := 0
	ask := func(c, step int) {
		next := p.place(c, current[c], loads)
		if old := current[c]; next != old {
			if old >= 0 {
				loads[old]--
				served--
			}
			if next >= 0 {
				loads[next]++
				served++
			}
			if step >= lossStep && !hit[c] {
				moved[c] = true
			}
			current[c] = next
		}
		expiry[c] = int32(step) + stepsTTL - 2 + int32(clientHash(c, uint64(step))%5)
	}
	for step := range endStep {
		if step >= lossStep && (step == lossStep || flap && (step-lossStep)%flapSteps == 0) {
			lost := !flap || (step-lossStep)/flapSteps%2 == 0
			for id, site := range f.sites {
				down[id] = lost && hits(site)
			}
			p.change(down)
			for c, id := range current {
				if id >= 0 && down[id] {
					hit[c] = true
					ask(c, step)
				}
			}
		}
		for c := range current {
			if expiry[c] == int32(step) {
				ask(c, step)
			}
		}
		for id, load := range loads {
			if down[id] {
				continue
			}
			if over := load / f.sites[id].Capacity; step >= lossStep {
				o.after = max(o.after, over)
			} else if step >= lossStep-2*stepsTTL {
				o.before = max(o.before, over)
			}
		}
		if step >= stepsTTL {
			o.unserved = max(o.unserved, 1-float64(served)/float64(f.clients))
		}
		history[step%len(history)] = append(history[step%len(history)][:0], loads...)
		if step%4 == 3 && step >= stepsLag {
			p.measure(time.Duration(step)*stepTime, history[(step+1)%len(history)], down)
		}
	}
	for _, m := range moved {
		if m {
			o.moved += 1 / float64(f.clients)
		}
	}
	return o
}

func clientHash(client int, salt uint64) uint64 {
	return steering.ClientKey(clientAddress(client ^ int(salt*0x9e3779b9)))
}

func clientAddress(client int) netip.Addr {
	var b [4]byte
	binary.BigEndian.PutUint32(b[:], uint32(client)*2654435761)
	return netip.AddrFrom4(b)
}

// rendezvous is weighted rendezvous hashing with feedback, as hosts run it.
type rendezvous struct {
	f        *fleet
	snapshot *steering.Snapshot
	feedback steering.Feedback
	planned  bool
}

func newRendezvous(f *fleet) *rendezvous {
	s, err := steering.New(f.sites, f.locations, nil)
	if err != nil {
		panic(err) // the fleet is our own
	}
	return &rendezvous{f: f, snapshot: s, feedback: steering.NewFeedback(steering.DefaultFeedback)}
}

func (r *rendezvous) change(down []bool) {
	sites := r.snapshot.Sites()
	for id := range sites {
		sites[id].Health = 1
		if down[id] {
			sites[id].Health = 0
		}
	}
	r.snapshot = r.snapshot.WithSites(sites)
}

func (r *rendezvous) measure(now time.Duration, loads []float64, _ []bool) {
	if now < 2*stepsTTL*stepTime {
		return // the first answers are not all given yet
	}
	r.feedback, r.snapshot = r.feedback.Step(now, r.snapshot, loads)
	if r.feedback.Settled(now) && now%(10*time.Second) < 4*stepTime {
		r.snapshot = r.snapshot.PlanFailover(loads, steering.MaxPlannedUtilization)
	}
}

func (r *rendezvous) place(client int, _ int32, _ []float64) int32 {
	var out steering.Ranking
	if r.snapshot.Rank(steering.Query{Client: clientAddress(client), FallbackLocation: r.f.location[client]}, 1, &out); out.Len == 0 {
		return -1
	}
	return int32(out.Sites[0])
}
