// Package chronicler keeps in the store what has to outlive all routers at once: which
// software versions of each service have served lately, and which of them began each
// recent stream while there are several.
//
// A router that has just started cannot conclude from the registered endpoints which
// versions have begun the streams that clients take up: a version may have left in the
// meantime. So the versions are listed in one document of the store before new streams
// begin at them, and dropped from it only after they have been gone for longer than a
// stream lasts.
//
// The routers send their new streams to a few of them, the scribes, which write those of
// all in one document up to ten times a second, under a lease that outlives the streams.
//
// Document, Observation and the documents of streams decide and hold data; they do no I/O.
package chronicler

import (
	"context"
	"encoding/json"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/juju/errors"
	"go.uber.org/zap"
	"golang.org/x/sync/errgroup"

	"github.com/bergamotdale/bergamotdale"
	"github.com/bergamotdale/bergamotdale/subscriber"
)

const (
	// versionsKey is the key of the Document below Chronicler.Prefix.
	versionsKey = "versions"
	// streamsKey is the prefix of the keys of streams below Chronicler.Prefix.
	streamsKey = "streams/"
	// checkInterval is the time between two checks whether the document has to change.
	checkInterval = 250 * time.Millisecond
	// turnTime is how long each router waits, for each one before it in the order of
	// their IDs, until it writes a change that is still missing.
	turnTime = 300 * time.Millisecond
	maxTurn  = 3 * time.Second
	// callTimeout is the timeout of a call of the store.
	callTimeout = time.Second
	// streamsAge is the age up to which the streams that were read count as the latest,
	// and streamsTimeout the timeout of a read.
	streamsAge     = 2 * time.Second
	streamsTimeout = 3 * time.Second
	// writeDelay is the initial delay after a failed write, which doubles up to
	// maxWriteDelay.
	writeDelay    = 200 * time.Millisecond
	maxWriteDelay = 5 * time.Second
)

// Chronicler keeps the records of the fleet. Exported fields are set before use.
type Chronicler struct {
	// Self is the ID of this router.
	Self   string
	Store  bergamotdale.RecordStore
	Clock  bergamotdale.Clock
	Logger *zap.Logger
	// Prefix is the prefix of the keys of the records.
	Prefix string
	Peer   bergamotdale.Peer
	// Members returns the live routers, this one included.
	Members func() []bergamotdale.Member
	// Pending returns some of the streams of this router that are not in the store, and
	// Recorded is called when they are.
	Pending  func(limit int) []Stream
	Recorded func([]Stream)
	// NewStreams receives a value after Pending has got another one.
	NewStreams <-chan struct{}
	// StreamTime returns for how long the store keeps a stream.
	StreamTime func() time.Duration
	// Period returns the longest time for which a stream may be taken up.
	Period func() time.Duration
	// FirstStart is set if the fleet has never run before, so that no stream can have
	// begun if the store has no document.
	FirstStart bool

	mu          sync.Mutex
	observation Observation
	// document is the latest one that was read or written, at revision; nil for none. It
	// is not known until isKnown is set.
	document *Document
	revision int64
	isKnown  bool
	era      int64
	// dueSince is the time since which the document has to change; zero if it has not.
	dueSince time.Time

	// found holds the streams of the latest read by hash, with the time at which each was
	// read first.
	found map[uint64]foundStream

	startedAt time.Time
	// documentReads and streamReads merge concurrent reads of the document and of the
	// streams. streamsReadAt is the time of the latest one of the streams, zero for none.
	documentReads reads[*snapshot]
	streamReads   reads[time.Time]
	streamsReadAt time.Time
	scribe        scribe
	// changed wakes Run up.
	changed chan struct{}
}

// New returns a chronicler without records.
func New(self string, clock bergamotdale.Clock) *Chronicler {
	return &Chronicler{
		Self: self, Clock: clock, Logger: zap.NewNop(), startedAt: clock.Now(), changed: make(chan struct{}, 1),
		scribe: scribe{wake: make(chan struct{}, 1)},
	}
}

