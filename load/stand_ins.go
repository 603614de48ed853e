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

// RegionHeadroom is the mean and the lowest share of a region's slots that were free during the run.
type RegionHeadroom struct {
	Region string  `json:"region"`
	Slots  int     `json:"slots"`
	Mean   float64 `json:"mean"`
	Lowest float64 `json:"lowest"`
}

// StandIns is a client for the control interface of the stand-in backend servers.
type StandIns struct {
	servers []platform.BackendServer
	client  *http.Client

	mu sync.Mutex
	// freeShares holds, for each region, the share of free slots in each sample.
	freeShares map[string][]float64
}

// ConnectStandIns reads the backend servers from the platform list. It makes each of them report requests in which one
// of the teams' API keys appears, since hosts must not forward keys.
func ConnectStandIns(ctx context.Context, profile Profile) (*StandIns, error) {
	platformList, err := platform.Open(profile.PlatformEndpoint)
	if err != nil {
		return nil, err
	}
	servers, err := platformList.BackendServers(ctx)
	if err != nil {
		return nil, err
	}
	s := &StandIns{servers: servers, client: &http.Client{Timeout: 2 * time.Second}, freeShares: map[string][]float64{}}
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

// getJSON reads a path of a server's control interface. It returns the zero value if the server cannot be reached.
func getJSON[Answer any](s *StandIns, server platform.BackendServer, path string) (answer Answer) {
	resp, err := s.client.Get("http://" + server.Address + path)
	if err != nil {
		return answer
	}
	defer func() { _ = resp.Body.Close() }()
	_ = json.NewDecoder(resp.Body).Decode(&answer)
	return answer
}

// SampleLoad samples the number of requests in flight at all servers every interval until ctx ends.
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
	for _, server := range s.servers {
		group.Go(func() error {
			stats := getJSON[map[string]int](s, server, "/control/stats")
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
		s.freeShares[region] = append(s.freeShares[region], 1-float64(used[region])/float64(n))
	}
}

// Headroom returns the headroom of each region, sorted by region.
func (s *StandIns) Headroom() []RegionHeadroom {
	s.mu.Lock()
	defer s.mu.Unlock()
	slots := map[string]int{}
	for _, server := range s.servers {
		slots[server.Region] += server.Slots
	}
	var result []RegionHeadroom
	for region, free := range s.freeShares {
		sum := 0.0
		for _, f := range free {
			sum += f
		}
		result = append(result, RegionHeadroom{region, slots[region], sum / float64(len(free)), slices.Min(free)})
	}
	slices.SortFunc(result, func(a, b RegionHeadroom) int { return strings.Compare(a.Region, b.Region) })
	return result
}

// CountExecutions counts, by idempotency key and by tag, how often the servers executed requests whose tag starts with
// runID. It also returns the places in which servers found API keys.
func (s *StandIns) CountExecutions(runID string) (byKey, byTag map[string]int, leaks []string) {
	byKey, byTag = map[string]int{}, map[string]int{}
	for _, server := range s.servers {
		for _, record := range getJSON[[]backends.RunRecord](s, server, "/control/runs") {
			if !strings.HasPrefix(record.Tag, runID) {
				continue
			}
			byTag[record.Tag]++
			if record.Key != "" {
				byKey[record.Key]++
			}
		}
		for _, leak := range getJSON[[]string](s, server, "/control/seen") {
			leaks = append(leaks, fmt.Sprintf("%s: %s", server.ID, leak))
		}
	}
	return byKey, byTag, leaks
}
