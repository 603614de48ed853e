package request

import (
	"net/http"
	"strconv"

	"vanillatally/core/claim"
	"vanillatally/io/backends"
	"vanillatally/io/callers"
)

// unforwardedHeaders are the response headers that are not forwarded: those of the connection to the backend server, and those
// that only a host may set. A backend server must not state that a request was not run.
var unforwardedHeaders = []string{
	"Connection", "Proxy-Connection", "Keep-Alive", "Transfer-Encoding", "Trailer", "Upgrade", "X-Load", "X-Shed",
	"X-Refusal-Reason", "X-Request-Ran", "X-Request-Replayed", "X-Request-Id",
}

// writeResponse forwards the backend server's response to the caller. If that fails midway, it aborts the response.
func writeResponse(x *exchange) error {
	response := x.response
	// Closes the server's connection if the response was not read to its end, also when a write panics.
	defer discard(response)
	for _, name := range unforwardedHeaders {
		delete(response.Header, name)
	}
	x.status = response.Status
	if x.openClaim != nil {
		x.finishClaim(claimResult(x.response))
	}
	h := x.w.Header()
	for name, values := range response.Header {
		h[name] = values
	}
	if x.callerRequestID != "" {
		h["X-Request-Id"] = []string{x.callerRequestID}
	}
	// Content-Length was checked against the body before, so it is forwarded as it is.
	if _, hasLength := h["Content-Length"]; !hasLength && response.RemainingBody == nil && len(response.Trailer) == 0 &&
		x.r.Method != http.MethodHead && bodyAllowed(response.Status) {
		h["Content-Length"] = []string{strconv.Itoa(len(response.Body))}
	}
	if len(response.Trailer) > 0 {
		h.Del("Content-Length")
	}
	if response.RemainingBody == nil {
		// The time in which a slow caller reads the response does not count against the concurrency limit.
		x.releaseConcurrency()
	}
	x.w.WriteHeader(response.Status)
	if _, err := x.w.Write(response.Body); err != nil && x.r.Method != http.MethodHead && bodyAllowed(response.Status) {
		return errResponseAborted
	}
	if response.RemainingBody != nil {
		if err := callers.Stream(x.w, response.RemainingBody, nil); err != nil {
			return errResponseAborted
		}
	}
	for name, values := range response.Trailer {
		h[http.TrailerPrefix+name] = values
	}
	return x.next()
}

func bodyAllowed(status int) bool {
	return status != http.StatusNoContent && status != http.StatusNotModified
}

// claimResult returns the result to store with the claim, from which resends of the request are answered.
func claimResult(response *backends.Response) claim.Result {
	if response.RemainingBody != nil || len(response.Body) > claim.MaxBodyBytes {
		return claim.Result{Unknown: true}
	}
	header := response.Header.Clone()
	delete(header, "Date")
	return claim.Result{Status: response.Status, Header: header, Body: response.Body}
}
