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
	// observerWait is how long an observer's watch lasts. It is short, so that
	// followers soon see whether their observer still reaches the store.
	observerWait = 300 * time.Millisecond
	// followerWait is how long a follower waits for the next batch of its
	// observer: twice the usual time between two.
	followerWait = 900 * time.Millisecond
	// pollGrace is the time past the wait after which an observer counts as
	// silent.
	pollGrace = 400 * time.Millisecond
	// everythingTimeout bounds the read of the whole content from another router:
	// 1 MB takes 0.8 s and more on a link of 10 Mbit/s.
	everythingTimeout = 3 * time.Second
	// largeTimeout bounds the read of a large value.
	largeTimeout = 1500 * time.Millisecond
	// refusedTime is how long a router asks others after the store failed to
	// answer it. The next failed call takes two seconds, in which the API keys
	// grow older.
	refusedTime = 3 * time.Second
	// avoidTime is how long a follower does without an observer that failed it.
	// Membership notices a lost one in a few seconds.
	avoidTime = 10 * time.Second
	// maxObserversTried bounds the observers that one call asks before it turns
	// to the store.
	maxObserversTried = 2
)

// Source is the store as a router reaches it: directly or by an observer. It
// implements bergamotdale.ChangeStore. Exported fields are set before use.
type Source struct {
	Self   string
	Store  bergamotdale.ChangeStore
	Peer   bergamotdale.Peer
	Logger *zap.Logger
	// Members returns the live routers, this one included.
	Members func() []bergamotdale.Member
	// Lost is called when the store fails to answer; nil for none.
	Lost func()

	// direct tells where the last batch came from; used by the caller's
	// goroutine only.
	direct bool
	// observer is the one that answered last.
	observer string
	// avoided holds until when failed observers are not asked.
	avoided map[string]time.Time
	// refused is when the store last failed to answer this router.
	refused time.Time
}

var _ bergamotdale.ChangeStore = (*Source)(nil)

// Direct reports whether the last batch came from the store itself.
func (s *Source) Direct() bool { return s.direct }

// Range implements bergamotdale.ChangeStore. It asks the store first: a router
// that starts does not know the others yet.
func (s *Source) Range(ctx context.Context, prefix string, notBefore int64) (bergamotdale.Batch, error) {
	batch, err := s.Store.Range(ctx, prefix, notBefore)
	if err == nil {
		s.direct = true
		return batch, nil
	}
	for _, m := range s.others() {
		if relayed, ok := s.ask(ctx, m, Request{Everything: true}, everythingTimeout); ok {
			return relayed, nil
		}
	}
	return bergamotdale.Batch{}, errors.Trace(err)
}

// Changes implements bergamotdale.ChangeStore.
func (s *Source) Changes(ctx context.Context, prefix string, after int64, wait time.Duration) (bergamotdale.Batch, error) {
	observers, observing := s.observers()
	for _, m := range observers {
		batch, ok := s.ask(ctx, m, Request{After: after, WaitMS: followerWait.Milliseconds()}, followerWait+pollGrace)
		if !ok {
			s.avoid(m.ID)
			continue
		}
		if s.observer != m.ID {
			s.Logger.Info("following an observer of the store", zap.String("peer", m.ID), zap.Int64("revision", batch.Revision))
			s.observer = m.ID
		}
		// An observer that is behind this router still confirms what it knows.
		batch.Revision = max(after, batch.Revision)
		return batch, nil
	}
	if observing {
		wait = min(wait, observerWait)
	}
	if s.observer != "" {
		s.Logger.Info("watching the store directly")
		s.observer = ""
	}
	return s.watchStore(ctx, prefix, after, wait)
}

