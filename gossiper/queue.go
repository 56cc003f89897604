package gossiper

import (
	"cmp"
	"math"
	"slices"
	"strings"
)

const (
	memberPrefix = "m/"
	rumourPrefix = "r/"
	// extraRetransmits is added to the binary logarithm of the fleet size,
	// which gives the messages of one router that carry an update. Without
	// the extra ones, one router in a few dozen misses each update.
	extraRetransmits = 3
	// freshTransmits is the number of messages below which news is fresh.
	freshTransmits = 3
)

func memberKey(id string) string {
	return memberPrefix + id
}

func rumourKey(key string) string {
	return rumourPrefix + key
}

// queue holds the keys of what has changed, each with the number of messages
// that carried it. The values are read when a message is built, so a queued
// update is never older than the record.
type queue struct {
	items []queued
	order uint64
}

type queued struct {
	key   string
	sent  int
	order uint64
}

// add queues a change of the key, with a new count.
func (q *queue) add(key string) {
	q.remove(key)
	q.order++
	q.items = append(q.items, queued{key: key, order: q.order})
}

func (q *queue) remove(key string) {
	q.items = slices.DeleteFunc(q.items, func(i queued) bool { return i.key == key })
}

// skip counts the key as carried n times already.
func (q *queue) skip(key string, n int) {
	for i := range q.items {
		if q.items[i].key == key {
			q.items[i].sent += n
		}
	}
}

// take returns up to n keys, those carried least often first and the newest
// first among them, and counts them as carried. Keys in except are left for
// other messages.
func (q *queue) take(n, members int, except map[string]bool) []string {
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
	limit := retransmits(members)
	q.items = slices.DeleteFunc(q.items, func(i queued) bool { return i.sent >= limit })
	return keys
}

// retransmits returns the number of messages that carry an update.
func retransmits(members int) int {
	return extraRetransmits + int(math.Ceil(math.Log2(float64(members+1))))
}

// fresh reports whether few messages have carried some key.
func (q *queue) fresh() bool {
	return slices.ContainsFunc(q.items, func(i queued) bool { return i.sent < freshTransmits })
}

// split returns the member ID or the rumour key in a queue key.
func split(key string) (id string, rumour bool) {
	if rest, ok := strings.CutPrefix(key, rumourPrefix); ok {
		return rest, true
	}
	return strings.TrimPrefix(key, memberPrefix), false
}
