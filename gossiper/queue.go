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
	// retransmitFactor times the logarithm of the fleet size is the number of
	// messages that carry an update. A router sends two messages a second.
	retransmitFactor = 4
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

// take returns up to n keys, those carried least often first and the newest
// first among them, and counts them as carried.
func (q *queue) take(n, members int) []string {
	if len(q.items) == 0 {
		return nil
	}
	slices.SortFunc(q.items, func(a, b queued) int {
		return cmp.Or(cmp.Compare(a.sent, b.sent), cmp.Compare(b.order, a.order))
	})
	n = min(n, len(q.items))
	keys := make([]string, n)
	for i := range n {
		keys[i] = q.items[i].key
		q.items[i].sent++
	}
	limit := retransmitFactor * int(math.Ceil(math.Log10(float64(members+1))))
	q.items = slices.DeleteFunc(q.items, func(i queued) bool { return i.sent >= max(limit, retransmitFactor) })
	return keys
}

// split returns the member ID or the rumour key in a queue key.
func split(key string) (id string, rumour bool) {
	if rest, ok := strings.CutPrefix(key, rumourPrefix); ok {
		return rest, true
	}
	return strings.TrimPrefix(key, memberPrefix), false
}