// Observe records the endpoints of a new state.
func (c *Chronicler) Observe(state *subscriber.State) {
	c.mu.Lock()
	c.observation.Observe(c.Clock.Now(), state)
	c.mu.Unlock()
	c.wake()
}

// Apply applies what a router has read from the store or from another router.
func (c *Chronicler) Apply(b bergamotdale.Batch) {
	c.mu.Lock()
	if b.Era > c.era {
		// A later era may have an earlier revision of the document, or none.
		c.era, c.revision, c.isKnown = b.Era, 0, false
	}
	if b.Entries != nil {
		c.isKnown = true
	}
	for _, e := range b.Entries {
		c.apply(e)
	}
	for _, change := range b.Changes {
		if !change.Deleted {
			c.apply(change.Entry)
		}
	}
	c.mu.Unlock()
	c.wake()
}

// apply applies the value of a key. The lock is held.
func (c *Chronicler) apply(e bergamotdale.Entry) {
	if e.Key != c.Prefix+versionsKey || e.Version <= c.revision {
		return
	}
	d, err := parseDocument(e.Value)
	if err != nil {
		c.Logger.Warn("failed to decode the versions that have served", zap.Int64("revision", e.Version), zap.Error(err))
		d = nil
	}
	c.document, c.revision, c.isKnown = d, e.Version, true
}

func parseDocument(data []byte) (*Document, error) {
	d := &Document{}
	if err := json.Unmarshal(data, d); err != nil {
		return nil, errors.Annotate(err, "decoding the versions that have served")
	}
	return d, nil
}

func (c *Chronicler) wake() {
	select {
	case c.changed <- struct{}{}:
	default:
	}
}

// IsListed reports whether new streams may begin at the version, which the store lists.
func (c *Chronicler) IsListed(service, version string) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.document.contains(service, version)
}

// IsMixed reports whether streams of several versions of the service may go on.
func (c *Chronicler) IsMixed(service string) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.document != nil && len(c.document.Services[service]) > 1
}

// isAnyMixed reports whether the store lists several versions of any service.
func (c *Chronicler) isAnyMixed() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.document == nil {
		return false
	}
	for _, versions := range c.document.Services {
		if len(versions) > 1 {
			return true
		}
	}
	return false
}

// Shared returns the batch without what followers do not need.
func (c *Chronicler) Shared(b bergamotdale.Batch) bergamotdale.Batch {
	isStream := func(key string) bool { return strings.HasPrefix(key, c.Prefix+streamsKey) }
	if slices.ContainsFunc(b.Entries, func(e bergamotdale.Entry) bool { return isStream(e.Key) }) {
		b.Entries = slices.DeleteFunc(slices.Clone(b.Entries), func(e bergamotdale.Entry) bool { return isStream(e.Key) })
	}
	if slices.ContainsFunc(b.Changes, func(e bergamotdale.Change) bool { return isStream(e.Key) }) {
		b.Changes = slices.DeleteFunc(slices.Clone(b.Changes), func(e bergamotdale.Change) bool { return isStream(e.Key) })
	}
	return b
}

// Run keeps the records up to date until the context is done.
func (c *Chronicler) Run(ctx context.Context) error {
	group, ctx := errgroup.WithContext(ctx)
	group.Go(func() error { return c.runDocument(ctx) })
	group.Go(func() error { return c.runRecorder(ctx) })
	group.Go(func() error { return c.runScribe(ctx) })
	return group.Wait()
}

