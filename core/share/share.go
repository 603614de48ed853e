// Package share divides a limit that counts over all hosts by the demand that each host sees. It is exact to within the
// age of the reports that hosts exchange, so that it fits limits whose bound states a slack.
package share

import (
	"math"
	"time"
)

// memory is the time constant with which a rate forgets.
const memory = 1500 * time.Millisecond

// Rate is a smoothed number of events per second. It is an immutable value; the zero value has seen nothing.
type Rate struct {
	perSecond float64
	at        time.Duration
}

// WithEvent returns the rate after one more event.
func (r Rate) WithEvent(now time.Duration) Rate {
	return Rate{perSecond: r.At(now) + 1/memory.Seconds(), at: now}
}

// At returns the rate at a later time.
func (r Rate) At(now time.Duration) float64 { return Decayed(r.perSecond, now-r.at) }

// Decayed returns what a rate per second has become after age without an event.
func Decayed(perSecond float64, age time.Duration) float64 {
	return perSecond * math.Exp(-float64(age)/float64(memory))
}

const (
	// doubt is the demand in events per second that each host is assumed to have beyond what it saw, so that a host whose
	// demand begins has a share already.
	doubt = 0.5
	// maxDoubt bounds the doubt about all hosts together, as a part of the limit: the shares of many idle hosts are lost.
	maxDoubt = 0.15
)

// ByDemand returns this host's part of a limit of rate per second, in (0, 1], from its own demand, that of the others, and the
// number of hosts that get requests.
func ByDemand(rate, own, others float64, hosts int) float64 {
	n := float64(max(hosts, 1))
	each := min(doubt, maxDoubt*rate/n)
	return (own + each) / (own + others + each*n)
}

// demandKnown is the time after the start of a host from which it knows the demand of all hosts.
const demandKnown = 3 * time.Second

// jump times the demand that was told, and jumpLeast requests per second more, is a jump.
const (
	jump      = 1.5
	jumpLeast = 1.0
)

// Demand is what a host knows of a team's requests per second: its own, what it told the other hosts of that last, and the
// sum of what they told.
type Demand struct{ Own, Reported, Others float64 }

// Fleet is what a host knows of the fleet: the hosts that may be running, and those that get requests, this one included.
type Fleet struct{ Known, Active int }

// ForHost returns this host's part of a limit age after its start. Until the reports of the others have come, every host would take
// itself for the only one. Near the limit and in a jump only what was told counts, so that the parts of all hosts do not exceed
// one together: the others' demand may have jumped too.
func ForHost(age time.Duration, rate float64, d Demand, f Fleet) float64 {
	own := d.Own
	if d.Own+d.Others >= calm*rate || d.Own > jump*d.Reported+jumpLeast {
		own = min(own, d.Reported)
	}
	part := ByDemand(rate, own, d.Others, f.Active)
	if age < demandKnown {
		return min(part, 1/float64(max(f.Known, 1)))
	}
	return part
}

// startTime is the time at a host's part of the rate that a bucket holds at first, since the host does not know what its
// earlier process admitted.
const startTime = 300 * time.Millisecond

// InitialTokens returns the tokens of a bucket with a refill of rate per second at its start.
func InitialTokens(rate float64) float64 { return max(1, rate*startTime.Seconds()) }

const (
	// calm is the part of a limit below which the demand of all hosts is far from it.
	calm = 0.85
	// minOverdraft lets two requests of a slow team come together.
	minOverdraft = 2
	// overdraftTime is the time at a host's part of the rate that its bucket may be overdrawn by.
	overdraftTime = 500 * time.Millisecond
)

// Overdraft is how far a host may overdraw its part of a limit of rate per second age after its start. While the demand of all
// hosts is far from the limit, a host's bucket runs dry only because requests come unevenly. What is overdrawn is repaid, so
// that the sum over all hosts exceeds the limit for as long as reports take.
func Overdraft(age time.Duration, rate, part, demand float64) float64 {
	if age < demandKnown || demand >= calm*rate {
		return 0
	}
	return max(minOverdraft, rate*part*overdraftTime.Seconds())
}

// TokenBucket holds tokens. It is an immutable value.
type TokenBucket struct {
	tokens float64
	at     time.Duration
}

// NewTokenBucket returns a bucket with tokens.
func NewTokenBucket(now time.Duration, tokens float64) TokenBucket {
	return TokenBucket{tokens: tokens, at: now}
}

// Take takes one token after refilling at rate per second up to capacity. The bucket may go down to -overdraft, which
// later refills repay. When no token may be taken, wait is the time until one is there.
func (b TokenBucket) Take(now time.Duration, rate, capacity, overdraft float64) (after TokenBucket, ok bool, wait time.Duration) {
	tokens := min(capacity, b.tokens+rate*(now-b.at).Seconds())
	if tokens >= 1-overdraft {
		return TokenBucket{tokens: tokens - 1, at: now}, true, 0
	}
	if rate > 0 {
		wait = time.Duration((1 - overdraft - tokens) / rate * float64(time.Second))
	}
	return TokenBucket{tokens: tokens, at: now}, false, wait
}
