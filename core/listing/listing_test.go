package listing

import (
	"testing"

	"pgregory.net/rapid"
)

// Guards against an older report that replaces a newer one, and against a newer one that is ignored.
func TestPrecedes(t *testing.T) {
	for _, c := range []struct {
		name     string
		v, other Version
		want     bool
	}{
		{"earlier report", Version{7, 2}, Version{7, 5}, true},
		{"later report", Version{7, 5}, Version{7, 2}, false},
		{"the same report", Version{7, 5}, Version{7, 5}, false},
		{"earlier process", Version{6, 9}, Version{7, 1}, true},
		{"later process", Version{7, 1}, Version{6, 9}, false},
		{"earlier process without a number", Version{6, 0}, Version{7, 1}, true},
		{"without a number", Version{7, 0}, Version{7, 5}, false},
		{"after one without a number", Version{7, 5}, Version{7, 0}, false},
		{"unknown start", Version{0, 2}, Version{7, 5}, false},
		{"after an unknown start", Version{7, 2}, Version{0, 5}, false},
		{"unknown starts", Version{0, 2}, Version{0, 5}, false},
	} {
		if got := c.v.Precedes(c.other); got != c.want {
			t.Errorf("%s: %v precedes %v: %t, want %t", c.name, c.v, c.other, got, c.want)
		}
	}
}

// Guards against two versions that replace each other in turn, so that the entry in force depends on the order of the writes.
func TestPrecedesIsAnOrder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		draw := func(name string) Version {
			return Version{
				Started: rapid.Int64Range(1, 3).Draw(t, name+" started"), Report: rapid.Uint64Range(1, 3).Draw(t, name+" report"),
			}
		}
		a, b, c := draw("a"), draw("b"), draw("c")
		if a.Precedes(b) && b.Precedes(a) {
			t.Errorf("%v and %v precede each other", a, b)
		}
		if a != b && !a.Precedes(b) && !b.Precedes(a) {
			t.Errorf("%v and %v have no order", a, b)
		}
		if a.Precedes(b) && b.Precedes(c) && !a.Precedes(c) {
			t.Errorf("%v does not precede %v, which follows %v", a, c, b)
		}
	})
}
