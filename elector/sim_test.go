package elector_test

import (
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/bergamotdale/bergamotdale"
	"github.com/bergamotdale/bergamotdale/claimer"
	"github.com/bergamotdale/bergamotdale/elector"
	"github.com/bergamotdale/bergamotdale/storetester"
)

const step = 100 * time.Millisecond

// world runs electors over virtual time on one store, one after the other, so
// that the same seed gives the same run.
type world struct {
	clock   *storetester.Clock
	store   *storetester.Store
	random  *rand.Rand
	names   []string
	routers map[string]*router
	later   []delayed
	process int
	// fault is the probability of a fault per call; pause that of a pause of
	// the router in the middle of a call.
	fault, pause float64
	nested       bool
	// epochs is the highest epoch seen in the store per name, and owners who
	// held or wrote each epoch.
	epochs map[string]bergamotdale.Ownership
	owners map[string]string
	// violation is the first broken rule.
	violation string
}

type delayed struct {
	at  time.Time
	run func()
}

// router is one router with a simple model of its membership.
type router struct {
	*world
	id      string
	process string
	e       *elector.Elector
	up      bool
	paused  bool
	// cut routers do not reach the store.
	cut      bool
	draining bool
	side     int
	// heard is the last contact with each router, seen the time up to which
	// the membership is evaluated, and contact the latest contact with the
	// store that the router knows of.
	heard   map[string]time.Time
	seen    time.Time
	contact time.Time
	due     [3]time.Time
	inbox   []func()
	alone   map[string]time.Time
}

func newWorld(seed uint64, names int) *world {
	c := storetester.NewClock(time.Date(2026, 12, 4, 0, 0, 0, 0, time.UTC))
	w := &world{
		clock: c, store: storetester.New(c), random: rand.New(rand.NewPCG(seed, seed)),
		routers: map[string]*router{}, epochs: map[string]bergamotdale.Ownership{}, owners: map[string]string{},
	}
	for i := range names {
		name := fmt.Sprintf("engine-%02d", i)
		if i%4 == 3 {
			name = fmt.Sprintf("shard/%d", i)
		}
		w.names = append(w.names, name)
	}
	return w
}

// start adds a router or restarts it.
func (w *world) start(id string) *router {
	w.process++
	r := &router{
		world: w, id: id, process: fmt.Sprintf("%s#%d", id, w.process), up: true,
		heard: map[string]time.Time{}, alone: map[string]time.Time{}, seen: w.clock.Now(),
	}
	if old := w.routers[id]; old != nil {
		old.up = false
		r.side = old.side
	}
	self := bergamotdale.Member{ID: id, Address: id, Incarnation: int64(w.process), State: bergamotdale.MemberAlive}
	r.e = elector.New(self, &storePort{w.store, r}, &peerPort{r}, r, w.clock, w.random.Uint64())
	r.e.SetNames(w.names)
	w.routers[id] = r
	return r
}

func (w *world) ids() []string {
	var ids []string
	for id, r := range w.routers {
		if r.up {
			ids = append(ids, id)
		}
	}
	slices.Sort(ids)
	return ids
}

// run advances the virtual time.
func (w *world) run(d time.Duration) {
	for range d / step {
		w.clock.Advance(step)
		now := w.clock.Now()
		due := w.later
		w.later = nil
		for _, l := range due {
			if l.at.After(now) {
				w.later = append(w.later, l)
			} else {
				l.run()
			}
		}
		ids := w.ids()
		w.random.Shuffle(len(ids), func(i, j int) { ids[i], ids[j] = ids[j], ids[i] })
		for _, id := range ids {
			w.routers[id].step(now)
		}
		w.check()
	}
}

// step does what the goroutines of a running router do.
func (r *router) step(now time.Time) {
	if !r.up || r.paused {
		return
	}
	r.seen = now
	for id, o := range r.routers {
		if o.up && !o.paused && o.side == r.side {
			r.heard[id] = now
			if o.contact.After(r.contact) {
				r.contact = o.contact
			}
		}
	}
	for i, loop := range []func(context.Context) time.Duration{r.e.Lease.HeartbeatOnce, r.e.Lease.RenewOnce, r.e.ReconcileOnce} {
		if !now.Before(r.due[i]) {
			wait := loop(context.Background())
			r.due[i] = r.clock.Now().Add(wait)
		}
	}
}

