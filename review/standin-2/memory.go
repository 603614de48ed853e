package main

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"golang.org/x/sync/errgroup"
)

const (
	// memoryRounds is the number of times at which the clients come to each machine.
	memoryRounds = 3
	// memoryRoundTime bounds one round.
	memoryRoundTime = 8 * time.Second
	// restartDelay is the time after which the platform starts a process again.
	restartDelay = 500 * time.Millisecond
)

// slots is the number of slots of an instance.
const slots = 6

// deployment is a small deployment: a store, one instance, and hosts.
type deployment struct {
	store     *store
	instances []*instance
	hosts     []*host
}

// startDeployment starts a deployment and waits until its hosts are ready.
func startDeployment(
	ctx context.Context, e *environment, m machine, instances int, work time.Duration, inZones ...string,
) (d *deployment, err error) {
	d = &deployment{}
	defer func() {
		if err != nil {
			d.stop()
		}
	}()
	if d.store, err = startStore(); err != nil {
		return nil, err
	}
	for n := range instances {
		i, err := startInstance(e.record, fmt.Sprintf("i-%d", n+1), "bitacora", "sj-a", slots, work)
		if err != nil {
			return nil, err
		}
		d.instances = append(d.instances, i)
		d.store.put("servers", i.id, i.beat("ready"))
	}
	d.store.put("config", "main", manifest(7))
	if d.hosts, err = newHosts(e, m, d.store, inZones...); err != nil {
		return nil, err
	}
	for _, h := range d.hosts {
		if err := h.start(); err != nil {
			return nil, err
		}
	}
	for _, h := range d.hosts {
		if err := h.awaitReady(ctx); err != nil {
			return nil, err
		}
	}
	return d, nil
}

// stop ends all processes and stand-ins.
func (d *deployment) stop() {
	for _, h := range d.hosts {
		h.kill()
	}
	for _, i := range d.instances {
		// The case ends here.
		_ = i.stop()
	}
	if d.store != nil {
		// The case ends here.
		_ = d.store.stop()
	}
}

// enforceMemory does what the platform does: it kills the process of the host once it exceeds the machine's memory, and starts it
// again after a short delay. It counts the kills and keeps the highest figure.
func enforceMemory(ctx context.Context, h *host, kills *atomic.Int64, peak *atomic.Int64) error {
	limit := int64(h.memoryMB) << 20
	ticker := time.NewTicker(20 * time.Millisecond)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
		}
		resident := h.status("VmRSS")
		peak.Store(max(peak.Load(), resident))
		if resident <= limit {
			continue
		}
		h.write("host %s holds %d bytes, its machine has %d: the platform kills it", h.name, resident, limit)
		kills.Add(1)
		h.kill()
		select {
		case <-ctx.Done():
			return nil
		case <-time.After(restartDelay):
		}
		if err := h.start(); err != nil {
			return err
		}
	}
}

// headerLines returns distinct header lines without values of about n bytes together.
func headerLines(n int) string {
	var b strings.Builder
	for i := int64(36 * 36); b.Len() < n; i++ {
		b.WriteString(strconv.FormatInt(i, 36))
		b.WriteString(":\r\n")
	}
	return b.String()
}

// memoryCase lets clients send something to both of two machines and judges the rule Fault: processes end by themselves three times
// on two machines at least, memory over the limit included.
func memoryCase(ctx context.Context, e *environment, m machine, attack func(ctx context.Context, h *host) error) (verdict, error) {
	d, err := startDeployment(ctx, e, m, 3, 20*time.Millisecond, "sj-a", "lib-a")
	if err != nil {
		return "", err
	}
	defer d.stop()
	kills, peaks := make([]atomic.Int64, len(d.hosts)), make([]atomic.Int64, len(d.hosts))
	served, asked := 0, 0
	watchCtx, stopWatch := context.WithCancel(ctx)
	defer stopWatch()
	var watch errgroup.Group
	for n, h := range d.hosts {
		watch.Go(func() error { return enforceMemory(watchCtx, h, &kills[n], &peaks[n]) })
	}
	ask := func() {
		for _, h := range d.hosts {
			asked++
			if send(e.record, h.caller, http.MethodGet, "/look/1", 2*time.Second).status == http.StatusOK {
				served++
			}
		}
	}
	ask()
	if served != asked {
		return "", fmt.Errorf("%d of %d requests were served before the clients came", served, asked)
	}
	for round := range memoryRounds {
		roundCtx, cancel := context.WithTimeout(ctx, memoryRoundTime)
		var clients errgroup.Group
		for _, h := range d.hosts {
			clients.Go(func() error { return attack(roundCtx, h) })
		}
		err := clients.Wait()
		cancel()
		if err != nil {
			e.write("round %d: %v", round+1, err)
		}
		for _, h := range d.hosts {
			if err := h.awaitReady(ctx); err != nil {
				return "", err
			}
		}
		ask()
	}
	stopWatch()
	if err := watch.Wait(); err != nil {
		return "", err
	}
	ended := 0
	for n, h := range d.hosts {
		e.write("host %s: killed %d times, at most %d bytes", h.name, kills[n].Load(), peaks[n].Load())
		if kills[n].Load() >= memoryRounds {
			ended++
		}
	}
	e.write("ordinary callers: %d of %d requests served", served, asked)
	if ended == len(d.hosts) {
		return verdict(fmt.Sprintf("on %d of %d machines the process exceeded its memory and was killed %d times", ended, len(d.hosts),
			memoryRounds)), nil
	}
	return "", nil
}

// holdAll opens n channels to the address, sends the same bytes on each, and holds them until the other side closes them or ctx ends.
func holdAll(ctx context.Context, r *record, address string, n int, bytes string) error {
	var group errgroup.Group
	var sent, closed atomic.Int64
	for range n {
		group.Go(func() error {
			conn, err := net.DialTimeout("tcp4", address, connectTime)
			if err != nil {
				return err
			}
			defer func() { _ = conn.Close() }()
			stop := context.AfterFunc(ctx, func() { _ = conn.Close() })
			defer stop()
			if _, err := conn.Write([]byte(bytes)); err != nil {
				closed.Add(1)
				return nil
			}
			sent.Add(1)
			var buffer [4096]byte
			for {
				if _, err := conn.Read(buffer[:]); err != nil {
					closed.Add(1)
					return nil
				}
			}
		})
	}
	err := group.Wait()
	r.write("%d clients sent %d bytes each to %s; %d channels ended", sent.Load(), len(bytes), address, closed.Load())
	return err
}
