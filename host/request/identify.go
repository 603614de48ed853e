package request

import (
	"net/http"
	"net/url"
	"strings"

	"vanillatally/io/callers"
)

// identifyTeam finds the team of the caller's API key, and removes API keys from everything that is forwarded to a backend
// server.
func identifyTeam(x *exchange) error {
	x.callerRequestID = x.r.Header.Get("X-Request-Id")
	x.configuration = x.service.configuration()
	if x.configuration == nil {
		return callers.Refuse(http.StatusServiceUnavailable, "no-configuration", "this host has no configuration yet").
			WithRetryAfter(defaultRetryAfter)
	}
	authorization := x.r.Header.Get("Authorization")
	if scheme, token, ok := strings.Cut(authorization, " "); ok && strings.EqualFold(scheme, "Bearer") {
		x.apiKey = strings.TrimSpace(token)
		x.lookUpTeam()
	}
	if x.apiKey != "" && (strings.Contains(x.r.URL.Path, x.apiKey) || strings.Contains(x.r.Host, x.apiKey)) {
		return callers.Refuse(http.StatusBadRequest, "key-in-path", "the path must not contain the key")
	}
	x.stripKeyHeaders()
	x.stripKeyParameters()
	return x.next()
}

// lookUpTeam sets the team of the API key according to the request's configuration.
func (x *exchange) lookUpTeam() {
	x.effectiveTeam, x.team = nil, ""
	if team, known := x.configuration.TeamByAPIKey(x.apiKey); known {
		x.effectiveTeam, x.team = team, team.Name
	}
}

// stripKeyHeaders removes hop-by-hop headers and every header that contains an API key. Request trailers are never forwarded.
func (x *exchange) stripKeyHeaders() {
	h := x.r.Header
	callers.StripHopByHopHeaders(h)
	x.r.Trailer = nil
	for name, values := range h {
		for _, value := range values {
			if x.containsKey(value) {
				delete(h, name)
				break
			}
		}
	}
}

// maxKeyLength bounds the header values that are looked up as API keys. The configuration cannot tell how long a key is, since
// it has only hashes of keys.
const maxKeyLength = 256

// containsKey reports whether text contains the request's API key or is the API key of any team.
func (x *exchange) containsKey(text string) bool {
	if x.apiKey != "" && strings.Contains(text, x.apiKey) {
		return true
	}
	if len(text) < 8 || len(text) > maxKeyLength || strings.ContainsAny(text, " ,;") {
		return false
	}
	_, known := x.configuration.TeamByAPIKey(text)
	return known
}

// stripKeyParameters removes each query parameter that contains an API key.
func (x *exchange) stripKeyParameters() {
	raw := x.r.URL.RawQuery
	if raw == "" {
		return
	}
	var kept []string
	removed := false
	for pair := range strings.SplitSeq(raw, "&") {
		name, value, _ := strings.Cut(pair, "=")
		if x.containsKey(queryUnescape(value)) || x.containsKey(queryUnescape(name)) {
			removed = true
			continue
		}
		kept = append(kept, pair)
	}
	if removed {
		x.r.URL.RawQuery = strings.Join(kept, "&")
	}
}

// queryUnescape decodes text, or returns it as it is when it is not validly encoded.
func queryUnescape(text string) string {
	if !strings.ContainsAny(text, "%+") {
		return text
	}
	decoded, err := url.QueryUnescape(text)
	if err != nil {
		return text
	}
	return decoded
}
