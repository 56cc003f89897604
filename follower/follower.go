package follower

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"github.com/bergamotdale/bergamotdale"
	"github.com/bergamotdale/bergamotdale/reviser"
	"github.com/bergamotdale/bergamotdale/splitter"
	"github.com/bergamotdale/bergamotdale/validator"
)

const (
	// watchWait bounds one long poll. Each one returns the head of 16 KB even
	// without a change, which costs 0.5 KB/s of the 15 KB/s of a node; 360
	// routers make 12 reads a second. Hint covers silent connections meanwhile.
	watchWait = 30 * time.Second
	// watchGrace is the time past watchWait after which the connection of a
	// long poll is taken to be silent (F10).
	watchGrace = 2 * time.Second
	// callTimeout bounds one call of the store or a peer.
	callTimeout = time.Second
	// retryPause is the mean pause after a failure. A revision accepted just
	// after an outage still reaches every router within 4 s (I7).
	retryPause = time.Second
	// startSample is the number of peers that are asked at the start or for a
	// section.
	startSample = 5
	// outageSample is the number of peers that are asked each retryPause while
	// the store does not respond. Two questions take under 1 KB/s.
	outageSample = 2
)

// Follower follows the configuration of the store. Its exported fields are set
// before Run.
type Follower struct {
	// Router is the ID of this router.
	Router   string
	Store    bergamotdale.Store
	Peer     bergamotdale.Peer
	Clock    bergamotdale.Clock
	Recorder bergamotdale.Recorder
	Logger   *zap.Logger
	// Peers returns the peer addresses of the other live routers.
	Peers func() []string

	current atomic.Pointer[inForce]
	// installing serialises adopt: Run and Apply both install revisions.
	installing sync.Mutex
	// storeSeen is the time of the last successful call of the store.
	storeSeen atomic.Pointer[time.Time]

	mu sync.Mutex
	// changed is closed and replaced when a revision is installed.
	changed chan struct{}
	// hint is closed and replaced when a peer knows a higher revision.
	hint    chan struct{}
	hinted  int64
	started chan struct{}
}

// inForce is the revision that a router serves. It never changes.
type inForce struct {
	head     *reviser.Head
	document *validator.Document
	config   *validator.Config
	// sections holds the section data by hash, for peers.
	sections map[string][]byte
	since    time.Time
}

// Current returns the configuration in force, or nil before the first one is
// known. It is cheap enough for every request.
func (f *Follower) Current() *validator.Config {
	if c := f.current.Load(); c != nil {
		return c.config
	}
	return nil
}

// Document returns the document in force and its revision, or nil and 0.
func (f *Follower) Document() (*validator.Document, int64) {
	if c := f.current.Load(); c != nil {
		return c.document, c.head.Revision
	}
	return nil, 0
}

// Changed returns a channel that is closed when the next revision has been
// installed. The caller takes the channel before it reads Current.
func (f *Follower) Changed() <-chan struct{} {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.init()
	return f.changed
}

// Started returns a channel that is closed once the store and the peers have
// been asked at the start. A router serves only afterwards, and only if
// Current is not nil.
func (f *Follower) Started() <-chan struct{} {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.init()
	return f.started
}

// init creates the channels; mu is held.
func (f *Follower) init() {
	if f.changed == nil {
		f.changed = make(chan struct{})
		f.hint = make(chan struct{})
		f.started = make(chan struct{})
	}
}

// Hint tells the follower that a peer has a revision in force. If it is higher
// than its own, the follower looks at once instead of relying on a long poll
// whose connection may be silent.
func (f *Follower) Hint(revision int64) {
	if revision <= f.revision() {
		return
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.init()
	if revision <= f.hinted {
		return
	}
	f.hinted = revision
	close(f.hint)
	f.hint = make(chan struct{})
}

func (f *Follower) hints() <-chan struct{} {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.init()
	return f.hint
}

// behind reports whether a hint named a higher revision than the one in force.
func (f *Follower) behind() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.hinted > f.revision()
}

func (f *Follower) revision() int64 {
	if c := f.current.Load(); c != nil {
		return c.head.Revision
	}
	return 0
}

// Run follows the configuration until the context is done.
func (f *Follower) Run(ctx context.Context) error {
	f.start(ctx)
	var seen int64
	for ctx.Err() == nil {
		hint := f.hints()
		version, err := f.follow(ctx, seen, hint)
		if err == nil {
			seen = version
			if f.behind() {
				f.catchUp(ctx, startSample)
			}
			continue
		}
		if ctx.Err() == nil {
			f.Logger.Warn("configuration head not read", zap.Error(err), zap.Int64("revision", f.revision()))
			f.catchUp(ctx, outageSample)
			f.pause(ctx, hint)
		}
	}
	return nil
}

