package follower

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/juju/errors"
	"go.uber.org/zap"

	"github.com/bergamotdale/bergamotdale"
	"github.com/bergamotdale/bergamotdale/reviser"
	"github.com/bergamotdale/bergamotdale/splitter"
	"github.com/bergamotdale/bergamotdale/validator"
)

const (
	// watchWait bounds one long poll. Each poll returns the head of 16 KB even
	// without a change. At 30 s that takes 0.5 KB/s of the budget of 15 KB/s
	// per router, and 360 routers make 12 reads a second. HintRevision covers
	// connections that fail silently in the meantime.
	watchWait = 30 * time.Second
	// watchGrace is the time past watchWait after which a long poll without a
	// response is cancelled, because its connection may have failed without an
	// error (F10).
	watchGrace = 2 * time.Second
	// callTimeout bounds one call to the store or a peer.
	callTimeout = time.Second
	// sectionHedgeDelay is how long the store may take to respond to the read of a
	// section before peers are asked too.
	sectionHedgeDelay = 150 * time.Millisecond
	// retryPause is the mean pause after a failure. An accepted revision has to be
	// in force at every router within 4 s (I7); the pause is short enough for a
	// revision that is accepted just after an outage of the store.
	retryPause = time.Second
	// startPeerCount is the number of peers that are asked at startup, after a
	// hint, or for a section.
	startPeerCount = 5
	// outagePeerCount is the number of peers that are asked after every
	// retryPause while the store does not respond. Two requests a second take
	// less than 1 KB/s.
	outagePeerCount = 2
)

// Follower holds the configuration in force on a router and replaces it when the
// store or a peer has a higher revision. Its exported fields are set before Run.
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

	current atomic.Pointer[activeConfig]
	// adoptMu serialises Adopt, which Run and Apply both call.
	adoptMu sync.Mutex
	// lastStoreResponse is the time of the last call to which the store responded.
	lastStoreResponse atomic.Pointer[time.Time]

	mu sync.Mutex
	// changed is closed and replaced when a revision is installed.
	changed chan struct{}
	// hint is closed and replaced when HintRevision names a higher revision
	// than before.
	hint chan struct{}
	// hintedRevision is the highest revision that HintRevision named.
	hintedRevision int64
	// started is closed at the end of loadInitial.
	started chan struct{}
}

// activeConfig is a revision that a router serves. It is immutable once
// installed.
type activeConfig struct {
	head     *reviser.Head
	document *validator.Document
	config   *validator.Config
	// sections holds the section data by hash. Requests of peers are served from
	// it, and sections that the next revision keeps need not be fetched again.
	sections map[string][]byte
	// since is the time at which the revision was installed.
	since time.Time
}

// Current returns the configuration in force, or nil before the first one is
// known. It takes no lock and is cheap enough to be called for every request.
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
// installed. A caller that gets the channel before it reads Current misses no
// revision.
func (f *Follower) Changed() <-chan struct{} {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.initChannels()
	return f.changed
}

// Started returns a channel that is closed once the search for a configuration
// at startup has ended: the store or a peer has supplied one, or the store has
// no valid one. A router serves only afterwards, and only if Current is not nil.
func (f *Follower) Started() <-chan struct{} {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.initChannels()
	return f.started
}

// initChannels creates the channels at the first use. The caller holds mu.
func (f *Follower) initChannels() {
	if f.changed == nil {
		f.changed = make(chan struct{})
		f.hint = make(chan struct{})
		f.started = make(chan struct{})
	}
}

// HintRevision tells the follower which revision a peer has in force. If it is
// higher than its own, the follower asks its peers for the head at once instead
// of waiting for the long poll, whose connection may have failed silently.
func (f *Follower) HintRevision(revision int64) {
	if revision <= f.revision() {
		return
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.initChannels()
	if revision <= f.hintedRevision {
		return
	}
	f.hintedRevision = revision
	close(f.hint)
	f.hint = make(chan struct{})
}

func (f *Follower) hintChannel() <-chan struct{} {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.initChannels()
	return f.hint
}

// isBehind reports whether HintRevision named a higher revision than the one in
// force.
func (f *Follower) isBehind() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.hintedRevision > f.revision()
}

func (f *Follower) revision() int64 {
	if c := f.current.Load(); c != nil {
		return c.head.Revision
	}
	return 0
}

// Run follows the configuration until the context is done.
func (f *Follower) Run(ctx context.Context) error {
	f.loadInitial(ctx)
	var seen int64
	for ctx.Err() == nil {
		hint := f.hintChannel()
		version, err := f.followHead(ctx, seen, hint)
		if err == nil || errors.Is(err, errHinted) {
			seen = version
			if !f.isBehind() {
				continue
			}
			if f.catchUpFromPeers(ctx, startPeerCount); !f.isBehind() {
				continue
			}
			// No peer has supplied the revision. A new call may use another
			// connection than the long poll.
			err = f.readHead(ctx)
		}
		if err != nil && ctx.Err() == nil {
			f.Logger.Warn("configuration not updated from the store", zap.Error(err), zap.Int64("revision", f.revision()))
			f.catchUpFromPeers(ctx, outagePeerCount)
			f.waitBeforeRetry(ctx, hint)
		}
	}
	return nil
}

