package main

import (
	"fmt"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"time"
)

// The sizes of the case.
const (
	uploadMemoryMB  = 284
	uploadBytes     = 24 << 20
	usualUploaders  = 2
	hotUploaders    = 12
	uploadHolders   = 6
	uploadInstances = 8
	uploadLength    = 30 * time.Second
)

// uploads plays clients whose bodies are long, but within MaxBodyBytes, and a tenant that sends many times its usual. The platform kills a
// process that exceeds MemoryMb, and starts it again. Rule LOST: a machine closes a kept channel without an answer to a
// request that it has passed on to a sound instance, three times at most; a process that ends by itself counts as running.
func uploads(r *run) ([]string, error) {
	r.putManifest("r7", []manifestService{{Name: "portfolio", HealthPath: "/health", MaxConns: 330}}, []manifestRoute{
		{Name: "recording", PathPrefix: "/recording/", Kind: "unsafe", Service: "portfolio", TimeoutMs: 20000, TargetLatencyMs: 4000, Priority: 2, MaxAttempts: 2},
		{Name: "hold", PathPrefix: "/hold/", Kind: "unsafe", Service: "portfolio", TimeoutMs: 6000, TargetLatencyMs: 2000, Priority: 1, MaxAttempts: 2},
	})
	var instances []*instance
	for n := range uploadInstances {
		i, err := r.startInstance(fmt.Sprintf("i-%d", n), "", instanceOptions{
			service: "portfolio", zone: "muscat-a", slots: 4, queue: 12, work: 1200 * time.Millisecond,
		})
		if err != nil {
			return nil, err
		}
		defer i.end()
		instances = append(instances, i)
	}
	if err := r.startReadyHosts(1, hostSettings{region: "gulf", zone: "muscat-a", memoryMB: uploadMemoryMB}); err != nil {
		return nil, err
	}
	time.Sleep(stableWindow)
	end := time.Now().Add(uploadLength)
	kills := make(chan int, 1)
	go func() { kills <- r.enforceMemory(r.hosts[0], end.Add(3*time.Second)) }()
	var all calls
	var clients sync.WaitGroup
	play := func(name, key, path string, body []byte, limit time.Duration, from, to time.Time) {
		clients.Go(func() {
			c := r.newClient(name, key)
			time.Sleep(time.Until(from))
			for time.Now().Before(to) {
				all.add(c.send(r.hosts[0], http.MethodPost, path, body, limit))
				time.Sleep(300 * time.Millisecond)
			}
		})
	}
	for n := range uploadHolders {
		name := fmt.Sprintf("holder%d", n)
		play(name, secondKey, "/hold/musician", []byte(name+" thursday"), 6*time.Second, time.Now(), end)
	}
	body := []byte(strings.Repeat("recording", uploadBytes/9))
	for n := range usualUploaders {
		play(fmt.Sprintf("uploader%d", n), firstKey, "/recording/oud", body, 20*time.Second, time.Now(), end)
	}
	if r.trouble {
		// The tenant sends 6 times its usual, for 6 s.
		begin := time.Now().Add(uploadLength / 2)
		for n := usualUploaders; n < hotUploaders; n++ {
			play(fmt.Sprintf("uploader%d", n), firstKey, "/recording/oud", body, 20*time.Second, begin, begin.Add(6*time.Second))
		}
	}
	clients.Wait()
	return r.checkUploads(instances, all.list(), <-kills), nil
}

// enforceMemory does what the platform does with a process that exceeds its memory: it kills it and starts it again after a
// short delay. It returns the number of kills until end.
func (r *run) enforceMemory(h *hostProcess, end time.Time) (kills int) {
	peak := 0
	for ; time.Now().Before(end); time.Sleep(2 * time.Millisecond) {
		used := residentBytes(h.command.Process.Pid)
		peak = max(peak, used)
		if used <= uploadMemoryMB*1_000_000 {
			continue
		}
		kills++
		r.note("the platform kills host %s: it uses %d MB, over its limit of %d MB", h.name, used/1_000_000, uploadMemoryMB)
		_ = h.command.Process.Kill()
		<-h.ended
		time.Sleep(500 * time.Millisecond)
		if err := r.startHost(h); err != nil {
			r.note("host %s does not start: %v", h.name, err)
			return kills
		}
	}
	r.note("host %s used %d MB at most", h.name, peak/1_000_000)
	return kills
}

// residentBytes returns the memory that a process uses, or 0 if it has ended.
func residentBytes(pid int) int {
	text, err := os.ReadFile("/proc/" + strconv.Itoa(pid) + "/statm")
	fields := strings.Fields(string(text))
	if err != nil || len(fields) < 2 {
		return 0
	}
	pages, _ := strconv.Atoi(fields[1])
	return pages * os.Getpagesize()
}

// checkUploads applies the rule to what the clients and the instances saw.
func (r *run) checkUploads(instances []*instance, all []call, kills int) (breaches []string) {
	passedOn := map[string]bool{}
	for _, i := range instances {
		for _, request := range i.requests() {
			passedOn[request.attempt] = true
		}
	}
	kept, lost := map[string]bool{}, 0
	for _, k := range all {
		// A client uses its channel again after a whole answer.
		client, _, _ := strings.Cut(k.attempt, "-")
		if k.err != nil && kept[client] && passedOn[k.attempt] {
			lost++
		}
		kept[client] = k.err == nil
	}
	r.note("%d kills; %d requests of kept channels were passed on to sound instances and ended with the channel", kills, lost)
	if lost > 3 {
		breaches = append(breaches, fmt.Sprintf("LOST: %d requests of kept channels were passed on to sound instances and ended "+
			"with the channel, without an answer; the host exceeded its memory %d times", lost, kills))
	}
	return breaches
}
