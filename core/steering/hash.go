package steering

import (
	"encoding/binary"
	"math"
	"math/bits"
	"net/netip"
)

// splitMix64 is the finalizer of the SplitMix64 generator: every bit of the result depends on every bit of x.
func splitMix64(x uint64) uint64 {
	x = (x ^ x>>30) * 0xbf58476d1ce4e5b9
	x = (x ^ x>>27) * 0x94d049bb133111eb
	return x ^ x>>31
}

// ClientKey returns the hash that identifies a client: that of its IPv4 address, or of the /64 of its IPv6 address,
// because machines change the lower half of their IPv6 addresses by themselves (privacy extensions).
func ClientKey(client netip.Addr) uint64 {
	if client.Is4() {
		b := client.As4()
		return splitMix64(uint64(binary.BigEndian.Uint32(b[:])) + 0x9e3779b97f4a7c15)
	}
	b := client.As16()
	return splitMix64(binary.BigEndian.Uint64(b[:8]) ^ 0xd1b54a32d192ed03)
}

// logTableBits is the number of mantissa bits that select an entry of logTable.
const logTableBits = 8

// logTable holds log2(1+i/256) for linear interpolation.
var logTable = func() (t [1<<logTableBits + 1]float32) {
	for i := range t {
		t[i] = float32(math.Log2(1 + float64(i)/(1<<logTableBits)))
	}
	return t
}()

// minExponential keeps the numbers above 0, so that their product with an infinite inverse capacity is infinite and not
// NaN.
const minExponential = 1e-7

// exponential maps a uniform hash to an exponentially distributed number, -log2(h/2^64). It interpolates in a table,
// because math.Log took most of a decision's time; the error is below 3e-6.
func exponential(h uint64) float32 {
	zeros := bits.LeadingZeros64(h | 1)
	mantissa := uint32(h << (zeros + 1) >> 32)
	i := mantissa >> (32 - logTableBits) & (1<<logTableBits - 1)
	fraction := float32(mantissa<<logTableBits>>9) * (1.0 / (1 << 23))
	low, high := logTable[i], logTable[i+1]
	return max(minExponential, float32(zeros+1)-low-fraction*(high-low))
}
