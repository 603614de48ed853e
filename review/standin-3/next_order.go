package main

import (
	"encoding/json"
	"fmt"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

func init() { scenarios["next-order"] = nextOrder }

// The times of the case, from the deploy file's terms and the sheet of the site.
const (
	// rolloutTime is DurationS of both orders.
	rolloutTime = 16 * time.Second
	// awayFrom is the time after the first order from which the store turns one machine away, and awayFor how long it does.
	awayFrom, awayFor = 13500 * time.Millisecond, 5 * time.Second
	// orderPause is the time from the end of the first rollout to the second order.
	orderPause = time.Second
	// exposeShare and exposeSlack are the bounds ExposeShare and ExposeSlack.
	exposeShare, exposeSlack = 0.1, 50
)

// rolloutState returns the state that the system wrote for a target version, or "".
func (s *store) rolloutState(service, target string) string {
	s.mu.Lock()
	defer s.mu.Unlock()
	var status struct{ State, TargetVersion string }
	if json.Unmarshal(s.objects["rollouts"][service].Status, &status) != nil || status.TargetVersion != target {
		return ""
	}
	return status.State
}

// versions is a service whose instances of several versions the platform starts and stops.
type versions struct {
	*deployment
	places []place
	fleet  map[string][]*instance
}

// start starts an instance of the version in each place. Every second answer of the bad version is a failure.
func (v *versions) start(version string, bad bool) error {
	for n, at := range v.places {
		i := &instance{id: fmt.Sprintf("i-%s-%d", version, n), service: "search", version: version, at: at, slots: 6, record: v.record}
		i.work = func() time.Duration { return 30 * time.Millisecond }
		if bad {
			var answers atomic.Int64
			i.fails = func() bool { return answers.Add(1)%2 == 0 }
		}
		if err := i.start(fmt.Sprintf("%s.%d:0", v.net, 100+len(v.fleet)*10+n)); err != nil {
			return err
		}
		v.fleet[version] = append(v.fleet[version], i)
		i.report(v.store)
	}
	return nil
}

// stop stops the instances of the version at once, as the platform does with the old ones at completed.
func (v *versions) stop(version string) {
	for _, i := range v.fleet[version] {
		i.close()
		v.store.remove("servers", i.id)
	}
	v.record.note("platform: the instances of %s are stopped", version)
}

// order starts the instances of the version and writes the order.
func (v *versions) order(version string, bad bool) error {
	if err := v.start(version, bad); err != nil {
		return err
	}
	v.store.put("rollouts", "search", map[string]any{"Service": "search", "TargetVersion": version, "DurationS": rolloutTime.Seconds()})
	v.record.note("operator: order of %s", version)
	return nil
}

// awaitEnd returns the state of the rollout once it is final, or the last one after limit.
func (v *versions) awaitEnd(version string, limit time.Duration) (last string) {
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		if state := v.store.rolloutState("search", version); state != last {
			v.record.note("platform: the rollout of %s is %q", version, state)
			last = state
		}
		if last == "completed" || last == "rolled_back" {
			return last
		}
	}
	return last
}

// send sends requests to each host until stop is closed, 20 a second to each. Their Attempt-Ids begin with the host's zone.
func (v *versions) send(group *sync.WaitGroup, stop <-chan struct{}) {
	for _, h := range v.hosts {
		for n := range 4 {
			group.Go(func() {
				for k := 0; ; k++ {
					select {
					case <-stop:
						return
					case <-time.After(170 * time.Millisecond):
					}
					attempt := h.place.zone + "-" + nextAttempt()
					v.record.note("%s: %s", attempt, request(h.front(), attempt, fmt.Sprintf("/search/%d-%d", n, k)))
				}
			})
		}
	}
}

// request sends one GET on a new channel and returns the answer.
func request(address, attempt, target string) answer {
	c, err := dial(address)
	if err != nil {
		return answer{attempt: attempt, err: err}
	}
	defer func() { _ = c.Close() }()
	_, _ = c.Write([]byte(head("GET", target, attempt, 4000, "Connection: close\r\n")))
	return c.read(attempt, "GET", 5*time.Second)
}

// nextOrder brings in a good version, then a bad one with the same object of the store. While the first rollout ends, the store turns
// one of three machines away.
func nextOrder(r *record, trouble bool) (broken bool, err error) {
	d, err := newDeployment(r)
	if err != nil {
		return false, err
	}
	defer d.close()
	v := &versions{d, []place{{"zone-a", "north"}, {"zone-b", "south"}, {"zone-c", "east"}}, map[string][]*instance{}}
	if err := v.start("v1", false); err != nil {
		return false, err
	}
	d.store.put("config", "main", manifestOf("r1", route{"r-search", "/search/", "safe", "search", 1500, 600}))
	if err := d.startHosts(v.places...); err != nil {
		return false, err
	}
	stop := make(chan struct{})
	var group sync.WaitGroup
	v.send(&group, stop)
	defer group.Wait()
	defer close(stop)
	time.Sleep(5 * time.Second)
	if err := v.order("v2", false); err != nil {
		return false, err
	}
	refused := d.hosts[2]
	if trouble {
		defer time.AfterFunc(awayFrom, func() {
			refused.store.refuse(true)
			r.note("platform: the store gives %s no answers", refused.name)
		}).Stop()
		defer time.AfterFunc(awayFrom+awayFor, func() {
			refused.store.refuse(false)
			r.note("platform: the store serves %s again", refused.name)
		}).Stop()
	}
	if state := v.awaitEnd("v2", rolloutTime+2*time.Second); state != "completed" {
		return false, fmt.Errorf("the first rollout is %q", state)
	}
	v.stop("v1")
	time.Sleep(orderPause)
	ordered := time.Now()
	if err := v.order("v3", true); err != nil {
		return false, err
	}
	state := v.awaitEnd("v3", rolloutTime)
	if state == "completed" {
		v.stop("v2")
	}
	time.Sleep(time.Until(ordered.Add(rolloutTime)))
	all, bad := v.count(ordered, "v3", refused.place.zone)
	bound := exposeShare*float64(all) + exposeSlack
	r.note("rule: in the time of its order the bad version got %d requests from machines in touch, of %d at its service; allowed %.0f; state %q",
		bad, all, bound, state)
	return float64(bad) > bound, nil
}

// count returns the number of requests that reached the service within rolloutTime, and of those that reached the version from hosts
// other than that of the zone.
func (v *versions) count(from time.Time, target, zone string) (all, exposed int) {
	for version, instances := range v.fleet {
		for _, i := range instances {
			for _, a := range i.all() {
				if a.at.Before(from) || a.at.After(from.Add(rolloutTime)) {
					continue
				}
				all++
				if version == target && !strings.HasPrefix(a.attempt, zone) {
					exposed++
				}
			}
		}
	}
	return all, exposed
}
