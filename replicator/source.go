package replicator

import (
	"context"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/juju/errors"
	"go.uber.org/zap"

	"github.com/bergamotdale/bergamotdale"
)

const (
	// observerWatchWait is the duration of an observer's watch. It is short, so
	// that followers soon notice when their observer cannot reach the store.
	observerWatchWait = 300 * time.Millisecond
	// followerPollWait is the time that a follower waits for the next batch of
	// its observer: twice the usual time between two batches.
	followerPollWait = 900 * time.Millisecond
	// pollGrace is added to the wait of a long poll for its timeout, after which
	// the observer counts as failed.
	pollGrace = 400 * time.Millisecond
	// fullReadTimeout is the timeout for reading the whole content from another
	// router: 1 MB takes 0.8 s and more on a 10 Mbit/s link.
	fullReadTimeout = 3 * time.Second
	// largeReadTimeout is the timeout for reading one large value.
	largeReadTimeout = 1500 * time.Millisecond
	// storeRetryDelay is the time after a failed call to the store during which
	// a router queries only other routers. A further failed call would take two
	// seconds, in which the API keys grow older.
	storeRetryDelay = 3 * time.Second
	// avoidPeriod is the time during which a follower does not ask an observer
	// after a failed request. Membership detects a failed router within a few
	// seconds.
	avoidPeriod = 10 * time.Second
	// maxPeersTried is the number of other routers that one call asks at most.
	maxPeersTried = 2
)

// Source reads the store for a router, directly or through an observer. It
// implements bergamotdale.ChangeStore. Exported fields are set before use.
type Source struct {
	// Self is the ID of this router.
	Self   string
	Store  bergamotdale.ChangeStore
	Peer   bergamotdale.Peer
	Logger *zap.Logger
	// Members returns the live routers, this one included.
	Members func() []bergamotdale.Member
	// OnStoreLost, if not nil, is called when a call to the store fails.
	OnStoreLost func()

	// fromStore is true if the last batch came from the store itself. Only the
	// goroutine that calls the methods uses it.
	fromStore bool
	// currentObserver is the ID of the observer that responded last, or empty.
	currentObserver string
	// avoidedUntil holds, by ID, the time before which a failed observer is not
	// asked again.
	avoidedUntil map[string]time.Time
	// storeFailedAt is the time of the last failed call to the store, or zero.
	storeFailedAt time.Time
}

var _ bergamotdale.ChangeStore = (*Source)(nil)

// Direct reports whether the last batch came from the store itself.
func (s *Source) Direct() bool { return s.fromStore }

// Range implements bergamotdale.ChangeStore. It asks the store first, because a
// router that starts does not know other routers yet.
func (s *Source) Range(ctx context.Context, prefix string, notBefore int64) (bergamotdale.Batch, error) {
	batch, err := s.Store.Range(ctx, prefix, notBefore)
	if err == nil {
		s.fromStore = true
		return batch, nil
	}
	for _, m := range s.randomPeers() {
		if relayed, ok := s.fetchBatch(ctx, m, Request{Everything: true}, fullReadTimeout); ok {
			return relayed, nil
		}
	}
	return bergamotdale.Batch{}, errors.Trace(err)
}

// Changes implements bergamotdale.ChangeStore. A follower asks its observers
// first and the store if none of them responds.
func (s *Source) Changes(ctx context.Context, prefix string, after int64, wait time.Duration) (bergamotdale.Batch, error) {
	observers, isObserver := s.observersToAsk()
	for _, m := range observers {
		batch, ok := s.fetchBatch(ctx, m, Request{After: after, WaitMS: followerPollWait.Milliseconds()}, followerPollWait+pollGrace)
		if !ok {
			s.avoidObserver(m.ID)
			continue
		}
		if s.currentObserver != m.ID {
			s.Logger.Info("following an observer of the store", zap.String("peer", m.ID), zap.Int64("revision", batch.Revision))
			s.currentObserver = m.ID
		}
		// An observer that is behind still confirms its content as current, but
		// must not lower the revision of this router.
		batch.Revision = max(after, batch.Revision)
		return batch, nil
	}
	if isObserver {
		wait = min(wait, observerWatchWait)
	}
	if s.currentObserver != "" {
		s.Logger.Info("watching the store directly")
		s.currentObserver = ""
	}
	return s.watchStore(ctx, prefix, after, wait)
}

