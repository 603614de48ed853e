package lookup

import (
	"encoding/json"
	"fmt"
	"net/http"
	"net/netip"
	"net/url"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	"vanillatally/core/steering"
)

// Response is the body of a successful response to GET /v1/lookup.
type Response struct {
	// Hosts lists the hosts to use, best first. If a host cannot be reached, the caller tries the next one.
	Hosts []Host `json:"hosts"`
	// Sites lists the sites of the hosts, best first.
	Sites []string `json:"sites"`
	Route string   `json:"route"`
	// Region is the caller's region, or this host's region if RegionKnown is false.
	Region      string `json:"region"`
	RegionKnown bool   `json:"region-known"`
	// TTLMillis is how long the caller may cache the response, in milliseconds.
	TTLMillis int64 `json:"ttl-ms"`
	// ConfigurationSequence is the sequence number of the configuration that the response is based on.
	ConfigurationSequence uint64 `json:"configuration-sequence"`
}

// Host is a host in a Response.
type Host struct {
	Host          string `json:"host"`
	Address       string `json:"address"`
	Region        string `json:"region"`
	FailureDomain string `json:"failure-domain"`
	Site          string `json:"site"`
}

// Refusal is the body of an error response. Ran is always "not-run", since a lookup changes nothing.
type Refusal struct {
	Reason           string `json:"reason"`
	Ran              string `json:"ran"`
	RetryAfterMillis int64  `json:"retry-after-ms,omitempty"`
	Message          string `json:"message"`
}

// The values of Refusal.Reason and of the header X-Refusal-Reason.
const (
	ReasonMethodNotAllowed = "method-not-allowed"
	ReasonBadQuery         = "bad-query"
	ReasonUnknownQueryKey  = "unknown-query-key"
	ReasonRepeatedQueryKey = "repeated-query-key"
	ReasonMissingRoute     = "missing-route"
	ReasonUnknownRoute     = "unknown-route"
	ReasonUnknownTeam      = "unknown-team"
	ReasonBadAddress       = "bad-address"
	ReasonStarting         = "starting"
	ReasonNoCapacity       = "no-capacity"
)

const (
	// defaultTTL is the default time to live of responses before jitter.
	defaultTTL = 5 * time.Second
	// maxHostsPerSite limits the hosts of one site in a response, so that it has hosts of other sites too.
	maxHostsPerSite = 2
	// maxQueryBytes is the largest accepted length of the query string.
	maxQueryBytes = 2048
)

// bufferPool reuses the buffers in which responses are encoded.
var bufferPool = sync.Pool{New: func() any { b := make([]byte, 0, 2048); return &b }}

func (s *Service) serve(w http.ResponseWriter, r *http.Request) {
	if r.Method != http.MethodGet && r.Method != http.MethodHead {
		w.Header().Set("Allow", "GET, HEAD")
		writeRefusal(w, http.StatusMethodNotAllowed, ReasonMethodNotAllowed, "use GET", 0)
		return
	}
	v := s.view.Load()
	if v == nil {
		writeRefusal(w, http.StatusServiceUnavailable, ReasonStarting,
			"this host has no configuration yet; ask another host", time.Second)
		return
	}
	q, reason, message := parseQuery(r.URL.RawQuery, r.RemoteAddr)
	if reason != "" {
		writeRefusal(w, http.StatusBadRequest, reason, message, 0)
		return
	}
	route := v.findRoute(q.route)
	if route == nil {
		writeRefusal(w, http.StatusBadRequest, ReasonUnknownRoute, fmt.Sprintf("no route has a path prefix of %q", q.route), 0)
		return
	}
	var preferredHosts []string
	if q.team != "" {
		if _, known := v.teams[q.team]; !known {
			writeRefusal(w, http.StatusBadRequest, ReasonUnknownTeam, fmt.Sprintf("there is no team %q", q.team), 0)
			return
		}
		if s.options.HostsWithRateShare != nil {
			preferredHosts = s.options.HostsWithRateShare(q.team)
		}
	}
	key := steering.ClientKey(q.address)
	var ranking steering.Ranking
	snapshot := v.services[route.service]
	snapshot.Rank(steering.Query{
		Client: q.address, FallbackLocation: v.homeLocation + steering.LocationID(key>>32%locationsPerRegion),
	}, steering.MaxRankedSites, &ranking)
	if ranking.Len == 0 {
		writeRefusal(w, http.StatusServiceUnavailable, ReasonNoCapacity,
			"no site has room for this caller", jitter(key, s.options.Now(), time.Second))
		return
	}
	buffer := bufferPool.Get().(*[]byte)
	*buffer = v.appendResponse((*buffer)[:0], route, &ranking, key, preferredHosts, jitter(key, s.options.Now(), s.options.TTL))
	h := w.Header()
	h["Content-Type"] = contentType
	h["Cache-Control"] = noStore
	h.Set("Content-Length", strconv.Itoa(len(*buffer)))
	_, _ = w.Write(*buffer) // the caller may have closed the connection
	bufferPool.Put(buffer)
}

var (
	contentType = []string{"application/json"}
	// noStore keeps HTTP caches from storing a response, since they would serve it to other callers.
	noStore = []string{"no-store"}
)

// query holds the parameters of a lookup.
type query struct {
	route, team string
	address     netip.Addr
}

