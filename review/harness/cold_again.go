package main

import (
	"fmt"
	"net/http"
	"slices"
	"sync"
	"time"
)

// The bounds of the site's sheet, and the sizes of the case.
const (
	coldPerS      = 12
	coldOver      = 1.5
	coldSlack     = 5
	coldFor       = 3 * time.Second
	coldInstances = 6
	coldClients   = 48
	coldAt        = 5 * time.Second
	coldGap       = 50 * time.Millisecond
	coldLength    = 12 * time.Second
	// coldCrash is the number of requests in a second at which a cold instance crashes, well above coldPerS.
	coldCrash = 5 * coldPerS / 2
)

// coldAgain plays four instances that become cold again shortly after one another, and say so in the store at once. Rule FAILBACK: a
// cold instance gets ColdPerS x ColdOver + ColdSlack requests in one second at most.
func coldAgain(r *run) ([]string, error) {
	r.putManifest("r7", []manifestService{
		{Name: "finder", HealthPath: "/health", MaxConns: 330, ColdStartS: coldFor.Seconds(), ColdPerS: coldPerS},
	}, []manifestRoute{
		{Name: "hold", PathPrefix: "/hold/", Kind: "unsafe", Service: "finder", TimeoutMs: 4000, TargetLatencyMs: 600, Priority: 2, MaxAttempts: 2},
	})
	var instances []*instance
	for n := range coldInstances {
		i, err := r.startInstance(fmt.Sprintf("i-%d", n), "", instanceOptions{
			service: "finder", zone: "muscat-a", slots: 6, queue: 18, work: 40 * time.Millisecond,
		})
		if err != nil {
			return nil, err
		}
		defer i.end()
		instances = append(instances, i)
	}
	if err := r.startReadyHosts(2, hostSettings{region: "gulf", zone: "muscat-a", memoryMB: 284}); err != nil {
		return nil, err
	}
	time.Sleep(stableWindow)
	end := time.Now().Add(coldLength)
	var all calls
	var clients sync.WaitGroup
	for n := range coldClients {
		clients.Go(func() {
			c := r.newClient(fmt.Sprintf("holder%d", n), []string{firstKey, secondKey}[n%2])
			for time.Now().Before(end) {
				k := c.send(r.hosts[n/2%2], http.MethodPost, "/hold/musician", []byte(c.name+" thursday"), 4*time.Second)
				all.add(k)
				if k.status == http.StatusOK {
					time.Sleep(60 * time.Millisecond)
				} else {
					time.Sleep(300 * time.Millisecond)
				}
			}
		})
	}
	time.Sleep(coldAt)
	if r.trouble {
		for _, i := range instances[:4] {
			i.becomeCold(coldFor)
			time.Sleep(coldGap)
		}
	}
	clients.Wait()
	return r.checkCold(instances, all.list()), nil
}

// becomeCold makes the instance cold, and returns once the store has accepted the entry that says so.
func (i *instance) becomeCold(length time.Duration) {
	i.mu.Lock()
	i.coldLeft = length
	i.mu.Unlock()
	i.register("ready")
	i.mu.Lock()
	i.coldFrom = i.run.now()
	i.mu.Unlock()
	i.run.note("instance %s is cold for %v; the store has its entry", i.id, length)
	time.AfterFunc(length, func() {
		i.mu.Lock()
		i.coldLeft = 0
		i.mu.Unlock()
		if !i.hasEnded() {
			i.register("ready")
		}
	})
}

// isOverloadedCold reports whether the instance is cold and got coldCrash requests in the last second.
func (i *instance) isOverloadedCold() bool {
	i.mu.Lock()
	defer i.mu.Unlock()
	if i.coldLeft == 0 || i.coldFrom == 0 {
		return false
	}
	n := 0
	for _, at := range i.arrivals {
		if at > i.coldFrom && at > i.run.now()-time.Second {
			n++
		}
	}
	return n >= coldCrash
}

// checkCold applies the rule to what the instances got.
func (r *run) checkCold(instances []*instance, all []call) (breaches []string) {
	sent := map[string]time.Duration{}
	for _, k := range all {
		sent[k.attempt] = k.sent
	}
	const most = coldPerS*coldOver + coldSlack
	lost := map[string]bool{}
	for _, i := range instances {
		worst := i.mostInASecond(sent)
		for _, request := range i.requests() {
			lost[request.attempt] = request.crashed
		}
		r.note("cold instance %s got %d requests in one second at most; the bound is %g; it crashed: %v", i.id, worst, most, i.hasEnded())
		if float64(worst) > most {
			breaches = append(breaches, fmt.Sprintf("FAILBACK: the cold instance %s got %d requests in one second, bound %g", i.id, worst, most))
		}
	}
	lostHolds := 0
	for _, k := range all {
		if lost[k.attempt] && k.status != http.StatusOK {
			lostHolds++
		}
	}
	r.note("%d holds were running at an instance that crashed and got no success", lostHolds)
	if len(breaches) > 0 {
		breaches = append(breaches, fmt.Sprintf("%d holds were lost with instances that crashed", lostHolds))
	}
	return breaches
}

// mostInASecond returns the largest number of requests that were sent and arrived inside one second of the cold phase.
func (i *instance) mostInASecond(sent map[string]time.Duration) (most int) {
	i.mu.Lock()
	defer i.mu.Unlock()
	if i.coldFrom == 0 {
		return 0
	}
	type span struct{ from, to time.Duration }
	var spans []span
	for attempt, at := range i.arrivals {
		if from := sent[attempt]; from >= i.coldFrom && at <= i.coldFrom+coldFor {
			spans = append(spans, span{from, at})
		}
	}
	slices.SortFunc(spans, func(a, b span) int { return int(a.from - b.from) })
	for k := range spans {
		n := 0
		for _, s := range spans[k:] {
			if s.to <= spans[k].from+time.Second {
				n++
			}
		}
		most = max(most, n)
	}
	return most
}
