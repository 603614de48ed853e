// Package waiting queues the requests of one service at one host while all slots that the host may use are busy. It decides
// which request starts next and, when the queue is full, which one is refused: by rank, then by fair shares of the teams, then
// by worth.
package waiting

import (
	"cmp"
	"slices"
	"time"
)

// Limits bounds a line.
type Limits struct {
	// Length is the maximum number of waiting requests; 0 stands for the default.
	Length int
}

const (
	// defaultLength is the maximum number of waiting requests when Limits states none.
	defaultLength = 256
	// lowerRankEvery is the number of starts of which each waiting rank gets at least one, so that lower ranks don't starve. The
	// same share of the places is reserved for each rank, since a rank whose requests are all evicted could not use its starts.
	lowerRankEvery = 8
)

// Request is a request that waits for a slot.
type Request[T any] struct {
	Team string
	// Weight is the team's rate limit; 0 stands for 1.
	Weight float64
	// Rank is the priority; 0 is the highest.
	Rank int
	// Worth is the value of a response; 0 stands for 1.
	Worth float64
	// Work is the expected slot time.
	Work time.Duration
	// Objective is the time by which a response has its full value, Deadline the time after which it has none.
	Objective, Deadline time.Duration
	Value               T
}

// latestStart is the latest start with which the response is expected before the deadline.
func (r *Request[T]) latestStart() time.Duration { return r.Deadline - r.Work }

// Ticket identifies a waiting request to Remove.
type Ticket[T any] struct {
	request Request[T]
	// class is the class of the worth per Work.
	class int
	// sequence numbers the requests in the order of Push; it breaks ties.
	sequence uint64
	rank     *rank[T]
	// team is nil once the request can't be answered in time.
	team *team[T]
	// index is the position in team.tickets or, without a team, in Line.late. It is -1 after the request has left the line.
	index int
}

// Line holds the waiting requests of one service at one host, at most Limits.Length; Push evicts one when it is full. Its
// methods change it in place. It isn't safe for concurrent use: its owner calls it under one lock. Calls state a time that
// doesn't go back.
type Line[T any] struct {
	length int
	// ranks is sorted by number. A rank is dropped with its last team and request.
	ranks []*rank[T]
	// turns has the ranks with answerable requests in the order of their last turns.
	turns []*rank[T]
	// late has the requests that can't be answered in time and that Expired hasn't returned yet.
	late []*Ticket[T]
	// answerable counts the other requests; answerable + len(late) is at most length.
	answerable int
	// firstExpiry is at most the latest start of each answerable request.
	firstExpiry time.Duration
	// starts counts the requests that Next has returned.
	starts uint64
	// pushes counts the calls of Push.
	pushes uint64
	// accounts counts the teams of all ranks; at most accountsPerPlace*length.
	accounts int
	// epoch is the time at which a start adds 1 to team.started.
	epoch time.Duration
}

// rank holds the requests of one priority.
type rank[T any] struct {
	number int
	// teams has the teams with answerable requests, and others that were served recently.
	teams []*team[T]
	// waiting counts all requests of the rank, answerable those of its teams.
	waiting, answerable int
	// turn is the value of Line.starts after the rank's last start, or when its requests began to wait if that was later.
	turn uint64
	// arrived and started count the recent requests that could be answered in time when they arrived, and the recent starts, in
	// units of Line.unit.
	arrived, started float64
}

// New returns an empty line.
func New[T any](limits Limits) *Line[T] {
	if limits.Length <= 0 {
		limits.Length = defaultLength
	}
	return &Line[T]{length: limits.Length}
}

// Len returns the number of waiting requests, including those that Expired will return.
func (l *Line[T]) Len() int { return l.answerable + len(l.late) }

// Waiting returns the number of waiting requests of a rank, including those that Expired will return.
func (l *Line[T]) Waiting(number int) int {
	i, found := l.findRank(number)
	if !found {
		return 0
	}
	return l.ranks[i].waiting
}

// Push enqueues a request. If the line is full, the request of least worth is evicted; if that is the new one, ticket is nil.
func (l *Line[T]) Push(now time.Duration, request Request[T]) (ticket *Ticket[T], evicted []T) {
	l.expire(now)
	request.Weight, request.Worth = min(positiveOr1(request.Weight), maxWeight), positiveOr1(request.Worth)
	request.Work = max(request.Work, 0)
	l.pushes++
	ticket = &Ticket[T]{request: request, class: worthClass(request.Worth, request.Work), sequence: l.pushes}
	l.enqueue(now, ticket)
	if l.Len() <= l.length {
		return ticket, nil
	}
	victim := l.leastWorth(now)
	l.Remove(victim)
	if victim == ticket {
		ticket = nil
	}
	return ticket, []T{victim.request.Value}
}

// positiveOr1 returns 1 for values that aren't positive, among them NaN.
func positiveOr1(value float64) float64 {
	if value > 0 {
		return value
	}
	return 1
}

