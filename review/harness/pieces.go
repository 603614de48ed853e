package main

import (
	"bufio"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

// The sizes of the case. pieceTimeout is TimeoutMs of the route, pieceMargin the half second of the rule.
const (
	pieceClients   = 64
	pieceInstances = 8
	pieceLength    = 40 * time.Second
	pieceTimeout   = 2 * time.Second
	pieceMargin    = 500 * time.Millisecond
	// piecePath is the length of the path, so that the request line and headers stay far below MaxHeaderBytes.
	piecePath = 6000
)

// pieces plays clients whose requests have a long path, and whose bytes arrive in small pieces within a fraction of
// HeaderTimeoutMs. Rule DENIED: at most 5 + one in 500 of all requests are ended with a 4xx of the host's own, other than 408,
// 421 and 429, though they are proper and allowed.
func pieces(r *run) ([]string, error) {
	r.putManifest("r7", []manifestService{{Name: "finder", HealthPath: "/health", MaxConns: 330}}, []manifestRoute{
		{
			Name: "search", PathPrefix: "/search/", Kind: "safe", Service: "finder",
			TimeoutMs: int(pieceTimeout.Milliseconds()), TargetLatencyMs: 600, Priority: 2, MaxAttempts: 2,
		},
	})
	for n := range pieceInstances {
		i, err := r.startInstance(fmt.Sprintf("i-%d", n), "", instanceOptions{
			service: "finder", zone: "muscat-a", slots: 6, queue: 18, work: 100 * time.Millisecond,
		})
		if err != nil {
			return nil, err
		}
		defer i.end()
	}
	if err := r.startReadyHosts(1, hostSettings{region: "gulf", zone: "muscat-a", memoryMB: 284}); err != nil {
		return nil, err
	}
	time.Sleep(stableWindow)
	end := time.Now().Add(pieceLength)
	var all calls
	var clients sync.WaitGroup
	for n := range pieceClients {
		clients.Go(func() {
			random := rand.New(rand.NewPCG(uint64(n), 7))
			for time.Now().Before(end) {
				all.add(r.sendInPieces(r.hosts[0], fmt.Sprintf("slow%d", n), random))
				time.Sleep(300 * time.Millisecond)
			}
		})
	}
	clients.Wait()
	return r.checkPieces(all.list()), nil
}

// sendInPieces sends a request on a new channel and waits for its answer, well beyond the route's TimeoutMs. Without the
// disruption it is sent in one piece.
func (r *run) sendInPieces(host *hostProcess, name string, random *rand.Rand) (k call) {
	k = call{attempt: fmt.Sprintf("%s-%04d", name, attempts.Add(1)), sent: r.now()}
	defer func() { k.ended = r.now() }()
	text := fmt.Sprintf("GET /search/%s HTTP/1.1\r\nHost: %s\r\nAttempt-Id: %s\r\nDeadline-Ms: 4000\r\nKey: %s\r\n\r\n",
		strings.Repeat("qanun", piecePath/5), virtualHost, k.attempt, firstKey)
	var conn net.Conn
	conn, k.err = net.DialTimeout("tcp4", host.caller, time.Second)
	if k.err != nil {
		return k
	}
	defer func() { _ = conn.Close() }()
	for rest := text; rest != "" && k.err == nil; {
		size := len(rest)
		if r.trouble {
			size = min(size, 40+random.IntN(80))
		}
		_, k.err = io.WriteString(conn, rest[:size])
		rest = rest[size:]
		if rest != "" {
			time.Sleep(2 * time.Millisecond)
		}
	}
	r.note("client %s has sent %s, %d bytes, in %v", name, k.attempt, len(text), (r.now() - k.sent).Round(time.Millisecond))
	k.sent = r.now()
	_ = conn.SetReadDeadline(time.Now().Add(10 * time.Second))
	var response *http.Response
	if k.err == nil {
		response, k.err = http.ReadResponse(bufio.NewReader(conn), nil)
	}
	if k.err == nil {
		var body []byte
		body, k.err = io.ReadAll(response.Body)
		k.status, k.valid = response.StatusCode, response.Header.Get("Server-Seal") == seal(k.attempt, string(body))
	}
	r.note("client %s: %s ends %v after its last byte was sent: status %s, valid seal: %v, error: %v", name, k.attempt,
		(r.now() - k.sent).Round(time.Millisecond), strconv.Itoa(k.status), k.valid, k.err)
	return k
}

// checkPieces applies the rule to the clients' requests. The time is counted from the last byte of a request.
func (r *run) checkPieces(all []call) (breaches []string) {
	denied, unanswered, late, closed := 0, 0, 0, 0
	for _, k := range all {
		if k.status >= 300 && k.status < 500 && !k.valid && k.status != http.StatusRequestTimeout &&
			k.status != http.StatusMisdirectedRequest && k.status != http.StatusTooManyRequests {
			denied++
		}
		if k.status == 0 {
			closed++
		}
		if k.ended-k.sent >= pieceTimeout {
			unanswered++
		}
		if k.ended-k.sent > pieceTimeout+pieceMargin {
			late++
		}
	}
	most := 5 + float64(len(all))/500
	r.note("of %d requests, %d got a 3xx or 4xx of the host's own (bound %.1f), %d ended without an answer; %d were unanswered at "+
		"TimeoutMs, %d of them still %v later", len(all), denied, most, closed, unanswered, late, pieceMargin)
	if float64(denied) > most {
		breaches = append(breaches, fmt.Sprintf("DENIED: %d of %d proper requests got a 4xx of the host's own, bound %.1f; %d were "+
			"unanswered at TimeoutMs, %d of them still %v later", denied, len(all), most, unanswered, late, pieceMargin))
	}
	return breaches
}
