package request

import (
	"net/http"
	"strconv"

	"vanillatally/core/claim"
	"vanillatally/io/backends"
	"vanillatally/io/callers"
)

// connectionHeaders are the headers that concern the connection to the backend server only, and those that only a host may
// set: a backend server must not state that a request was not run.
var connectionHeaders = []string{
	"Connection", "Proxy-Connection", "Keep-Alive", "Transfer-Encoding", "Trailer", "Upgrade", "X-Load", "X-Shed",
	"X-Refusal-Reason", "X-Request-Ran", "X-Request-Replayed", "X-Request-Id",
}

// writeResponse passes the response on to the caller. A response that cannot be completed is aborted.
func writeResponse(x *exchange) error {
	response := x.response
	for _, name := range connectionHeaders {
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
	// A stated length was checked against the body, so that it is passed on without a new header value.
	if _, stated := h["Content-Length"]; !stated && response.RemainingBody == nil && len(response.Trailer) == 0 && x.r.Method != http.MethodHead && bodyAllowed(response.Status) {
		h["Content-Length"] = []string{strconv.Itoa(len(response.Body))}
	}
	if len(response.Trailer) > 0 {
		h.Del("Content-Length")
	}
	if response.RemainingBody == nil {
		// Nothing of this host is needed while a slow caller reads.
		x.releaseConcurrency()
	}
	x.w.WriteHeader(response.Status)
	if _, err := x.w.Write(response.Body); err != nil && x.r.Method != http.MethodHead && bodyAllowed(response.Status) {
		return x.abortResponse()
	}
	if response.RemainingBody != nil {
		if err := callers.Stream(x.w, response.RemainingBody); err != nil {
			return x.abortResponse()
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

// claimResult is what a resend of the request gets.
func claimResult(response *backends.Response) claim.Result {
	if response.RemainingBody != nil || len(response.Body) > claim.MaxBodyBytes {
		return claim.Result{Unknown: true}
	}
	header := response.Header.Clone()
	delete(header, "Date")
	return claim.Result{Status: response.Status, Header: header, Body: response.Body}
}

// abortResponse gives up a response that has begun.
func (x *exchange) abortResponse() error {
	discard(x.response)
	return errResponseAborted
}
