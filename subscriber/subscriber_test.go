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

// jsonDialect decodes documents that are the JSON form of the types.
type jsonDialect struct{ bergamotdale.Dialect }

func (jsonDialect) TrafficConfig(data []byte) (*bergamotdale.TrafficConfig, error) {
	c := &bergamotdale.TrafficConfig{}
	return c, errors.Trace(json.Unmarshal(data, c))
}

func (jsonDialect) EndpointRecord(id string, data []byte) (bergamotdale.EndpointRecord, error) {
	e := bergamotdale.EndpointRecord{}
	err := json.Unmarshal(data, &e)
	e.ID = id
	return e, errors.Trace(err)
}

// Guards against a state whose age is unknown or too small, because another router
// supplied content that is older than the uptime of this VM: API keys would be
// trusted that may have been revoked.
func TestAgeOfContentOlderThanTheVM(t *testing.T) {
	var s *subscriber.Subscriber
	published := make(chan time.Duration, 1)
	store := &scriptedStore{answers: make(chan answer, 1), calls: make(chan int64, 2)}
	s = &subscriber.Subscriber{
		Store: store, Dialect: jsonDialect{}, Clock: bergamotdale.SystemClock{}, Logger: zap.NewNop(),
		Elapsed: func() time.Duration { return 3 * time.Second },
		OnChange: func(*subscriber.State) {
			age, known := s.Age()
			assert.Check(t, known)
			published <- age
		},
	}
	store.answers <- answer{batch: bergamotdale.Batch{Revision: 5, Lag: 10 * time.Second}}
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	go func() { _ = s.Run(ctx) }()
	assert.Equal(t, <-published, 10*time.Second)
}

// answer is the result of one call to scriptedStore.
type answer struct {
	batch bergamotdale.Batch
	err   error
}

// scriptedStore is a store whose calls block until the test supplies an answer.
type scriptedStore struct {
	answers chan answer
	// calls receives the revision of each call to Changes, and 0 for Range.
	calls chan int64
}

