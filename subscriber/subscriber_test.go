package subscriber_test

import (
	"context"
	"encoding/json"
	"testing"
	"time"

	"github.com/juju/errors"
	"go.uber.org/zap"
	"gotest.tools/v3/assert"

	"github.com/bergamotdale/bergamotdale"
	"github.com/bergamotdale/bergamotdale/subscriber"
)

// plain decodes documents that are the types themselves.
type plain struct{ bergamotdale.Dialect }

func (plain) TrafficConfig(data []byte) (*bergamotdale.TrafficConfig, error) {
	c := &bergamotdale.TrafficConfig{}
	return c, errors.Trace(json.Unmarshal(data, c))
}

func (plain) EndpointRecord(id string, data []byte) (bergamotdale.EndpointRecord, error) {
	e := bergamotdale.EndpointRecord{}
	err := json.Unmarshal(data, &e)
	e.ID = id
	return e, errors.Trace(err)
}

// answer is what the scripted store returns for one call.
type answer struct {
	batch bergamotdale.Batch
	err   error
}

// script is a store that returns one answer a call and then blocks.
type script struct {
	answers chan answer
	// asked receives the revision of each call of Changes, and 0 for Range.
	asked chan int64
}

func (s *script) next(ctx context.Context, after int64) (bergamotdale.Batch, error) {
	select {
	case s.asked <- after:
	case <-ctx.Done():
		return bergamotdale.Batch{}, ctx.Err()
	}
	select {
	case a := <-s.answers:
		return a.batch, a.err
	case <-ctx.Done():
		return bergamotdale.Batch{}, ctx.Err()
	}
}

func (s *script) Range(ctx context.Context, _ string, _ int64) (bergamotdale.Batch, error) {
	return s.next(ctx, 0)
}

func (s *script) Changes(ctx context.Context, _ string, after int64, _ time.Duration) (bergamotdale.Batch, error) {
	return s.next(ctx, after)
}

func value(t *testing.T, v any) []byte {
	data, err := json.Marshal(v)
	assert.NilError(t, err)
	return data
}

func config(t *testing.T, version int64) bergamotdale.Entry {
	return bergamotdale.Entry{Key: "config", Value: value(t, bergamotdale.TrafficConfig{Version: version}), Version: version}
}

func record(t *testing.T, id string, draining bool) bergamotdale.Entry {
	return bergamotdale.Entry{Key: "endpoint/" + id, Value: value(t, bergamotdale.EndpointRecord{Service: "s", Address: "a", Draining: draining}), Version: 1}
}

func start(t *testing.T) (*subscriber.Subscriber, *script) {
	s := &script{answers: make(chan answer), asked: make(chan int64)}
	begun := time.Now()
	d := &subscriber.Subscriber{
		Store: s, Dialect: plain{}, Clock: bergamotdale.SystemClock{}, Logger: zap.NewNop(),
		Layout:  bergamotdale.StoreLayout{ConfigKey: "config", EndpointPrefix: "endpoint/"},
		Elapsed: func() time.Duration { return time.Since(begun) + time.Hour },
	}
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() { _ = d.Run(ctx); close(done) }()
	t.Cleanup(func() { cancel(); <-done })
	return d, s
}

// step answers one call and waits until it was taken in: until the next call.
func (s *script) step(t *testing.T, want int64, a answer) {
	t.Helper()
	assert.Equal(t, <-s.asked, want)
	s.answers <- a
}

func usable(d *subscriber.Subscriber) []string {
	var ids []string
	for _, e := range d.State().Endpoints("s") {
		if e.Usable(time.Now()) {
			ids = append(ids, e.ID)
		}
	}
	return ids
}