// runDocument keeps the document up to date until the context is done.
func (c *Chronicler) runDocument(ctx context.Context) error {
	delay, prefetched := writeDelay, false
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-c.changed:
		case <-c.Clock.After(checkInterval):
		}
		if !prefetched && c.isAnyMixed() {
			// Clients take streams up right after a restart of all routers.
			prefetched = true
			go func() { _ = c.refreshStreams(ctx) }()
		}
		next, revision, due := c.due()
		if !due {
			continue
		}
		if err := c.write(ctx, next, revision); err != nil {
			c.Logger.Warn("failed to write the versions that have served", zap.Duration("retry-after", delay), zap.Error(err))
			if bergamotdale.Wait(ctx, c.Clock, delay) != nil {
				return ctx.Err()
			}
			delay = min(2*delay, maxWriteDelay)
			continue
		}
		delay = writeDelay
	}
}

// due returns the document that this router has to write now and the revision that it
// replaces, and false if there is none or it is another router's turn.
func (c *Chronicler) due() (Document, int64, bool) {
	turn := c.turn()
	c.mu.Lock()
	defer c.mu.Unlock()
	now := c.Clock.Now()
	if !c.isKnown || c.observation.seenAt == nil {
		return Document{}, 0, false
	}
	next := c.observation.Next(now, c.era, c.document, c.Period(), c.FirstStart && c.revision == 0)
	if c.document != nil && next.equal(c.document) {
		c.dueSince = time.Time{}
		return Document{}, 0, false
	}
	if c.dueSince.IsZero() {
		c.dueSince = now
	}
	return next, c.revision, now.Sub(c.dueSince) >= turn
}

// turn returns how long this router waits for others to write a change.
func (c *Chronicler) turn() time.Duration {
	before := 0
	for _, m := range c.Members() {
		if m.ID < c.Self && m.State != bergamotdale.MemberDraining {
			before++
		}
	}
	return min(time.Duration(before)*turnTime, maxTurn)
}

// write replaces the document of the revision. A conflict is no error: what another
// router has written is read then.
func (c *Chronicler) write(ctx context.Context, d Document, revision int64) error {
	data, err := json.Marshal(d)
	if err != nil {
		return errors.Trace(err)
	}
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	entry, err := c.Store.CompareAndSwap(ctx, c.Prefix+versionsKey, data, revision)
	if errors.Is(err, bergamotdale.ErrConflict) {
		_, err := c.documentReads.do(ctx, c.readDocument)
		return errors.Trace(err)
	}
	if err != nil {
		return errors.Trace(err)
	}
	c.Logger.Info("versions that have served recorded", zap.Any("services", d.Services), zap.Bool("complete", d.Complete), zap.Int64("revision", entry.Version))
	c.mu.Lock()
	defer c.mu.Unlock()
	if entry.Version > c.revision {
		c.document, c.revision = &d, entry.Version
	}
	return nil
}

// Evidence is what the store shows of a stream and its service.
type Evidence struct {
	// Stream is nil if the stream is not in the store.
	Stream *Stream
	// Versions holds the versions of the service that have served, and Complete is set if no other
	// version has begun a stream that can still be taken up.
	Versions []string
	Complete bool
}

// foundStream is a stream that was read from the store, and when it was first.
type foundStream struct {
	Stream
	at time.Time
}