// watchStore follows the store itself. While the store turns this router away,
// it asks others instead.
func (s *Source) watchStore(ctx context.Context, prefix string, after int64, wait time.Duration) (bergamotdale.Batch, error) {
	begun := time.Now()
	err := error(bergamotdale.ErrUnavailable)
	if begun.Sub(s.refused) >= refusedTime {
		var batch bergamotdale.Batch
		batch, err = s.Store.Changes(ctx, prefix, after, wait)
		if err == nil || errors.Is(err, bergamotdale.ErrCompacted) || ctx.Err() != nil {
			s.direct = true
			return batch, errors.Trace(err)
		}
		s.refused = time.Now()
		if s.Lost != nil {
			s.Lost()
		}
		s.Logger.Info("store asked through other routers", zap.Duration("for", refusedTime), zap.Error(err))
	}
	for _, m := range s.others() {
		asked := time.Since(begun)
		relayed, ok := s.ask(ctx, m, Request{After: after, WaitMS: followerWait.Milliseconds()}, followerWait+pollGrace)
		if ok {
			relayed.Revision = max(after, relayed.Revision)
			// The lag counts from the call of this method.
			relayed.Lag -= asked
			return relayed, nil
		}
	}
	// No router reaches the store: the next call asks it again.
	s.refused = time.Time{}
	return bergamotdale.Batch{}, errors.Trace(err)
}

// avoid leaves out an observer for a time.
func (s *Source) avoid(id string) {
	if s.avoided == nil {
		s.avoided = map[string]time.Time{}
	}
	s.avoided[id] = time.Now().Add(avoidTime)
	s.Logger.Info("observer of the store avoided", zap.String("peer", id), zap.Duration("for", avoidTime))
}

// observers returns the observers to ask, and whether this router is one.
func (s *Source) observers() ([]bergamotdale.Member, bool) {
	self := bergamotdale.Member{ID: s.Self}
	members, domains := map[string]bergamotdale.Member{}, map[string]string{}
	all := s.Members()
	for _, m := range all {
		members[m.ID], domains[m.ID] = m, m.FailureDomain
		if m.ID == s.Self {
			self = m
		}
	}
	if _, known := members[s.Self]; !known {
		all = append(slices.Clone(all), self)
	}
	observers := Observers(all)
	if slices.Contains(observers, s.Self) {
		return nil, true
	}
	now := time.Now()
	var chosen []bergamotdale.Member
	for _, id := range preferred(self, observers, domains) {
		if len(chosen) < maxObserversTried && !now.Before(s.avoided[id]) {
			chosen = append(chosen, members[id])
		}
	}
	return chosen, false
}

// others returns some other routers, in a random order, to ask when the store
// does not answer.
func (s *Source) others() []bergamotdale.Member {
	var others []bergamotdale.Member
	for _, m := range s.Members() {
		if m.ID != s.Self {
			others = append(others, m)
		}
	}
	rand.Shuffle(len(others), func(i, j int) { others[i], others[j] = others[j], others[i] })
	return others[:min(len(others), maxObserversTried)]
}

// ask returns the answer of another router, and false if it has none.
func (s *Source) ask(ctx context.Context, m bergamotdale.Member, q Request, timeout time.Duration) (bergamotdale.Batch, bool) {
	var r Response
	polled, cancel := context.WithTimeout(ctx, timeout)
	err := s.Peer.Call(polled, m.Address, Path, q, &r)
	cancel()
	if err != nil {
		s.Logger.Debug("observer did not answer", zap.String("peer", m.ID), zap.Error(err))
		return bergamotdale.Batch{}, false
	}
	if !r.Usable || r.Compacted {
		return bergamotdale.Batch{}, false
	}
	for _, key := range r.Large {
		entry, ok := s.readLarge(ctx, m, key, r.Revision)
		if !ok {
			return bergamotdale.Batch{}, false
		}
		r.Changes = append(r.Changes, bergamotdale.Change{Entry: entry})
	}
	s.direct = false
	return bergamotdale.Batch{
		Entries: r.Entries, Changes: r.Changes, Revision: r.Revision, Lag: time.Duration(r.AgeMS) * time.Millisecond,
	}, true
}

// readLarge reads a value, at least as recent as the revision, from the store,
// or from the observer if this router does not reach the store.
func (s *Source) readLarge(ctx context.Context, m bergamotdale.Member, key string, revision int64) (bergamotdale.Entry, bool) {
	ctx, cancel := context.WithTimeout(ctx, largeTimeout)
	defer cancel()
	batch, err := s.Store.Range(ctx, key, revision)
	if err != nil {
		s.Logger.Debug("large value not read from the store", zap.String("key", key), zap.Error(err))
		var r Response
		if err := s.Peer.Call(ctx, m.Address, Path, Request{Key: key}, &r); err != nil || !r.Usable {
			s.Logger.Warn("large value not read", zap.String("key", key), zap.String("peer", m.ID), zap.Error(err))
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