// Guards against lost changes and against work for endpoints that are leaving.
func TestFollowsChanges(t *testing.T) {
	d, s := start(t)
	s.step(t, 0, answer{batch: bergamotdale.Batch{Entries: []bergamotdale.Entry{config(t, 3), record(t, "a", false), record(t, "b", false)}, Revision: 5}})
	s.step(t, 5, answer{batch: bergamotdale.Batch{Revision: 8, Changes: []bergamotdale.Change{
		{Entry: record(t, "a", true)}, {Entry: config(t, 4)}, {Entry: record(t, "c", false)},
		{Entry: bergamotdale.Entry{Key: "endpoint/b"}, Deleted: true}, {Entry: bergamotdale.Entry{Key: "other"}},
	}}})
	assert.Equal(t, <-s.asked, int64(8))
	assert.Equal(t, d.State().Table.Version(), int64(4))
	assert.DeepEqual(t, usable(d), []string{"c"})
	_, known := d.Age()
	assert.Assert(t, known)
}

// Guards against a configuration that goes back or is replaced by one that
// cannot be read.
func TestConfigurationNeverReverts(t *testing.T) {
	d, s := start(t)
	s.step(t, 0, answer{batch: bergamotdale.Batch{Entries: []bergamotdale.Entry{config(t, 3)}, Revision: 5}})
	bad := bergamotdale.Entry{Key: "config", Value: []byte("{"), Version: 9}
	s.step(t, 5, answer{batch: bergamotdale.Batch{Revision: 9, Changes: []bergamotdale.Change{{Entry: config(t, 2)}, {Entry: bad}}}})
	assert.Equal(t, <-s.asked, int64(9))
	assert.Equal(t, d.State().Table.Version(), int64(3))
}

// Guards against endpoints that are missed because the store dropped the history
// in which they changed.
func TestCompactedHistoryIsReadAnew(t *testing.T) {
	d, s := start(t)
	s.step(t, 0, answer{batch: bergamotdale.Batch{Entries: []bergamotdale.Entry{record(t, "a", false), record(t, "b", false)}, Revision: 5}})
	s.step(t, 5, answer{err: errors.Annotate(bergamotdale.ErrCompacted, "call")})
	s.step(t, 0, answer{batch: bergamotdale.Batch{Entries: []bergamotdale.Entry{record(t, "a", true), record(t, "c", false)}, Revision: 9}})
	assert.Equal(t, <-s.asked, int64(9))
	assert.DeepEqual(t, usable(d), []string{"c"})
}

// Guards against a fleet without endpoints after an outage of the store: their
// records lapse and are back two seconds later.
func TestLapsedEndpointsStayAWhile(t *testing.T) {
	d, s := start(t)
	s.step(t, 0, answer{batch: bergamotdale.Batch{Entries: []bergamotdale.Entry{record(t, "a", false)}, Revision: 5}})
	s.step(t, 5, answer{err: bergamotdale.ErrUnavailable})
	s.step(t, 5, answer{batch: bergamotdale.Batch{Revision: 6, Changes: []bergamotdale.Change{
		{Entry: bergamotdale.Entry{Key: "endpoint/a"}, Deleted: true},
	}}})
	assert.Equal(t, <-s.asked, int64(6))
	assert.DeepEqual(t, usable(d), []string{"a"})
	lapsed := d.State().Endpoints("s")[0]
	assert.Assert(t, !lapsed.Usable(lapsed.LapsedAt.Add(subscriber.LapseGrace)), "a missing endpoint is gone in the end")
}

// Guards against an age that counts from the answer: what is confirmed is the
// state when the question was asked, less the lag of the answer.
func TestAgeCountsFromTheQuestion(t *testing.T) {
	d, s := start(t)
	s.step(t, 0, answer{batch: bergamotdale.Batch{Revision: 5}})
	s.step(t, 5, answer{batch: bergamotdale.Batch{Revision: 5, Lag: time.Second}})
	before, _ := d.Age()
	assert.Equal(t, <-s.asked, int64(5))
	after, _ := d.Age()
	assert.Assert(t, after >= before, "a watch that may be behind by 1 s confirms nothing newer than the read before it")
}
