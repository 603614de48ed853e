// Package queue holds the requests that wait for a backend server. Classes have priorities; within a class, teams share the
// turns by weighted fair queueing (deficit round robin).
package queue

import (
	"time"

	"vanillatally/core/config"
)

// Item is a waiting request.
type Item[T any] struct {
	Team   string
	Class  config.QueueClass
	Weight float64
	// StartBy is the latest time at which the request may start and still meet its deadline.
	StartBy time.Duration
	Value   T
	removed bool
}

const (
	// maxPromptWait is the longest expected wait with which a prompt request is queued; above it, the request is refused.
	maxPromptWait = 250 * time.Millisecond
	// maxTotal bounds the number of waiting requests of one service.
	maxTotal = 4096
	// Every patientEvery-th and every bulkEvery-th request that starts is a patient and a bulk one, so that the lower
	// classes don't starve.
	patientEvery = 4
	bulkEvery    = 16
)

// maxPerTeam bounds the waiting requests of one team in each class, so that no team fills the queue of all.
var maxPerTeam = map[config.QueueClass]int{config.ClassPrompt: 64, config.ClassPatient: 256, config.ClassBulk: 256}

// classOrder lists the classes from the highest priority to the lowest.
var classOrder = []config.QueueClass{config.ClassPrompt, config.ClassPatient, config.ClassBulk}

// PushResult is the outcome of Push.
type PushResult string

// The results of Push.
const (
	Queued PushResult = "queued"
	// QueueFull: the team has as many waiting requests as it may, or the queue is full.
	QueueFull PushResult = "queue-full"
	// Overloaded: the expected wait is too long for the class or for the request's deadline.
	Overloaded PushResult = "overloaded"
)

// Queue holds the waiting requests of one service. Its methods change it in place, since copying thousands of entries for each
// request would be slow. It isn't safe for concurrent use: its owner calls it under one lock.
type Queue[T any] struct {
	classes map[config.QueueClass]*classQueue[T]
	// length counts the waiting requests without the removed ones, at most maxTotal.
	length int
	pops   int
}

// classQueue schedules the teams of one class by deficit round robin.
type classQueue[T any] struct {
	teams    map[string]*teamQueue[T]
	ring     []*teamQueue[T]
	position int
	length   int
}

// teamQueue holds the waiting requests of one team in one class.
type teamQueue[T any] struct {
	name    string
	items   []*Item[T]
	waiting int
	weight  float64
	// deficit is the number of requests that the team may still start in this round.
	deficit float64
}

// New returns an empty queue.
func New[T any]() *Queue[T] {
	q := &Queue[T]{classes: map[config.QueueClass]*classQueue[T]{}}
	for _, name := range classOrder {
		q.classes[name] = &classQueue[T]{teams: map[string]*teamQueue[T]{}}
	}
	return q
}

// Len returns the number of waiting requests.
func (q *Queue[T]) Len() int { return q.length }

// ahead returns the number of requests that start before a new one of the class.
func (q *Queue[T]) ahead(name config.QueueClass) int {
	n := 0
	for _, c := range classOrder {
		n += q.classes[c].length
		if c == name {
			break
		}
	}
	return n
}

// Push queues an item unless it is refused. serviceTime is the mean time that a request takes, concurrency the number of
// requests that run at once. An item of an unknown class becomes a patient one.
func (q *Queue[T]) Push(now time.Duration, item *Item[T], serviceTime time.Duration, concurrency int) PushResult {
	c := q.classes[item.Class]
	if c == nil {
		item.Class = config.ClassPatient
		c = q.classes[item.Class]
	}
	wait := serviceTime * time.Duration(q.ahead(item.Class)) / time.Duration(max(concurrency, 1))
	if now+wait > item.StartBy || item.Class == config.ClassPrompt && wait > maxPromptWait {
		return Overloaded
	}
	t := c.teams[item.Team]
	if t != nil && t.waiting >= maxPerTeam[item.Class] || q.length >= maxTotal {
		return QueueFull
	}
	if t == nil {
		t = &teamQueue[T]{name: item.Team}
		c.teams[item.Team] = t
		c.ring = append(c.ring, t)
	}
	// With a lower weight the team would have to wait for too many rounds.
	t.weight = max(item.Weight, 0.01)
	t.items = append(t.items, item)
	t.waiting++
	c.length++
	q.length++
	return Queued
}

// Remove takes an item out of the queue. Its memory is freed when its turn comes.
func (q *Queue[T]) Remove(item *Item[T]) {
	if item.removed {
		return
	}
	item.removed = true
	c := q.classes[item.Class]
	c.teams[item.Team].waiting--
	c.length--
	q.length--
}

// Pop returns the next request that can still meet its deadline, and the requests before it that can't.
func (q *Queue[T]) Pop(now time.Duration) (next *Item[T], expired []*Item[T]) {
	q.pops++
	first := 0
	switch {
	case q.pops%bulkEvery == 0:
		first = 2
	case q.pops%patientEvery == 0:
		first = 1
	}
	for i := range classOrder {
		c := q.classes[classOrder[(first+i)%len(classOrder)]]
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

// pop returns the next item that wasn't removed. The caller makes sure that there is one.
func (c *classQueue[T]) pop() *Item[T] {
	for {
		t := c.ring[c.position]
		for len(t.items) > 0 && t.items[0].removed {
			t.items = t.items[1:]
		}
		if len(t.items) == 0 {
			// A team without waiting requests loses its deficit, so that it can't save up turns.
			delete(c.teams, t.name)
			c.ring = append(c.ring[:c.position], c.ring[c.position+1:]...)
			c.position %= max(len(c.ring), 1)
			continue
		}
		if t.deficit < 1 {
			t.deficit += t.weight
			if t.deficit < 1 {
				c.position = (c.position + 1) % len(c.ring)
				continue
			}
		}
		t.deficit--
		item := t.items[0]
		t.items = t.items[1:]
		if t.deficit < 1 {
			c.position = (c.position + 1) % len(c.ring)
		}
		return item
	}
}
