package chronicler

import (
	"cmp"
	"context"
	"fmt"
	"slices"
	"strconv"
	"sync"
	"time"

	"github.com/juju/errors"
	"go.uber.org/zap"

	"github.com/bergamotdale/bergamotdale"
	"github.com/bergamotdale/bergamotdale/hasher"
)

// RecordPath is the path of a RecordRequest below /peer/v1/.
const RecordPath = "record-streams"

const (
	// routersPerScribe is the number of routers for each of those that write streams to
	// the store.
	routersPerScribe = 32
	// writeInterval is the time between two writes of a scribe. A router has one message
	// in progress at a time, which waits for the write, so it sends no more of them.
	writeInterval = 100 * time.Millisecond
	// resendDelay is the time after which streams are sent again that could not be
	// written.
	resendDelay = 200 * time.Millisecond
	// leaseTime is the time for which a scribe uses a lease. The streams that were written
	// at its end are kept for as long as a stream may last.
	leaseTime = 5 * time.Second
	// maxLease is the longest lease that the store grants.
	maxLease = 10 * time.Minute
	// maxStreams is the largest number of streams in a message.
	maxStreams = 1024
	// recordTimeout is the timeout of a message, and of the write that it waits for.
	recordTimeout = 1500 * time.Millisecond
)

// RecordRequest carries streams to the router that writes them to the store.
type RecordRequest struct {
	Streams []Stream `json:"streams"`
}

// RecordResponse says that the streams are in the store.
type RecordResponse struct{}

// scribe collects streams and writes them to the store.
type scribe struct {
	mu sync.Mutex
	// pending holds the streams of the next write, which closes done and sets err; nil
	// for none.
	pending *streamWrite

	// The fields below are accessed only by the goroutine of runScribe.
	lease     bergamotdale.LeaseID
	grantedAt time.Time
	written   int64
	// wake is written to when pending is set.
	wake chan struct{}
}

// streamWrite is a write of streams and its result, which is valid once done is closed.
type streamWrite struct {
	streams []Stream
	done    chan struct{}
	err     error
}

// add adds streams to the next write.
func (s *scribe) add(streams []Stream) *streamWrite {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.pending == nil {
		s.pending = &streamWrite{done: make(chan struct{})}
		select {
		case s.wake <- struct{}{}:
		default:
		}
	}
	s.pending.streams = append(s.pending.streams, streams...)
	return s.pending
}

// take returns the streams to write, nil for none.
func (s *scribe) take() *streamWrite {
	s.mu.Lock()
	defer s.mu.Unlock()
	w := s.pending
	s.pending = nil
	return w
}

// scribes returns the routers that write streams to the store.
func scribes(members []bergamotdale.Member) []bergamotdale.Member {
	var all []bergamotdale.Member
	for _, m := range members {
		if m.State != bergamotdale.MemberDraining {
			all = append(all, m)
		}
	}
	key := hasher.Hash(RecordPath)
	slices.SortFunc(all, func(a, b bergamotdale.Member) int {
		return cmp.Or(cmp.Compare(hasher.Weight(key, hasher.Hash(b.ID)), hasher.Weight(key, hasher.Hash(a.ID))), cmp.Compare(a.ID, b.ID))
	})
	return all[:min(len(all), (len(all)+routersPerScribe-1)/routersPerScribe)]
}

// HandleRecord writes the streams of another router. It returns when they are in the
// store.
func (c *Chronicler) HandleRecord(ctx context.Context, r RecordRequest) (RecordResponse, error) {
	return RecordResponse{}, c.record(ctx, r.Streams)
}

func (c *Chronicler) record(ctx context.Context, streams []Stream) error {
	w := c.scribe.add(streams)
	select {
	case <-w.done:
		return w.err
	case <-ctx.Done():
		return errors.Trace(ctx.Err())
	}
}

// runRecorder has the new streams of this router written until the context is done.
func (c *Chronicler) runRecorder(ctx context.Context) error {
	for {
		streams := c.Pending(maxStreams)
		if len(streams) == 0 {
			select {
			case <-ctx.Done():
				return ctx.Err()
			case <-c.NewStreams:
			}
			continue
		}
		if err := c.send(ctx, scribes(c.Members()), streams); err != nil {
			c.Logger.Info("failed to record streams, sending them again", zap.Int("streams", len(streams)), zap.Error(err))
			if bergamotdale.Wait(ctx, c.Clock, resendDelay) != nil {
				return ctx.Err()
			}
			continue
		}
		c.Recorded(streams)
	}
}

// send has the streams written by this router's scribe.
func (c *Chronicler) send(ctx context.Context, scribes []bergamotdale.Member, streams []Stream) error {
	ctx, cancel := context.WithTimeout(ctx, recordTimeout)
	defer cancel()
	if len(scribes) == 0 {
		return c.record(ctx, streams)
	}
	m := scribes[hasher.Hash(c.Self)%uint64(len(scribes))]
	if m.ID == c.Self {
		return c.record(ctx, streams)
	}
	return errors.Annotatef(c.Peer.Call(ctx, m.Address, RecordPath, RecordRequest{Streams: streams}, &RecordResponse{}), "recording at %s", m.ID)
}

// runScribe writes the streams that this router got until the context is done.
func (c *Chronicler) runScribe(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-c.scribe.wake:
		}
		w := c.scribe.take()
		if w == nil {
			continue
		}
		w.err = c.writeStreams(ctx, w.streams)
		close(w.done)
		if bergamotdale.Wait(ctx, c.Clock, writeInterval) != nil {
			return ctx.Err()
		}
	}
}

// writeStreams writes streams to the store under a lease that outlives them.
func (c *Chronicler) writeStreams(ctx context.Context, streams []Stream) error {
	data, err := encodeStreams(streams)
	if err != nil {
		return errors.Trace(err)
	}
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	s := &c.scribe
	if now := c.Clock.Now(); s.lease == "" || now.Sub(s.grantedAt) >= leaseTime {
		lease, err := c.Store.GrantLease(ctx, min(leaseTime+c.StreamTime(), maxLease))
		if err != nil {
			return errors.Annotate(err, "granting a lease for streams")
		}
		s.lease, s.grantedAt = lease, now
	}
	s.written++
	key := fmt.Sprintf("%s%s%s-%s/%d", c.Prefix, streamsKey, c.Self, strconv.FormatInt(c.startedAt.UnixMilli(), 36), s.written)
	if err := c.Store.PutWithLease(ctx, key, data, s.lease); err != nil {
		s.lease = ""
		return errors.Annotatef(err, "writing %d streams", len(streams))
	}
	return nil
}
