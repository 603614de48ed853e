package main

import (
	"fmt"
	"sync"
	"syscall"
	"time"
)

func init() { scenarios["frozen-host"] = frozenHost }

const (
	// freezeTime is how long the machine stands still, freezes how often, and freezePause the time between two freezes.
	freezeTime, freezePause = 1350 * time.Millisecond, 2500 * time.Millisecond
	freezes                 = 3
	// beforeFreeze and afterFreeze are how long clients send before the first and after the last freeze.
	beforeFreeze, afterFreeze = 3 * time.Second, 55 * time.Second
	// searchesPerSecond and fetchesPerSecond are the requests of each kind per second.
	searchesPerSecond, fetchesPerSecond = 100, 250
)

// outcome is what became of one request of a kind.
type outcome struct {
	kind string
	// at is the time since the start of the traffic.
	at     time.Duration
	served bool
}

// traffic sends requests of several kinds at a constant rate.
type traffic struct {
	record  *record
	address string
	began   time.Time
	group   sync.WaitGroup

	mu       sync.Mutex
	outcomes []outcome
}

// send sends requests of a kind until stop is closed.
func (t *traffic) send(kind string, perSecond int, stop <-chan struct{}) {
	t.group.Go(func() {
		ticker := time.NewTicker(time.Second / time.Duration(perSecond))
		defer ticker.Stop()
		for {
			select {
			case <-stop:
				return
			case <-ticker.C:
			}
			t.group.Go(func() {
				at, attempt := time.Since(t.began), nextAttempt()
				a := request(t.address, attempt, "/"+kind+"/1")
				t.record.note("%s %s: %s", kind, attempt, a)
				t.mu.Lock()
				defer t.mu.Unlock()
				t.outcomes = append(t.outcomes, outcome{kind, at, a.status == 200})
			})
		}
	})
}

// share returns the part of the requests of a kind, or of all kinds with "", from a time on that were served.
func (t *traffic) share(kind string, from, to time.Duration) float64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	served, all := 0, 0
	for _, o := range t.outcomes {
		if (kind == "" || o.kind == kind) && o.at >= from && o.at < to {
			all++
			if o.served {
				served++
			}
		}
	}
	return float64(served) / float64(max(all, 1))
}

// frozenHost stops the process of a host for some moments, while requests of one kind that take 440 ms and of one that take 20 ms run.
func frozenHost(r *record, trouble bool) (broken bool, err error) {
	d, err := newDeployment(r)
	if err != nil {
		return false, err
	}
	defer d.close()
	at := place{"zone-a", "north"}
	for n := range 12 {
		i := &instance{id: fmt.Sprintf("i-%d", n), service: "finder", version: "v1", at: at, slots: 10, record: r}
		work := 440 * time.Millisecond
		if n >= 6 {
			i.service, work = "portfolio", 20*time.Millisecond
		}
		i.work = func() time.Duration { return work }
		if err := i.start(d.net + ".100:0"); err != nil {
			return false, err
		}
		defer i.close()
		i.report(d.store)
	}
	d.store.put("config", "main", manifestOf("r1",
		route{"r-search", "/search/", "safe", "finder", 1500, 600}, route{"r-fetch", "/fetch/", "safe", "portfolio", 1500, 600}))
	if err := d.startHosts(at); err != nil {
		return false, err
	}
	time.Sleep(2 * time.Second)
	t := &traffic{record: r, address: d.hosts[0].front(), began: time.Now()}
	stop := make(chan struct{})
	t.send("search", searchesPerSecond, stop)
	t.send("fetch", fetchesPerSecond, stop)
	time.Sleep(beforeFreeze)
	for n := range freezes {
		if trouble {
			r.note("the machine stands still")
			_ = d.hosts[0].cmd.Process.Signal(syscall.SIGSTOP)
		}
		time.Sleep(freezeTime)
		if trouble {
			_ = d.hosts[0].cmd.Process.Signal(syscall.SIGCONT)
			r.note("the machine wakes")
		}
		if n < freezes-1 {
			time.Sleep(freezePause)
		}
	}
	time.Sleep(afterFreeze)
	close(stop)
	total := time.Since(t.began)
	t.group.Wait()
	for from := time.Duration(0); from < total; from += 10 * time.Second {
		r.note("from %.0f s: %.3f of the searches and %.3f of the fetches served", from.Seconds(),
			t.share("search", from, from+10*time.Second), t.share("fetch", from, from+10*time.Second))
	}
	kind, all := t.share("search", 0, total), t.share("", 0, total)
	r.note("rule: %.3f of the searches are served, %.3f of all requests; allowed is no less than a quarter of that, %.3f", kind, all, all/4)
	return kind < all/4, nil
}