// Look returns what the store shows of a stream and its service: the versions by a read
// that begins now, the stream by one that is at most streamsAge old. It returns an error
// if the store does not respond.
func (c *Chronicler) Look(ctx context.Context, stream, service string) (Evidence, error) {
	if found := c.lookUp(stream); found != nil {
		return Evidence{Stream: found}, nil
	}
	s, err := c.documentReads.do(ctx, c.readDocument)
	if err != nil || s.document == nil {
		return Evidence{}, errors.Trace(err)
	}
	e := Evidence{Versions: s.document.Services[service]}
	if len(e.Versions) > 1 && stream != "" {
		if err := c.refreshStreams(ctx); err != nil {
			return Evidence{}, errors.Trace(err)
		}
		e.Stream = c.lookUp(stream)
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	isUnlisted := func(v string) bool { return !slices.Contains(e.Versions, v) }
	e.Complete = s.document.Complete && s.document.Era == s.era && !slices.ContainsFunc(c.observation.Versions(service), isUnlisted)
	return e, nil
}

// refreshStreams reads the streams if the latest read is older than streamsAge. A stream
// that began since is known to other routers.
func (c *Chronicler) refreshStreams(ctx context.Context) error {
	c.mu.Lock()
	recent := !c.streamsReadAt.IsZero() && c.Clock.Now().Sub(c.streamsReadAt) < streamsAge
	c.mu.Unlock()
	if recent {
		return nil
	}
	_, err := c.streamReads.do(ctx, c.readStreams)
	return errors.Trace(err)
}

// lookUp returns the stream if a read has shown it, else nil.
func (c *Chronicler) lookUp(stream string) *Stream {
	if stream == "" {
		return nil
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	f, ok := c.found[HashStream(stream)]
	if !ok {
		return nil
	}
	aged := f.aged(c.Clock.Now().Sub(f.at))
	return &aged
}

// snapshot is what a read of the document has returned.
type snapshot struct {
	era      int64
	document *Document
}

// readDocument reads the versions that have served from the store.
func (c *Chronicler) readDocument(ctx context.Context) (*snapshot, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	batch, err := c.Store.Range(ctx, c.Prefix+versionsKey, bergamotdale.Position{})
	if err != nil {
		return nil, errors.Trace(err)
	}
	s := &snapshot{era: batch.Era}
	for _, e := range batch.Entries {
		if e.Key == c.Prefix+versionsKey {
			// One that cannot be decoded proves nothing.
			s.document, _ = parseDocument(e.Value)
		}
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if batch.Era == c.era {
		for _, e := range batch.Entries {
			c.apply(e)
		}
	}
	return s, nil
}

// readStreams reads the streams from the store, and returns when the read began. Those
// that were read just now are not read again.
func (c *Chronicler) readStreams(ctx context.Context) (time.Time, error) {
	began := c.Clock.Now()
	c.mu.Lock()
	readAt := c.streamsReadAt
	c.mu.Unlock()
	if !readAt.IsZero() && began.Sub(readAt) < streamsAge {
		return readAt, nil
	}
	ctx, cancel := context.WithTimeout(ctx, streamsTimeout)
	defer cancel()
	batch, err := c.Store.Range(ctx, c.Prefix+streamsKey, bergamotdale.Position{})
	if err != nil {
		return time.Time{}, errors.Trace(err)
	}
	var streams []Stream
	size := 0
	for _, e := range batch.Entries {
		size += len(e.Value)
		some, err := decodeStreams(e.Value)
		if err != nil {
			c.Logger.Warn("failed to decode streams, ignoring them", zap.String("key", e.Key), zap.Error(err))
		}
		streams = append(streams, some...)
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.found, c.streamsReadAt = c.merge(streams), began
	c.Logger.Info("streams read from the store", zap.Int("documents", len(batch.Entries)), zap.Int("bytes", size), zap.Int("streams", len(c.found)),
		zap.Duration("after", c.Clock.Now().Sub(began)))
	return began, nil
}

// merge returns the streams of a read, with the time at which each was read first. The
// lock is held.
func (c *Chronicler) merge(streams []Stream) map[uint64]foundStream {
	now := c.Clock.Now()
	found := make(map[uint64]foundStream, len(streams))
	contradicted := map[uint64]bool{}
	for _, s := range streams {
		other, twice := found[s.Hash]
		if twice && (other.Service != s.Service || other.Version != s.Version) {
			contradicted[s.Hash] = true
		}
		if twice && other.Endpoint == "" {
			continue
		}
		f := foundStream{s, now}
		if former, known := c.found[s.Hash]; known && former.Endpoint == s.Endpoint && former.Version == s.Version {
			f = former
		}
		found[s.Hash] = f
	}
	for hash := range contradicted {
		delete(found, hash)
	}
	return found
}
