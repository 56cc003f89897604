package subscriber_test

import (
	"context"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"go.uber.org/zap"
	"gotest.tools/v3/assert"

	"github.com/bergamotdale/bergamotdale"
	"github.com/bergamotdale/bergamotdale/subscriber"
)

// shiftedClock is the system's clock with a settable lead.
type shiftedClock struct {
	bergamotdale.SystemClock
	lead atomic.Int64
}

func (c *shiftedClock) Now() time.Time { return time.Now().Add(time.Duration(c.lead.Load())) }

// restoredStore plays a store to one subscriber.
type restoredStore struct {
	t     *testing.T
	store *scriptedStore
	clock *shiftedClock
	d     *subscriber.Subscriber
	// position is that of the last response.
	position bergamotdale.Position
}

// newRestoredStore starts a subscriber that reads the entries in era 1.
func newRestoredStore(t *testing.T, entries ...bergamotdale.Entry) *restoredStore {
	r := &restoredStore{t: t, store: &scriptedStore{answers: make(chan answer), calls: make(chan int64)}, clock: &shiftedClock{}}
	began := time.Now()
	r.d = &subscriber.Subscriber{
		Store: r.store, Dialect: jsonDialect{}, Clock: r.clock, Logger: zap.NewNop(),
		Layout:  bergamotdale.StoreLayout{ConfigKey: "config", EndpointPrefix: "endpoint/", EvacuationPrefix: "op/evacuate/"},
		Elapsed: func() time.Duration { return time.Since(began) + time.Hour },
	}
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() { _ = r.d.Run(ctx); close(done) }()
	t.Cleanup(func() { cancel(); <-done })
	r.answer(0, answer{batch: bergamotdale.Batch{Era: 1, Entries: entries, Revision: 50}})
	r.position = bergamotdale.Position{Era: 1, Revision: 50}
	return r
}

func (r *restoredStore) answer(want int64, a answer) {
	r.t.Helper()
	r.store.answerCall(r.t, want, a)
}

// change answers the watch with changes.
func (r *restoredStore) change(changes ...bergamotdale.Change) {
	r.t.Helper()
	after := r.position.Revision
	r.position.Revision++
	r.answer(after, answer{batch: bergamotdale.Batch{Era: r.position.Era, Changes: changes, Revision: r.position.Revision}})
}

// put answers the watch with a record.
func (r *restoredStore) put(id string, record bergamotdale.EndpointRecord) {
	r.t.Helper()
	e := endpointEntry(r.t, id, record)
	e.Version = r.position.Revision + 1
	r.change(bergamotdale.Change{Entry: e})
}

func (r *restoredStore) remove(id string) {
	r.t.Helper()
	r.change(bergamotdale.Change{Entry: bergamotdale.Entry{Key: "endpoint/" + id}, Deleted: true})
}

// restore ends the watch and answers the read with the entries of the next era.
func (r *restoredStore) restore(entries ...bergamotdale.Entry) {
	r.t.Helper()
	r.answer(r.position.Revision, answer{err: bergamotdale.ErrCompacted})
	r.position = bergamotdale.Position{Era: r.position.Era + 1, Revision: 20}
	r.answer(0, answer{batch: bergamotdale.Batch{Era: r.position.Era, Entries: entries, Revision: 20}})
}

// check checks which endpoints get new requests once all responses are applied.
func (r *restoredStore) check(want string) {
	r.t.Helper()
	// The call after this one comes when the response to it has been applied.
	r.change()
	assert.Equal(r.t, <-r.store.calls, r.position.Revision)
	var ids []string
	for _, e := range r.d.State().Endpoints("s") {
		if e.Usable(r.clock.Now()) {
			ids = append(ids, e.ID)
		}
	}
	assert.Equal(r.t, strings.Join(ids, " "), want)
	r.position.Revision++
	r.store.answers <- answer{batch: bergamotdale.Batch{Era: r.position.Era, Revision: r.position.Revision}}
}

