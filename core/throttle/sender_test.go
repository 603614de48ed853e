package throttle

import (
	"testing"
	"time"

	"pgregory.net/rapid"
)

// Guards against parts of a limit that add up to more than the limit, and against a limit that nobody may use.
func TestPartsSumToLimit(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		limit := rapid.Float64Range(MinRate, 1000).Draw(t, "limit")
		hosts := rapid.IntRange(1, 200).Draw(t, "hosts")
		preferred := rapid.IntRange(0, hosts).Draw(t, "preferred")
		silence := time.Duration(rapid.Int64Range(0, int64(silenceMargin)).Draw(t, "silence"))
		sum := 0.0
		for rank := range hosts {
			sum += Part(limit, rank, preferred, silence)
		}
		if sum > limit*1.000001 || sum < limit*0.999999 {
			t.Errorf("the parts of %d hosts sum to %v, want %v", hosts, sum, limit)
		}
		if Part(limit, -1, preferred, silence) != 0 {
			t.Error("a host that may not send has a part")
		}
	})
}

// Guards against a server that gets no requests for good because the hosts that may use its limit have none.
func TestFurtherHostsMaySendToSilentServer(t *testing.T) {
	const limit, sharing = 1.8, 2
	for rank := sharing; rank < 20; rank++ {
		silence := silenceMargin + Interval(limit) + time.Duration(rank-sharing)*wideningInterval
		if Part(limit, rank, sharing, silence+1) == 0 {
			t.Errorf("host %d has no part after %v of silence", rank, silence+1)
		}
		if Part(limit, rank, sharing, silence-1) != 0 {
			t.Errorf("host %d has a part after %v of silence already", rank, silence-1)
		}
	}
}

// Guards against a bucket that lets more requests through than the limit and a short burst, and against a wait after which
// there is still no token.
func TestBucketKeepsToPart(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		part := rapid.Float64Range(MinRate, 100).Draw(t, "part")
		bucket, now, taken := NewBucket(0), time.Duration(0), 0
		for range rapid.IntRange(1, 200).Draw(t, "attempts") {
			now += time.Duration(rapid.Int64Range(0, int64(time.Second)).Draw(t, "pause"))
			after, ok, wait := bucket.Take(now, part)
			if ok {
				taken++
			} else if _, ok, _ := after.Take(now+wait+time.Microsecond, part); !ok {
				t.Fatalf("no token after the wait of %v", wait)
			}
			bucket = after
		}
		if most := part*now.Seconds() + 1e-6; float64(taken) > most {
			t.Errorf("%d requests in %v, want at most %v", taken, now, most)
		}
	})
}
