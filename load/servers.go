package load

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"slices"
	"strings"
	"sync"
	"time"

	"golang.org/x/sync/errgroup"

	"vanillatally/io/backends"
	"vanillatally/io/platform"
)

// RegionHeadroom is the part of a region's slots that was free.
type RegionHeadroom struct {
	Region string  `json:"region"`
	Slots  int     `json:"slots"`
	Mean   float64 `json:"mean"`
	Lowest float64 `json:"lowest"`
}

// StandIns reads the control interface of the stand-in backend servers.
type StandIns struct {
	list   []platform.BackendServer
	client *http.Client

	mu sync.Mutex
	// free holds the free share of each region's slots at each sampling.
	free map[string][]float64
}

// ConnectStandIns reads the platform list and makes every server look for the teams' keys.
func ConnectStandIns(ctx context.Context, profile Profile) (*StandIns, error) {
	list, err := platform.Open(profile.PlatformEndpoint)
	if err != nil {
		return nil, err
	}
	servers, err := list.BackendServers(ctx)
	if err != nil {
		return nil, err
	}
	s := &StandIns{list: servers, client: &http.Client{Timeout: 2 * time.Second}, free: map[string][]float64{}}
	var keys []string
	for _, t := range profile.Teams {
		keys = append(keys, t.Key)
	}
	body, err := json.Marshal(keys)
	if err != nil {
		return nil, err
	}
	for _, server := range servers {
		resp, err := s.client.Post("http://"+server.Address+"/control/watch", "application/json", bytes.NewReader(body))
		if err != nil {
			return nil, err
		}
		_ = resp.Body.Close()
	}
	return s, nil
}

// get decodes one control answer; a server that is down gives the zero value.
func get[Answer any](s *StandIns, server platform.BackendServer, path string) (answer Answer) {
	resp, err := s.client.Get("http://" + server.Address + path)
	if err != nil {
		return answer
	}
	defer func() { _ = resp.Body.Close() }()
	_ = json.NewDecoder(resp.Body).Decode(&answer)
	return answer
}

// SampleLoad reads the requests in flight every interval until ctx ends.
func (s *StandIns) SampleLoad(ctx context.Context, interval time.Duration) {
	ticker := time.NewTicker(interval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			s.sampleOnce()
		}
	}
}

func (s *StandIns) sampleOnce() {
	used, slots := map[string]int{}, map[string]int{}
	var mu sync.Mutex
	group := &errgroup.Group{}
	group.SetLimit(8)
	for _, server := range s.list {
		group.Go(func() error {
			stats := get[map[string]int](s, server, "/control/stats")
			mu.Lock()
			defer mu.Unlock()
			used[server.Region] += stats["in-flight"]
			slots[server.Region] += server.Slots
			return nil
		})
	}
	_ = group.Wait()
	s.mu.Lock()
	defer s.mu.Unlock()
	for region, n := range slots {
		s.free[region] = append(s.free[region], 1-float64(used[region])/float64(n))
	}
}

// Headroom sums up the samples for each region.
func (s *StandIns) Headroom() []RegionHeadroom {
	s.mu.Lock()
	defer s.mu.Unlock()
	slots := map[string]int{}
	for _, server := range s.list {
		slots[server.Region] += server.Slots
	}
	var result []RegionHeadroom
	for region, free := range s.free {
		sum := 0.0
		for _, f := range free {
			sum += f
		}
		result = append(result, RegionHeadroom{region, slots[region], sum / float64(len(free)), slices.Min(free)})
	}
	slices.SortFunc(result, func(a, b RegionHeadroom) int { return strings.Compare(a.Region, b.Region) })
	return result
}

// CountExecutions counts the runs of the requests whose tag starts with run, by idempotency key and by tag,
// and returns where a server saw a key.
func (s *StandIns) CountExecutions(run string) (byKey, byTag map[string]int, seen []string) {
	byKey, byTag = map[string]int{}, map[string]int{}
	for _, server := range s.list {
		for _, r := range get[[]backends.RunRecord](s, server, "/control/runs") {
			if !strings.HasPrefix(r.Tag, run) {
				continue
			}
			byTag[r.Tag]++
			if r.Key != "" {
				byKey[r.Key]++
			}
		}
		for _, place := range get[[]string](s, server, "/control/seen") {
			seen = append(seen, fmt.Sprintf("%s: %s", server.ID, place))
		}
	}
	return byKey, byTag, seen
}