func endpointEntry(t *testing.T, id string, record bergamotdale.EndpointRecord) bergamotdale.Entry {
	record.Service, record.Address = "s", "a"
	return bergamotdale.Entry{Key: "endpoint/" + id, Value: marshal(t, record), Version: 3}
}

// Guards against new work for an endpoint that has reported that it leaves, when the
// store is restored from a copy made before that report.
func TestDrainingOutlivesARestore(t *testing.T) {
	ready := bergamotdale.EndpointRecord{Incarnation: 7, Sequence: 4}
	draining := bergamotdale.EndpointRecord{Incarnation: 7, Sequence: 9, Draining: true}
	r := newRestoredStore(t, endpointEntry(t, "a", ready), endpointEntry(t, "b", ready))
	r.put("a", draining)
	r.check("b")
	r.restore(endpointEntry(t, "a", ready), endpointEntry(t, "b", ready))
	r.check("b")
	// Earlier reports that are written again say nothing new, at any time later.
	r.clock.lead.Store(int64(time.Hour))
	r.put("a", bergamotdale.EndpointRecord{Incarnation: 7, Sequence: 8})
	r.check("b")
	r.restore(endpointEntry(t, "a", ready), endpointEntry(t, "b", ready))
	r.check("b")
	r.put("a", bergamotdale.EndpointRecord{Incarnation: 8, Sequence: 1})
	r.check("a b")
}

// Guards against an endpoint that stays draining although it has reported otherwise
// itself since the restore.
func TestOwnReportEndsDraining(t *testing.T) {
	r := newRestoredStore(t, endpointEntry(t, "a", bergamotdale.EndpointRecord{Incarnation: 7, Sequence: 9, Draining: true}))
	r.restore(endpointEntry(t, "a", bergamotdale.EndpointRecord{Incarnation: 7, Sequence: 4}))
	r.check("")
	r.put("a", bergamotdale.EndpointRecord{Incarnation: 7, Sequence: 10})
	r.check("a")
}

// Guards against a revoked key that works again, or a route that returns, because the
// restored store has an earlier version of the configuration, and against a former
// era that is applied after a later one.
func TestConfigurationOutlivesARestore(t *testing.T) {
	r := newRestoredStore(t, config(t, 3))
	r.change(bergamotdale.Change{Entry: config(t, 4)})
	r.restore(config(t, 3))
	r.check("")
	assert.Equal(t, r.d.State().Table.Version(), int64(4))
	assert.Equal(t, r.d.Era(), int64(2))
	r.change(bergamotdale.Change{Entry: config(t, 4)})
	r.change(bergamotdale.Change{Entry: config(t, 5)})
	r.check("")
	assert.Equal(t, r.d.State().Table.Version(), int64(5))
	r.answer(r.position.Revision, answer{err: bergamotdale.ErrCompacted})
	r.answer(0, answer{batch: bergamotdale.Batch{Era: 1, Entries: []bergamotdale.Entry{config(t, 9)}, Revision: 90}})
	r.answer(0, answer{batch: bergamotdale.Batch{Era: 2, Entries: []bergamotdale.Entry{config(t, 5)}, Revision: 30}})
	r.position.Revision = 30
	r.check("")
	assert.Equal(t, r.d.State().Table.Version(), int64(5))
}

// newDeparted returns a store that was restored with the record of endpoint a, which
// the router knows to be gone.
func newDeparted(t *testing.T) *restoredStore {
	record := bergamotdale.EndpointRecord{Incarnation: 7, Sequence: 4}
	r := newRestoredStore(t, endpointEntry(t, "a", record), endpointEntry(t, "b", record))
	r.remove("a")
	r.check("b")
	r.restore(endpointEntry(t, "a", record), endpointEntry(t, "b", record))
	r.check("b")
	return r
}

