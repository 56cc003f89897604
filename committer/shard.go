package committer

import (
	"context"
	"sync"
	"time"

	"github.com/juju/errors"

	"github.com/bergamotdale/bergamotdale/fencer"
	"github.com/bergamotdale/bergamotdale/registrar"
)

// idleWait is how long the loop waits where nothing is due.
const idleWait = time.Hour

// Shard is a shard owned by this process. Its methods may be called
// concurrently. Run must run for calls to make progress.
type Shard struct {
	settings Settings
	// done is closed when the shard has stopped.
	done chan struct{}

	// fencer belongs to the loop, except for Fetch and Stats.
	fencer *fencer.Fencer
	// nextProbe is the time of the next access while the store is down. It
	// belongs to the loop.
	nextProbe time.Time

	// lock guards the fields below. It is not held during I/O.
	lock     sync.Mutex
	register *registrar.Register
	calls    int64
	// fetched is the sealed segment that was read last, for repeats.
	fetched fetched
}

// fetched is the value of a sealed segment, which never changes.
type fetched struct {
	number int64
	value  []byte
}

// Stats counts the work of a shard.
type Stats struct {
	fencer.Stats
	// Calls is the number of calls that were started.
	Calls int64
	// Records is the number of records in memory, Segments the number of sealed
	// segments and Queued the number of records that wait for a commit.
	Records, Segments, Queued int
	// Down reports whether the store is unavailable.
	Down bool
}

// Open takes the shard over: it reads the journal and fences the previous
// owner. It returns ErrFenced if the journal has a later epoch, or the same
// epoch with another owner. After any other error the caller may try again
// under the same epoch.
func Open(ctx context.Context, settings Settings) (*Shard, error) {
	settings = settings.withDefaults()
	if settings.Lifetime <= settings.CallTimeout {
		return nil, errors.Errorf("lifetime %v of records is not above the call timeout %v",
			settings.Lifetime, settings.CallTimeout)
	}
	f, journal, err := fencer.Open(ctx, fencer.Settings{
		Shard:    settings.Number,
		Epoch:    settings.Epoch,
		Owner:    settings.Owner,
		Store:    settings.Store,
		Clock:    settings.Clock,
		Lifetime: settings.Lifetime,
		Timeout:  settings.StoreTimeout,
		Interval: settings.Interval,
		Burst:    settings.Burst,
	})
	if err != nil {
		return nil, errors.Trace(err)
	}
	register := registrar.New(registrar.Settings{
		Shard:      settings.Number,
		RetryAfter: settings.ProbeInterval,
		Held:       settings.Held,
	}, journal)
	return &Shard{settings: settings, done: make(chan struct{}), fencer: f, register: register}, nil
}

// Done is closed when the shard has stopped.
func (s *Shard) Done() <-chan struct{} {
	return s.done
}

// Number returns the number of the shard.
func (s *Shard) Number() int {
	return s.settings.Number
}

// Epoch returns the epoch under which the shard was opened.
func (s *Shard) Epoch() int64 {
	return s.settings.Epoch
}

// Fenced reports whether another owner has taken the shard over.
func (s *Shard) Fenced() bool {
	s.lock.Lock()
	defer s.lock.Unlock()
	return s.register.Fenced()
}

// Stats returns the present counts.
func (s *Shard) Stats() Stats {
	s.lock.Lock()
	defer s.lock.Unlock()
	return Stats{
		Stats:    s.fencer.Stats(),
		Calls:    s.calls,
		Records:  s.register.Journal().Len(),
		Segments: len(s.register.Journal().Head().Sealed),
		Queued:   s.register.Queued(),
		Down:     s.register.Down(),
	}
}

