// Package lease implements the lease under which a host uses its slots. Other hosts, its witnesses, renew the lease.
// When all of them have had no renewal request for long enough, they may vote to fence the host, which removes it from
// the ledger. Its functions do no input or output.
package lease

import "time"

// Timing holds the durations of a lease. Holder and witness measure them on their own monotonic clocks.
type Timing struct {
	// Nominal is the lifetime of a renewal without the margins for clock error.
	Nominal time.Duration
	// HolderTTL is how long the holder uses the lease, counted from sending its renewal request. It is shorter than
	// Nominal and WitnessTTL is longer, so that the lease ends at the holder first when both clocks err by 1%.
	HolderTTL time.Duration
	// WitnessTTL is the time without renewal requests after which a witness may vote to fence the member.
	WitnessTTL time.Duration
	// RenewInterval is the time between rounds of renewal requests. The lease survives the loss of two rounds.
	RenewInterval time.Duration
}

// DefaultTiming returns the timing for production: 1.5 s, shortened by 1% for the holder and extended by 2% for the
// witness.
func DefaultTiming() Timing {
	const length = 1500 * time.Millisecond
	return Timing{Nominal: length, HolderTTL: length * 99 / 100, WitnessTTL: length * 102 / 100, RenewInterval: length / 3}
}
