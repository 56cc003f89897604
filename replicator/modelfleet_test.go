package replicator_test

import (
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/juju/errors"
	"go.uber.org/zap"

	"github.com/bergamotdale/bergamotdale"
	"github.com/bergamotdale/bergamotdale/replicator"
	"github.com/bergamotdale/bergamotdale/subscriber"
)

const (
	modelService = "service"
	modelPrefix  = "endpoint/"
	// membershipDelay is how long the member lists show a router that was killed,
	// and joinDelay how long they don't show one that has started.
	membershipDelay = 2500 * time.Millisecond
	joinDelay       = 500 * time.Millisecond
)

// modelDialect decodes documents that are the JSON form of the types.
type modelDialect struct{ bergamotdale.Dialect }

func (modelDialect) EndpointRecord(id string, data []byte) (bergamotdale.EndpointRecord, error) {
	e := bergamotdale.EndpointRecord{}
	err := json.Unmarshal(data, &e)
	e.ID = id
	return e, errors.Trace(err)
}

// modelRecord returns the value of an endpoint's key.
func modelRecord(draining bool) []byte {
	data, err := json.Marshal(bergamotdale.EndpointRecord{Service: modelService, Address: "a", Slots: 4, Draining: draining})
	if err != nil {
		panic(err)
	}
	return data
}

// modelRouter is one router: the real Subscriber, Source and Replica on modelled
// paths. The exported names of these packages decide all that it does.
type modelRouter struct {
	fleet  *modelFleet
	member bergamotdale.Member

	mu        sync.Mutex
	directory *subscriber.Subscriber
	source    *replicator.Source
	replica   *replicator.Replica
	cancel    context.CancelFunc
	// storePath and peerPath are the states of the paths to the store and to the
	// other routers. harmed makes answers to other routers late or lost.
	storePath, peerPath pathState
	harmed              bool
	// cuts counts the faults of each kind that last.
	cuts map[string]int
	// dead is how calls to a router that does not run fail; pathOpen if it runs.
	dead pathState
	// startedAt is the time of the last start.
	startedAt time.Time
	// listed is true while the member lists show the router.
	listed bool
	// disturbedUntil is the end of the last disturbance of this router.
	disturbedUntil time.Time
}

// modelFleet is a fleet of routers around a store in virtual time.
type modelFleet struct {
	store   *modelStore
	bounds  replicator.Bounds
	start   time.Time
	routers []*modelRouter
	byID    map[string]*modelRouter
	done    sync.WaitGroup

	mu sync.Mutex
	// random decides the latencies between routers.
	random  *rand.Rand
	members []bergamotdale.Member
}

// newModelFleet returns a fleet that does not run yet.
func newModelFleet(random *rand.Rand, routers, endpoints int) *modelFleet {
	f := &modelFleet{
		store: newModelStore(rand.New(rand.NewPCG(random.Uint64(), 1))), random: rand.New(rand.NewPCG(random.Uint64(), 2)),
		start: time.Now(), byID: map[string]*modelRouter{},
	}
	for i := range endpoints {
		f.store.write(fmt.Sprintf("%se%d", modelPrefix, i), modelRecord(false))
	}
	for i := range routers {
		id := fmt.Sprintf("r%d", i)
		r := &modelRouter{fleet: f, member: bergamotdale.Member{ID: id, Address: id, FailureDomain: fmt.Sprintf("d%d", i%4)}, cuts: map[string]int{}, listed: true}
		f.routers = append(f.routers, r)
		f.byID[id] = r
	}
	f.updateMembers()
	return f
}

// updateMembers rebuilds the member list.
func (f *modelFleet) updateMembers() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.members = nil
	for _, r := range f.routers {
		r.mu.Lock()
		if r.listed {
			f.members = append(f.members, r.member)
		}
		r.mu.Unlock()
	}
}

func (f *modelFleet) live() []bergamotdale.Member {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.members
}

// latency returns a random latency of a call to another router.
func (f *modelFleet) latency() time.Duration {
	f.mu.Lock()
	defer f.mu.Unlock()
	return 200*time.Microsecond + randomBelow(f.random, 6*time.Millisecond)
}

// chance returns true with the probability p.
func (f *modelFleet) chance(p float64) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.random.Float64() < p
}

