package entry

import (
	"context"
	"net/http"
	"net/url"
	"strconv"
	"time"

	"vanillatally/io/backends"
	"vanillatally/io/events"
)

const (
	// probeTimeout bounds the duration of one probe.
	probeTimeout = time.Second
	// maxConcurrentProbes bounds the number of servers that are probed at the same time.
	maxConcurrentProbes = 64
)

// markServerDown records that a server could not be reached, and probes it until it answers or leaves the list.
func (h *Host) markServerDown(s *server, now time.Duration) {
	s.mu.Lock()
	probing := s.probing
	s.probing = true
	s.mu.Unlock()
	s.recordDown(now)
	if probing {
		return
	}
	h.log.EmitRateLimited(events.ServerUnreachable, s.ID, "server", s.ID, "service", s.Service, "failure-domain", s.FailureDomain)
	h.metrics.Count("servers-down", "", "", "", 1)
	if !h.probes.TryGo(func() error { h.probeUntilUp(s); return nil }) {
		// Too many probes are running. A request will try the server again after its pause.
		s.mu.Lock()
		s.probing = false
		s.mu.Unlock()
	}
}

// probeUntilUp probes the server until it answers, is no longer listed, or the host stops.
func (h *Host) probeUntilUp(s *server) {
	defer func() {
		s.mu.Lock()
		s.probing, s.downUntil = false, 0
		s.mu.Unlock()
	}()
	for {
		pause := s.recordDown(h.now())
		select {
		case <-h.stopping:
			return
		case <-time.After(pause):
		}
		if h.listedServer(s.ID) != s {
			return
		}
		if h.probe(s) {
			h.log.EmitRateLimited(events.ServerReachable, s.ID, "server", s.ID, "service", s.Service)
			return
		}
	}
}

// listedServer returns the server with this ID, or nil if none is listed.
func (h *Host) listedServer(id string) *server {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.servers[id]
}

// probe sends a health check to the server, and reports whether the server may get requests.
func (h *Host) probe(s *server) bool {
	v := h.view.Load()
	if v.configuration == nil {
		return false
	}
	path := v.configuration.Services[s.Service].HealthPath
	if path == "" {
		return true
	}
	h.metrics.Count("probes", "", "", "", 1)
	ctx, cancel := context.WithTimeout(context.Background(), probeTimeout)
	defer cancel()
	response, failure := h.client.Do(ctx, s.Address, &backends.Request{
		HTTP: &http.Request{
			Method: http.MethodGet, URL: &url.URL{Scheme: "http", Host: s.Address, Path: path}, Host: s.Address,
			Header: http.Header{"User-Agent": {""}}, Proto: "HTTP/1.1", ProtoMajor: 1, ProtoMinor: 1, Body: http.NoBody,
		},
		Deadline: time.Now().Add(probeTimeout),
		// Only the headers matter.
		Reserve: func(int) bool { return false },
	})
	if failure != nil {
		return false
	}
	discardResponse(response)
	if response.Status != http.StatusOK || response.Header.Get(h.headerNames.ServerID) != s.ID {
		return false
	}
	h.serverLimits.recordResponse(h.now(), s, response.Header, false)
	if coldFor, err := strconv.ParseInt(response.Header.Get(h.headerNames.ColdFor), 10, 64); err == nil && coldFor > 0 {
		now := h.now()
		left := time.Duration(min(coldFor, maxColdTime.Milliseconds())) * time.Millisecond
		h.coldNotices.record(now, s.incarnation, now+left, fromResponse)
	}
	return true
}
