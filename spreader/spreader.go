// Package spreader chooses which updates a message carries. Each update is
// carried a number of times that grows with the logarithm of the fleet size,
// so that it reaches all routers with high probability.
package spreader

import (
	"cmp"
	"math"
	"slices"
)

const (
	// extraRetransmits is added to the binary logarithm of the fleet size,
	// which gives the messages of one router that carry an update. Without
	// the extra ones, one router in a few dozen misses each update.
	extraRetransmits = 3
	// freshTransmits is the number of messages below which news is fresh.
	freshTransmits = 3
)

// Queue holds the keys of what has changed, each with the number of messages
// that carried it. The values are read when a message is built, so a queued
// update is never older than the record.
type Queue struct {
	items []queued
	order uint64
}

type queued struct {
	key   string
	sent  int
	order uint64
}

// Add queues a change of the key, with a new count.
func (q *Queue) Add(key string) {
	q.Remove(key)
	q.order++
	q.items = append(q.items, queued{key: key, order: q.order})
}

// Remove drops the key.
func (q *Queue) Remove(key string) {
	q.items = slices.DeleteFunc(q.items, func(i queued) bool { return i.key == key })
}

// Skip counts the key as carried n times already.
func (q *Queue) Skip(key string, n int) {
	for i := range q.items {
		if q.items[i].key == key {
			q.items[i].sent += n
		}
	}
}

// Take returns up to n keys, those carried least often first and the newest
// first among them, and counts them as carried. Keys in except are left for
// other messages.
func (q *Queue) Take(n, members int, except map[string]bool) []string {
	if len(q.items) == 0 {
		return nil
	}
	slices.SortFunc(q.items, func(a, b queued) int {
		return cmp.Or(cmp.Compare(a.sent, b.sent), cmp.Compare(b.order, a.order))
	})
	var keys []string
	for i := range q.items {
		if len(keys) == n {
			break
		}
		if !except[q.items[i].key] {
			keys = append(keys, q.items[i].key)
			q.items[i].sent++
		}
	}
	limit := Retransmits(members)
	q.items = slices.DeleteFunc(q.items, func(i queued) bool { return i.sent >= limit })
	return keys
}

// Retransmits returns the number of messages that carry an update.
func Retransmits(members int) int {
	return extraRetransmits + int(math.Ceil(math.Log2(float64(members+1))))
}

// Fresh reports whether few messages have carried some key.
func (q *Queue) Fresh() bool {
	return slices.ContainsFunc(q.items, func(i queued) bool { return i.sent < freshTransmits })
}