// Next removes and returns the request to start now, if one can still be answered in time.
func (l *Line[T]) Next(now time.Duration) (value T, ok bool) {
	l.expire(now)
	if l.answerable == 0 {
		return value, false
	}
	r := l.nextRank()
	t := r.nextTeam()
	ticket := t.best(now)
	l.starts++
	r.turn = l.starts
	r.started += l.unit(now, shareMemory)
	l.turns = append(slices.DeleteFunc(l.turns, func(other *rank[T]) bool { return other == r }), r)
	t.started += l.unit(now, startMemory)
	l.Remove(ticket)
	return ticket.request.Value, true
}

// Expired removes and returns the requests that can't be answered in time.
func (l *Line[T]) Expired(now time.Duration) []T {
	l.expire(now)
	if len(l.late) == 0 {
		return nil
	}
	expired := make([]T, 0, len(l.late))
	for _, ticket := range l.late {
		expired = append(expired, ticket.request.Value)
		ticket.index = -1
		ticket.rank.waiting--
		l.dropIfUnused(ticket.rank)
	}
	clear(l.late)
	l.late = l.late[:0]
	return expired
}

// Remove takes a request out of the line, for instance because its caller has disconnected. A nil ticket and that of a request
// which has left the line are ignored.
func (l *Line[T]) Remove(ticket *Ticket[T]) {
	if ticket == nil || ticket.index < 0 {
		return
	}
	if ticket.team != nil {
		l.takeFromTeam(ticket)
	} else {
		l.late = swapOut(l.late, ticket)
	}
	ticket.index = -1
	ticket.rank.waiting--
	l.dropIfUnused(ticket.rank)
}

// enqueue adds a ticket to its rank and team.
func (l *Line[T]) enqueue(now time.Duration, ticket *Ticket[T]) {
	r := l.rankOf(ticket.request.Rank)
	ticket.rank = r
	r.waiting++
	if ticket.request.latestStart() < now {
		ticket.index = len(l.late)
		l.late = append(l.late, ticket)
		return
	}
	r.arrived += l.unit(now, shareMemory)
	t := l.teamOf(now, r, ticket.request.Team)
	t.weight = ticket.request.Weight
	ticket.team, ticket.index = t, len(t.tickets)
	t.tickets = append(t.tickets, ticket)
	if l.answerable == 0 || ticket.request.latestStart() < l.firstExpiry {
		l.firstExpiry = ticket.request.latestStart()
	}
	l.answerable++
	r.answerable++
	if r.answerable == 1 {
		r.turn = l.starts
		l.turns = append(l.turns, r)
	}
}

// takeFromTeam removes an answerable request from its team.
func (l *Line[T]) takeFromTeam(ticket *Ticket[T]) {
	r := ticket.rank
	ticket.team.tickets = swapOut(ticket.team.tickets, ticket)
	ticket.team = nil
	l.answerable--
	r.answerable--
	if r.answerable == 0 {
		l.turns = slices.DeleteFunc(l.turns, func(other *rank[T]) bool { return other == r })
	}
}

// swapOut removes a ticket from the slice at its index in constant time.
func swapOut[T any](tickets []*Ticket[T], ticket *Ticket[T]) []*Ticket[T] {
	last := len(tickets) - 1
	tickets[ticket.index] = tickets[last]
	tickets[ticket.index].index = ticket.index
	tickets[last] = nil
	return tickets[:last]
}

// expire moves the requests that can't be answered in time to late.
func (l *Line[T]) expire(now time.Duration) {
	if l.answerable == 0 || now <= l.firstExpiry {
		return
	}
	first := true
	for _, r := range l.ranks {
		for _, t := range r.teams {
			for i := len(t.tickets) - 1; i >= 0; i-- {
				ticket := t.tickets[i]
				latest := ticket.request.latestStart()
				if latest < now {
					l.takeFromTeam(ticket)
					ticket.index = len(l.late)
					l.late = append(l.late, ticket)
				} else if first || latest < l.firstExpiry {
					l.firstExpiry, first = latest, false
				}
			}
		}
	}
}

// findRank returns the position of a rank in ranks.
func (l *Line[T]) findRank(number int) (position int, found bool) {
	return slices.BinarySearchFunc(l.ranks, number, func(r *rank[T], number int) int { return cmp.Compare(r.number, number) })
}

// rankOf returns the rank of that number, a new one if there is none.
func (l *Line[T]) rankOf(number int) *rank[T] {
	i, found := l.findRank(number)
	if !found {
		l.ranks = slices.Insert(l.ranks, i, &rank[T]{number: number})
	}
	return l.ranks[i]
}

// dropIfUnused drops a rank that has neither requests nor teams.
func (l *Line[T]) dropIfUnused(r *rank[T]) {
	if r.waiting > 0 || len(r.teams) > 0 {
		return
	}
	if i, found := l.findRank(r.number); found {
		l.ranks = slices.Delete(l.ranks, i, i+1)
	}
}
