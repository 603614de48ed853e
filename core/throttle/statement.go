package throttle

import "time"

// Statement is what a server said about its limit at a time. It is an immutable value; the zero value is that of a server that
// said nothing.
type Statement struct {
	// PerSecond is the number of requests per second that the server takes from all hosts together, between MinRate and MaxRate,
	// or 0 if the server states no limit.
	PerSecond float64
	// At is the time of the response that said so, since the start of this process.
	At time.Duration
}

// Limited reports whether the server states a limit.
func (s Statement) Limited() bool { return s.PerSecond > 0 }
