package main

import (
	"fmt"
	"net/http"
	"sync"
	"time"
)

// The bounds of the site's sheet, and the sizes of the case.
const (
	drainTime       = 2500 * time.Millisecond
	cutInstances    = 6
	cutClients      = 12
	cutWatchAfter   = 1200 * time.Millisecond
	leaveAt         = 11 * time.Second
	leavingServesOn = 8 * time.Second
	cutLength       = 25 * time.Second
)

// cutWatches plays a store that cuts off watches that wait, while the entry of an instance is removed that never
// reports draining. Rule DRAIN: no request reaches it later than DrainMs after the store has accepted the removal.
func cutWatches(r *run) ([]string, error) {
	r.putManifest("r7", []manifestService{{Name: "bookings", HealthPath: "/health", MaxConns: 330}}, []manifestRoute{
		{Name: "hold", PathPrefix: "/hold/", Kind: "unsafe", Service: "bookings", TimeoutMs: 6000, TargetLatencyMs: 2000, Priority: 1, MaxAttempts: 2},
	})
	var instances []*instance
	for n := range cutInstances {
		i, err := r.startInstance(fmt.Sprintf("i-%d", n), "", instanceOptions{
			service: "bookings", zone: "muscat-a", slots: 3, queue: 9, work: 800 * time.Millisecond,
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
	begin := time.Now()
	end := begin.Add(cutLength)
	var all calls
	var clients sync.WaitGroup
	for n := range cutClients {
		clients.Go(func() {
			c := r.newClient(fmt.Sprintf("holder%d", n), firstKey)
			for time.Now().Before(end) {
				all.add(c.send(r.hosts[n%2], http.MethodPost, "/hold/musician", []byte(c.name+" thursday"), 6*time.Second))
				time.Sleep(100 * time.Millisecond)
			}
		})
	}
	if r.trouble {
		r.note("from now on the store cuts off each watch that has waited for %v", cutWatchAfter)
		r.store.cutWatchesAfter(cutWatchAfter)
	}
	leaving := instances[0]
	time.Sleep(time.Until(begin.Add(leaveAt)))
	r.store.remove("servers", leaving.id)
	removedAt := r.now()
	r.note("the store removes the entry of %s", leaving.id)
	time.Sleep(leavingServesOn)
	leaving.end()
	r.note("instance %s exits", leaving.id)
	clients.Wait()
	return r.checkLeaving(leaving, removedAt, all.list()), nil
}

// checkLeaving applies the rule to what the leaving instance ran.
func (r *run) checkLeaving(leaving *instance, removedAt time.Duration, all []call) (breaches []string) {
	late, lost, last := 0, 0, time.Duration(0)
	crashed := map[string]bool{}
	for _, request := range leaving.requests() {
		if request.at > removedAt+drainTime {
			late++
			last = request.at - removedAt
		}
		crashed[request.attempt] = request.crashed
	}
	for _, k := range all {
		if crashed[k.attempt] && k.status != http.StatusOK {
			lost++
		}
	}
	r.note("%d requests reached %s later than %v after the removal of its entry, the last %v after it; %d of them ended with it",
		late, leaving.id, drainTime, last.Round(time.Millisecond), lost)
	if late > 0 {
		breaches = append(breaches, fmt.Sprintf("DRAIN: %d requests reached the instance later than %v after the removal of its "+
			"entry, the last %v after it; %d holds were lost at its exit", late, drainTime, last.Round(time.Millisecond), lost))
	}
	return breaches
}
