package main

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
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
	ticker := time.NewTicker(10 * time.Millisecond)
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

// keptChannels is the number of channels that ordinary clients keep at each machine, and lostBound the number of lost requests that the
// rule LOST allows.
const (
	keptChannels = 6
	lostBound    = 3
)

// keptClient sends unsafe requests one after the other on a channel that it keeps, until ctx ends. When the channel ends, it opens
// another one. It returns the attempts on a kept channel that got no answer.
func keptClient(ctx context.Context, r *record, address string) (unanswered []string, answered int) {
	for ctx.Err() == nil {
		conn, err := net.DialTimeout("tcp4", address, connectTime)
		if err != nil {
			time.Sleep(100 * time.Millisecond)
			continue
		}
		reader := bufio.NewReader(conn)
		for served := 0; ctx.Err() == nil; served++ {
			attempt := newAttempt()
			status, err := exchange(conn, reader, attempt)
			r.write("client %s /post/1 to %s on a channel with %d answers: %d %v", attempt, address, served, status, err)
			if err != nil {
				if served > 0 {
					unanswered = append(unanswered, attempt)
				}
				break
			}
			answered++
		}
		// The channel is not used again.
		_ = conn.Close()
		time.Sleep(100 * time.Millisecond)
	}
	return unanswered, answered
}

// exchange sends one unsafe request on a channel and reads its answer.
func exchange(conn net.Conn, reader *bufio.Reader, attempt string) (status int, err error) {
	if err := conn.SetDeadline(time.Now().Add(3 * time.Second)); err != nil {
		return 0, err
	}
	_, err = fmt.Fprintf(conn, "POST /post/1 HTTP/1.1\r\nHost: %s\r\nAttempt-Id: %s\r\nDeadline-Ms: 2500\r\nKey: %s\r\nContent-Length: 0\r\n\r\n",
		hostName, attempt, clientKey)
	if err != nil {
		return 0, err
	}
	response, err := http.ReadResponse(reader, &http.Request{Method: http.MethodPost})
	if err != nil {
		return 0, err
	}
	defer func() { _ = response.Body.Close() }()
	_, err = io.Copy(io.Discard, response.Body)
	return response.StatusCode, err
}

// memoryCase lets clients send something to both of two machines three times, and judges the rule LOST: a machine passes a request
// from a kept channel on to a sound instance and closes that channel without an answer, more than three times. A process that ends by
// itself, memory over the limit included, counts as running.
func memoryCase(ctx context.Context, e *environment, m machine, attack func(ctx context.Context, h *host) error) (verdict, error) {
	d, err := startDeployment(ctx, e, m, 3, 300*time.Millisecond, "sj-a", "lib-a")
	if err != nil {
		return "", err
	}
	defer d.stop()
	kills, peaks := make([]atomic.Int64, len(d.hosts)), make([]atomic.Int64, len(d.hosts))
	watchCtx, stopWatch := context.WithCancel(ctx)
	defer stopWatch()
	var watch, ordinary errgroup.Group
	unanswered, answered := make([][]string, len(d.hosts)*keptChannels), make([]int, len(d.hosts)*keptChannels)
	for n, h := range d.hosts {
		watch.Go(func() error { return enforceMemory(watchCtx, h, &kills[n], &peaks[n]) })
		for k := range keptChannels {
			ordinary.Go(func() error {
				unanswered[n*keptChannels+k], answered[n*keptChannels+k] = keptClient(watchCtx, e.record, h.caller)
				return nil
			})
		}
	}
	// The ordinary clients' channels are kept by then.
	time.Sleep(2 * time.Second)
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
		time.Sleep(2 * time.Second)
	}
	stopWatch()
	if err := errors.CombineErrors(watch.Wait(), ordinary.Wait()); err != nil {
		return "", err
	}
	return d.judgeLost(e, kills, peaks, slices.Concat(unanswered...), answered)
}

// judgeLost counts the unanswered attempts of kept channels that an instance ran.
func (d *deployment) judgeLost(e *environment, kills, peaks []atomic.Int64, unanswered []string, answered []int) (verdict, error) {
	ran := map[string]bool{}
	for _, i := range d.instances {
		for _, r := range i.executions() {
			ran[r.attempt] = true
		}
	}
	lost := 0
	for _, attempt := range unanswered {
		if ran[attempt] {
			lost++
		}
	}
	total, killed := 0, int64(0)
	for _, n := range answered {
		total += n
	}
	for n, h := range d.hosts {
		e.write("host %s: killed %d times, at most %d bytes", h.name, kills[n].Load(), peaks[n].Load())
		killed += kills[n].Load()
	}
	e.write("%d requests of kept channels ran at an instance and got no answer, %d were answered", lost, total)
	if total == 0 {
		return "", errors.New("no ordinary request was answered")
	}
	if lost > lostBound {
		return verdict(fmt.Sprintf("%d requests of kept channels ran and got no answer (%d are allowed); processes exceeded their memory %d times",
			lost, lostBound, killed)), nil
	}
	return "", nil
}

// holdAll opens n channels to the address, sends the same bytes on each, and holds them until the other side closes them or ctx ends.
func holdAll(ctx context.Context, r *record, address string, n int, bytes string) error {
	var group errgroup.Group
	var sent, closed, received atomic.Int64
	r.write("%d clients open a channel each to %s and send %d bytes, which begin with %q", n, address, len(bytes), bytes[:min(len(bytes), 100)])
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
				got, err := conn.Read(buffer[:])
				received.Add(int64(got))
				if err != nil {
					closed.Add(1)
					return nil
				}
			}
		})
	}
	err := group.Wait()
	r.write("%d clients sent %d bytes each to %s and got %d bytes together; %d channels ended, the last ones by the clients", sent.Load(),
		len(bytes), address, received.Load(), closed.Load())
	return err
}
