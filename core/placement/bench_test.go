package placement

import "testing"

// BenchmarkChoose measures the choice among 180 servers, of which 60 are local.
func BenchmarkChoose(b *testing.B) {
	for _, c := range []struct {
		name  string
		sizes []int
	}{{"equal-slots", []int{4}}, {"unequal-slots", []int{4, 5}}, {"many-sizes", []int{2, 3, 4, 5, 6, 8, 11, 16}}} {
		b.Run(c.name, func(b *testing.B) {
			all := newFleet(1, 60, 120)
			for i := range all {
				all[i].Slots = c.sizes[i%len(c.sizes)]
			}
			request, object := stickyRequest(), uint64(0)
			for b.Loop() {
				object++
				for i := range all {
					all[i].RendezvousWeight = RendezvousWeight(object, uint64(i+1))
				}
				_ = Choose(request, all)
			}
		})
	}
}
