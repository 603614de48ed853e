package entry

import (
	"math"
	"time"
)

// decay returns the weight that a measurement of the given age still has; it halves with each halfLife.
func decay(age, halfLife time.Duration) float64 {
	if age <= 0 {
		return 1
	}
	return math.Exp2(-float64(age) / float64(halfLife))
}