// resume lets a paused router catch up. Like the gossiper it gives members
// that it did not know as dead another chance.
func (r *router) resume() {
	if !r.paused {
		return
	}
	r.paused = false
	r.check()
	now := r.clock.Now()
	for id := range r.heard {
		if r.state(id) != bergamotdale.MemberDead {
			r.heard[id] = now
		}
	}
	r.seen = now
	inbox := r.inbox
	r.inbox = nil
	for _, run := range inbox {
		run()
	}
}

func (r *router) state(id string) bergamotdale.MemberState {
	age := r.seen.Sub(r.heard[id])
	o := r.routers[id]
	switch {
	case id != r.id && age > 6*time.Second:
		return bergamotdale.MemberDead
	case o != nil && o.draining:
		return bergamotdale.MemberDraining
	case id != r.id && age > 3*time.Second:
		return bergamotdale.MemberSuspect
	}
	return bergamotdale.MemberAlive
}

func (r *router) Member(id string) (bergamotdale.Member, bool) {
	_, known := r.heard[id]
	return bergamotdale.Member{ID: id, Address: id, State: r.state(id)}, known || id == r.id
}

func (r *router) Members() []bergamotdale.Member {
	all := []bergamotdale.Member{}
	for id := range r.routers {
		if m, ok := r.Member(id); ok {
			all = append(all, m)
		}
	}
	return all
}

func (r *router) Live() []bergamotdale.Member {
	live := []bergamotdale.Member{}
	for id := range r.routers {
		if m, ok := r.Member(id); ok && m.State != bergamotdale.MemberDead {
			live = append(live, m)
		}
	}
	return live
}

func (r *router) Owners() []string {
	var owners []string
	for _, m := range r.Live() {
		if m.State != bergamotdale.MemberDraining {
			owners = append(owners, m.ID)
		}
	}
	slices.Sort(owners)
	return owners
}

func (r *router) ListedRouters() int { return len(r.routers) }

func (r *router) StoreContactAge() (time.Duration, bool) {
	return r.clock.Now().Sub(r.contact), !r.contact.IsZero()
}

func (r *router) SetStoreContact(at time.Time) {
	if at.After(r.contact) {
		r.contact = at
	}
}

func (w *world) fail(format string, args ...any) {
	if w.violation == "" {
		w.violation = fmt.Sprintf(format, args...)
	}
}

// check looks for two owners of one epoch and for an owner that admits up to
// the full limit while another one admits as well.
func (w *world) check() {
	admits := map[string][]string{}
	full := map[string]string{}
	for id, r := range w.routers {
		if !r.up {
			continue
		}
		for name, h := range r.e.Held() {
			w.own(name, h.Epoch, r.process)
			mode, _ := r.e.Admission(name)
			if mode != elector.ModeNone && !r.paused {
				admits[name] = append(admits[name], id)
			}
			if mode == elector.ModeFull && !r.paused {
				full[name] = id
			}
			r.confirm(name, h)
		}
	}
	for name, id := range full {
		if len(admits[name]) > 1 {
			slices.Sort(admits[name])
			w.fail("%s admits fully to %s at %s while %v admit", id, name, w.clock.Now(), admits[name])
		}
	}
}

// confirm lifts the limit of a new owner once no other router has had load of
// the endpoint for two seconds.
func (r *router) confirm(name string, h elector.Holding) {
	now := r.clock.Now()
	for id, o := range r.routers {
		if _, held := o.e.Held()[name]; held && o.up && id != r.id {
			r.alone[name] = now
		}
	}
	if r.alone[name].IsZero() {
		r.alone[name] = now
	}
	if h.Limit == elector.ModeReduced && now.Sub(r.alone[name]) > 2*time.Second {
		r.e.ConfirmFull(name, h.Epoch)
	}
}

func (w *world) own(name string, epoch int64, process string) {
	key := fmt.Sprintf("%s/%d", name, epoch)
	if other, ok := w.owners[key]; ok && other != process {
		w.fail("%s and %s own epoch %d of %s", other, process, epoch, name)
	}
	w.owners[key] = process
}

// audit checks the records after a write.
func (w *world) audit() {
	for _, name := range w.names {
		entry, err := w.store.Get(context.Background(), claimer.Key(name))
		if err != nil {
			continue
		}
		var o bergamotdale.Ownership
		if err := json.Unmarshal(entry.Value, &o); err != nil {
			w.fail("record of %s: %v", name, err)
		}
		before := w.epochs[name]
		if o.Nonce != before.Nonce && o.Epoch <= before.Epoch {
			w.fail("epoch of %s goes from %d to %d", name, before.Epoch, o.Epoch)
		}
		w.epochs[name] = o
	}
}

