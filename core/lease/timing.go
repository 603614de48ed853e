// Package lease decides whether a host may use its slots, from renewals by its witnesses.
package lease

import "time"

// Timing are the times of a lease. Holder and witness count them on their own monotonic clocks.
type Timing struct {
	// Nominal is the nominal lifetime of a renewal.
	Nominal time.Duration
	// HolderTTL is the lifetime that the holder counts from the sending of its request. It is shorter than Length,
	// and Witness is longer, so that the holder's ends first when both clocks err by 1%.
	HolderTTL time.Duration
	// WitnessTTL is the silence after which a witness may vote to fence the member.
	WitnessTTL time.Duration
	// RenewInterval is the time between two rounds of renewal requests; two rounds may be lost without harm.
	RenewInterval time.Duration
}

// DefaultTiming returns the terms in use: 1.5 s, shortened by 1% for the holder and extended by 2% for the witness.
func DefaultTiming() Timing {
	const length = 1500 * time.Millisecond
	return Timing{Nominal: length, HolderTTL: length * 99 / 100, WitnessTTL: length * 102 / 100, RenewInterval: length / 3}
}
