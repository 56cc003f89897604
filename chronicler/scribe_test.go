package chronicler_test

import (
	"context"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/juju/errors"
	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"github.com/bergamotdale/bergamotdale"
	"github.com/bergamotdale/bergamotdale/chronicler"
)

// streamFleet is a fleet of chroniclers that call each other in one process.
type streamFleet struct {
	store    *recordStore
	routers  map[string]*chronicler.Chronicler
	mu       sync.Mutex
	members  []bergamotdale.Member
	silent   map[string]bool
	messages int
	// pending holds the streams of each router that are not in the store.
	pending map[string][]chronicler.Stream
	began   map[string]chan struct{}
}

// Call implements bergamotdale.Peer.
func (f *streamFleet) Call(ctx context.Context, address, path string, request, _ any) error {
	f.mu.Lock()
	f.messages++
	silent := f.silent[address]
	f.mu.Unlock()
	if silent || path != chronicler.RecordPath {
		return errors.Errorf("%s does not respond", address)
	}
	_, err := f.routers[address].HandleRecord(ctx, request.(chronicler.RecordRequest))
	return errors.Trace(err)
}

// Stream implements bergamotdale.Peer.
func (f *streamFleet) Stream(context.Context, string, string, any) (bergamotdale.FrameStream, error) {
	return nil, errors.New("no streams")
}

func newStreamFleet(t *testing.T, count int) *streamFleet {
	f := &streamFleet{
		store: newMixedStore(t), routers: map[string]*chronicler.Chronicler{}, silent: map[string]bool{}, pending: map[string][]chronicler.Stream{}, began: map[string]chan struct{}{},
	}
	ctx, cancel := context.WithCancel(context.Background())
	var running sync.WaitGroup
	t.Cleanup(func() {
		cancel()
		running.Wait()
	})
	for n := range count {
		id := fmt.Sprint("router-", n)
		f.members = append(f.members, bergamotdale.Member{ID: id, Address: id, State: bergamotdale.MemberAlive})
	}
	for _, m := range f.members {
		c := chronicler.New(m.ID, bergamotdale.SystemClock{})
		c.Store, c.Prefix, c.Peer = f.store, prefix, f
		c.Members = func() []bergamotdale.Member {
			f.mu.Lock()
			defer f.mu.Unlock()
			return f.members
		}
		c.Period, c.StreamTime = func() time.Duration { return period }, func() time.Duration { return period }
		c.Pending = func(limit int) []chronicler.Stream {
			f.mu.Lock()
			defer f.mu.Unlock()
			return f.pending[m.ID][:min(limit, len(f.pending[m.ID]))]
		}
		began := make(chan struct{}, 1)
		c.NewStreams, f.began[m.ID] = began, began
		c.Recorded = func(streams []chronicler.Stream) {
			f.mu.Lock()
			defer f.mu.Unlock()
			f.pending[m.ID] = f.pending[m.ID][len(streams):]
		}
		f.routers[m.ID] = c
	}
	for _, c := range f.routers {
		running.Go(func() { _ = c.Run(ctx) })
	}
	return f
}

// newMixedStore returns a store that lists two versions.
func newMixedStore(t testing.TB) *recordStore {
	store := newRecordStore()
	data, err := json.Marshal(chronicler.Document{Era: 1, Services: map[string][]string{service: {"v0", "v1", "v2"}}})
	assert.NilError(t, err)
	assert.NilError(t, store.PutWithLease(context.Background(), prefix+"versions", data, "1"))
	store.writes = 0
	return store
}

// begin begins a stream at a router.
func (f *streamFleet) begin(router, stream, version string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.pending[router] = append(f.pending[router], chronicler.Stream{Hash: chronicler.HashStream(stream), Service: service, Version: version})
	select {
	case f.began[router] <- struct{}{}:
	default:
	}
}

// awaitRecorded waits until all streams are in the store.
func (f *streamFleet) awaitRecorded(t *testing.T) {
	t.Helper()
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		f.mu.Lock()
		defer f.mu.Unlock()
		for router, streams := range f.pending {
			if len(streams) > 0 {
				return poll.Continue("%d streams of %s are missing", len(streams), router)
			}
		}
		return poll.Success()
	}, poll.WithDelay(5*time.Millisecond))
}

