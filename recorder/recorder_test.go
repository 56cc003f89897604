package recorder_test

import (
	"encoding/json"
	"fmt"
	"net/http"
	"net/http/httptest"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/bergamotdale/bergamotdale"
	"github.com/bergamotdale/bergamotdale/recorder"
	"github.com/bergamotdale/bergamotdale/storetester"
)

var start = time.Date(2026, 12, 4, 6, 0, 0, 0, time.UTC)

// Guards against an event that is neither kept nor counted as overwritten, and
// against a reader that sees events out of order while writers run.
func TestEveryEventIsKeptOrCounted(t *testing.T) {
	const writers, eventsPerWriter, capacity = 8, 2000, 512
	r := &recorder.Ring{Process: "router-a1", Clock: storetester.NewClock(start), Capacity: capacity}
	var group sync.WaitGroup
	for w := range writers {
		group.Go(func() {
			for i := range eventsPerWriter {
				r.Record(bergamotdale.Event{Kind: "test", RequestID: fmt.Sprintf("%d-%d", w, i)})
			}
		})
	}
	for range 20 {
		events := r.Select(recorder.Filter{Limit: capacity}).Events
		for i := 1; i < len(events); i++ {
			assert.Assert(t, events[i].Sequence > events[i-1].Sequence)
		}
	}
	group.Wait()
	p := r.Select(recorder.Filter{Limit: capacity})
	assert.Equal(t, uint64(len(p.Events))+p.Overwritten, uint64(writers*eventsPerWriter))
	assert.Equal(t, len(p.Events), capacity)
}

// Guards against a filter that selects the wrong events or that changes when it
// is encoded as URL parameters and parsed again, and against malformed
// parameters being accepted.
func TestHandlerFilters(t *testing.T) {
	c := storetester.NewClock(start)
	r := &recorder.Ring{Process: "router-a1", Clock: c}
	for i := range 10 {
		r.Record(bergamotdale.Event{
			Kind: "test", RequestID: fmt.Sprint(i), Chat: fmt.Sprint("chat-", i%2), Endpoint: fmt.Sprint("engine-", i%3),
		})
		c.Advance(time.Second)
	}
	for _, test := range []struct {
		filter recorder.Filter
		want   []string
	}{
		{recorder.Filter{RequestID: "4"}, []string{"4"}},
		{recorder.Filter{Chat: "chat-1", Endpoint: "engine-0"}, []string{"3", "9"}},
		{recorder.Filter{Since: start.Add(2 * time.Second), Until: start.Add(4 * time.Second)}, []string{"2", "3", "4"}},
		{recorder.Filter{Limit: 2}, []string{"8", "9"}},
	} {
		w := httptest.NewRecorder()
		r.Handler().ServeHTTP(w, httptest.NewRequest(http.MethodGet, "/?"+test.filter.Query().Encode(), nil))
		var p recorder.Page
		assert.NilError(t, json.Unmarshal(w.Body.Bytes(), &p))
		var got []string
		for _, e := range p.Events {
			got = append(got, e.RequestID)
		}
		assert.DeepEqual(t, got, test.want)
	}
	for _, query := range []string{"since=yesterday", "limit=0", "colour=red", "chat=a&chat=b"} {
		w := httptest.NewRecorder()
		r.Handler().ServeHTTP(w, httptest.NewRequest(http.MethodGet, "/?"+query, nil))
		assert.Equal(t, w.Code, http.StatusBadRequest, query)
	}
}

// Guards against a merged timeline that reorders the events of a process whose
// clock was set back, or that repeats events.
func TestMergeKeepsOrderOfEachProcess(t *testing.T) {
	at := func(process string, sequence uint64, second int) bergamotdale.Event {
		return bergamotdale.Event{Process: process, Sequence: sequence, Time: start.Add(time.Duration(second) * time.Second)}
	}
	a := []bergamotdale.Event{at("a", 1, 1), at("a", 2, 5), at("a", 3, 2), at("a", 4, 6)}
	b := []bergamotdale.Event{at("b", 7, 3), at("b", 8, 4)}
	var got []string
	for _, e := range recorder.Merge(a, b, a[1:3]) {
		got = append(got, fmt.Sprint(e.Process, e.Sequence))
	}
	assert.DeepEqual(t, got, []string{"a1", "b7", "b8", "a2", "a3", "a4"})
}

func BenchmarkRecord(b *testing.B) {
	r := &recorder.Ring{Process: "router-a1", Clock: bergamotdale.SystemClock{}}
	b.ReportAllocs()
	for b.Loop() {
		r.Record(bergamotdale.Event{Kind: "test", RequestID: "r"})
	}
}