// Drain refuses new keys from now on and waits until no call is in progress
// and every record is committed, or the shard has stopped.
func (s *Shard) Drain(ctx context.Context) error {
	s.lock.Lock()
	idle := s.register.Drain()
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

// Run commits records until the context ends or the shard is fenced, in which
// case it returns ErrFenced. The shard has stopped for good then: requests that
// wait for a commit are refused, and calls in progress end without a record.
func (s *Shard) Run(ctx context.Context) error {
	err := s.loop(ctx)
	s.lock.Lock()
	defer s.lock.Unlock()
	// After any error it is not certain that no other owner exists.
	s.register.Stop(err != nil, s.settings.Clock.Now())
	close(s.done)
	return err
}

func (s *Shard) loop(ctx context.Context) error {
	for ctx.Err() == nil {
		if wait := s.untilWork(); wait > 0 {
			select {
			case <-s.register.Wake():
			case <-s.settings.Clock.After(wait):
			case <-ctx.Done():
			}
			continue
		}
		if err := s.step(ctx); err != nil {
			return err
		}
	}
	return nil
}

// untilWork returns the time until the next access of the store.
func (s *Shard) untilWork() time.Duration {
	s.lock.Lock()
	defer s.lock.Unlock()
	now := s.settings.Clock.Now()
	if s.register.Down() {
		return s.nextProbe.Sub(now)
	}
	wait := idleWait
	if at, ok := s.register.Journal().NextExpiry(); ok {
		wait = at.Sub(now)
	}
	if s.register.Queued() > 0 || s.fencer.Garbage() > 0 {
		wait = 0
	}
	return max(wait, s.fencer.NotBefore().Sub(now))
}

// step does what is due: it commits, or probes a store that was unavailable,
// and deletes one segment that is no longer needed.
func (s *Shard) step(ctx context.Context) error {
	commit, probe := s.due()
	if probe {
		return s.probe(ctx)
	}
	if commit {
		if err := s.commit(ctx); err != nil {
			return err
		}
	}
	if _, down := s.due(); !down {
		s.fencer.Collect(ctx)
	}
	return nil
}

// due reports whether there is something to commit, and whether the store has
// to be probed instead.
func (s *Shard) due() (commit, probe bool) {
	s.lock.Lock()
	defer s.lock.Unlock()
	at, ok := s.register.Journal().NextExpiry()
	commit = s.register.Queued() > 0 || (ok && !at.After(s.settings.Clock.Now()))
	return commit, s.register.Down() && !commit
}

// commit writes the queued records with the next head, and before it the open
// segment under its own key where it is full.
func (s *Shard) commit(ctx context.Context) error {
	sealErr := s.seal(ctx)
	s.lock.Lock()
	batch, err := s.register.Take(s.settings.Clock.Now())
	s.lock.Unlock()
	if err != nil {
		return err
	}
	if sealErr == nil {
		err = s.fencer.Write(ctx, batch.Proposal.Value)
	}
	s.lock.Lock()
	defer s.lock.Unlock()
	now := s.settings.Clock.Now()
	switch {
	case errors.Is(err, ErrFenced):
		return err
	case sealErr != nil || err != nil:
		s.nextProbe = now.Add(s.settings.ProbeInterval)
		s.register.Failed(errors.Trace(firstError(sealErr, err)), now)
		return nil
	}
	s.fencer.Discard(batch.Proposal.ExpiredSegments)
	return s.register.Committed(batch, now)
}

func firstError(all ...error) error {
	for _, err := range all {
		if err != nil {
			return err
		}
	}
	return nil
}

// seal stores the open segment where it is full. No record is added to it
// before the next head lists it.
func (s *Shard) seal(ctx context.Context) error {
	s.lock.Lock()
	segment, lines, ok := s.register.Due(s.settings.SegmentBytes)
	s.lock.Unlock()
	if !ok {
		return nil
	}
	segment, err := s.fencer.Seal(ctx, segment, lines)
	if err != nil {
		return err
	}
	s.lock.Lock()
	defer s.lock.Unlock()
	s.register.Sealed(segment)
	return nil
}

// probe reads the head to see whether the store is back.
func (s *Shard) probe(ctx context.Context) error {
	err := s.fencer.Probe(ctx)
	if errors.Is(err, ErrFenced) {
		return err
	}
	s.lock.Lock()
	defer s.lock.Unlock()
	if err != nil {
		s.nextProbe = s.settings.Clock.Now().Add(s.settings.ProbeInterval)
		return nil
	}
	s.register.Recovered()
	return nil
}