// watchStore watches the store directly. For storeRetryDelay after a failed call,
// it asks other routers instead.
func (s *Source) watchStore(ctx context.Context, prefix string, after int64, wait time.Duration) (bergamotdale.Batch, error) {
	started := time.Now()
	err := error(bergamotdale.ErrUnavailable)
	if started.Sub(s.storeFailedAt) >= storeRetryDelay {
		var batch bergamotdale.Batch
		batch, err = s.Store.Changes(ctx, prefix, after, wait)
		if err == nil || errors.Is(err, bergamotdale.ErrCompacted) || ctx.Err() != nil {
			s.fromStore = true
			return batch, errors.Trace(err)
		}
		s.storeFailedAt = time.Now()
		if s.OnStoreLost != nil {
			s.OnStoreLost()
		}
		s.Logger.Info("store asked through other routers", zap.Duration("for", storeRetryDelay), zap.Error(err))
	}
	for _, m := range s.randomPeers() {
		waited := time.Since(started)
		relayed, ok := s.fetchBatch(ctx, m, Request{After: after, WaitMS: followerPollWait.Milliseconds()}, followerPollWait+pollGrace)
		if ok {
			relayed.Revision = max(after, relayed.Revision)
			// The lag counts from the start of this method.
			relayed.Lag -= waited
			return relayed, nil
		}
	}
	// None of the routers asked reaches the store: the next call asks the store
	// again.
	s.storeFailedAt = time.Time{}
	return bergamotdale.Batch{}, errors.Trace(err)
}

// avoidObserver excludes an observer from requests for avoidPeriod.
func (s *Source) avoidObserver(id string) {
	if s.avoidedUntil == nil {
		s.avoidedUntil = map[string]time.Time{}
	}
	s.avoidedUntil[id] = time.Now().Add(avoidPeriod)
	s.Logger.Info("observer of the store excluded after a failed request", zap.String("peer", id), zap.Duration("for", avoidPeriod))
}

// observersToAsk returns the observers to ask, in order, and whether this router
// is an observer itself.
func (s *Source) observersToAsk() ([]bergamotdale.Member, bool) {
	self := bergamotdale.Member{ID: s.Self}
	members, domains := map[string]bergamotdale.Member{}, map[string]string{}
	routers := s.Members()
	for _, m := range routers {
		members[m.ID], domains[m.ID] = m, m.FailureDomain
		if m.ID == s.Self {
			self = m
		}
	}
	if _, known := members[s.Self]; !known {
		routers = append(slices.Clone(routers), self)
	}
	observers := Observers(routers)
	if slices.Contains(observers, s.Self) {
		return nil, true
	}
	now := time.Now()
	var chosen []bergamotdale.Member
	for _, id := range orderObservers(self, observers, domains) {
		if len(chosen) < maxPeersTried && !now.Before(s.avoidedUntil[id]) {
			chosen = append(chosen, members[id])
		}
	}
	return chosen, false
}

// randomPeers returns up to maxPeersTried other routers in a random order, to ask
// when the store does not respond.
func (s *Source) randomPeers() []bergamotdale.Member {
	var peers []bergamotdale.Member
	for _, m := range s.Members() {
		if m.ID != s.Self {
			peers = append(peers, m)
		}
	}
	rand.Shuffle(len(peers), func(i, j int) { peers[i], peers[j] = peers[j], peers[i] })
	return peers[:min(len(peers), maxPeersTried)]
}

// fetchBatch requests a batch from another router. It returns false if the router
// does not respond or has no usable content.
func (s *Source) fetchBatch(ctx context.Context, m bergamotdale.Member, request Request, timeout time.Duration) (bergamotdale.Batch, bool) {
	var response Response
	callCtx, cancel := context.WithTimeout(ctx, timeout)
	err := s.Peer.Call(callCtx, m.Address, Path, request, &response)
	cancel()
	if err != nil {
		s.Logger.Debug("request to peer router failed", zap.String("peer", m.ID), zap.Error(err))
		return bergamotdale.Batch{}, false
	}
	if !response.Usable || response.Compacted {
		return bergamotdale.Batch{}, false
	}
	for _, key := range response.Large {
		entry, ok := s.readLarge(ctx, m, key, response.Revision)
		if !ok {
			return bergamotdale.Batch{}, false
		}
		response.Changes = append(response.Changes, bergamotdale.Change{Entry: entry})
	}
	s.fromStore = false
	return bergamotdale.Batch{
		Entries: response.Entries, Changes: response.Changes, Revision: response.Revision, Lag: time.Duration(response.AgeMS) * time.Millisecond,
	}, true
}

// readLarge reads a value that is at least as recent as the revision from the
// store, or from the observer if this router cannot reach the store.
func (s *Source) readLarge(ctx context.Context, m bergamotdale.Member, key string, revision int64) (bergamotdale.Entry, bool) {
	ctx, cancel := context.WithTimeout(ctx, largeReadTimeout)
	defer cancel()
	batch, err := s.Store.Range(ctx, key, revision)
	if err != nil {
		s.Logger.Debug("failed to read a large value from the store", zap.String("key", key), zap.Error(err))
		var r Response
		if err := s.Peer.Call(ctx, m.Address, Path, Request{Key: key}, &r); err != nil || !r.Usable {
			s.Logger.Warn("failed to read a large value from the store and from a peer", zap.String("key", key), zap.String("peer", m.ID), zap.Error(err))
			return bergamotdale.Entry{}, false
		}
		batch.Entries = r.Entries
	}
	for _, e := range batch.Entries {
		if e.Key == key {
			return e, true
		}
	}
	return bergamotdale.Entry{}, false
}
