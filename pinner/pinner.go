package pinner

import (
	"context"
	"slices"
	"sync"
	"time"

	"go.uber.org/zap"

	"github.com/bergamotdale/bergamotdale"
	"github.com/bergamotdale/bergamotdale/chronicler"
	"github.com/bergamotdale/bergamotdale/subscriber"
)

// StorePath and FindPath are the paths of a StoreRequest and a FindRequest below
// /peer/v1/.
const (
	StorePath = "store-pins"
	FindPath  = "find-pin"
)

const (
	// copies is the number of other routers that store a pin. With the router that
	// relays the stream, one more than may be lost at once.
	copies = 2
	// maxStoreTries is the number of routers that are asked to store one copy of a pin.
	maxStoreTries = 3
	// storeWait is how long the first event of a stream waits until another router has
	// stored the pin. The stream goes on without that afterwards.
	storeWait = 60 * time.Millisecond
	// callTimeout is the timeout of a message.
	callTimeout = 250 * time.Millisecond
	// findBatch is the number of routers that are asked for a pin at once: those that
	// store it, and one more for a router that has just started or stopped. If one of
	// them does not respond, as many others are asked.
	findBatch = copies + 1
	// retryInterval is the time after which pins that could not be stored where they have
	// to be are sent again.
	retryInterval = 500 * time.Millisecond
	// maxRecords is the largest number of pins in a message.
	maxRecords = 512
	// MaxStreamAge bounds the time for which a stream may be taken up if its route has
	// no timeout.
	MaxStreamAge = time.Minute
	// maxLifetime bounds the time for which a pin is kept.
	maxLifetime = 10 * time.Minute
)

// StoreRequest carries pins to a router that stores them.
type StoreRequest struct {
	Records []Record `json:"records"`
}

// StoreResponse acknowledges a StoreRequest.
type StoreResponse struct{}

// FindRequest asks for the pin of a stream and for what the router has seen of the
// versions of its service.
type FindRequest struct {
	Stream  string `json:"stream"`
	Service string `json:"service"`
}

// FindResponse answers a FindRequest. Record is nil if the router has no pin.
type FindResponse struct {
	Record   *Record  `json:"record,omitempty"`
	Versions Versions `json:"versions"`
}

// Chronicle is what the store keeps of the versions that have served and of the streams
// that they began.
type Chronicle interface {
	// Look returns what the store shows of a stream and its service. It returns an error
	// if the store does not respond.
	Look(ctx context.Context, stream, service string) (chronicler.Evidence, error)
	// IsListed reports whether the store lists the version, and IsMixed whether it lists
	// several of the service.
	IsListed(service, version string) bool
	IsMixed(service string) bool
}

// Pinner stores and finds the pins of streams. Exported fields are set before Run.
type Pinner struct {
	// Self is the ID of this router.
	Self      string
	Peer      bergamotdale.Peer
	Clock     bergamotdale.Clock
	Logger    *zap.Logger
	Chronicle Chronicle
	// Members returns the live routers, this one included, and Joined reports whether
	// they are known since the start.
	Members func() []bergamotdale.Member
	Joined  func() bool
	// Age returns the age of the state that Observe got last, and false if there is none.
	Age func() (time.Duration, bool)
	// Ask asks an endpoint which incarnation it is.
	Ask func(ctx context.Context, e subscriber.Endpoint) (int64, error)
	// MembersChanged receives a value after the live routers have changed.
	MembersChanged <-chan struct{}

	startedAt time.Time

	mu sync.Mutex
	// table holds the pins of this router's streams and those stored for others.
	table   Table
	history History
	// state is the latest state.
	state *subscriber.State
	// maxAge is the largest age of a stream that was asked for or pinned, at least
	// MaxStreamAge.
	maxAge time.Duration

	// unrecorded holds the streams of this router that are not in the store and have to
	// be.
	unrecorded []string
	// newStreams gets a value after unrecorded has got another stream.
	newStreams chan struct{}
	// incomplete is set if a pin may not be stored where it has to be.
	incomplete bool

	// diverged wakes Run up after a service has got another version.
	diverged chan struct{}
}

