// Package share implements distributed rate limiting: it divides a limit that counts over all hosts among them, in proportion
// to the demand that each host sees. It is exact to within the age of the demand reports that hosts exchange, and so suits
// limits that allow for some slack.
package share

import (
	"math"
	"time"
)

// rateTimeConstant is the time constant of the exponential decay of a Rate.
const rateTimeConstant = 1500 * time.Millisecond

// Rate is an exponentially weighted moving average of events per second. It is an immutable value; the zero value has seen no
// events.
type Rate struct {
	perSecond float64
	at        time.Duration
}

// WithEvent returns the rate after one more event.
func (r Rate) WithEvent(now time.Duration) Rate {
	return Rate{perSecond: r.At(now) + 1/rateTimeConstant.Seconds(), at: now}
}

// At returns the rate at a later time.
func (r Rate) At(now time.Duration) float64 { return Decayed(r.perSecond, now-r.at) }

// Decayed returns what is left of a rate per second after age without an event.
func Decayed(perSecond float64, age time.Duration) float64 {
	return perSecond * math.Exp(-float64(age)/float64(rateTimeConstant))
}

const (
	// assumedDemand is the demand in events per second that is added to what each host saw, so that a host that gets its first
	// requests has a share already.
	assumedDemand = 0.5
	// maxAssumedFraction bounds the assumed demand of all hosts together, as a fraction of the limit, since the shares that it
	// gives to idle hosts stay unused.
	maxAssumedFraction = 0.15
)

// ByDemand returns this host's share of a limit of rate per second, in (0, 1], from its own demand, that of the other hosts,
// and the number of hosts that get requests.
func ByDemand(rate, own, others float64, hosts int) float64 {
	n := float64(max(hosts, 1))
	each := min(assumedDemand, maxAssumedFraction*rate/n)
	return (own + each) / (own + others + each*n)
}

// warmupTime is how long a host runs before it knows the demand of all hosts.
const warmupTime = 3 * time.Second

// InWarmup reports whether a host does not know the demand of all hosts yet, age after its start.
func InWarmup(age time.Duration) bool { return age < warmupTime }

const (
	// Demand above jumpFactor times the demand that all others know of, plus minJump requests per second, is a jump.
	jumpFactor = 1.5
	minJump    = 1.0
	// jumpNearLimit is the fraction of a limit from which a jump may take the demand of all hosts to the limit before the others
	// know of it.
	jumpNearLimit = 0.5
)

// Demand is what a host knows of a team's requests per second: its own, what it last reported to the other hosts of that, what
// all of them know of it by now, and the sum of what they reported.
type Demand struct{ Own, Reported, Known, Others float64 }

// Fleet is what a host knows of the fleet: how many hosts may be running, how many get requests, and how many callers are sent
// to, this one included. Serving is needed in the warm-up only; 0 says that it is not known.
type Fleet struct{ Known, Active, Serving int }

// warmupShare returns the largest share of a host that does not know the demand of the others: an equal one among the hosts
// that callers are sent to, since the others get few requests.
func (f Fleet) warmupShare() float64 {
	hosts := f.Known
	if f.Serving > 0 {
		hosts = min(hosts, f.Serving)
	}
	return 1 / float64(max(hosts, 1))
}

// noiseDeviations is the number of standard deviations by which a Rate varies without a change of the demand.
const noiseDeviations = 1.5

// noise returns by how much a Rate of perSecond may exceed an earlier one by chance: events that arrive independently of each
// other give it a variance of perSecond / (2 * rateTimeConstant).
func noise(perSecond float64) float64 {
	return noiseDeviations * math.Sqrt(perSecond/(2*rateTimeConstant.Seconds()))
}

// ForHost returns this host's share of a limit, in (0, 1], at age after its start.
//
// Until the other hosts' reports have arrived, a host sees no demand but its own and would take the whole limit. It therefore
// gets at most an equal share for warmupTime.
//
// Near the limit, and in a jump of its own demand that may lead there, a host counts only the demand that all others know of,
// apart from what varies by chance; in another jump it counts only what it has reported. The others' demand may have jumped
// too, and the shares of all hosts would add up to more than one.
func ForHost(age time.Duration, rate float64, d Demand, f Fleet) float64 {
	own := d.Own
	seen, jumps := d.Own+d.Others, d.Own > jumpFactor*d.Known+minJump
	switch {
	case seen >= farBelowLimit*rate, jumps && seen >= jumpNearLimit*rate:
		own = min(own, d.Reported, d.Known+noise(d.Reported))
	case jumps:
		own = min(own, d.Reported)
	}
	share := ByDemand(rate, own, d.Others, f.Active)
	if InWarmup(age) {
		return min(share, f.warmupShare())
	}
	return share
}

// initialFillTime is the time in which a host's share of the rate would yield the tokens that its bucket starts with. It is
// short since the host doesn't know how many requests its earlier process admitted.
const initialFillTime = 300 * time.Millisecond

// InitialTokens returns the tokens that a bucket with a refill of rate per second starts with.
func InitialTokens(rate float64) float64 { return max(1, rate*initialFillTime.Seconds()) }

const (
	// farBelowLimit is the fraction of a limit up to which the demand of all hosts counts as far below it.
	farBelowLimit = 0.85
	// minOverdraft lets two requests of a team with a low rate arrive together.
	minOverdraft = 2
	// overdraftTime is the time in which a host's share of the rate yields the tokens that its bucket may be overdrawn by.
	overdraftTime = 500 * time.Millisecond
)

// Overdraft returns how many tokens a host may overdraw its part of a limit of rate per second, age after its start. While the
// demand of all hosts is far below the limit, a host's bucket runs dry only because requests arrive unevenly. Refills repay
// the overdraft, so that the sum over all hosts exceeds the limit only for as long as reports take.
func Overdraft(age time.Duration, rate, share, demand float64) float64 {
	if InWarmup(age) || demand >= farBelowLimit*rate {
		return 0
	}
	return max(minOverdraft, rate*share*overdraftTime.Seconds())
}

// TokenBucket is a token bucket that may be overdrawn. It is an immutable value.
type TokenBucket struct {
	tokens float64
	at     time.Duration
}

// NewTokenBucket returns a bucket that holds tokens.
func NewTokenBucket(now time.Duration, tokens float64) TokenBucket {
	return TokenBucket{tokens: tokens, at: now}
}

// Take takes one token after refilling at rate per second up to capacity. The tokens may go down to -overdraft, which later
// refills repay. If no token may be taken, wait is the time until one may.
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
