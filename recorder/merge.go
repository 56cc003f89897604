package recorder

import (
	"cmp"
	"container/heap"
	"slices"

	"github.com/bergamotdale/bergamotdale"
)

// Merge merges pages of events from several processes into one list ordered by
// time. The events of one process stay in the order of their sequence numbers
// even if its clock was set back; the order of events of different processes is
// only as accurate as their clocks. Duplicate events are returned once.
func Merge(pages ...[]bergamotdale.Event) []bergamotdale.Event {
	byProcess := map[string][]bergamotdale.Event{}
	for _, page := range pages {
		for _, e := range page {
			byProcess[e.Process] = append(byProcess[e.Process], e)
		}
	}
	var remaining eventHeap
	total := 0
	for _, events := range byProcess {
		events = sortAndDedupe(events)
		total += len(events)
		remaining = append(remaining, events)
	}
	heap.Init(&remaining)
	merged := make([]bergamotdale.Event, 0, total)
	for len(remaining) > 0 {
		merged = append(merged, remaining[0][0])
		if remaining[0] = remaining[0][1:]; len(remaining[0]) == 0 {
			heap.Pop(&remaining)
			continue
		}
		heap.Fix(&remaining, 0)
	}
	return merged
}

// sortAndDedupe sorts the events of one process by sequence number and removes
// duplicates. A process that restarts under the same name numbers its events
// from one again, so events with the same sequence number are compared by time.
func sortAndDedupe(events []bergamotdale.Event) []bergamotdale.Event {
	slices.SortStableFunc(events, func(a, b bergamotdale.Event) int {
		return cmp.Or(cmp.Compare(a.Sequence, b.Sequence), a.Time.Compare(b.Time))
	})
	return slices.CompactFunc(events, func(a, b bergamotdale.Event) bool {
		return a.Sequence == b.Sequence && a.Time.Equal(b.Time) && a.Kind == b.Kind
	})
}

// eventHeap is a min-heap of non-empty event lists, ordered by the time of their
// first events.
type eventHeap [][]bergamotdale.Event

func (h eventHeap) Len() int      { return len(h) }
func (h eventHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }
func (h eventHeap) Less(i, j int) bool {
	a, b := h[i][0], h[j][0]
	return cmp.Or(a.Time.Compare(b.Time), cmp.Compare(a.Process, b.Process)) < 0
}

// Push implements heap.Interface.
func (h *eventHeap) Push(x any) { *h = append(*h, x.([]bergamotdale.Event)) }

// Pop implements heap.Interface.
func (h *eventHeap) Pop() any {
	last := (*h)[len(*h)-1]
	*h = (*h)[:len(*h)-1]
	return last
}
