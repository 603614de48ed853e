package callers

import (
	"net/http"
	"strings"
)

// hopByHopHeaders lists the hop-by-hop headers of RFC 9110 and Authorization, whose credentials are meant for the host.
var hopByHopHeaders = []string{
	"Authorization", "Proxy-Authorization", "Connection", "Proxy-Connection", "Keep-Alive", "Te", "Trailer",
	"Transfer-Encoding", "Upgrade", "Expect", "Proxy-Authenticate",
}

// StripHopByHopHeaders removes the headers that a proxy must not forward: hop-by-hop headers, the headers that Connection
// lists, and credentials.
func StripHopByHopHeaders(h http.Header) {
	for _, line := range h["Connection"] {
		for name := range strings.SplitSeq(line, ",") {
			h.Del(strings.TrimSpace(name))
		}
	}
	for _, name := range hopByHopHeaders {
		delete(h, name)
	}
}