// loadInitial queries peers and the store until one of them has supplied a
// configuration or the store has responded that it has none. A malformed or
// invalid configuration counts as none.
func (f *Follower) loadInitial(ctx context.Context) {
	for ctx.Err() == nil {
		f.catchUpFromPeers(ctx, startPeerCount)
		entry, err := f.getFromStore(ctx, reviser.HeadKey)
		switch {
		case err == nil:
			err = f.adoptEntry(ctx, entry)
		case isNotFound(err):
			err = nil
		}
		if err == nil || f.Current() != nil {
			f.mu.Lock()
			f.initChannels()
			close(f.started)
			f.mu.Unlock()
			return
		}
		f.Logger.Warn("no configuration loaded at startup, retrying", zap.Error(err))
		f.waitBeforeRetry(ctx, f.hintChannel())
	}
}

// readHead reads the head from the store and adopts it.
func (f *Follower) readHead(ctx context.Context) error {
	entry, err := f.getFromStore(ctx, reviser.HeadKey)
	if err != nil {
		return err
	}
	return f.adoptEntry(ctx, entry)
}

// followHead waits until the version of the head key is above seen and adopts
// the head. It returns the version to wait on next.
func (f *Follower) followHead(ctx context.Context, seen int64, hint <-chan struct{}) (int64, error) {
	entry, err := f.watchHead(ctx, seen, hint)
	switch {
	case isNotFound(err) && seen == 0:
		// No configuration has been applied yet. The pause limits the rate of
		// reads at a store that does not block on a missing key.
		f.waitBeforeRetry(ctx, hint)
		return seen, nil
	case err != nil:
		return seen, err
	case entry.Version == seen:
		return seen, nil
	}
	if err := f.adoptEntry(ctx, entry); err != nil {
		return seen, err
	}
	return entry.Version, nil
}

// adoptEntry adopts the head in an entry of the store. A malformed head is
// logged and ignored: the last revision stays in force.
func (f *Follower) adoptEntry(ctx context.Context, entry bergamotdale.Entry) error {
	head, ok := f.decodeHead(entry)
	if !ok {
		return nil
	}
	return f.Adopt(ctx, head)
}

func (f *Follower) decodeHead(entry bergamotdale.Entry) (*reviser.Head, bool) {
	head, err := reviser.DecodeHead(entry.Value)
	if err != nil {
		f.Logger.Error("malformed configuration head ignored", zap.Error(err))
	}
	return head, err == nil
}

// Adopt puts the head's revision in force if it is higher than the current one.
// It returns an error only if a later attempt can succeed; an invalid revision
// is logged and ignored.
func (f *Follower) Adopt(ctx context.Context, head *reviser.Head) error {
	f.adoptMu.Lock()
	defer f.adoptMu.Unlock()
	previous := f.current.Load()
	if previous != nil && head.Revision <= previous.head.Revision {
		f.logMismatch(previous.head, head)
		return nil
	}
	data, err := f.fetchSections(ctx, head.Sections)
	if err != nil {
		return err
	}
	next, err := compile(head, data)
	if err != nil {
		// The same data would fail again, so there is no retry. Only a later
		// revision can correct it.
		f.Logger.Error("invalid configuration revision ignored", zap.Int64("refused", head.Revision), zap.Error(err))
		f.recordEvent("configuration-refused", head.Revision, err.Error())
		return nil
	}
	f.install(next)
	return nil
}

// logMismatch logs a head that contradicts the revision in force: either the
// store has lost revisions, or two writes have produced the same revision.
func (f *Follower) logMismatch(own, other *reviser.Head) {
	switch {
	case other.Revision < own.Revision:
		f.Logger.Error("configuration head with a lower revision ignored",
			zap.Int64("revision", own.Revision), zap.Int64("ignored", other.Revision))
	case own.Nonce() != other.Nonce():
		f.Logger.Error("configuration head with the same revision but a different nonce ignored",
			zap.Int64("revision", own.Revision), zap.String("ignored-nonce", other.Nonce()))
	}
}

func compile(head *reviser.Head, data map[string][]byte) (*activeConfig, error) {
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
	return &activeConfig{head: head, document: document, config: config, sections: sections}, nil
}

// install puts a revision in force. It panics if the revision would not be higher
// than the previous one, since the revision in force never goes back (I7). Adopt
// has compared both revisions under the same lock, so a violation is a bug in this
// package.
func (f *Follower) install(next *activeConfig) {
	next.since = f.Clock.Now()
	previous := f.current.Swap(next)
	if previous != nil && next.head.Revision <= previous.head.Revision {
		panic(fmt.Sprintf("follower: revision %d would replace revision %d, but the revision in force must increase (I7)", next.head.Revision, previous.head.Revision))
	}
	f.mu.Lock()
	f.initChannels()
	close(f.changed)
	f.changed = make(chan struct{})
	f.mu.Unlock()
	f.Logger.Info("configuration in force", zap.Int64("revision", next.head.Revision),
		zap.String("author", next.head.History[0].Author))
	f.recordEvent("configuration-in-force", next.head.Revision, next.head.History[0].Comment)
}

func (f *Follower) recordEvent(kind string, revision int64, detail string) {
	f.Recorder.Record(bergamotdale.Event{Kind: kind, Revision: revision, Detail: detail})
}

// waitBeforeRetry waits for a random time around retryPause, so that the routers
// do not all return to a recovering store at the same moment. A hint ends the
// wait early.
func (f *Follower) waitBeforeRetry(ctx context.Context, hint <-chan struct{}) {
	d := retryPause/2 + rand.N(retryPause)
	select {
	case <-f.Clock.After(d):
	case <-hint:
	case <-ctx.Done():
	}
}