// Guards against work for an endpoint that is known to be gone, or whose address
// another one has by now, because the store was restored from a copy made before.
func TestDepartureOutlivesARestore(t *testing.T) {
	record := bergamotdale.EndpointRecord{Incarnation: 7, Sequence: 4}
	r := newDeparted(t)
	// Neither the same record, read again after a compaction or a further restore, nor
	// one that is written again with a sequence that was known is a sign of life.
	r.answer(r.position.Revision, answer{err: bergamotdale.ErrCompacted})
	r.answer(0, answer{batch: bergamotdale.Batch{
		Era: 2, Revision: 40, Entries: []bergamotdale.Entry{endpointEntry(t, "a", record), endpointEntry(t, "b", record)},
	}})
	r.position.Revision = 40
	r.check("b")
	r.put("a", record)
	r.check("b")
	r.restore(endpointEntry(t, "a", record), endpointEntry(t, "b", record))
	r.check("b")
	r.remove("a")
	r.clock.lead.Store(int64(subscriber.DoubtPeriod))
	r.check("b")
}

// Guards against an endpoint that is alive and gets no work after a restore.
func TestSignOfLifeEndsTheDoubt(t *testing.T) {
	for _, record := range []bergamotdale.EndpointRecord{{Incarnation: 7, Sequence: 5}, {Incarnation: 8, Sequence: 1}} {
		r := newDeparted(t)
		r.put("a", record)
		r.check("a b")
	}
	// Without any sign the store wins in the end.
	r := newDeparted(t)
	r.clock.lead.Store(int64(subscriber.DoubtPeriod - time.Second))
	r.check("b")
	r.clock.lead.Store(int64(subscriber.DoubtPeriod))
	r.check("a b")
}

// Guards against new work for an endpoint that left after it had said so, when nobody
// writes again after a restore.
func TestDrainingOutlivesTheDoubt(t *testing.T) {
	r := newRestoredStore(t, endpointEntry(t, "a", bergamotdale.EndpointRecord{Incarnation: 7, Sequence: 9, Draining: true}))
	r.remove("a")
	r.restore(endpointEntry(t, "a", bergamotdale.EndpointRecord{Incarnation: 7, Sequence: 4}))
	r.check("")
	r.clock.lead.Store(int64(subscriber.DoubtPeriod))
	r.check("")
}

// Guards against an endpoint that registered after the copy was made, is not back
// within the grace period and gets no work although it has registered again.
func TestRecordMissingInTheCopyIsWrittenAgain(t *testing.T) {
	record := bergamotdale.EndpointRecord{Incarnation: 7, Sequence: 4}
	r := newRestoredStore(t, endpointEntry(t, "a", record))
	r.restore()
	r.check("a")
	r.clock.lead.Store(int64(subscriber.LapseGrace))
	r.put("b", record)
	r.check("b")
	r.put("a", record)
	r.check("a b")
}

// Guards against requests to the address of an earlier run of an endpoint, because the
// restored store has the record from before it was started again.
func TestIncarnationDoesNotFallInARestore(t *testing.T) {
	earlier, current := bergamotdale.EndpointRecord{Incarnation: 7, Sequence: 40}, bergamotdale.EndpointRecord{Incarnation: 8, Sequence: 2}
	r := newRestoredStore(t, endpointEntry(t, "a", earlier))
	r.put("a", current)
	r.restore(endpointEntry(t, "a", earlier))
	r.check("a")
	incarnation := func() int64 { return r.d.State().Endpoints("s")[0].Incarnation }
	assert.Equal(t, incarnation(), int64(8))
	r.put("a", bergamotdale.EndpointRecord{Incarnation: 7, Sequence: 41})
	r.check("a")
	assert.Equal(t, incarnation(), int64(8))
	// It has the grace period to write again, as when its record had expired.
	r.clock.lead.Store(int64(subscriber.LapseGrace))
	r.check("")
	r.put("a", bergamotdale.EndpointRecord{Incarnation: 8, Sequence: 3})
	r.check("a")
	assert.Equal(t, incarnation(), int64(8))
	r.clock.lead.Store(int64(subscriber.DoubtPeriod))
	r.check("a")
	assert.Equal(t, incarnation(), int64(8))
}
