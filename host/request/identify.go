package request

import (
	"net/http"
	"net/url"
	"strings"

	"vanillatally/io/callers"
)

// identify finds the team of the caller's key and removes the key from everything that a backend server gets.
func identify(x *exchange) error {
	x.callerID = x.r.Header.Get("X-Request-Id")
	x.configuration = x.service.configuration()
	if x.configuration == nil {
		return callers.Refuse(http.StatusServiceUnavailable, "no-configuration", "this host has no configuration yet").
			WithRetryAfter(retryLater)
	}
	authorization := x.r.Header.Get("Authorization")
	if scheme, token, ok := strings.Cut(authorization, " "); ok && strings.EqualFold(scheme, "Bearer") {
		x.token = strings.TrimSpace(token)
		x.findTeam()
	}
	if x.token != "" && (strings.Contains(x.r.URL.Path, x.token) || strings.Contains(x.r.Host, x.token)) {
		return callers.Refuse(http.StatusBadRequest, "key-in-path", "the path must not contain the key")
	}
	x.stripHeader()
	x.stripQuery()
	return x.next()
}

// findTeam looks the key up in the request's configuration.
func (x *exchange) findTeam() {
	x.effective, x.team = nil, ""
	if team, known := x.configuration.TeamByAPIKey(x.token); known {
		x.effective, x.team = team, team.Name
	}
}

// stripHeader removes hop-by-hop headers and every header that contains a key. Request trailers are never passed on.
func (x *exchange) stripHeader() {
	h := x.r.Header
	callers.StripHopByHopHeaders(h)
	x.r.Trailer = nil
	for name, values := range h {
		for _, value := range values {
			if x.isKey(value) {
				delete(h, name)
				break
			}
		}
	}
}

// maxKeyLength bounds the values that are compared with the keys; validation of the configuration cannot
// know the length of a key, since it sees hashes only.
const maxKeyLength = 256

// isKey reports whether text contains the request's key, or is any team's key.
func (x *exchange) isKey(text string) bool {
	if x.token != "" && strings.Contains(text, x.token) {
		return true
	}
	if len(text) < 8 || len(text) > maxKeyLength || strings.ContainsAny(text, " ,;") {
		return false
	}
	_, known := x.configuration.TeamByAPIKey(text)
	return known
}

// stripQuery removes each query parameter that contains a key.
func (x *exchange) stripQuery() {
	raw := x.r.URL.RawQuery
	if raw == "" {
		return
	}
	var kept []string
	removed := false
	for pair := range strings.SplitSeq(raw, "&") {
		name, value, _ := strings.Cut(pair, "=")
		if x.isKey(unescape(value)) || x.isKey(unescape(name)) {
			removed = true
			continue
		}
		kept = append(kept, pair)
	}
	if removed {
		x.r.URL.RawQuery = strings.Join(kept, "&")
	}
}

// unescape decodes text; an undecodable text is compared as it is.
func unescape(text string) string {
	if !strings.ContainsAny(text, "%+") {
		return text
	}
	decoded, err := url.QueryUnescape(text)
	if err != nil {
		return text
	}
	return decoded
}
