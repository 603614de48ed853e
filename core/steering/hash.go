package steering

import (
	"encoding/binary"
	"math"
	"math/bits"
	"net/netip"
)

// mix is the finalizer of SplitMix64: every bit of the result depends on every bit of x.
func mix(x uint64) uint64 {
	x = (x ^ x>>30) * 0xbf58476d1ce4e5b9
	x = (x ^ x>>27) * 0x94d049bb133111eb
	return x ^ x>>31
}

// ClientKey returns the hash that identifies a client: its IPv4 address, or the /64 of its IPv6 address,
// because hosts change the lower half of their IPv6 addresses by themselves.
func ClientKey(client netip.Addr) uint64 {
	if client.Is4() {
		b := client.As4()
		return mix(uint64(binary.BigEndian.Uint32(b[:])) + 0x9e3779b97f4a7c15)
	}
	b := client.As16()
	return mix(binary.BigEndian.Uint64(b[:8]) ^ 0xd1b54a32d192ed03)
}

const logBits = 8

// logTable holds log2(1+i/256), for interpolation.
var logTable = func() (t [1<<logBits + 1]float32) {
	for i := range t {
		t[i] = float32(math.Log2(1 + float64(i)/(1<<logBits)))
	}
	return t
}()

// smallest keeps the numbers above 0, so that times infinity they stay infinite.
const smallest = 1e-7

// exponential maps a uniform hash to an exponentially distributed number, -log2(h/2^64).
// A table with linear interpolation replaces math.Log, which took most of a decision's time; its error is below 3e-6.
func exponential(h uint64) float32 {
	zeros := bits.LeadingZeros64(h | 1)
	mantissa := uint32(h << (zeros + 1) >> 32)
	i := mantissa >> (32 - logBits) & (1<<logBits - 1)
	fraction := float32(mantissa<<logBits>>9) * (1.0 / (1 << 23))
	low, high := logTable[i], logTable[i+1]
	return max(smallest, float32(zeros+1)-low-fraction*(high-low))
}
