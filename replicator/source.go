package replicator

import (
	"context"
	"time"

	"github.com/juju/errors"
	"go.uber.org/zap"

	"github.com/bergamotdale/bergamotdale"
	"github.com/bergamotdale/bergamotdale/hasher"
)

const (
	// directFleet is the size of a fleet up to which every router watches the
	// store itself.
	directFleet = 16
	// routersPerObserver is how many routers share one observer beyond that.
	routersPerObserver = 16
	// minObservers lets followers find the next one when an observer is lost.
	minObservers = 3
	// observerKey orders the routers for the choice of observers.
	observerKey = "store-observers"
	// pollGrace is the time past the wait after which an observer counts as
	// silent.
	pollGrace = 700 * time.Millisecond
	// maxObserversTried bounds the observers that one call asks before it turns
	// to the store.
	maxObserversTried = 2
)

// Observers returns the IDs of the routers that watch the store, or nil if all
// of them do. Every router that knows the same members computes the same.
func Observers(members []string) []string {
	if len(members) <= directFleet {
		return nil
	}
	n := max(minObservers, (len(members)+routersPerObserver-1)/routersPerObserver)
	return hasher.Order(observerKey, members)[:n]
}

// Source is the store as a router reaches it: directly or by an observer. It
// implements bergamotdale.ChangeStore. Exported fields are set before use.
type Source struct {
	Self   string
	Store  bergamotdale.ChangeStore
	Peer   bergamotdale.Peer
	Logger *zap.Logger
	// Members returns the live routers, this one included.
	Members func() []bergamotdale.Member

	// direct tells where the last batch came from; used by the caller's
	// goroutine only.
	direct bool
	// observer is the one that answered last.
	observer string
}

var _ bergamotdale.ChangeStore = (*Source)(nil)

// Direct reports whether the last batch came from the store itself.
func (s *Source) Direct() bool { return s.direct }

// Range implements bergamotdale.ChangeStore. It asks the store first: a router
// that starts does not know the others yet.
func (s *Source) Range(ctx context.Context, prefix string) (bergamotdale.Batch, error) {
	batch, err := s.Store.Range(ctx, prefix)
	if err == nil {
		s.direct = true
		return batch, nil
	}
	for _, m := range s.others() {
		if relayed, ok := s.ask(ctx, m, Request{Everything: true}, pollGrace); ok {
			return relayed, nil
		}
	}
	return bergamotdale.Batch{}, errors.Trace(err)
}

// Changes implements bergamotdale.ChangeStore.
func (s *Source) Changes(ctx context.Context, prefix string, after int64, wait time.Duration) (bergamotdale.Batch, error) {
	for _, m := range s.observers() {
		batch, ok := s.ask(ctx, m, Request{After: after, WaitMS: wait.Milliseconds()}, wait+pollGrace)
		if !ok {
			continue
		}
		if s.observer != m.ID {
			s.Logger.Info("following an observer of the store", zap.String("peer", m.ID), zap.Int64("revision", batch.Revision))
			s.observer = m.ID
		}
		if batch.Revision < after {
			// The observer is behind this router, but confirms what it knows.
			batch.Revision = after
		}
		return batch, nil
	}
	if s.observer != "" {
		s.Logger.Info("watching the store directly")
		s.observer = ""
	}
	batch, err := s.Store.Changes(ctx, prefix, after, wait)
	s.direct = true
	return batch, errors.Trace(err)
}

// observers returns the observers to ask, or none if this router watches the
// store itself.
func (s *Source) observers() []bergamotdale.Member {
	members := map[string]bergamotdale.Member{}
	ids := []string{s.Self}
	for _, m := range s.Members() {
		if m.ID != s.Self {
			ids = append(ids, m.ID)
			members[m.ID] = m
		}
	}
	var observers []string
	for _, id := range Observers(ids) {
		if id == s.Self {
			return nil
		}
		observers = append(observers, id)
	}
	// Followers spread over the observers by their own names.
	var chosen []bergamotdale.Member
	for _, id := range hasher.Order(s.Self, observers) {
		if len(chosen) < maxObserversTried {
			chosen = append(chosen, members[id])
		}
	}
	return chosen
}

// others returns some other routers to ask when the store does not answer.
func (s *Source) others() []bergamotdale.Member {
	var others []bergamotdale.Member
	for _, m := range s.Members() {
		if m.ID != s.Self && len(others) < maxObserversTried {
			others = append(others, m)
		}
	}
	return others
}

// ask returns the answer of another router, and false if it has none.
func (s *Source) ask(ctx context.Context, m bergamotdale.Member, q Request, timeout time.Duration) (bergamotdale.Batch, bool) {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	var r Response
	if err := s.Peer.Call(ctx, m.Address, Path, q, &r); err != nil {
		s.Logger.Debug("observer did not answer", zap.String("peer", m.ID), zap.Error(err))
		return bergamotdale.Batch{}, false
	}
	if !r.Usable || r.Compacted {
		return bergamotdale.Batch{}, false
	}
	s.direct = false
	return bergamotdale.Batch{
		Entries: r.Entries, Changes: r.Changes, Revision: r.Revision, Lag: time.Duration(r.AgeMS) * time.Millisecond,
	}, true
}