// interrupt pauses the router for a while in the middle of a call.
func (r *router) interrupt() {
	if r.nested || r.random.Float64() >= r.pause {
		return
	}
	r.nested = true
	r.paused = true
	r.run(time.Duration(r.random.IntN(250)) * step)
	r.nested = false
	r.resume()
}

// storePort is the store as one router reaches it.
type storePort struct {
	*storetester.Store
	r *router
}

func (s *storePort) down() error {
	s.r.interrupt()
	if s.r.cut || s.r.random.Float64() < s.r.fault {
		return bergamotdale.ErrUnavailable
	}
	return nil
}

func (s *storePort) Get(ctx context.Context, key string) (bergamotdale.Entry, error) {
	if err := s.down(); err != nil {
		return bergamotdale.Entry{}, err
	}
	e, err := s.Store.Get(ctx, key)
	s.r.interrupt()
	return e, err
}

func (s *storePort) CompareAndSwap(ctx context.Context, key string, value []byte, version int64) (bergamotdale.Entry, error) {
	if err := s.down(); err != nil {
		return bergamotdale.Entry{}, err
	}
	defer s.r.audit()
	write := func() (bergamotdale.Entry, error) { return s.Store.CompareAndSwap(ctx, key, value, version) }
	if s.r.random.Float64() < s.r.fault {
		switch s.r.random.IntN(3) {
		case 0:
			_, _ = write()
		case 1:
			ctx = context.Background()
			s.r.defers(func() {
				_, _ = write()
				s.r.audit()
			})
		}
		return bergamotdale.Entry{}, bergamotdale.ErrAmbiguous
	}
	e, err := write()
	s.r.interrupt()
	return e, err
}

func (s *storePort) RenewLease(ctx context.Context, id bergamotdale.LeaseID) error {
	if err := s.down(); err != nil {
		return err
	}
	return s.Store.RenewLease(ctx, id)
}

func (s *storePort) GrantLease(ctx context.Context, ttl time.Duration) (bergamotdale.LeaseID, error) {
	if err := s.down(); err != nil {
		return "", err
	}
	return s.Store.GrantLease(ctx, ttl)
}

func (s *storePort) PutWithLease(ctx context.Context, key string, value []byte, id bergamotdale.LeaseID) error {
	if err := s.down(); err != nil {
		return err
	}
	return s.Store.PutWithLease(ctx, key, value, id)
}

// defers runs f up to 8 s later.
func (w *world) defers(f func()) {
	w.later = append(w.later, delayed{w.clock.Now().Add(time.Duration(w.random.IntN(80)) * step), f})
}

// peerPort carries messages between the routers.
type peerPort struct{ r *router }

func (p *peerPort) Stream(context.Context, string, string, any) (bergamotdale.FrameStream, error) {
	panic("not used")
}

func (p *peerPort) Call(ctx context.Context, address, _ string, request, response any) error {
	p.r.interrupt()
	target := p.r.routers[address]
	unknown := bergamotdale.Refuse(bergamotdale.CodePeer, "lost").WithOutcome(bergamotdale.OutcomeUnknown)
	if target == nil || !target.up || target.side != p.r.side {
		return bergamotdale.Refuse(bergamotdale.CodePeer, "no connection")
	}
	handle := func() {
		if !target.up {
			return
		}
		switch m := request.(type) {
		case elector.HandoverRequest:
			*response.(*elector.HandoverResponse) = target.e.HandleHandover(context.WithoutCancel(ctx), m)
		case elector.ClaimNotice:
			*response.(*elector.ClaimNoticeResponse) = target.e.HandleClaimNotice(m)
		}
	}
	discard := func() {
		kept := response
		response = map[bool]any{true: &elector.HandoverResponse{}, false: &elector.ClaimNoticeResponse{}}[isHandover(request)]
		handle()
		response = kept
	}
	switch {
	case target.paused:
		target.inbox = append(target.inbox, discard)
		return unknown
	case p.r.random.Float64() < p.r.fault:
		p.r.defers(discard)
		return unknown
	case p.r.random.Float64() < p.r.fault:
		discard()
		return unknown
	}
	handle()
	p.r.interrupt()
	return nil
}

func isHandover(request any) bool {
	_, ok := request.(elector.HandoverRequest)
	return ok
}
