package main

import (
	"fmt"
	"net/http"
	"strings"
	"sync"
	"time"
)

// The bounds of the site's sheet, and the sizes of the case.
const (
	stableWindow     = 4 * time.Second
	heartbeat        = 1500 * time.Millisecond
	crashInstances   = 8
	crashHolders     = 6
	crashLength      = 60 * time.Second
	crashPause       = 4 * time.Second
	instanceDownTime = 2500 * time.Millisecond
)

// crashingRequest plays PROTOCOL.md's request that crashes each instance that begins to run it, and that comes again. Rule
// BUDGET: once it has crashed three, it may reach instances in three more retries at most, later than StableWindowMs after
// that.
func crashingRequest(r *run) ([]string, error) {
	r.putManifest("r7", []manifestService{{Name: "finder", HealthPath: "/health", MaxConns: 330}}, []manifestRoute{
		{Name: "search", PathPrefix: "/search/", Kind: "safe", Service: "finder", TimeoutMs: 4000, TargetLatencyMs: 600, Priority: 2, MaxAttempts: 2},
		{Name: "hold", PathPrefix: "/hold/", Kind: "unsafe", Service: "finder", TimeoutMs: 6000, TargetLatencyMs: 2000, Priority: 1, MaxAttempts: 2},
	})
	fleet := &crashFleet{run: r}
	for n := range crashInstances {
		if err := fleet.start(fmt.Sprintf("i-%d", n), ""); err != nil {
			return nil, err
		}
	}
	defer fleet.stop()
	if err := r.startReadyHosts(2, hostSettings{region: "gulf", zone: "muscat-a", memoryMB: 284}); err != nil {
		return nil, err
	}
	time.Sleep(stableWindow)
	var holds calls
	var clients sync.WaitGroup
	end := time.Now().Add(crashLength)
	for n := range crashHolders {
		clients.Go(func() {
			c := r.newClient(fmt.Sprintf("holder%d", n), secondKey)
			for time.Now().Before(end) {
				holds.add(c.send(r.hosts[n%2], http.MethodPost, "/hold/musician", []byte(c.name+" thursday"), 6*time.Second))
				time.Sleep(300 * time.Millisecond)
			}
		})
	}
	clients.Go(func() {
		c := r.newClient("searcher", firstKey)
		for n := 0; time.Now().Before(end); n++ {
			path := "/search/qanun"
			if r.trouble {
				path = "/search/poison"
			}
			c.send(r.hosts[n%2], http.MethodGet, path, nil, 4*time.Second)
			time.Sleep(crashPause)
		}
	})
	clients.Wait()
	return fleet.check(holds.list()), nil
}

// crashFleet holds all boots of the instances. An instance that crashes is back after instanceDownTime, with a new id.
type crashFleet struct {
	run *run
	mu  sync.Mutex
	// all holds every boot; closed is set once no instance starts any more.
	all    []*instance
	closed bool
}

func (f *crashFleet) start(id, address string) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.closed {
		return nil
	}
	i, err := f.run.startInstance(id, address, instanceOptions{
		service: "finder", zone: "muscat-a", slots: 3, queue: 9, work: 1200 * time.Millisecond,
		crashes: func(r *http.Request) bool { return strings.HasSuffix(r.URL.Path, "/poison") },
	})
	if err != nil {
		return err
	}
	i.onCrash = f.crashed
	f.all = append(f.all, i)
	return nil
}

// crashed starts the next boot of a crashed instance after a while. The store removes the old entry after three status report
// intervals of silence.
func (f *crashFleet) crashed(i *instance) {
	time.AfterFunc(instanceDownTime, func() {
		if err := f.start(i.id+"x", i.address); err != nil {
			f.run.note("instance %s does not start: %v", i.id+"x", err)
		}
	})
	time.AfterFunc(3*heartbeat, func() { f.run.store.remove("servers", i.id) })
}

func (f *crashFleet) stop() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.closed = true
	for _, i := range f.all {
		i.end()
	}
}

// check applies the rule to what the instances ran.
func (f *crashFleet) check(holds []call) (breaches []string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	var crashes []time.Duration
	lost := map[string]bool{}
	for _, i := range f.all {
		for _, request := range i.requests() {
			if strings.HasSuffix(request.path, "/poison") {
				crashes = append(crashes, request.at)
			}
			lost[request.attempt] = lost[request.attempt] || request.crashed
		}
	}
	lostHolds := 0
	for _, hold := range holds {
		if lost[hold.attempt] && hold.status != http.StatusOK {
			lostHolds++
		}
	}
	late := 0
	if len(crashes) >= 3 {
		sortDurations(crashes)
		for _, at := range crashes[3:] {
			if at > crashes[2]+stableWindow {
				late++
			}
		}
	}
	f.run.note("%d instances crashed on the request; %d times it reached one later than %v after the third; "+
		"%d of %d holds were running at an instance that crashed and got no success", len(crashes), late, stableWindow,
		lostHolds, len(holds))
	if late > 3 {
		breaches = append(breaches, fmt.Sprintf("BUDGET: the crashing request reached instances %d times later than %v after "+
			"the third crash; %d holds of other clients were lost with them", late, stableWindow, lostHolds))
	}
	return breaches
}
