package committer

import (
	"context"
	"sync"
	"time"

	"github.com/juju/errors"

	"github.com/bergamotdale/bergamotdale/fencer"
	"github.com/bergamotdale/bergamotdale/registrar"
)

// idleWait is how long the loop sleeps when no work is scheduled. A queued
// record wakes it earlier.
const idleWait = time.Hour

// Shard executes the calls of one idempotency shard that this process owns. Its
// methods may be called concurrently. Calls make progress only while Run runs.
type Shard struct {
	settings Settings
	// done is closed when Run ends.
	done chan struct{}

	// fencer is used only by the goroutine of Run, except for ReadSegment and Stats,
	// which are safe for concurrent use.
	fencer *fencer.Fencer
	// nextProbe is when the store is accessed next while it is unavailable. It is
	// used only by the goroutine of Run.
	nextProbe time.Time

	// lock guards the fields below. It is never held during I/O.
	lock         sync.Mutex
	registry     *registrar.Registry
	callsStarted int64
	// cachedSegment is the sealed segment that a repeat read last.
	cachedSegment cachedSegment
}

// cachedSegment is the value of a sealed segment. Sealed segments are immutable,
// so it never becomes stale.
type cachedSegment struct {
	number int64
	value  []byte
}

// Stats holds counters and current sizes of a shard.
type Stats struct {
	fencer.Stats
	// Calls is the number of calls started.
	Calls int64
	// Records is the number of records in memory, Segments the number of sealed
	// segments and Queued the number of records waiting to be committed.
	Records, Segments, Queued int
	// Down reports whether the store is unavailable.
	Down bool
}

// Open takes ownership of a shard: it reads the journal and fences the previous
// owner, which cannot commit any more. It returns ErrFenced if the journal has a
// later epoch, or the same epoch with another owner. After any other error the
// caller may try again with the same epoch.
func Open(ctx context.Context, settings Settings) (*Shard, error) {
	settings = settings.withDefaults()
	if settings.RecordLifetime <= settings.CallTimeout {
		return nil, errors.Errorf("record lifetime %v does not exceed the call timeout %v",
			settings.RecordLifetime, settings.CallTimeout)
	}
	f, journal, err := fencer.Open(ctx, fencer.Settings{
		Shard:    settings.ShardNumber,
		Epoch:    settings.Epoch,
		Owner:    settings.Owner,
		Store:    settings.Store,
		Clock:    settings.Clock,
		Lifetime: settings.RecordLifetime,
		Timeout:  settings.StoreTimeout,
		Interval: settings.WriteInterval,
		Burst:    settings.WriteBurst,
	})
	if err != nil {
		return nil, errors.Trace(err)
	}
	registry := registrar.New(registrar.Settings{
		Shard:      settings.ShardNumber,
		RetryAfter: settings.ProbeInterval,
		StillOwned: settings.StillOwned,
	}, journal)
	return &Shard{settings: settings, done: make(chan struct{}), fencer: f, registry: registry}, nil
}

// Done returns a channel that is closed when the shard has stopped.
func (s *Shard) Done() <-chan struct{} {
	return s.done
}

// Number returns the number of the shard.
func (s *Shard) Number() int {
	return s.settings.ShardNumber
}

// Epoch returns the ownership epoch with which the shard was opened.
func (s *Shard) Epoch() int64 {
	return s.settings.Epoch
}

// Fenced reports whether another owner has taken the shard over. It is also true
// after Run failed for another reason, because another owner cannot be ruled
// out then.
func (s *Shard) Fenced() bool {
	s.lock.Lock()
	defer s.lock.Unlock()
	return s.registry.Fenced()
}

// Stats returns the current statistics.
func (s *Shard) Stats() Stats {
	s.lock.Lock()
	defer s.lock.Unlock()
	return Stats{
		Stats:    s.fencer.Stats(),
		Calls:    s.callsStarted,
		Records:  s.registry.Journal().Len(),
		Segments: len(s.registry.Journal().Head().Sealed),
		Queued:   s.registry.Queued(),
		Down:     s.registry.StoreDown(),
	}
}

