package recorder

import (
	"cmp"
	"container/heap"
	"slices"

	"github.com/bergamotdale/bergamotdale"
)

// Merge orders the events of several processes by time. The events of one
// process stay in the order of their sequence even if its clock was set back;
// events of different processes are only as well ordered as their clocks
// agree. Events that appear twice are returned once.
func Merge(pages ...[]bergamotdale.Event) []bergamotdale.Event {
	byProcess := map[string][]bergamotdale.Event{}
	for _, page := range pages {
		for _, e := range page {
			byProcess[e.Process] = append(byProcess[e.Process], e)
		}
	}
	var heads queue
	total := 0
	for _, events := range byProcess {
		events = inSequence(events)
		total += len(events)
		heads = append(heads, events)
	}
	heap.Init(&heads)
	merged := make([]bergamotdale.Event, 0, total)
	for len(heads) > 0 {
		merged = append(merged, heads[0][0])
		if heads[0] = heads[0][1:]; len(heads[0]) == 0 {
			heap.Pop(&heads)
			continue
		}
		heap.Fix(&heads, 0)
	}
	return merged
}

// inSequence sorts the events of one process and removes repeated ones. A
// process that was restarted under its name counts from one again, so the time
// tells events with the same sequence apart.
func inSequence(events []bergamotdale.Event) []bergamotdale.Event {
	slices.SortStableFunc(events, func(a, b bergamotdale.Event) int {
		return cmp.Or(cmp.Compare(a.Sequence, b.Sequence), a.Time.Compare(b.Time))
	})
	return slices.CompactFunc(events, func(a, b bergamotdale.Event) bool {
		return a.Sequence == b.Sequence && a.Time.Equal(b.Time) && a.Kind == b.Kind
	})
}

// queue is a heap of non-empty event lists by the time of their first events.
type queue [][]bergamotdale.Event

func (q queue) Len() int      { return len(q) }
func (q queue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }
func (q queue) Less(i, j int) bool {
	a, b := q[i][0], q[j][0]
	return cmp.Or(a.Time.Compare(b.Time), cmp.Compare(a.Process, b.Process)) < 0
}

// Push implements heap.Interface.
func (q *queue) Push(x any) { *q = append(*q, x.([]bergamotdale.Event)) }

// Pop implements heap.Interface.
func (q *queue) Pop() any {
	last := (*q)[len(*q)-1]
	*q = (*q)[:len(*q)-1]
	return last
}
