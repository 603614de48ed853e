package throttle

import (
	"math"
	"testing"

	"github.com/cockroachdb/errors"
	"pgregory.net/rapid"
)

// Guards against malformed rates that are taken for numbers, and against rates that stop a server's requests for good or that
// are no limit at all.
func TestParseRate(t *testing.T) {
	for _, c := range []struct {
		text string
		want float64
		err  error
	}{
		{"1.8", 1.8, nil},
		{" 12 ", 12, nil},
		{"007.50", 7.5, nil},
		{".5", 0.5, nil},
		{"100000", MaxRate, nil},
		{"0", MinRate, ErrOutOfRange},
		{"0.0001", MinRate, ErrOutOfRange},
		{"99999999999999999999", MaxRate, ErrOutOfRange},
		{"", 0, ErrMalformed},
		{".", 0, ErrMalformed},
		{"-1", 0, ErrMalformed},
		{"+1", 0, ErrMalformed},
		{"1e3", 0, ErrMalformed},
		{"0x10", 0, ErrMalformed},
		{"1_000", 0, ErrMalformed},
		{"NaN", 0, ErrMalformed},
		{"Inf", 0, ErrMalformed},
		{"1,5", 0, ErrMalformed},
		{"1.2.3", 0, ErrMalformed},
		{"3 4", 0, ErrMalformed},
		{"111111111111111111111111111111111", 0, ErrMalformed},
	} {
		got, err := ParseRate(c.text)
		if got != c.want || !errors.Is(err, c.err) || c.err == nil && err != nil {
			t.Errorf("%q: got %v, %v; want %v, %v", c.text, got, err, c.want, c.err)
		}
	}
}

// Guards against any text that yields a rate which is not a number within the bounds.
func TestParsedRateIsInRange(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		got, err := ParseRate(rapid.OneOf(rapid.String(), rapid.StringMatching(`[0-9.]{1,40}`)).Draw(t, "text"))
		if errors.Is(err, ErrMalformed) {
			return
		}
		if math.IsNaN(got) || got < MinRate || got > MaxRate {
			t.Errorf("got the rate %v", got)
		}
	})
}
