// Package queue orders waiting requests by class and, within a class, fairly over teams.
package queue

import (
	"time"

	"vanillatally/core/config"
)

// Item is one waiting request.
type Item[T any] struct {
	Team   string
	Class  config.QueueClass
	Weight float64
	// StartBy is the latest time at which running the request still makes sense.
	StartBy time.Duration
	Value   T
	gone    bool
}

const (
	// maxPromptWait is the longest expected wait for which a prompt request is queued rather than refused.
	maxPromptWait = 250 * time.Millisecond
	// maxTotal bounds the waiting requests of one service.
	maxTotal = 4096
	// patientTurn and bulkTurn guarantee the lower classes every fourth and every sixteenth place, so that they arrive.
	patientTurn = 4
	bulkTurn    = 16
)

// perTeam bounds the waiting requests of one team in each class, so that no team fills the queue for the others.
var perTeam = map[config.QueueClass]int{config.ClassPrompt: 64, config.ClassPatient: 256, config.ClassBulk: 256}

// order is the order of the classes.
var order = []config.QueueClass{config.ClassPrompt, config.ClassPatient, config.ClassBulk}

// PushResult is the outcome of Push.
type PushResult string

// The verdicts.
const (
	Queued PushResult = "queued"
	// QueueFull: the team has its share of the queue.
	QueueFull PushResult = "queue-full"
	// Overloaded: the expected wait is too long for the class or the deadline.
	Overloaded PushResult = "overloaded"
)

// Queue holds the waiting requests of one service. It changes in place, since a copy of thousands of entries for each
// request would be slow; its owner calls it under one lock.
type Queue[T any] struct {
	classes map[config.QueueClass]*class[T]
	// length counts the entries that have not gone, at most maxTotal.
	length int
	turn   int
}

// class is a round robin of teams with deficits.
type class[T any] struct {
	teams  map[string]*team[T]
	ring   []*team[T]
	at     int
	length int
}

type team[T any] struct {
	name    string
	items   []*Item[T]
	waiting int
	weight  float64
	// deficit is the number of requests that the team may still start in this round.
	deficit float64
}

// New returns an empty queue.
func New[T any]() *Queue[T] {
	q := &Queue[T]{classes: map[config.QueueClass]*class[T]{}}
	for _, name := range order {
		q.classes[name] = &class[T]{teams: map[string]*team[T]{}}
	}
	return q
}

// Len returns the number of waiting requests.
func (q *Queue[T]) Len() int { return q.length }

// ahead counts the requests that run before a new one of the class.
func (q *Queue[T]) ahead(name config.QueueClass) int {
	n := 0
	for _, c := range order {
		n += q.classes[c].length
		if c == name {
			break
		}
	}
	return n
}

// Push adds item. mean is the expected time of a request, limit the number that run at once.
func (q *Queue[T]) Push(now time.Duration, item *Item[T], mean time.Duration, limit int) PushResult {
	c := q.classes[item.Class]
	if c == nil {
		item.Class = config.ClassPatient
		c = q.classes[item.Class]
	}
	wait := mean * time.Duration(q.ahead(item.Class)) / time.Duration(max(limit, 1))
	if now+wait > item.StartBy || item.Class == config.ClassPrompt && wait > maxPromptWait {
		return Overloaded
	}
	t := c.teams[item.Team]
	if t != nil && t.waiting >= perTeam[item.Class] || q.length >= maxTotal {
		return QueueFull
	}
	if t == nil {
		t = &team[T]{name: item.Team}
		c.teams[item.Team] = t
		c.ring = append(c.ring, t)
	}
	// A weight below the floor would make a team wait for many rounds.
	t.weight = max(item.Weight, 0.01)
	t.items = append(t.items, item)
	t.waiting++
	c.length++
	q.length++
	return Queued
}

// Remove takes out an item that waits no more; its memory is freed when its turn comes.
func (q *Queue[T]) Remove(item *Item[T]) {
	if item.gone {
		return
	}
	item.gone = true
	c := q.classes[item.Class]
	c.teams[item.Team].waiting--
	c.length--
	q.length--
}

// Pop returns the next request whose start is not too late; the others are returned as expired.
func (q *Queue[T]) Pop(now time.Duration) (next *Item[T], expired []*Item[T]) {
	q.turn++
	first := 0
	switch {
	case q.turn%bulkTurn == 0:
		first = 2
	case q.turn%patientTurn == 0:
		first = 1
	}
	for i := range order {
		c := q.classes[order[(first+i)%len(order)]]
		for c.length > 0 {
			item := c.pop()
			q.Remove(item)
			if now <= item.StartBy {
				return item, expired
			}
			expired = append(expired, item)
		}
	}
	return nil, expired
}

// pop returns the next item of the round robin that has not gone; there is one.
func (c *class[T]) pop() *Item[T] {
	for {
		t := c.ring[c.at]
		for len(t.items) > 0 && t.items[0].gone {
			t.items = t.items[1:]
		}
		if len(t.items) == 0 {
			// An idle team keeps no deficit, so that it cannot save turns.
			delete(c.teams, t.name)
			c.ring = append(c.ring[:c.at], c.ring[c.at+1:]...)
			c.at %= max(len(c.ring), 1)
			continue
		}
		if t.deficit < 1 {
			t.deficit += t.weight
			if t.deficit < 1 {
				c.at = (c.at + 1) % len(c.ring)
				continue
			}
		}
		t.deficit--
		item := t.items[0]
		t.items = t.items[1:]
		if t.deficit < 1 {
			c.at = (c.at + 1) % len(c.ring)
		}
		return item
	}
}