// New returns a pinner without pins.
func New(self string, clock bergamotdale.Clock) *Pinner {
	return &Pinner{Self: self, Clock: clock, Logger: zap.NewNop(), startedAt: clock.Now(), maxAge: MaxStreamAge, diverged: make(chan struct{}, 1), newStreams: make(chan struct{}, 1)}
}

// Observe records the endpoints of a new state.
func (p *Pinner) Observe(state *subscriber.State) {
	p.mu.Lock()
	p.state = state
	diverged := p.history.Observe(p.Clock.Now(), state)
	p.mu.Unlock()
	if len(diverged) == 0 {
		return
	}
	p.Logger.Info("software versions of services changed", zap.Strings("services", diverged))
	select {
	case p.diverged <- struct{}{}:
	default:
	}
}

// PinCount returns the number of pins.
func (p *Pinner) PinCount() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.table.Len()
}

// Pin records which version writes the events of a stream. It is called before the
// client gets the first event of a response. source is the endpoint if it is not certain
// which incarnation of it answers, else empty. timeLeft is how long the client may take
// the stream up, zero if unknown. While the service has several versions, Pin waits
// until another router has stored the pin, for storeWait at most: a stream that no
// other router knows is refused elsewhere, so that waiting longer would not make it
// safer.
func (p *Pinner) Pin(ctx context.Context, stream string, pin Pin, source Source, timeLeft time.Duration) {
	if timeLeft <= 0 {
		timeLeft = MaxStreamAge
	}
	record := Record{Stream: stream, Pin: pin, Source: source, Origin: p.Self, LifetimeMS: min(timeLeft, maxLifetime).Milliseconds()}
	p.mu.Lock()
	p.maxAge = max(p.maxAge, min(timeLeft, maxLifetime))
	p.table.Put(p.Clock.Now(), record)
	needed := p.isMixed(p.Clock.Now(), pin.Service)
	if needed {
		p.addUnrecorded(stream)
	}
	p.mu.Unlock()
	if !needed {
		return
	}
	stored := make(chan bool, copies)
	// The stream may end before the calls do.
	background := context.WithoutCancel(ctx)
	holders := p.holders(record, p.Members(), copies*maxStoreTries)
	calls := min(copies, len(holders))
	if calls < copies {
		p.markIncomplete()
	}
	for i := range calls {
		// If a router does not respond, one of the others takes its place.
		go func() { stored <- p.storeAtFirst(background, record, every(holders[i:], copies)) }()
	}
	p.awaitStored(ctx, stream, stored, calls)
}

// isMixed reports whether streams of several versions of the service may go on. The lock
// is held.
func (p *Pinner) isMixed(now time.Time, service string) bool {
	return p.history.IsMixed(now, service, p.maxAge) || p.Chronicle.IsMixed(service)
}

// MayBegin reports whether a new stream may begin at the version: the store lists it, so
// that it is known even if all routers are lost.
func (p *Pinner) MayBegin(service, version string) bool {
	return p.Chronicle.IsListed(service, version)
}

// awaitStored waits until one of the calls has stored the pin, all have failed or
// storeWait has passed.
func (p *Pinner) awaitStored(ctx context.Context, stream string, stored <-chan bool, calls int) {
	timeout := p.Clock.After(storeWait)
	for range calls {
		select {
		case ok := <-stored:
			if ok {
				return
			}
		case <-timeout:
			p.Logger.Info("stream goes on before another router has stored its version", zap.String("stream", stream), zap.Duration("after", storeWait))
			return
		case <-ctx.Done():
			return
		}
	}
}

// every returns every n-th member, beginning with the first one.
func every(members []bergamotdale.Member, n int) []bergamotdale.Member {
	var chosen []bergamotdale.Member
	for i := 0; i < len(members); i += n {
		chosen = append(chosen, members[i])
	}
	return chosen
}

// storeAtFirst stores the record at the first of the routers that acknowledges it, and
// reports whether one does.
func (p *Pinner) storeAtFirst(ctx context.Context, record Record, routers []bergamotdale.Member) bool {
	for _, m := range routers {
		if p.store(ctx, m, []Record{record}) {
			return true
		}
	}
	return false
}