// run starts the router.
func (r *modelRouter) run(parent context.Context) {
	ctx, cancel := context.WithCancel(parent)
	f := r.fleet
	f.mu.Lock()
	random := rand.New(rand.NewPCG(f.random.Uint64(), 3))
	f.mu.Unlock()
	below := func(d time.Duration) time.Duration { return randomBelow(random, d) }
	source := &replicator.Source{
		Self: r.member.ID, Store: &storePath{store: f.store, state: r.pathToStore}, Peer: modelPeer{from: r},
		Logger: zap.NewNop(), Members: f.live, Random: below,
	}
	directory := &subscriber.Subscriber{
		Store: source, Dialect: modelDialect{}, Clock: bergamotdale.SystemClock{}, Logger: zap.NewNop(),
		Layout:  bergamotdale.StoreLayout{ConfigKey: "config", EndpointPrefix: modelPrefix, EvacuationPrefix: "evacuate/"},
		Elapsed: func() time.Duration { return time.Since(f.start) + time.Hour },
		Random:  below,
	}
	replica := replicator.NewReplica(directory.Age)
	directory.OnBatch = func(b bergamotdale.Batch) { replica.Apply(b, source.Hops()) }
	source.OnStoreLost = replica.MarkStoreLost
	source.SetBounds(f.bounds)
	replica.SetBounds(f.bounds)
	r.mu.Lock()
	if r.cancel != nil {
		r.cancel()
	}
	r.directory, r.source, r.replica, r.cancel, r.dead = directory, source, replica, cancel, pathOpen
	r.startedAt = time.Now()
	if now := r.startedAt; now.After(r.disturbedUntil) {
		r.disturbedUntil = now
	}
	r.mu.Unlock()
	f.done.Go(func() { _ = directory.Run(ctx) })
}

// kill ends the router. The state says how calls to it fail from now on.
func (r *modelRouter) kill(state pathState) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.dead = state
	r.cancel()
}

// setListed changes whether the member lists show the router.
func (r *modelRouter) setListed(listed bool) {
	r.mu.Lock()
	r.listed = listed
	r.mu.Unlock()
	r.fleet.updateMembers()
}

func (r *modelRouter) pathToStore() pathState {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.storePath
}

// pathToPeers returns the state in which other routers find this one.
func (r *modelRouter) pathToPeers() pathState {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.dead != pathOpen {
		return r.dead
	}
	return r.peerPath
}

// startedAfter reports whether the router started after the time, which is zero for
// never.
func (r *modelRouter) startedAfter(t time.Time) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return !t.IsZero() && r.startedAt.After(t)
}

// inTouch reports whether rules with a time bound hold for the router.
func (r *modelRouter) inTouch(now time.Time, contact time.Duration) bool {
	r.fleet.store.mu.Lock()
	calm := now.Sub(r.fleet.store.disturbedUntil) >= contact
	r.fleet.store.mu.Unlock()
	r.mu.Lock()
	defer r.mu.Unlock()
	return calm && r.dead == pathOpen && now.Sub(r.disturbedUntil) >= contact
}

// usable returns the endpoints to which the router gives new work, and false if it
// does not run or has read nothing yet.
func (r *modelRouter) usable(now time.Time) (map[string]bool, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.dead != pathOpen {
		return nil, false
	}
	if _, known := r.directory.Age(); !known {
		return nil, false
	}
	used := map[string]bool{}
	for _, e := range r.directory.State().Endpoints(modelService) {
		if e.Usable(now) {
			used[e.ID] = true
		}
	}
	return used, true
}

// modelPeer carries the calls of one router to others.
type modelPeer struct {
	bergamotdale.Peer
	from *modelRouter
}

// Call implements bergamotdale.Peer.
func (p modelPeer) Call(ctx context.Context, address, _ string, request, response any) error {
	f := p.from.fleet
	target := f.byID[address]
	if err := p.deliver(ctx, target, true); err != nil {
		return err
	}
	target.mu.Lock()
	replica, harmed := target.replica, target.harmed
	target.mu.Unlock()
	got, err := replica.Serve(ctx, request.(replicator.Request))
	if err != nil {
		return errors.Trace(err)
	}
	if harmed && f.chance(0.5) {
		if f.chance(0.5) {
			<-ctx.Done()
			return ctx.Err()
		}
		if err := pause(ctx, time.Duration(float64(f.latency())*100), nil); err != nil {
			return err
		}
	}
	if err := p.deliver(ctx, target, false); err != nil {
		return err
	}
	*response.(*replicator.Response) = got
	return nil
}

// deliver takes a call to the target, or its answer back.
func (p modelPeer) deliver(ctx context.Context, target *modelRouter, isCall bool) error {
	for _, r := range []*modelRouter{p.from, target} {
		switch state := r.pathToPeers(); {
		case state == pathReset:
			return pause(ctx, p.from.fleet.latency(), errors.Errorf("connection to %s reset", target.member.ID))
		case state == pathSilent, state == pathOneWay && !isCall:
			<-ctx.Done()
			return ctx.Err()
		}
	}
	return pause(ctx, p.from.fleet.latency(), nil)
}