// start asks the store and peers until one of them has a configuration or the
// store certainly has none.
func (f *Follower) start(ctx context.Context) {
	for ctx.Err() == nil {
		f.catchUp(ctx, startSample)
		entry, err := f.get(ctx, reviser.HeadKey)
		switch {
		case err == nil:
			err = f.read(ctx, entry)
		case isNotFound(err):
			err = nil
		}
		if err == nil || f.Current() != nil {
			f.mu.Lock()
			f.init()
			close(f.started)
			f.mu.Unlock()
			return
		}
		f.Logger.Warn("no configuration at the start", zap.Error(err))
		f.pause(ctx, f.hints())
	}
}

// follow waits for a head with a version above seen and adopts it. It returns
// the version that has been dealt with.
func (f *Follower) follow(ctx context.Context, seen int64, hint <-chan struct{}) (int64, error) {
	entry, err := f.watch(ctx, seen, hint)
	switch {
	case isNotFound(err) && seen == 0:
		// No configuration has been applied yet, or this store does not block
		// on a missing key.
		f.pause(ctx, hint)
		return seen, nil
	case err != nil:
		return seen, err
	case entry.Version == seen:
		return seen, nil
	}
	if err := f.read(ctx, entry); err != nil {
		return seen, err
	}
	return entry.Version, nil
}

// read adopts a head read from the store. A malformed head is logged and left
// alone: the last revision stays in force.
func (f *Follower) read(ctx context.Context, entry bergamotdale.Entry) error {
	head, ok := f.decode(entry)
	if !ok {
		return nil
	}
	return f.Adopt(ctx, head)
}

func (f *Follower) decode(entry bergamotdale.Entry) (*reviser.Head, bool) {
	head, err := reviser.DecodeHead(entry.Value)
	if err != nil {
		f.Logger.Error("configuration head refused", zap.Error(err))
	}
	return head, err == nil
}

// Adopt brings the head in force if its revision is higher than the current
// one. It returns an error where a later attempt can succeed.
func (f *Follower) Adopt(ctx context.Context, head *reviser.Head) error {
	f.installing.Lock()
	defer f.installing.Unlock()
	now := f.current.Load()
	if now != nil && head.Revision <= now.head.Revision {
		f.compare(now.head, head)
		return nil
	}
	data, err := f.fetch(ctx, head.Sections)
	if err != nil {
		return err
	}
	next, err := compile(head, data)
	if err != nil {
		// The same data would fail again; the next revision may repair it.
		f.Logger.Error("configuration revision refused", zap.Int64("refused", head.Revision), zap.Error(err))
		f.record("configuration-refused", head.Revision, err.Error())
		return nil
	}
	f.install(next)
	return nil
}

// compare logs a head that contradicts the revision in force: the store has
// gone back, or two heads carry the same revision.
func (f *Follower) compare(own, other *reviser.Head) {
	switch {
	case other.Revision < own.Revision:
		f.Logger.Error("configuration head with a lower revision ignored",
			zap.Int64("revision", own.Revision), zap.Int64("ignored", other.Revision))
	case own.Nonce() != other.Nonce():
		f.Logger.Error("configuration head with the same revision and another nonce ignored",
			zap.Int64("revision", own.Revision), zap.String("ignored-nonce", other.Nonce()))
	}
}

func compile(head *reviser.Head, data map[string][]byte) (*inForce, error) {
	document, err := splitter.Join(data)
	if err != nil {
		return nil, err
	}
	config, err := validator.Compile(document, head.Revision)
	if err != nil {
		return nil, err
	}
	sections := make(map[string][]byte, len(data))
	for name, hash := range head.Sections {
		sections[hash] = data[name]
	}
	return &inForce{head: head, document: document, config: config, sections: sections}, nil
}

// install publishes a revision. It asserts invariant I7: the revision in force
// never falls. adopt has compared both revisions under the same lock, so a
// violation is a fault of this package.
func (f *Follower) install(next *inForce) {
	next.since = f.Clock.Now()
	previous := f.current.Swap(next)
	if previous != nil && next.head.Revision <= previous.head.Revision {
		panic(fmt.Sprintf("follower: I7 violated: revision %d replaces %d", next.head.Revision, previous.head.Revision))
	}
	f.mu.Lock()
	f.init()
	close(f.changed)
	f.changed = make(chan struct{})
	f.mu.Unlock()
	f.Logger.Info("configuration in force", zap.Int64("revision", next.head.Revision),
		zap.String("author", next.head.History[0].Author))
	f.record("configuration-in-force", next.head.Revision, next.head.History[0].Comment)
}

func (f *Follower) record(kind string, revision int64, detail string) {
	f.Recorder.Record(bergamotdale.Event{Kind: kind, Revision: revision, Detail: detail})
}

// pause waits for a random time around retryPause, so that routers do not
// return to a recovering store at once. A hint ends it early.
func (f *Follower) pause(ctx context.Context, hint <-chan struct{}) {
	d := retryPause/2 + rand.N(retryPause)
	select {
	case <-f.Clock.After(d):
	case <-hint:
	case <-ctx.Done():
	}
}
