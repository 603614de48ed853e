// Package lease decides whether a host may use its slots, from renewals by its witnesses.
package lease

import "time"

// Terms are the times of a lease. Holder and witness count them on their own monotonic clocks.
type Terms struct {
	// Length is the nominal lifetime of a renewal.
	Length time.Duration
	// Holder is the lifetime that the holder counts from the sending of its request. It is shorter than Length,
	// and Witness is longer, so that the holder's ends first when both clocks err by 1%.
	Holder time.Duration
	// Witness is the silence after which a witness may vote to fence the member.
	Witness time.Duration
	// Renew is the time between two rounds of renewal requests; two rounds may be lost without harm.
	Renew time.Duration
}

// Default returns the terms in use: 1.5 s, shortened by 1% for the holder and extended by 2% for the witness.
func Default() Terms {
	const length = 1500 * time.Millisecond
	return Terms{Length: length, Holder: length * 99 / 100, Witness: length * 102 / 100, Renew: length / 3}
}
