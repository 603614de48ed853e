package main

import (
	"fmt"
	"math/rand/v2"
	"strings"
	"sync"
	"time"
)

func init() { scenarios["foreign-entries"] = foreignEntries }

const (
	// foreignCount is the number of entries of another writer, which it writes foreignInterval after one another.
	foreignCount, foreignInterval = 20, 10 * time.Millisecond
	// foreignBytes is the length of the text in each; ValueBytes allows 1,048,576 bytes for an object.
	foreignBytes = 1_000_000
	// drainTime is DrainMs, serveOn how long the instance that leaves serves on after it.
	drainTime, serveOn = 2500 * time.Millisecond, 1500 * time.Millisecond
	// foreignHolders is the number of clients that send unsafe requests one after the other.
	foreignHolders = 30
	// leaveAfter is the time from the last of these entries until an instance leaves.
	leaveAfter = time.Second
)

// foreignEntries plays another writer that puts entries without an address into the list of the instances. With the trouble they are
// long, otherwise short. A second later one of two instances leaves in order.
func foreignEntries(r *record, trouble bool) (broken bool, err error) {
	d, closeAll, err := oneHost(r, "unsafe", 5*time.Second)
	if err != nil {
		return false, err
	}
	defer closeAll()
	for _, i := range d.instances {
		i.work = func() time.Duration { return 200*time.Millisecond + rand.N(400*time.Millisecond) }
	}
	stop := make(chan struct{})
	var group sync.WaitGroup
	unanswered := make(chan string, foreignHolders)
	for range foreignHolders {
		group.Go(func() { hold(r, d.hosts[0].front(), "/search/1", stop, unanswered) })
	}
	time.Sleep(time.Second)
	text := "x"
	if trouble {
		text = strings.Repeat("x", foreignBytes)
	}
	for n := range foreignCount {
		d.store.put("servers", fmt.Sprintf("x-%02d", n), map[string]any{"Service": "search", "Note": text})
		time.Sleep(foreignInterval)
	}
	r.note("other writer: %d entries with a text of %d bytes and no address", foreignCount, len(text))
	time.Sleep(leaveAfter)
	leaving := d.instances[0]
	leaving.leaving.Store(true)
	leaving.report(d.store)
	acked := time.Now()
	r.note("platform: the store has accepted that %s is draining", leaving.id)
	time.Sleep(drainTime + serveOn)
	leaving.close()
	r.note("instance %s has ended", leaving.id)
	time.Sleep(time.Second)
	close(stop)
	group.Wait()
	late := 0
	for _, a := range leaving.all() {
		if a.at.Sub(acked) > drainTime {
			late++
		}
	}
	r.note("rule: %d requests reached %s later than DrainMs after the ack; allowed 0", late, leaving.id)
	return late > 0, nil
}
