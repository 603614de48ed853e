package waiting

// outOfOrderShare limits the starts of a lower rank that are out of order: it gets them while the share of its recent requests
// that started is below this part of each higher waiting rank's share. It is below 1 by the error of the measured shares, so that
// no rank is served more often than a higher one.
const outOfOrderShare = 0.8

// nextRank returns the rank of the next start. Usually it is the highest one with answerable requests. It is the one whose last
// turn is the longest ago if one of the waiting ranks would otherwise be without a start for more than lowerRankEvery. A
// rank that is served as often as a higher one has no such turns: if its requests are few or take long, a start in lowerRankEvery
// would serve all of them while those of higher ranks are refused. With lowerRankEvery ranks and more, all take turns.
func (l *Line[T]) nextRank() *rank[T] {
	highest := l.turns[0]
	for _, r := range l.turns {
		if r.number < highest.number {
			highest = r
		}
	}
	var first *rank[T]
	ahead := uint64(0)
	for _, r := range l.turns {
		if r != highest && l.servedOften(r) {
			continue
		}
		if first == nil {
			first = r
		}
		if ahead++; l.starts+ahead >= r.turn+lowerRankEvery {
			return first
		}
	}
	return highest
}

// servedOften reports whether the rank has been served about as often as a higher one that waits.
func (l *Line[T]) servedOften(r *rank[T]) bool {
	for _, higher := range l.ranks {
		if higher.number >= r.number {
			break
		}
		if higher.answerable > 0 && r.started*higher.arrived >= outOfOrderShare*higher.started*r.arrived {
			return true
		}
	}
	return false
}
