// Package throttle keeps the requests that all hosts together send to one backend server within the rate that the server
// states in its responses. A server states a rate when it is in need, and takes no more requests for as long as it does.
package throttle

import (
	"strconv"
	"strings"

	"github.com/cockroachdb/errors"
)

const (
	// MinRate is the lowest rate in force, in requests per second. A server with a lower one, or with 0, still gets a request
	// now and then, because only its responses show the end of the limit.
	MinRate = 0.2
	// MaxRate is the highest rate in force, in requests per second.
	MaxRate = 100_000
	// maxRateLength is the length of the longest rate that is parsed.
	maxRateLength = 32
)

// The errors of ParseRate.
var (
	// ErrMalformed: the text is not a decimal number of 0 or more.
	ErrMalformed = errors.New("the rate is not a decimal number")
	// ErrOutOfRange: the rate is not between MinRate and MaxRate; the nearest bound is returned with the error.
	ErrOutOfRange = errors.New("the rate is out of range")
)

// ParseRate parses a stated rate, a decimal number of requests per second without sign and exponent.
func ParseRate(text string) (perSecond float64, err error) {
	defer func() { err = errors.Wrap(err, "parse a stated rate") }()
	text = strings.TrimSpace(text)
	if len(text) > maxRateLength || strings.Trim(text, "0123456789.") != "" {
		return 0, ErrMalformed
	}
	perSecond, parseErr := strconv.ParseFloat(text, 64)
	switch {
	case parseErr != nil:
		return 0, ErrMalformed
	case perSecond < MinRate:
		return MinRate, ErrOutOfRange
	case perSecond > MaxRate:
		return MaxRate, ErrOutOfRange
	}
	return perSecond, nil
}