// checkShown checks that a router that has just started finds the stream in the store.
func (f *streamFleet) checkShown(t *testing.T, stream, version string) {
	t.Helper()
	started := chronicler.New("started", bergamotdale.SystemClock{})
	started.Store, started.Prefix = f.store, prefix
	evidence, err := started.Look(context.Background(), stream, service)
	assert.NilError(t, err)
	assert.Assert(t, evidence.Stream != nil, "%s is not in the store", stream)
	assert.Equal(t, evidence.Stream.Version, version)
}

// Guards against streams that are lost with all routers, and against a write of the store
// for each stream or each router.
func TestStreamsAreWrittenTogether(t *testing.T) {
	const routers, streams = 20, 400
	f := newStreamFleet(t, routers)
	began := time.Now()
	for n := range streams {
		f.begin(fmt.Sprint("router-", n%routers), fmt.Sprint("stream-", n), fmt.Sprint("v", n%2))
	}
	f.awaitRecorded(t)
	// One scribe writes at most every 100 ms.
	limit := 2 + int(time.Since(began)/(100*time.Millisecond))
	assert.Assert(t, f.store.writeCount() <= limit, "%d writes, %d allowed", f.store.writeCount(), limit)
	for _, n := range []int{0, 1, 17, streams - 1} {
		f.checkShown(t, fmt.Sprint("stream-", n), fmt.Sprint("v", n%2))
	}
}

// Guards against streams that are forgotten because the scribe or the store does not
// respond for a while.
func TestStreamsAreSentAgain(t *testing.T) {
	f := newStreamFleet(t, 3)
	f.store.setSilent(true)
	f.mu.Lock()
	f.silent["router-0"], f.silent["router-1"], f.silent["router-2"] = true, true, true
	f.mu.Unlock()
	for n := range 3 {
		f.begin(fmt.Sprint("router-", n), fmt.Sprint("stream-", n), "v1")
	}
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		f.mu.Lock()
		defer f.mu.Unlock()
		if f.messages >= 3 {
			return poll.Success()
		}
		return poll.Continue("%d messages", f.messages)
	}, poll.WithDelay(5*time.Millisecond))
	f.store.setSilent(false)
	f.mu.Lock()
	clear(f.silent)
	f.mu.Unlock()
	f.awaitRecorded(t)
	for n := range 3 {
		f.checkShown(t, fmt.Sprint("stream-", n), "v1")
	}
}

// Guards against a choice between two versions that are recorded for one stream.
func TestContradictedStreamIsUnknown(t *testing.T) {
	f := newStreamFleet(t, 1)
	f.begin("router-0", "stream", "v1")
	f.begin("router-0", "stream", "v2")
	f.begin("router-0", "other", "v2")
	f.awaitRecorded(t)
	f.checkShown(t, "other", "v2")
	started := chronicler.New("started", bergamotdale.SystemClock{})
	started.Store, started.Prefix = f.store, prefix
	evidence, err := started.Look(context.Background(), "stream", service)
	assert.NilError(t, err)
	assert.Assert(t, evidence.Stream == nil)
}

// FuzzStreams feeds documents of streams of another writer: those that cannot be read
// are left out, and the others count.
func FuzzStreams(f *testing.F) {
	// The first one is good; the others have a group of a version that is not there, half a
	// hash and a negative age, and are nested deeply.
	for _, text := range []string{
		"828182617362763181850060000048ffffffffffffffff", "8281826173627631818505600000480000000000000001",
		"82818261736276318185006000004400000001", "828182617362763181850061650024480000000000000001", strings.Repeat("81", 20000),
	} {
		data, err := hex.DecodeString(text)
		assert.NilError(f, err)
		f.Add(data)
	}
	f.Fuzz(func(t *testing.T, data []byte) {
		store := newRecordStore()
		assert.NilError(t, store.PutWithLease(context.Background(), prefix+"streams/x/1", data, "1"))
		listed, err := json.Marshal(chronicler.Document{Services: map[string][]string{service: {"v1", "v2"}}})
		assert.NilError(t, err)
		assert.NilError(t, store.PutWithLease(context.Background(), prefix+"versions", listed, "1"))
		c := chronicler.New("router-0", bergamotdale.SystemClock{})
		c.Store, c.Prefix = store, prefix
		_, err = c.Look(context.Background(), "stream", service)
		assert.NilError(t, err)
	})
}