// holders returns the first n routers that have to store the record or may do so
// instead, in order: all but this one and the one that relays the stream.
func (p *Pinner) holders(record Record, members []bergamotdale.Member, n int) []bergamotdale.Member {
	// These two are left out after the order is known, so that a router that does not know
	// the origin finds the same ones.
	holders := slices.DeleteFunc(Order(record.Stream, members, n+2), func(m bergamotdale.Member) bool {
		return m.ID == p.Self || m.ID == record.Origin
	})
	return holders[:min(n, len(holders))]
}

// store sends the records to a router and reports whether it has stored them.
func (p *Pinner) store(ctx context.Context, m bergamotdale.Member, records []Record) bool {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	if err := p.Peer.Call(ctx, m.Address, StorePath, StoreRequest{Records: records}, &StoreResponse{}); err != nil {
		p.markIncomplete()
		p.Logger.Debug("failed to store pins at another router", zap.String("peer", m.ID), zap.Int("pins", len(records)), zap.Error(err))
		return false
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, r := range records {
		p.table.MarkStored(r.Stream, m.ID, m.Incarnation)
	}
	return true
}

// Run keeps the pins stored at the routers that have to have them until the context is
// done. Pins move when routers start and end, and those of a service are stored when
// it gets another version.
func (p *Pinner) Run(ctx context.Context) error {
	var members []bergamotdale.Member
	for {
		needed := false
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-p.diverged:
			needed = true
			p.recordOwn()
		case <-p.MembersChanged:
		case <-p.Clock.After(retryInterval):
			needed = p.takeIncomplete()
		}
		// The view of the fleet also changes with rumours.
		if current := p.Members(); !slices.EqualFunc(current, members, storesAlike) {
			members, needed = current, true
		}
		if needed {
			p.StoreMissing(ctx)
		}
	}
}

// storesAlike reports whether a router stores the same pins in both states.
func storesAlike(a, b bergamotdale.Member) bool {
	return a.ID == b.ID && a.Incarnation == b.Incarnation && (a.State == bergamotdale.MemberDraining) == (b.State == bergamotdale.MemberDraining)
}

// takeIncomplete returns and clears incomplete.
func (p *Pinner) takeIncomplete() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	incomplete := p.incomplete
	p.incomplete = false
	return incomplete
}

// markIncomplete makes Run store pins again that could not be stored.
func (p *Pinner) markIncomplete() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.incomplete = true
}

// StoreMissing stores the pins of services with several versions at the routers that
// have to have them and do not yet. Each router that has a pin does so, since the one
// that relayed the stream may have ended.
func (p *Pinner) StoreMissing(ctx context.Context) {
	members := p.Members()
	byRouter := map[string][]Record{}
	p.mu.Lock()
	now := p.Clock.Now()
	for _, r := range p.table.Records(now) {
		if !p.isMixed(now, r.Service) {
			continue
		}
		for _, m := range p.holders(r, members, copies) {
			if !p.table.IsStored(r.Stream, m.ID, m.Incarnation) {
				byRouter[m.ID] = append(byRouter[m.ID], r)
			}
		}
	}
	p.mu.Unlock()
	var calls sync.WaitGroup
	for _, m := range members {
		if records := byRouter[m.ID]; len(records) > 0 {
			calls.Go(func() {
				for batch := range slices.Chunk(records, maxRecords) {
					if !p.store(ctx, m, batch) {
						return
					}
				}
			})
		}
	}
	calls.Wait()
}

// HandleStore stores the pins of another router.
func (p *Pinner) HandleStore(_ context.Context, r StoreRequest) (StoreResponse, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, record := range r.Records {
		p.putStored(record)
	}
	return StoreResponse{}, nil
}

// putStored adds a pin that another router has stored where it has to be. The lock is
// held.
func (p *Pinner) putStored(record Record) {
	p.table.Put(p.Clock.Now(), record)
	for _, m := range p.holders(record, p.Members(), copies) {
		p.table.MarkStored(record.Stream, m.ID, m.Incarnation)
	}
}

// HandleFind answers what this router knows of a stream and its service.
func (p *Pinner) HandleFind(_ context.Context, r FindRequest) (FindResponse, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.Clock.Now()
	response := FindResponse{Versions: p.history.Versions(now, r.Service)}
	if record, ok := p.table.Get(now, r.Stream); ok {
		response.Record = &record
	}
	return response, nil
}