// parseQuery decodes the query string, or returns the reason and message of a refusal. Without the parameter address,
// it uses the caller's remote address.
func parseQuery(raw, remote string) (q query, reason, message string) {
	if len(raw) > maxQueryBytes {
		return q, ReasonBadQuery, fmt.Sprintf("the query has %d bytes; accepted: at most %d", len(raw), maxQueryBytes)
	}
	values, err := url.ParseQuery(raw)
	if err != nil {
		return q, ReasonBadQuery, err.Error()
	}
	for key, list := range values {
		switch {
		case key != "route" && key != "address" && key != "team":
			return q, ReasonUnknownQueryKey, fmt.Sprintf("unknown key %q; accepted: route, address, team", key)
		case len(list) > 1:
			return q, ReasonRepeatedQueryKey, fmt.Sprintf("key %q is given %d times", key, len(list))
		}
	}
	if q.route, q.team = values.Get("route"), values.Get("team"); q.route == "" {
		return q, ReasonMissingRoute, "the key route is missing"
	}
	address, given := values["address"]
	if !given {
		source, err := netip.ParseAddrPort(remote)
		if err != nil {
			return q, ReasonBadAddress, "the caller's own address is not an IP address; give the key address"
		}
		q.address = source.Addr().Unmap()
		return q, "", ""
	}
	q.address, err = netip.ParseAddr(address[0])
	if err != nil || q.address.Zone() != "" {
		return q, ReasonBadAddress, fmt.Sprintf("%q is not an IPv4 or IPv6 address", address[0])
	}
	q.address = q.address.Unmap()
	return q, "", ""
}

// findRoute returns the route with this name or, if text starts with a slash, with the longest path prefix of text.
func (v *view) findRoute(text string) *routeView {
	path := strings.HasPrefix(text, "/")
	for i := range v.routes {
		if r := &v.routes[i]; path && strings.HasPrefix(text, r.prefix) || !path && r.name == text {
			return r
		}
	}
	return nil
}

// jitter changes d by up to ±20%, so that cached responses do not all expire together. It depends only on the client
// and the current second, so that equal requests within a second get equal responses.
func jitter(key uint64, now, d time.Duration) time.Duration {
	h := (key ^ uint64(now/time.Second)*0x9e3779b97f4a7c15) * 0xff51afd7ed558ccd
	h ^= h >> 32
	part := time.Duration(h % 4001) // 0 to 4000, for 0.8 to 1.2
	return d*8/10 + d*part/10000
}

// appendResponse appends the JSON of a Response to b. It joins parts that are encoded already instead of calling the
// JSON encoder.
func (v *view) appendResponse(
	b []byte, route *routeView, ranking *steering.Ranking, key uint64, preferredHosts []string, ttl time.Duration,
) []byte {
	b = append(b, `{"hosts":[`...)
	needComma := false
	for _, id := range ranking.Sites[:ranking.Len] {
		var chosen [maxHostsPerSite]*hostView
		chooseHosts(v.sites[id].hosts, key, preferredHosts, &chosen)
		for _, host := range chosen {
			if host == nil {
				continue
			}
			if needComma {
				b = append(b, ',')
			}
			b, needComma = append(b, host.jsonEntry...), true
		}
	}
	b = append(b, `],"sites":[`...)
	for i, id := range ranking.Sites[:ranking.Len] {
		if i > 0 {
			b = append(b, ',')
		}
		b = append(b, v.sites[id].jsonName...)
	}
	b = append(append(b, `],"route":`...), route.jsonName...)
	b = append(b, `,"region":`...)
	b = append(b, v.regions[int(ranking.Location)/locationsPerRegion]...)
	b = strconv.AppendBool(append(b, `,"region-known":`...), ranking.Known)
	b = strconv.AppendInt(append(b, `,"ttl-ms":`...), ttl.Milliseconds(), 10)
	b = strconv.AppendUint(append(b, `,"configuration-sequence":`...), v.sequence, 10)
	return append(b, '}', '\n')
}

// chooseHosts writes the site's best hosts for the client to chosen by rendezvous hashing. It puts the preferred hosts
// first: they hold a share of the team's rate, so they can admit requests without borrowing.
func chooseHosts(hosts []hostView, key uint64, preferredHosts []string, chosen *[maxHostsPerSite]*hostView) {
	better := func(x, y *hostView) bool {
		if y == nil {
			return true
		}
		if a, b := slices.Contains(preferredHosts, x.id), slices.Contains(preferredHosts, y.id); a != b {
			return a
		}
		return rendezvousScore(x.hash, key) > rendezvousScore(y.hash, key)
	}
	for i := range hosts {
		h := &hosts[i]
		for place := range chosen {
			if better(h, chosen[place]) {
				h, chosen[place] = chosen[place], h
			}
			if h == nil {
				break
			}
		}
	}
}

// rendezvousScore returns the score of a host for a client; the highest score wins.
func rendezvousScore(host, key uint64) uint64 {
	h := (host ^ key) * 0xff51afd7ed558ccd
	h = (h ^ h>>33) * 0xc4ceb9fe1a85ec53
	return h ^ h>>33
}

// writeRefusal sends an error response.
func writeRefusal(w http.ResponseWriter, status int, reason, message string, retryAfter time.Duration) {
	h := w.Header()
	h["Content-Type"] = contentType
	h["Cache-Control"] = noStore
	h.Set("X-Refusal-Reason", reason)
	h.Set("X-Request-Ran", "not-run")
	if retryAfter > 0 {
		h.Set("Retry-After", strconv.Itoa(int((retryAfter+time.Second-1)/time.Second)))
	}
	w.WriteHeader(status)
	// The caller may have closed the connection.
	_ = json.NewEncoder(w).Encode(Refusal{reason, "not-run", retryAfter.Milliseconds(), message})
}
