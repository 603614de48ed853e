package backends

import (
	"net/http"
	"strings"

	"github.com/cockroachdb/errors"
)

const (
	minInformationalStatus = 100
	minResponseStatus      = 200
	maxResponseStatus      = 599
)

// IsResponseStatus reports whether a response with this status is the response to a request. Other statuses must not reach a
// caller; net/http panics when it writes one below 100 or above 999.
func IsResponseStatus(status int) bool {
	return status >= minResponseStatus && status <= maxResponseStatus
}

// checkStatus returns an error unless the status line of head says that it is the response to a request, or an informational
// response that precedes it. http.ReadResponse has removed spaces before the status.
func checkStatus(head *http.Response) (informational bool, err error) {
	text, _, _ := strings.Cut(head.Status, " ")
	informational = head.StatusCode >= minInformationalStatus && head.StatusCode < minResponseStatus &&
		// No request asks for another protocol.
		head.StatusCode != http.StatusSwitchingProtocols
	if !isThreeDigits(text) || !informational && !IsResponseStatus(head.StatusCode) {
		return false, errors.Newf("status %q is not that of a response: three digits, %d to %d", text, minResponseStatus, maxResponseStatus)
	}
	return informational, nil
}

// isThreeDigits also rejects signs, which http.ReadResponse accepts.
func isThreeDigits(text string) bool {
	return len(text) == 3 && strings.Trim(text, "0123456789") == ""
}