// Drain refuses new keys from now on. It waits until no call is in progress and
// every record is committed, until the shard has stopped, or until ctx is done.
func (s *Shard) Drain(ctx context.Context) error {
	s.lock.Lock()
	idle := s.registry.Drain()
	s.lock.Unlock()
	select {
	case <-idle:
		return nil
	case <-s.done:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// Run commits records until ctx is done, or until the shard is fenced or its
// journal cannot be continued. When it is fenced it returns ErrFenced. When Run
// returns, the shard has stopped for good: requests waiting for a commit are
// refused, and calls in progress end without a record.
func (s *Shard) Run(ctx context.Context) error {
	err := s.loop(ctx)
	s.lock.Lock()
	defer s.lock.Unlock()
	// After any error another owner cannot be ruled out, so the shard counts as
	// fenced.
	s.registry.Stop(err != nil, s.settings.Clock.Now())
	close(s.done)
	return err
}

// loop does the work of Run until ctx is done or a step fails.
func (s *Shard) loop(ctx context.Context) error {
	for ctx.Err() == nil {
		if wait := s.timeUntilWork(); wait > 0 {
			select {
			case <-s.registry.Wake():
			case <-s.settings.Clock.After(wait):
			case <-ctx.Done():
			}
			continue
		}
		if err := s.doDueWork(ctx); err != nil {
			return err
		}
	}
	return nil
}

// timeUntilWork returns the time until the next access to the store is due.
func (s *Shard) timeUntilWork() time.Duration {
	s.lock.Lock()
	defer s.lock.Unlock()
	now := s.settings.Clock.Now()
	if s.registry.StoreDown() {
		return s.nextProbe.Sub(now)
	}
	wait := idleWait
	if at, ok := s.registry.Journal().NextExpiry(); ok {
		wait = at.Sub(now)
	}
	if s.registry.Queued() > 0 || s.fencer.GarbageCount() > 0 {
		wait = 0
	}
	return max(wait, s.fencer.NotBefore().Sub(now))
}

// doDueWork commits what is due and deletes one segment that is no longer
// needed. If there is nothing to commit and the store is unavailable, it probes
// the store instead.
func (s *Shard) doDueWork(ctx context.Context) error {
	commit, probe := s.dueWork()
	if probe {
		return s.probeStore(ctx)
	}
	if commit {
		if err := s.commitBatch(ctx); err != nil {
			return err
		}
	}
	if _, down := s.dueWork(); !down {
		s.fencer.CollectGarbage(ctx)
	}
	return nil
}

// dueWork reports whether records or expired segments make a commit due, and
// whether the store has to be probed instead.
func (s *Shard) dueWork() (commit, probe bool) {
	s.lock.Lock()
	defer s.lock.Unlock()
	at, ok := s.registry.Journal().NextExpiry()
	commit = s.registry.Queued() > 0 || (ok && !at.After(s.settings.Clock.Now()))
	return commit, s.registry.StoreDown() && !commit
}

// commitBatch commits queued records with the next head. If the open segment is
// full, it first stores the segment under its own key. It returns an error only
// if the shard must stop; an unavailable store is recorded in the registry.
func (s *Shard) commitBatch(ctx context.Context) error {
	sealErr := s.storeFullSegment(ctx)
	s.lock.Lock()
	batch, err := s.registry.TakeBatch(s.settings.Clock.Now())
	s.lock.Unlock()
	if err != nil {
		return err
	}
	if sealErr == nil {
		err = s.fencer.WriteHead(ctx, batch.Proposal.Value)
	}
	s.lock.Lock()
	defer s.lock.Unlock()
	now := s.settings.Clock.Now()
	switch {
	case errors.Is(err, ErrFenced):
		return err
	case sealErr != nil || err != nil:
		s.nextProbe = now.Add(s.settings.ProbeInterval)
		s.registry.BatchFailed(errors.Trace(firstError(sealErr, err)), now)
		return nil
	}
	s.fencer.AddGarbage(batch.Proposal.ExpiredSegments)
	return s.registry.BatchCommitted(batch, now)
}

// firstError returns the first error that is not nil.
func firstError(errs ...error) error {
	for _, err := range errs {
		if err != nil {
			return err
		}
	}
	return nil
}

// storeFullSegment stores the open segment under its own key if it is full. No
// record is added to the segment before the next head lists it.
func (s *Shard) storeFullSegment(ctx context.Context) error {
	s.lock.Lock()
	segment, lines, ok := s.registry.SegmentToSeal(s.settings.SegmentBytes)
	s.lock.Unlock()
	if !ok {
		return nil
	}
	segment, err := s.fencer.StoreSegment(ctx, segment, lines)
	if err != nil {
		return err
	}
	s.lock.Lock()
	defer s.lock.Unlock()
	s.registry.SegmentStored(segment)
	return nil
}

// probeStore reads the head to find out whether the store is available again
// and still belongs to this owner.
func (s *Shard) probeStore(ctx context.Context) error {
	err := s.fencer.ProbeHead(ctx)
	if errors.Is(err, ErrFenced) {
		return err
	}
	s.lock.Lock()
	defer s.lock.Unlock()
	if err != nil {
		s.nextProbe = s.settings.Clock.Now().Add(s.settings.ProbeInterval)
		return nil
	}
	s.registry.StoreRecovered()
	return nil
}
