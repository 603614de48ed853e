package dispatch

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"

	"pgregory.net/rapid"
)

var (
	small = Capacity{Cores: 0.16, LinkMbps: 10}
	large = Capacity{Cores: 0.8, LinkMbps: 200}
)

// newDomain returns the ready hosts of a failure domain of the callers' region.
func newDomain(name string, same bool, capacities ...Capacity) (hosts []Host) {
	for i, c := range capacities {
		hosts = append(hosts, Host{Address: fmt.Sprintf("%s%02d", name, i), SameDomain: same, SameRegion: true, Capacity: c})
	}
	return hosts
}

// Guards against callers that are sent to small hosts while large ones of their region are ready, against a single host for all
// callers, and against another choice where all hosts are of one size or of unknown size.
func TestChoose(t *testing.T) {
	for _, c := range []struct {
		name     string
		own, sib []Capacity
		want     []string
	}{
		{"unknown sizes", make([]Capacity, 5), make([]Capacity, 5), []string{"a00", "a01", "a02", "a03"}},
		{"equal sizes", []Capacity{small, small, small}, []Capacity{small}, []string{"a00", "a01", "a02"}},
		{"few equal hosts", []Capacity{small, small}, []Capacity{small}, []string{"a00", "a01", "b00"}},
		{"two large hosts", []Capacity{small, small, large, small, large, small}, []Capacity{large, small}, []string{"a02", "a04", "b00"}},
		{"one large host", []Capacity{small, large, small, small}, []Capacity{large, small}, []string{"a01", "b00"}},
		{"no large host near", []Capacity{small, small, small, small}, []Capacity{large, large}, []string{"b00", "b01"}},
		{"large hosts beside hosts of unknown size", []Capacity{{}, {}, large, {}, large, {}}, []Capacity{{}}, []string{"a00", "a01", "a02", "a03"}},
		{"large hosts beside a host of unknown size", []Capacity{small, small, large, {}, large, small}, nil, []string{"a02", "a04"}},
		{"fast links beside hosts of unknown size", []Capacity{{}, {}, {LinkMbps: 200}, {}, {LinkMbps: 200}, {}, {}}, nil, []string{"a00", "a01", "a02", "a03"}},
		{"one large host in the region", []Capacity{small, small, small, large}, []Capacity{small}, []string{"a00", "a01", "a02", "a03"}},
		{"large hosts with a small part of the processor time", slices.Concat(
			slices.Repeat([]Capacity{{Cores: 0.4, LinkMbps: 90}}, 12), []Capacity{large, {Cores: 0.8, LinkMbps: 200}},
		), nil, []string{"a00", "a01", "a02", "a03"}},
	} {
		hosts := append(newDomain("a", true, c.own...), newDomain("b", false, c.sib...)...)
		rand.New(rand.NewPCG(1, 2)).Shuffle(len(hosts), func(i, j int) { hosts[i], hosts[j] = hosts[j], hosts[i] })
		if got := Choose(hosts, 4); !slices.Equal(got, c.want) {
			t.Errorf("%s: %v, want %v", c.name, got, c.want)
		}
	}
}

// Guards against an empty choice, an unknown address and more addresses than the limit while hosts fail in any way.
func TestChooseAlwaysFindsHosts(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		hosts := rapid.SliceOfNDistinct(rapid.Custom(func(t *rapid.T) Host {
			sameDomain := rapid.Bool().Draw(t, "same domain")
			return Host{
				Address:    rapid.StringMatching(`[a-z]{3}`).Draw(t, "address"),
				SameDomain: sameDomain, SameRegion: sameDomain || rapid.Bool().Draw(t, "same region"),
				Capacity: rapid.SampledFrom([]Capacity{{}, small, large}).Draw(t, "capacity"),
			}
		}), 1, 20, func(h Host) string { return h.Address }).Draw(t, "hosts")
		limit := rapid.IntRange(1, 8).Draw(t, "limit")
		known := map[string]bool{}
		for _, h := range hosts {
			known[h.Address] = true
		}
		got := Choose(hosts, limit)
		if len(got) == 0 || len(got) > limit {
			t.Fatalf("%d hosts, limit %d", len(got), limit)
		}
		for _, address := range got {
			if !known[address] {
				t.Fatalf("unknown address %q", address)
			}
		}
	})
}