func (s *scriptedStore) next(ctx context.Context, after int64) (bergamotdale.Batch, error) {
	select {
	case s.calls <- after:
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

func (s *scriptedStore) Range(ctx context.Context, _ string, _ bergamotdale.Position) (bergamotdale.Batch, error) {
	return s.next(ctx, 0)
}

func (s *scriptedStore) Changes(ctx context.Context, _ string, after bergamotdale.Position, _ time.Duration) (bergamotdale.Batch, error) {
	return s.next(ctx, after.Revision)
}

func marshal(t *testing.T, v any) []byte {
	data, err := json.Marshal(v)
	assert.NilError(t, err)
	return data
}

func config(t *testing.T, version int64) bergamotdale.Entry {
	return bergamotdale.Entry{Key: "config", Value: marshal(t, bergamotdale.TrafficConfig{Version: version}), Version: version}
}

func record(t *testing.T, id string, draining bool) bergamotdale.Entry {
	return bergamotdale.Entry{Key: "endpoint/" + id, Value: marshal(t, bergamotdale.EndpointRecord{Service: "s", Address: "a", Draining: draining}), Version: 1}
}

func start(t *testing.T) (*subscriber.Subscriber, *scriptedStore) {
	s := &scriptedStore{answers: make(chan answer), calls: make(chan int64)}
	started := time.Now()
	d := &subscriber.Subscriber{
		Store: s, Dialect: jsonDialect{}, Clock: bergamotdale.SystemClock{}, Logger: zap.NewNop(),
		Layout:  bergamotdale.StoreLayout{ConfigKey: "config", EndpointPrefix: "endpoint/"},
		Elapsed: func() time.Duration { return time.Since(started) + time.Hour },
	}
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() { _ = d.Run(ctx); close(done) }()
	t.Cleanup(func() { cancel(); <-done })
	return d, s
}

// answerCall waits for the next call, checks the revision that it asks for and
// answers it. The answer has been processed when the call after it arrives.
func (s *scriptedStore) answerCall(t *testing.T, want int64, a answer) {
	t.Helper()
	assert.Equal(t, <-s.calls, want)
	s.answers <- a
}

func usableIDs(d *subscriber.Subscriber) []string {
	var ids []string
	for _, e := range d.State().Endpoints("s") {
		if e.Usable(time.Now()) {
			ids = append(ids, e.ID)
		}
	}
	return ids
}

// Guards against lost changes, and against draining or deregistered endpoints
// that stay usable.
func TestFollowsChanges(t *testing.T) {
	d, s := start(t)
	s.answerCall(t, 0, answer{batch: bergamotdale.Batch{Entries: []bergamotdale.Entry{config(t, 3), record(t, "a", false), record(t, "b", false)}, Revision: 5}})
	s.answerCall(t, 5, answer{batch: bergamotdale.Batch{Revision: 8, Changes: []bergamotdale.Change{
		{Entry: record(t, "a", true)}, {Entry: config(t, 4)}, {Entry: record(t, "c", false)},
		{Entry: bergamotdale.Entry{Key: "endpoint/b"}, Deleted: true}, {Entry: bergamotdale.Entry{Key: "other"}},
	}}})
	assert.Equal(t, <-s.calls, int64(8))
	assert.Equal(t, d.State().Table.Version(), int64(4))
	assert.DeepEqual(t, usableIDs(d), []string{"c"})
	_, known := d.Age()
	assert.Assert(t, known)
}

// Guards against a configuration that is replaced by an older one or by one that
// cannot be decoded.
func TestConfigurationNeverReverts(t *testing.T) {
	d, s := start(t)
	s.answerCall(t, 0, answer{batch: bergamotdale.Batch{Entries: []bergamotdale.Entry{config(t, 3)}, Revision: 5}})
	malformed := bergamotdale.Entry{Key: "config", Value: []byte("{"), Version: 9}
	s.answerCall(t, 5, answer{batch: bergamotdale.Batch{Revision: 9, Changes: []bergamotdale.Change{{Entry: config(t, 2)}, {Entry: malformed}}}})
	assert.Equal(t, <-s.calls, int64(9))
	assert.Equal(t, d.State().Table.Version(), int64(3))
}

// Guards against missing the changes of endpoints that lie in the part of the
// history that the store has compacted.
func TestCompactedHistoryIsReadAgain(t *testing.T) {
	d, s := start(t)
	s.answerCall(t, 0, answer{batch: bergamotdale.Batch{Entries: []bergamotdale.Entry{record(t, "a", false), record(t, "b", false)}, Revision: 5}})
	s.answerCall(t, 5, answer{err: errors.Annotate(bergamotdale.ErrCompacted, "call")})
	s.answerCall(t, 0, answer{batch: bergamotdale.Batch{Entries: []bergamotdale.Entry{record(t, "a", true), record(t, "c", false)}, Revision: 9}})
	assert.Equal(t, <-s.calls, int64(9))
	assert.DeepEqual(t, usableIDs(d), []string{"c"})
}

// Guards against a fleet without endpoints after an outage of the store: the
// leases of their records expire during the outage, and the endpoints register
// again up to two seconds later.
func TestLapsedEndpointsStayUsableForGracePeriod(t *testing.T) {
	d, s := start(t)
	s.answerCall(t, 0, answer{batch: bergamotdale.Batch{Entries: []bergamotdale.Entry{record(t, "a", false)}, Revision: 5}})
	s.answerCall(t, 5, answer{err: bergamotdale.ErrUnavailable})
	s.answerCall(t, 5, answer{batch: bergamotdale.Batch{Revision: 6, Changes: []bergamotdale.Change{
		{Entry: bergamotdale.Entry{Key: "endpoint/a"}, Deleted: true},
	}}})
	assert.Equal(t, <-s.calls, int64(6))
	assert.DeepEqual(t, usableIDs(d), []string{"a"})
	lapsed := d.State().Endpoints("s")[0]
	assert.Assert(t, !lapsed.Usable(lapsed.LapsedAt.Add(subscriber.LapseGrace)), "a lapsed endpoint is still usable after the grace period")
}

// Guards against an endpoint that gets new work after it left, because this router had
// lost the store when the record was removed although the store had not failed, and
// against a lapse that lasts longer than the store allows.
func TestRemovalsDuringAnOutageOfThisRouterOnly(t *testing.T) {
	d, s := start(t)
	s.answerCall(t, 0, answer{batch: bergamotdale.Batch{Entries: []bergamotdale.Entry{record(t, "a", false), record(t, "b", false)}, Revision: 5}})
	s.answerCall(t, 5, answer{err: bergamotdale.ErrUnavailable})
	s.answerCall(t, 5, answer{batch: bergamotdale.Batch{Revision: 6, Deletions: bergamotdale.DeletionsMayLapse, LapseLimit: time.Minute, Changes: []bergamotdale.Change{
		{Entry: bergamotdale.Entry{Key: "endpoint/a"}, Deleted: true},
	}}})
	assert.Equal(t, <-s.calls, int64(6))
	assert.DeepEqual(t, usableIDs(d), []string{"a", "b"})
	lapsed := d.State().Endpoints("s")[0]
	assert.Assert(t, lapsed.Usable(lapsed.LapsedAt.Add(time.Minute-1)))
	assert.Assert(t, !lapsed.Usable(lapsed.LapsedAt.Add(time.Minute)))
	// Without a limit the record of b is removed, and that of a too as soon as the
	// removals turn out to be final.
	s.answers <- answer{batch: bergamotdale.Batch{Revision: 7, Deletions: bergamotdale.DeletionsMayLapse, Changes: []bergamotdale.Change{
		{Entry: bergamotdale.Entry{Key: "endpoint/b"}, Deleted: true},
	}}}
	assert.Equal(t, <-s.calls, int64(7))
	assert.DeepEqual(t, usableIDs(d), []string{"a"})
	s.answers <- answer{batch: bergamotdale.Batch{Revision: 7, Deletions: bergamotdale.DeletionsFinal}}
	assert.Equal(t, <-s.calls, int64(7))
	assert.Equal(t, len(usableIDs(d)), 0)
}

// Guards against a router that started during an outage from the content of others, and
// so noticed no failure, and gives work to no endpoint when the records have lapsed
// (schedule 2164 of 104 routers).
func TestLapseAfterAStartDuringAnOutage(t *testing.T) {
	d, s := start(t)
	s.answerCall(t, 0, answer{batch: bergamotdale.Batch{Entries: []bergamotdale.Entry{record(t, "a", false)}, Revision: 5}})
	s.answerCall(t, 5, answer{batch: bergamotdale.Batch{Revision: 6, Deletions: bergamotdale.DeletionsMayLapse, LapseLimit: time.Minute, Changes: []bergamotdale.Change{
		{Entry: bergamotdale.Entry{Key: "endpoint/a"}, Deleted: true},
	}}})
	assert.Equal(t, <-s.calls, int64(6))
	assert.DeepEqual(t, usableIDs(d), []string{"a"})
}

// Guards against an age that counts from the response: a response confirms only
// the state at the time of the call, minus the lag of the response.
func TestAgeCountsFromCall(t *testing.T) {
	d, s := start(t)
	s.answerCall(t, 0, answer{batch: bergamotdale.Batch{Revision: 5}})
	s.answerCall(t, 5, answer{batch: bergamotdale.Batch{Revision: 5, Lag: time.Second}})
	before, _ := d.Age()
	assert.Equal(t, <-s.calls, int64(5))
	after, _ := d.Age()
	assert.Assert(t, after >= before, "a watch that lags by 1 s must not confirm a state newer than the previous read")
}

// Guards against a record that is not reported because only its sequence has changed, and
// against one that counts as written later than it may have been.
func TestRecordsAreReported(t *testing.T) {
	readings := make(chan subscriber.Reading, 8)
	s := &scriptedStore{answers: make(chan answer), calls: make(chan int64)}
	began := time.Now()
	d := &subscriber.Subscriber{
		Store: s, Dialect: jsonDialect{}, Clock: bergamotdale.SystemClock{}, Logger: zap.NewNop(),
		Layout:   bergamotdale.StoreLayout{ConfigKey: "config", EndpointPrefix: "endpoint/"},
		Elapsed:  func() time.Duration { return time.Since(began) + time.Hour },
		OnRecord: func(r subscriber.Reading) { readings <- r },
	}
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	go func() { _ = d.Run(ctx) }()
	written := func(sequence int64) bergamotdale.Entry {
		value := marshal(t, bergamotdale.EndpointRecord{Service: "s", Address: "a", Sequence: sequence})
		return bergamotdale.Entry{Key: "endpoint/a", Value: value, Version: sequence}
	}
	s.answerCall(t, 0, answer{batch: bergamotdale.Batch{Entries: []bergamotdale.Entry{written(4)}, Revision: 5, Lag: time.Second}})
	first := <-readings
	assert.Assert(t, first.Initial && first.WrittenAfter.IsZero() && first.Revision == 4 && !first.ReadAt.Before(began))
	s.answerCall(t, 5, answer{batch: bergamotdale.Batch{Changes: []bergamotdale.Change{{Entry: written(6)}}, Revision: 6}})
	second := <-readings
	assert.Assert(t, !second.Initial && second.Sequence == 6)
	assert.Assert(t, !second.WrittenAfter.After(first.ReadAt.Add(-time.Second)) && second.WrittenAfter.After(began.Add(-2*time.Second)), second.WrittenAfter)
}
