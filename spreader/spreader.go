// Package spreader chooses the updates that a gossip message carries. Each router
// sends an update in a number of messages that grows with the logarithm of the
// fleet size, so that the update reaches all routers with high probability.
package spreader

import (
	"cmp"
	"math"
	"slices"
)

const (
	// extraTransmits is added to the binary logarithm of the fleet size to get
	// the number of messages in which one router sends an update. Without the
	// extra messages, one router in a few dozen misses each update.
	extraTransmits = 3
	// freshTransmits is the number of messages from which on an update is no
	// longer fresh.
	freshTransmits = 3
)

// Queue holds the keys of changed records, each with the number of messages that
// have carried it. The values are read when a message is built, so an update is
// never older than its record. It is not safe for concurrent use.
type Queue struct {
	items    []queuedUpdate
	sequence uint64
}

type queuedUpdate struct {
	key       string
	transmits int
	sequence  uint64
}

// Add queues an update of the key, or restarts its count if it is queued already.
func (q *Queue) Add(key string) {
	q.Remove(key)
	q.sequence++
	q.items = append(q.items, queuedUpdate{key: key, sequence: q.sequence})
}

// Remove removes the key from the queue.
func (q *Queue) Remove(key string) {
	q.items = slices.DeleteFunc(q.items, func(i queuedUpdate) bool { return i.key == key })
}

// MarkSent counts n more messages as having carried the key.
func (q *Queue) MarkSent(key string, n int) {
	for i := range q.items {
		if q.items[i].key == key {
			q.items[i].transmits += n
		}
	}
}

// Take returns up to n keys for a message and counts the message as having carried
// them. Keys carried by the fewest messages come first, and among these the newest.
// Keys in except stay for other messages. Keys that have reached TransmitLimit
// leave the queue.
func (q *Queue) Take(n, members int, except map[string]bool) []string {
	if len(q.items) == 0 {
		return nil
	}
	slices.SortFunc(q.items, func(a, b queuedUpdate) int {
		return cmp.Or(cmp.Compare(a.transmits, b.transmits), cmp.Compare(b.sequence, a.sequence))
	})
	var keys []string
	for i := range q.items {
		if len(keys) == n {
			break
		}
		if !except[q.items[i].key] {
			keys = append(keys, q.items[i].key)
			q.items[i].transmits++
		}
	}
	limit := TransmitLimit(members)
	q.items = slices.DeleteFunc(q.items, func(i queuedUpdate) bool { return i.transmits >= limit })
	return keys
}

// TransmitLimit returns the number of messages in which a router of a fleet with
// the given number of members sends an update.
func TransmitLimit(members int) int {
	return extraTransmits + int(math.Ceil(math.Log2(float64(members+1))))
}

// HasFresh reports whether the queue holds an update that fewer than
// freshTransmits messages have carried.
func (q *Queue) HasFresh() bool {
	return slices.ContainsFunc(q.items, func(i queuedUpdate) bool { return i.transmits < freshTransmits })
}
