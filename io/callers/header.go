package callers

import (
	"net/http"
	"strings"
)

// hopByHop are the headers that concern one connection only, and those that carry credentials for a host.
var hopByHop = []string{
	"Authorization", "Proxy-Authorization", "Connection", "Proxy-Connection", "Keep-Alive", "Te", "Trailer",
	"Transfer-Encoding", "Upgrade", "Expect", "Proxy-Authenticate",
}

// StripHopByHopHeaders removes the headers that a host must not pass on: those that concern one connection only, those
// that Connection lists, and credentials.
func StripHopByHopHeaders(h http.Header) {
	for _, line := range h["Connection"] {
		for name := range strings.SplitSeq(line, ",") {
			h.Del(strings.TrimSpace(name))
		}
	}
	for _, name := range hopByHop {
		delete(h, name)
	}
}
