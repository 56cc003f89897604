package committer

import (
	"context"
	"time"

	"github.com/juju/errors"

	"github.com/bergamotdale/bergamotdale"
)

const (
	// maxBatchBytes keeps the head well below the 1 MB that the store accepts.
	maxBatchBytes = 256 << 10
	// commitAttempts bounds the writes of one commit whose effect is not there
	// yet or that meet an earlier write of this shard.
	commitAttempts = 3
	// idleWait is how long the loop waits where nothing is due.
	idleWait = time.Hour
)

// Run commits records until the context ends or the shard is fenced, in which
// case it returns ErrFenced. The shard has stopped for good then: requests that
// wait for a commit are refused, and calls in progress end without a record.
func (s *Shard) Run(ctx context.Context) error {
	err := s.loop(ctx)
	s.stop(err)
	return err
}

func (s *Shard) loop(ctx context.Context) error {
	for ctx.Err() == nil {
		if wait := s.untilWork(); wait > 0 {
			select {
			case <-s.wake:
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

// untilWork returns the time until the next write or read.
func (s *Shard) untilWork() time.Duration {
	s.lock.Lock()
	defer s.lock.Unlock()
	now := s.settings.Clock.Now()
	if s.down {
		return s.nextProbe.Sub(now)
	}
	wait := idleWait
	if at, ok := s.journal.nextExpiry(); ok {
		wait = time.UnixMilli(at).Sub(now)
	}
	if len(s.queue) > 0 || len(s.garbage) > 0 {
		wait = 0
	}
	return max(wait, s.notBefore.Sub(now))
}

// step does what is due: it commits, or probes a store that was unavailable,
// and deletes one segment that is no longer needed.
func (s *Shard) step(ctx context.Context) error {
	if s.wantsCommit() {
		if err := s.commit(ctx); err != nil {
			return err
		}
	} else if s.isDown() {
		return s.probe(ctx)
	}
	if len(s.garbage) > 0 && !s.isDown() {
		s.collect(ctx)
	}
	return nil
}

func (s *Shard) wantsCommit() bool {
	s.lock.Lock()
	defer s.lock.Unlock()
	at, ok := s.journal.nextExpiry()
	return len(s.queue) > 0 || (ok && at <= s.now())
}

func (s *Shard) isDown() bool {
	s.lock.Lock()
	defer s.lock.Unlock()
	return s.down
}

// charge accounts for a write under the interval and the burst.
func (s *Shard) charge() {
	saved := time.Duration(s.settings.Burst-1) * s.settings.Interval
	earliest := s.settings.Clock.Now().Add(-saved)
	if s.notBefore.Before(earliest) {
		s.notBefore = earliest
	}
	s.notBefore = s.notBefore.Add(s.settings.Interval)
}

// commit writes the queued records with the next head.
func (s *Shard) commit(ctx context.Context) error {
	batch := s.takeBatch()
	if err := s.seal(ctx); err != nil {
		s.failed(batch, err)
		return nil
	}
	s.lock.Lock()
	p, err := s.journal.propose(additions(batch), s.sealing, s.now())
	s.journal.head.Sequence = p.head.Sequence
	s.lock.Unlock()
	if err != nil {
		return err
	}
	version, err := s.write(ctx, p)
	if errors.Is(err, ErrFenced) {
		return err
	}
	if err != nil {
		s.failed(batch, err)
		return nil
	}
	return s.committed(p, batch, version)
}

// takeBatch moves records from the queue to the batch under way.
func (s *Shard) takeBatch() []queued {
	s.lock.Lock()
	defer s.lock.Unlock()
	var batch []queued
	s.writing = map[recordID]queued{}
	bytes, n := 0, 0
	for _, id := range s.order {
		q := s.queue[id]
		if bytes += len(q.text); bytes > maxBatchBytes && n > 0 {
			break
		}
		batch = append(batch, q)
		s.writing[id] = q
		delete(s.queue, id)
		n++
	}
	s.order = s.order[n:]
	return batch
}

func additions(batch []queued) []addition {
	all := make([]addition, 0, len(batch))
	for _, q := range batch {
		all = append(all, addition{
			line:  line{id: q.record.id, at: q.record.At, text: q.text},
			hash:  q.record.hash,
			state: q.record.State,
		})
	}
	return all
}

// seal stores the open segment under its own key where it is large enough. The
// next head lists it. No record is added to the open segment in between.
func (s *Shard) seal(ctx context.Context) error {
	s.lock.Lock()
	if s.sealing != nil || s.journal.openBytes <= s.settings.SegmentBytes {
		s.lock.Unlock()
		return nil
	}
	text, newest := s.journal.openText()
	sealed := segment{Number: s.journal.head.Number, Writer: s.journal.head.Instance, Newest: newest}
	s.lock.Unlock()
	value, err := encodeLine(sealed)
	if err != nil {
		return err
	}
	value = append(value, text...)
	s.charge()
	s.count(func(c *Stats) { c.SegmentWrites++; c.Bytes += int64(len(value)) })
	stored, err := s.swap(ctx, segmentKey(s.settings.Number, sealed), value, 0)
	if err != nil {
		return err
	}
	sealed.version = stored.Version
	s.sealing = &sealed
	return nil
}

// write stores the head. It returns ErrFenced where the head belongs to
// another owner.
func (s *Shard) write(ctx context.Context, p proposal) (int64, error) {
	var err error
	for range commitAttempts {
		s.charge()
		s.count(func(c *Stats) { c.HeadWrites++; c.Bytes += int64(len(p.value)) })
		var present bergamotdale.Entry
		present, err = s.swap(ctx, headKey(s.settings.Number), p.value, s.version)
		switch {
		case err == nil:
			return present.Version, nil
		case errors.Is(err, bergamotdale.ErrConflict):
			// An earlier write of this shard may have arrived late.
			if err := s.adopt(present); err != nil {
				return 0, err
			}
		case !errors.Is(err, errNotLanded):
			return 0, err
		}
	}
	return 0, err
}

// adopt takes over the version of a head that this shard wrote. It returns
// ErrFenced for any other head.
func (s *Shard) adopt(present bergamotdale.Entry) error {
	h, _, err := decodeHead(present.Value)
	if err != nil || h.Instance != s.journal.head.Instance {
		return errors.Annotatef(ErrFenced, "shard %d by epoch %d of %s", s.settings.Number, h.Epoch, h.Owner)
	}
	s.version = present.Version
	return nil
}

// committed applies a head that was stored and continues its flights.
func (s *Shard) committed(p proposal, batch []queued, version int64) error {
	s.lock.Lock()
	defer s.lock.Unlock()
	if err := s.journal.apply(p, s.now()); err != nil {
		return err
	}
	s.version = version
	s.sealing = nil
	s.writing = nil
	s.down = false
	for _, d := range p.dropped {
		s.garbage = append(s.garbage, bergamotdale.Entry{Key: segmentKey(s.settings.Number, d), Version: d.version})
	}
	for _, q := range batch {
		s.recordCommitted(q)
	}
	s.signalIdle()
	return nil
}

func (s *Shard) recordCommitted(q queued) {
	f := q.flight
	switch {
	case q.record.State != intent:
		if f != nil && !f.ended {
			f.response.Recorded = true
			s.finish(f)
		}
	case f.ended:
		s.journal.setState(f.record.id, unused)
		s.release(f.record)
	default:
		f.phase = granted
		close(f.grant)
	}
}

// failed ends what waits for a commit: intents are refused, because their calls
// never start, and responses are passed on unrecorded. Records of executed
// calls stay queued.
func (s *Shard) failed(batch []queued, cause error) {
	s.lock.Lock()
	defer s.lock.Unlock()
	s.down = true
	s.nextProbe = s.settings.Clock.Now().Add(s.settings.ProbeInterval)
	s.refuseWaiting(batch, func() *bergamotdale.Refusal { return s.storeUnavailable(cause) })
	s.signalIdle()
}

// refuseWaiting ends the flights of the batch and the queue.
func (s *Shard) refuseWaiting(batch []queued, refusal func() *bergamotdale.Refusal) {
	s.writing = nil
	all := batch
	for _, id := range s.order {
		all = append(all, s.queue[id])
	}
	s.queue = map[recordID]queued{}
	s.order = nil
	for _, q := range all {
		if q.record.State != intent {
			s.requeue(q)
		}
	}
	for _, q := range all {
		f := q.flight
		if f == nil || f.ended {
			continue
		}
		if q.record.State == intent {
			f.refusal = refusal()
		}
		s.finish(f)
		s.release(f.record)
	}
}

// requeue queues a record. It replaces a queued record of the same key.
func (s *Shard) requeue(q queued) {
	id := q.record.id
	if _, ok := s.queue[id]; !ok {
		s.order = append(s.order, id)
	}
	s.queue[id] = q
}

// probe reads the head to see whether the store is back.
func (s *Shard) probe(ctx context.Context) error {
	present, err := s.get(ctx, headKey(s.settings.Number))
	if err != nil && !errors.Is(err, bergamotdale.ErrNotFound) {
		s.lock.Lock()
		defer s.lock.Unlock()
		s.nextProbe = s.settings.Clock.Now().Add(s.settings.ProbeInterval)
		return nil
	}
	if err := s.adopt(present); err != nil {
		return err
	}
	s.lock.Lock()
	defer s.lock.Unlock()
	s.down = false
	return nil
}

// collect deletes one segment that no head lists.
func (s *Shard) collect(ctx context.Context) {
	g := s.garbage[0]
	s.charge()
	s.count(func(c *Stats) { c.Deletes++ })
	err := s.bounded(ctx, func(ctx context.Context) error {
		return s.settings.Store.Delete(ctx, g.Key, g.Version)
	})
	s.garbage = s.garbage[1:]
	if err != nil && !errors.Is(err, bergamotdale.ErrNotFound) && !errors.Is(err, bergamotdale.ErrConflict) {
		s.garbage = append(s.garbage, g)
	}
}

func (s *Shard) count(f func(c *Stats)) {
	s.lock.Lock()
	defer s.lock.Unlock()
	f(&s.stats)
}

// stop refuses what waits and wakes everybody.
func (s *Shard) stop(err error) {
	s.lock.Lock()
	defer s.lock.Unlock()
	s.fenced = err != nil
	batch := make([]queued, 0, len(s.writing))
	for _, q := range s.writing {
		batch = append(batch, q)
	}
	s.refuseWaiting(batch, s.handedOver)
	s.stopped = true
	close(s.done)
}
