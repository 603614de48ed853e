package placement

import "math"

// first is the server of a group that ranks first for an object in weighted rendezvous hashing. It is an immutable value.
//
// With u the server's RendezvousWeight as a fraction of its range, the score is slots / -ln(u). The server with the highest score
// is the object's home, so that each server's share of the objects is its share of the slots, and a server that comes, goes
// or changes its slots moves only the objects that it gets or loses.
type first struct {
	// index is that of the candidate, or -1 if there is none.
	index int
	// rendezvousWeight and slots are the candidate's; slots is at least 1.
	rendezvousWeight uint64
	slots            int
	score            float64
}

var noFirst = first{index: -1}

// withServer returns f or the given server, whichever ranks first.
func (f first) withServer(index int, rendezvousWeight uint64, slots int) first {
	slots = max(slots, 1)
	if f.index >= 0 && slots == f.slots {
		// Compares integers, because rounding makes the scores of close weights equal.
		if rendezvousWeight <= f.rendezvousWeight {
			return f
		}
		return first{index, rendezvousWeight, slots, score(rendezvousWeight, slots)}
	}
	// Since -ln(u) is at least 1-u, slots/(1-u) is an upper bound of the score, with which most servers need no logarithm.
	if f.index >= 0 && float64(slots) < f.score*distanceFromTop(rendezvousWeight) {
		return f
	}
	s := score(rendezvousWeight, slots)
	if f.index >= 0 && (s < f.score || s == f.score && rendezvousWeight <= f.rendezvousWeight) {
		return f
	}
	return first{index, rendezvousWeight, slots, s}
}

// score returns the score of a server in weighted rendezvous hashing.
func score(rendezvousWeight uint64, slots int) float64 {
	return float64(slots) / -math.Log1p(-distanceFromTop(rendezvousWeight))
}

// distanceFromTop returns 1-u, for u the weight as a fraction of its range. It is never 0, and precise for the high weights that
// decide.
func distanceFromTop(rendezvousWeight uint64) float64 {
	return (float64(^rendezvousWeight) + 0.5) * 0x1p-64
}
