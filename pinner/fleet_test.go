package pinner_test

import (
	"context"
	"encoding/json"
	"fmt"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/juju/errors"
	"gotest.tools/v3/assert"

	"github.com/bergamotdale/bergamotdale"
	"github.com/bergamotdale/bergamotdale/chronicler"
	"github.com/bergamotdale/bergamotdale/pinner"
	"github.com/bergamotdale/bergamotdale/subscriber"
)

const (
	service  = "s"
	timeLeft = 15 * time.Second
	maxAge   = 15 * time.Second
)

// fleet is a set of pinners that call each other in one process, on a manual clock.
type fleet struct {
	t *testing.T

	mu      sync.Mutex
	now     time.Time
	members []bergamotdale.Member
	pinners map[string]*pinner.Pinner
	// unreachable holds the routers that do not respond.
	unreachable map[string]bool
	// calls counts the messages by path and receiver.
	calls map[string]map[string]int
	state *subscriber.State
	// running holds the incarnations of the endpoints that respond.
	running map[string]int64
	// stateAge is the age of the state at all routers.
	stateAge time.Duration
	// listed holds the versions that the store lists, and complete whether these are all.
	// The store is silent if storeLost is set.
	listed              []string
	complete, storeLost bool
	// recorded holds the streams in the store by ID.
	recorded map[string]*chronicler.Stream
}

// Look implements pinner.Chronicle.
func (f *fleet) Look(_ context.Context, stream, _ string) (chronicler.Evidence, error) {
	if f.storeLost {
		return chronicler.Evidence{}, errors.New("the store does not respond")
	}
	return chronicler.Evidence{Stream: f.recorded[stream], Versions: f.listed, Complete: f.complete}, nil
}

// IsListed implements pinner.Chronicle.
func (f *fleet) IsListed(_, version string) bool { return slices.Contains(f.listed, version) }

// IsMixed implements pinner.Chronicle.
func (f *fleet) IsMixed(string) bool { return len(f.listed) > 1 }

func newFleet(t *testing.T, size int) *fleet {
	f := &fleet{
		t: t, now: time.UnixMilli(1_800_000_000_000), pinners: map[string]*pinner.Pinner{}, unreachable: map[string]bool{},
		calls: map[string]map[string]int{},
	}
	f.setVersions("v1")
	for i := range size {
		id := fmt.Sprintf("router-%d", i)
		f.members = append(f.members, bergamotdale.Member{
			ID: id, Address: id, FailureDomain: fmt.Sprintf("domain-%d", i%4), State: bergamotdale.MemberAlive, Incarnation: 1,
		})
		f.start(id)
	}
	return f
}

// Now implements bergamotdale.Clock.
func (f *fleet) Now() time.Time {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.now
}

// After implements bergamotdale.Clock. Nothing waits in these tests for long.
func (f *fleet) After(d time.Duration) <-chan time.Time { return time.After(d) }

func (f *fleet) advance(d time.Duration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.now = f.now.Add(d)
}

// Call implements bergamotdale.Peer.
func (f *fleet) Call(ctx context.Context, address, path string, request, response any) error {
	f.mu.Lock()
	p, lost := f.pinners[address], f.unreachable[address]
	if f.calls[path] == nil {
		f.calls[path] = map[string]int{}
	}
	f.calls[path][address]++
	f.mu.Unlock()
	if lost {
		return errors.Errorf("%s does not respond", address)
	}
	data, err := json.Marshal(request)
	if err != nil {
		return errors.Trace(err)
	}
	var answer any
	switch path {
	case pinner.StorePath:
		var r pinner.StoreRequest
		assert.Check(f.t, json.Unmarshal(data, &r))
		answer, err = p.HandleStore(ctx, r)
	case pinner.FindPath:
		var r pinner.FindRequest
		assert.Check(f.t, json.Unmarshal(data, &r))
		answer, err = p.HandleFind(ctx, r)
	}
	if err != nil {
		return errors.Trace(err)
	}
	data, err = json.Marshal(answer)
	if err != nil {
		return errors.Trace(err)
	}
	return errors.Trace(json.Unmarshal(data, response))
}

