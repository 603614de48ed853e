package main

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"strings"
	"time"

	"golang.org/x/sync/errgroup"
)

func init() {
	cases["unread-bodies"] = unreadBodies
	cases["caller-heads"] = callerHeads
	cases["lookup-channels"] = lookupChannels
}

const (
	// stableWindow is StableWindowMs of the site file.
	stableWindow = 4 * time.Second
	// ordinaryClients is the number of ordinary clients that try; the rule wants seven.
	ordinaryClients = 8
)

// channelCase holds channels of clients at one machine and judges the rule RECOVER: the machine says that it is ready and takes no new
// channel for StableWindowMs, while seven clients or more try. hold keeps the channels until its context ends.
func channelCase(ctx context.Context, e *environment, hold func(ctx context.Context, h *host) error) (verdict, error) {
	d, err := startDeployment(ctx, e, siteMachine, 3, 20*time.Millisecond, "sj-a")
	if err != nil {
		return "", err
	}
	defer d.stop()
	h := d.hosts[0]
	ready := &http.Client{Timeout: 2 * time.Second}
	isReady := func() bool {
		// The platform keeps the channel of its check.
		response, err := ready.Get("http://" + h.ready + "/v1/ready")
		if err != nil {
			e.write("the readiness check of %s fails: %v", h.name, err)
			return false
		}
		_, _ = io.Copy(io.Discard, response.Body)
		_ = response.Body.Close()
		e.write("the readiness check of %s: %d", h.name, response.StatusCode)
		return response.StatusCode == http.StatusOK
	}
	if got := send(e.record, h.caller, http.MethodGet, "/look/1", 2*time.Second); got.status != http.StatusOK || !isReady() {
		return "", fmt.Errorf("the host serves nothing before the clients come: status %d", got.status)
	}
	holdCtx, stopHold := context.WithCancel(ctx)
	defer stopHold()
	var held errgroup.Group
	held.Go(func() error { return hold(holdCtx, h) })
	// Ten seconds are longer than the host's time-out of heads, and the system is calm for them.
	time.Sleep(10 * time.Second)
	var longest, since time.Duration
	began := time.Now()
	for end := began.Add(12 * time.Second); time.Now().Before(end); {
		allReady := isReady()
		taken := make([]bool, ordinaryClients)
		var clients errgroup.Group
		for n := range ordinaryClients {
			clients.Go(func() error {
				taken[n] = send(e.record, h.caller, http.MethodGet, fmt.Sprintf("/look/%d", n), 2*time.Second).status != 0
				return nil
			})
		}
		if err := clients.Wait(); err != nil {
			return "", err
		}
		now := time.Since(began)
		anyTaken := false
		for _, t := range taken {
			anyTaken = anyTaken || t
		}
		if anyTaken || !allReady {
			since = now
		}
		longest = max(longest, now-since)
		time.Sleep(200 * time.Millisecond)
	}
	stopHold()
	if err := held.Wait(); err != nil {
		e.write("the clients that hold channels: %v", err)
	}
	e.write("the host was ready and answered on no new channel for %.1f s, while %d clients tried", longest.Seconds(), ordinaryClients)
	if longest > stableWindow {
		return verdict(fmt.Sprintf("a ready machine took no new channel for %.1f s, while %d clients tried", longest.Seconds(),
			ordinaryClients)), nil
	}
	return "", nil
}

// unreadBodies holds channels with requests that the host refuses before it has read their bodies, which never come.
func unreadBodies(ctx context.Context, e *environment) (verdict, error) {
	const channels = 2100
	head := "POST /nothing/1 HTTP/1.1\r\nHost: " + hostName + "\r\nAttempt-Id: b1\r\nContent-Length: 100\r\n\r\n"
	if !e.trouble {
		// The bodies come.
		head += strings.Repeat("b", 100)
	}
	return channelCase(ctx, e, func(ctx context.Context, h *host) error { return holdAll(ctx, e.record, h.caller, channels, head) })
}

// lookupChannels holds channels at the address for look-ups, each after one look-up.
func lookupChannels(ctx context.Context, e *environment) (verdict, error) {
	const channels = 4200
	return channelCase(ctx, e, func(ctx context.Context, h *host) error {
		head := fmt.Sprintf("GET /v1/resolve?Name=%s&Region=%s&Zone=%s HTTP/1.1\r\nHost: x\r\n", hostName, zones[h.zone], h.zone)
		if !e.trouble {
			head += "Connection: close\r\n"
		}
		return holdAll(ctx, e.record, h.lookup, channels, head+"\r\n")
	})
}

// callerHeads holds requests with long heads whose bodies never come at the address for requests.
func callerHeads(ctx context.Context, e *environment) (verdict, error) {
	return memoryCase(ctx, e, siteMachine, func(ctx context.Context, h *host) error {
		head := "POST /nothing/1 HTTP/1.1\r\nHost: " + hostName + "\r\nContent-Length: 100\r\n"
		if e.trouble {
			return holdAll(ctx, e.record, h.caller, 1900, head+headerLines(8500)+"\r\n")
		}
		return holdAll(ctx, e.record, h.caller, 1900, head+"\r\n"+strings.Repeat("b", 100))
	})
}