// Stream implements bergamotdale.Peer.
func (f *fleet) Stream(context.Context, string, string, any) (bergamotdale.FrameStream, error) {
	return nil, errors.New("no streams")
}

// start starts a router, which knows no pins.
func (f *fleet) start(id string) *pinner.Pinner {
	p := pinner.New(id, f)
	p.Chronicle = f
	p.Peer, p.Joined = f, func() bool { return true }
	p.Ask = func(_ context.Context, e subscriber.Endpoint) (int64, error) {
		f.mu.Lock()
		defer f.mu.Unlock()
		if f.running[e.ID] == 0 {
			return 0, errors.Errorf("%s does not respond", e.ID)
		}
		return f.running[e.ID], nil
	}
	p.Age = func() (time.Duration, bool) { return f.stateAge, true }
	p.Members = func() []bergamotdale.Member {
		f.mu.Lock()
		defer f.mu.Unlock()
		return append([]bergamotdale.Member(nil), f.members...)
	}
	p.Observe(f.state)
	f.mu.Lock()
	defer f.mu.Unlock()
	f.pinners[id] = p
	delete(f.unreachable, id)
	return p
}

// kill ends a router. The others do not know yet.
func (f *fleet) kill(id string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.unreachable[id] = true
}

// remove takes a router off the member list.
func (f *fleet) remove(id string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for i, m := range f.members {
		if m.ID == id {
			f.members = append(append([]bergamotdale.Member(nil), f.members[:i]...), f.members[i+1:]...)
			return
		}
	}
}

// restart ends a router and starts it again.
func (f *fleet) restart(id string) {
	f.start(id)
	f.mu.Lock()
	defer f.mu.Unlock()
	f.members = append([]bergamotdale.Member(nil), f.members...)
	for i := range f.members {
		if f.members[i].ID == id {
			f.members[i].Incarnation++
		}
	}
}

// setVersions registers two endpoints of each version.
func (f *fleet) setVersions(versions ...string) {
	var endpoints []subscriber.Endpoint
	for _, v := range versions {
		for n := range 2 {
			endpoints = append(endpoints, subscriber.Endpoint{EndpointRecord: bergamotdale.EndpointRecord{
				ID: fmt.Sprintf("%s-%d", v, n), Service: service, Version: v, Incarnation: f.now.UnixMilli(),
			}})
		}
	}
	f.state = subscriber.NewState(nil, endpoints)
	for _, p := range f.pinners {
		p.Observe(f.state)
	}
}

// storeMissing makes all routers store pins where they have to be.
func (f *fleet) storeMissing() {
	for _, p := range f.pinners {
		p.StoreMissing(context.Background())
	}
}

func (f *fleet) pin(router, stream, version string) {
	f.pinners[router].Pin(context.Background(), stream, pinner.Pin{Service: service, Version: version}, pinner.Source{}, timeLeft)
}

func (f *fleet) find(router, stream string) (pinner.Pin, *bergamotdale.Refusal) {
	return f.pinners[router].Find(context.Background(), pinner.Query{Stream: stream, Service: service, MaxAge: maxAge})
}

// checkFound checks that all routers that respond find the version of the stream.
func (f *fleet) checkFound(stream, version string) {
	f.t.Helper()
	for _, m := range f.members {
		if f.unreachable[m.ID] {
			continue
		}
		found, refusal := f.find(m.ID, stream)
		assert.Assert(f.t, refusal == nil, "%s at %s: %v", stream, m.ID, refusal)
		assert.Equal(f.t, found, pinner.Pin{Service: service, Version: version}, "%s at %s", stream, m.ID)
	}
}

// countCalls returns the number of messages with the path.
func (f *fleet) countCalls(path string) int {
	f.mu.Lock()
	defer f.mu.Unlock()
	n := 0
	for _, calls := range f.calls[path] {
		n += calls
	}
	return n
}
