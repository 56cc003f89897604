package replicator

import (
	"context"
	"slices"
	"sync/atomic"
	"time"

	"github.com/juju/errors"
	"go.uber.org/zap"

	"github.com/bergamotdale/bergamotdale"
)

const (
	// minPollWait is the shortest long poll, and the duration of a watch that only
	// brings the content up to date.
	minPollWait = 50 * time.Millisecond
	// pollGrace is added to the wait of a long poll for its timeout, after which
	// the responding router counts as failed.
	pollGrace = 150 * time.Millisecond
	// sharedWait is the duration of a long poll of a router that another one asks
	// because the store does not respond to it.
	sharedWait = 600 * time.Millisecond
	// Content has 0 hops at a primary, 1 at an observer and 2 at a follower.
	// maxHops is the limit for a router that turns to any other one because the
	// store does not respond to it.
	primaryHops  = 0
	observerHops = 1
	maxHops      = 2
	// fullReadTimeout is the timeout for reading the whole content from another
	// router: 1 MB takes 0.8 s and more on a 10 Mbit/s link.
	fullReadTimeout = 3 * time.Second
	// largeReadTimeout is the timeout for reading one large value.
	largeReadTimeout = 1500 * time.Millisecond
	// settleTime is how long a router that has just started waits for its member
	// list to show whether the fleet is large, and settleInterval how often it
	// looks. Without it each router of a large fleet watches the store itself in
	// the first second, when all endpoints register.
	settleTime     = 800 * time.Millisecond
	settleInterval = 50 * time.Millisecond
	// startPatience is how long a router that starts waits for the store before it asks
	// routers of its failure domain too. In an outage that ends meanwhile, the
	// store has lost the records that lapsed, which others still know. One of its own
	// domain, because after a restart of all many routers wait for a slow store.
	startPatience = 500 * time.Millisecond
	// avoidPeriod is the time during which a follower does not ask an observer
	// after a failed request. Membership detects a failed router within a few
	// seconds.
	avoidPeriod = 10 * time.Second
	// maxPeersTried is the number of other routers that one call asks at most.
	maxPeersTried = 2
)

// Source reads the store for a router, directly or through an observer. It
// implements bergamotdale.ChangeStore. Exported fields are set before use, and the
// methods are called by one goroutine.
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
	// Random returns a random duration below its argument; nil for rand.N. It spreads
	// the calls of many routers.
	Random func(time.Duration) time.Duration

	// settled is set once the first call of Changes has waited for the member list.
	settled bool
	// hops is the number of routers that the last batch passed through, or
	// contentLost.
	hops int
	// position is the latest position read or asked for, and its era is the latest
	// that any response had. The content of a router that is behind it is not used.
	position bergamotdale.Position
	// contentEra is the era of the content that the caller of Changes has.
	contentEra int64
	// restored is the router that has content of a later era than this one, from
	// which the next Range reads it; nil for the store.
	restored *bergamotdale.Member
	// currentObserver is the ID of the observer that responded last, or empty.
	currentObserver string
	asker           asker
	// standsIn is true while the store responds to this router and the routers that it
	// follows have lost it: an observer then watches the store like a primary.
	standsIn bool
	// cached is the upstream for the latest member list.
	cached upstream
	// bounds holds the bounds for the next call.
	bounds atomic.Pointer[Bounds]
}

var _ bergamotdale.ChangeStore = (*Source)(nil)

// Hops returns the number of routers between the store and this one that the last
// batch passed through. It is zero if the batch came from the store itself.
func (s *Source) Hops() int { return s.hops }

// SetBounds changes the bounds from the next call on. It may be called at any time.
func (s *Source) SetBounds(b Bounds) { s.bounds.Store(&b) }

// IsDoubtful reports whether an endpoint of this router's content may have left so long
// ago that it must not get new work. It may be called at any time.
func (s *Source) IsDoubtful(now time.Time) bool { return s.asker.isDoubtful(now) }

// RespondedSince returns the time after which an endpoint must have been heard not to be
// leaving, if its record is in doubt.
func (s *Source) RespondedSince(now time.Time) time.Time {
	b := s.bounds.Load()
	if b == nil {
		return now
	}
	return now.Add(-b.doubtAge())
}

// Range implements bergamotdale.ChangeStore. It asks the store first, because a
// router that starts does not know other routers yet. If another router was the
// first to show a later era of the store, Range reads that router's content, so that
// a restore of the store does not cost it one read per router. If the store fails, or
// does not respond to a router without content for startPatience, it returns the most
// recent content of the routers that it asks: of those of its failure domain while the store
// has not answered, and of any once the store has failed.
func (s *Source) Range(ctx context.Context, prefix string, notBefore bergamotdale.Position) (bergamotdale.Batch, error) {
	started := s.beginCall()
	if batch, ok := s.readRestored(ctx, started); ok {
		return batch, nil
	}
	storeCtx, cancel := context.WithCancel(ctx)
	defer cancel()
	result := make(chan rangeResult, 1)
	go func() {
		batch, err := s.Store.Range(storeCtx, prefix, notBefore)
		result <- rangeResult{batch, err}
	}()
	var patience <-chan time.Time
	if s.position.Revision == 0 {
		patience = time.After(startPatience)
	}
	var storeErr error
	select {
	case r := <-result:
		batch, err := s.ranged(r, started)
		if err == nil {
			return batch, nil
		}
		storeErr, result = err, nil
		s.asker.failed(started)
	case <-patience:
	}
	if result != nil {
		if batch, ok := s.rangeOfPeers(ctx, s.nearPeers(), started); ok {
			s.asker.failed(started)
			return batch, nil
		}
		batch, err := s.ranged(<-result, started)
		if err == nil {
			return batch, nil
		}
		storeErr = err
		s.asker.failed(started)
	}
	if batch, ok := s.rangeOfPeers(ctx, s.randomPeers(), started); ok {
		return batch, nil
	}
	return bergamotdale.Batch{Era: s.position.Era}, errors.Trace(storeErr)
}

// rangeResult is what the store has returned to a Range.
type rangeResult struct {
	batch bergamotdale.Batch
	err   error
}

// ranged returns the content that the store has returned to a call that began at the
// given time, or why it is not used.
func (s *Source) ranged(r rangeResult, started time.Time) (bergamotdale.Batch, error) {
	if err := s.checkEra(r.batch, r.err); err != nil {
		return bergamotdale.Batch{}, errors.Trace(err)
	}
	s.hops, s.position = 0, s.position.Latest(r.batch.Position())
	return s.direct(r.batch, started), nil
}

// rangeOfPeers returns the most recent content of the routers that it asks, and false if
// none of them has any.
func (s *Source) rangeOfPeers(ctx context.Context, peers []bergamotdale.Member, started time.Time) (bergamotdale.Batch, bool) {
	timeout := fullReadTimeout
	if s.position.Revision > 0 {
		// A router that has content must have asked the store again in time.
		timeout = min(timeout, s.asker.bounds.rereadTime())
	}
	var latest bergamotdale.Batch
	for _, m := range peers {
		relayed, err := s.fetchBatch(ctx, m, Request{Everything: true}, timeout, started)
		if err != nil || relayed.Position().Before(s.position) {
			continue
		}
		if latest.Entries == nil || relayed.Era > latest.Era || relayed.Era == latest.Era && relayed.Lag < latest.Lag {
			latest = relayed
		}
		if latest.Lag <= s.asker.bounds.servedAge() {
			break
		}
	}
	if latest.Entries == nil {
		return bergamotdale.Batch{}, false
	}
	// Content of any age is not passed on.
	s.hops, s.position = contentLost, latest.Position()
	s.asker.confirm(started.Add(-latest.Lag))
	return latest, true
}

// beginCall prepares a call of Range or Changes and returns the time.
func (s *Source) beginCall() time.Time {
	b := s.bounds.Load()
	if b == nil {
		b = new(Bounds)
		*b = defaultBounds()
		s.bounds.Store(b)
	}
	s.asker.bounds, s.asker.random = *b, s.Random
	now := time.Now()
	s.asker.begin(now)
	return now
}

// direct returns a batch that the store itself has returned to a call that began at the
// given time.
func (s *Source) direct(batch bergamotdale.Batch, started time.Time) bergamotdale.Batch {
	s.asker.confirm(started.Add(-batch.Lag))
	s.asker.responded()
	batch.Deletions = bergamotdale.DeletionsFinal
	if limit := s.asker.lapseLimit(time.Now()); limit > 0 {
		batch.Deletions, batch.LapseLimit = bergamotdale.DeletionsMayLapse, limit
	}
	return batch
}

// Changes implements bergamotdale.ChangeStore. A follower asks the observers
// first, an observer the primaries, and each the store if none of them responds, or if
// they have lost the store until the content is as old as Bounds allows.
func (s *Source) Changes(ctx context.Context, prefix string, after bergamotdale.Position, wait time.Duration) (bergamotdale.Batch, error) {
	s.position, s.contentEra = s.position.Latest(after), after.Era
	s.settle(ctx)
	started := s.beginCall()
	defer func() { s.asker.updateDoubt(len(s.upstream().order) > 0) }()
	for ctx.Err() == nil {
		u := s.upstream()
		if len(u.order) == 0 {
			if u.isObserver {
				wait = min(wait, s.asker.bounds.watchWait)
			}
			break
		}
		if u.isObserver && s.standsIn && s.asker.isLost(time.Now(), u.order) {
			wait = min(wait, s.asker.bounds.watchWait)
			break
		}
		askAt := s.asker.askAt(u.isObserver)
		if !time.Now().Before(askAt) {
			// The watch only brings the content up to date.
			wait = minPollWait
			break
		}
		batch, responded, err := s.follow(ctx, u, askAt, after, started)
		if err == nil || errors.Is(err, bergamotdale.ErrCompacted) {
			return batch, errors.Trace(err)
		}
		pause := minPollWait
		if !responded {
			if u.isObserver {
				wait = min(wait, s.asker.bounds.watchWait)
				break
			}
			// A watch of each follower would cost a call for each change.
			pause = min(max(minPollWait, time.Until(askAt)), s.asker.bounds.watchWait)
		}
		if err := bergamotdale.Wait(ctx, bergamotdale.SystemClock{}, pause); err != nil {
			return bergamotdale.Batch{}, errors.Trace(err)
		}
	}
	if s.currentObserver != "" {
		s.Logger.Info("watching the store directly")
		s.currentObserver = ""
	}
	return s.watchStore(ctx, prefix, after, wait, started)
}

// follow asks the routers that this one follows until askAt. It reports whether any of
// them responded, with or without content.
func (s *Source) follow(ctx context.Context, u upstream, askAt time.Time, after bergamotdale.Position, started time.Time) (bergamotdale.Batch, bool, error) {
	asked, lost := s.asker.candidates(time.Now(), u.order)
	for i, id := range asked {
		until := askAt
		if i < len(asked)-1 {
			until = earlier(askAt, s.asker.switchAt(u.isObserver))
		}
		batch, err := s.poll(ctx, u, id, until, Request{}, after, started)
		switch {
		case err == nil, errors.Is(err, bergamotdale.ErrCompacted):
			return batch, true, errors.Trace(err)
		case errors.Is(err, errLost):
			s.asker.markLost(time.Now(), id)
			if lost == "" {
				lost = id
			}
		default:
			s.avoidObserver(id)
		}
	}
	if lost == "" {
		return bergamotdale.Batch{}, false, errors.Annotatef(bergamotdale.ErrUnavailable, "none of %d routers that this one follows responds", len(asked))
	}
	// Another one may get the store back first, so each of them is asked for a while.
	now := time.Now()
	until := earlier(askAt, now.Add(s.asker.bounds.watchWait+pollGrace))
	if outdated := s.asker.switchAt(u.isObserver); now.Before(outdated) {
		// The content is still worth as much as that of others.
		until = earlier(until, outdated)
	} else if s.OnStoreLost != nil {
		s.OnStoreLost()
	}
	batch, err := s.poll(ctx, u, lost, until, Request{WaitLost: true}, after, started)
	switch {
	case err == nil, errors.Is(err, bergamotdale.ErrCompacted), ctx.Err() != nil:
	case errors.Is(err, errLost):
		s.asker.markLost(time.Now(), lost)
	default:
		s.avoidObserver(lost)
	}
	return batch, true, errors.Trace(err)
}

// poll asks one router for changes until the given time.
func (s *Source) poll(ctx context.Context, u upstream, id string, until time.Time, request Request, after bergamotdale.Position, started time.Time) (bergamotdale.Batch, error) {
	wait := max(minPollWait, time.Until(until)-pollGrace)
	request.After, request.WaitMS, request.MaxHops = s.askedAfter(after), wait.Milliseconds(), u.maxHops
	batch, err := s.fetchBatch(ctx, u.members[id], request, wait+pollGrace, started)
	if err != nil {
		return bergamotdale.Batch{}, errors.Trace(err)
	}
	return s.followed(u.members[id], batch, after, started), nil
}

func earlier(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}

// followed returns the batch of a router that this one follows.
func (s *Source) followed(m bergamotdale.Member, batch bergamotdale.Batch, after bergamotdale.Position, started time.Time) bergamotdale.Batch {
	if s.currentObserver != m.ID {
		s.Logger.Info("following an observer of the store", zap.String("peer", m.ID), zap.Int64("era", batch.Era), zap.Int64("revision", batch.Revision))
		s.currentObserver = m.ID
	}
	// An observer that is behind still confirms its content as current, but
	// must not lower the revision of this router.
	batch.Revision = max(after.Revision, batch.Revision)
	s.asker.confirm(started.Add(-batch.Lag))
	s.standsIn = false
	return batch
}

// settle waits at the first call until the member list is that of a large fleet,
// but at most settleTime.
func (s *Source) settle(ctx context.Context) {
	if s.settled {
		return
	}
	s.settled = true
	for waited := time.Duration(0); waited < settleTime && len(s.Members()) <= maxDirectFleet; waited += settleInterval {
		if bergamotdale.Wait(ctx, bergamotdale.SystemClock{}, settleInterval) != nil {
			return
		}
	}
}

// watchStore watches the store directly. After a failed call it asks other routers
// instead until it is time to ask the store again.
func (s *Source) watchStore(ctx context.Context, prefix string, after bergamotdale.Position, wait time.Duration, started time.Time) (bergamotdale.Batch, error) {
	err := error(bergamotdale.ErrUnavailable)
	called := time.Now()
	if s.asker.failedAt.IsZero() || !called.Before(s.asker.retryAt) {
		var batch bergamotdale.Batch
		batch, err = s.Store.Changes(ctx, prefix, after, wait)
		err = s.checkEra(batch, err)
		if errors.Is(err, bergamotdale.ErrCompacted) || err != nil && ctx.Err() != nil {
			return bergamotdale.Batch{Era: s.position.Era}, errors.Trace(err)
		}
		if err == nil {
			s.hops, s.standsIn = 0, true
			batch = s.direct(batch, called)
			batch.Lag -= called.Sub(started)
			return batch, nil
		}
		s.asker.failed(called)
		s.standsIn = false
		if s.OnStoreLost != nil {
			s.OnStoreLost()
		}
		s.Logger.Info("store asked through other routers", zap.Duration("for", time.Until(s.asker.retryAt)), zap.Error(err))
	}
	for _, m := range s.randomPeers() {
		wait := min(sharedWait, s.asker.bounds.rereadTime())
		request := Request{After: s.askedAfter(after), WaitMS: wait.Milliseconds(), MaxHops: maxHops}
		relayed, peerErr := s.fetchBatch(ctx, m, request, wait+pollGrace, started)
		if peerErr == nil {
			relayed.Revision = max(after.Revision, relayed.Revision)
			s.asker.confirm(started.Add(-relayed.Lag))
			return relayed, nil
		}
		if s.restored != nil {
			return bergamotdale.Batch{Era: s.position.Era}, errors.Trace(peerErr)
		}
	}
	if len(s.upstream().order) == 0 {
		// Others follow this router, and it notices first that the store is back.
		s.asker.retryAt = time.Time{}
	}
	return bergamotdale.Batch{}, errors.Trace(err)
}

// avoidObserver excludes an observer from requests for avoidPeriod.
func (s *Source) avoidObserver(id string) {
	s.asker.avoid(time.Now(), id)
	s.Logger.Info("observer of the store excluded after a failed request", zap.String("peer", id), zap.Duration("for", avoidPeriod))
}

// upstream describes which routers this one asks for changes before the store.
type upstream struct {
	// order holds the IDs in the order in which they are asked, and members the
	// routers by ID.
	order   []string
	members map[string]bergamotdale.Member
	// maxHops is the limit of their content.
	maxHops int
	// isObserver is true if other routers follow this one.
	isObserver bool
	// routers is the member list for which this is the upstream.
	routers []bergamotdale.Member
}

// upstream returns the routers that this one asks now: a follower the observers,
// an observer the primaries, and a primary or a router of a small fleet none.
func (s *Source) upstream() upstream {
	routers := s.Members()
	if !slices.Equal(routers, s.cached.routers) || s.cached.members == nil {
		s.cached = s.newUpstream(routers)
	}
	return s.cached
}

func (s *Source) newUpstream(routers []bergamotdale.Member) upstream {
	self := bergamotdale.Member{ID: s.Self}
	members, domains := map[string]bergamotdale.Member{}, map[string]string{}
	for _, m := range routers {
		members[m.ID], domains[m.ID] = m, m.FailureDomain
		if m.ID == s.Self {
			self = m
		}
	}
	all := routers
	if _, known := members[s.Self]; !known {
		all = append(slices.Clone(routers), self)
	}
	observers := Observers(all)
	u := upstream{maxHops: observerHops, members: members, routers: slices.Clone(routers)}
	if slices.Contains(observers, s.Self) {
		u.maxHops, u.isObserver = primaryHops, true
		if observers = Primaries(observers); slices.Contains(observers, s.Self) {
			return u
		}
	}
	u.order = orderObservers(self, observers, domains)
	return u
}

// randomPeers returns up to maxPeersTried other routers in a random order, to ask
// when the store does not respond.
func (s *Source) randomPeers() []bergamotdale.Member {
	return s.randomOf(func(bergamotdale.Member) bool { return true })
}

// nearPeers is randomPeers for the routers of this one's failure domain.
func (s *Source) nearPeers() []bergamotdale.Member {
	domain := ""
	for _, m := range s.Members() {
		if m.ID == s.Self {
			domain = m.FailureDomain
		}
	}
	return s.randomOf(func(m bergamotdale.Member) bool { return m.FailureDomain == domain })
}

// randomOf returns up to maxPeersTried other routers that match, in a random order.
func (s *Source) randomOf(matches func(bergamotdale.Member) bool) []bergamotdale.Member {
	var peers []bergamotdale.Member
	for _, m := range s.Members() {
		if m.ID != s.Self && matches(m) {
			peers = append(peers, m)
		}
	}
	n := min(len(peers), maxPeersTried)
	for i := range n {
		j := i + int(s.asker.below(time.Duration(len(peers)-i)))
		peers[i], peers[j] = peers[j], peers[i]
	}
	return peers[:n]
}

// errLost is the error of a router that responds but has no usable content.
const errLost = errors.ConstError("the router has no usable content of the store")

// fetchBatch requests a batch from another router. It returns errLost if the router
// has no usable content, ErrCompacted if its history does not reach back far enough,
// and another error if it does not respond.
// The lag of the batch counts from the given time.
func (s *Source) fetchBatch(ctx context.Context, m bergamotdale.Member, request Request, timeout time.Duration, since time.Time) (bergamotdale.Batch, error) {
	var response Response
	called := time.Now()
	request.Era = s.position.Era
	callCtx, cancel := context.WithTimeout(ctx, timeout)
	err := s.Peer.Call(callCtx, m.Address, Path, request, &response)
	cancel()
	if err != nil {
		s.Logger.Debug("request to peer router failed", zap.String("peer", m.ID), zap.Error(err))
		return bergamotdale.Batch{}, errors.Trace(err)
	}
	if !response.Usable || response.Era < s.position.Era {
		return bergamotdale.Batch{}, errLost
	}
	if response.Era > s.contentEra && !request.Everything {
		return bergamotdale.Batch{}, s.noteRestored(m, response.Era)
	}
	if response.Compacted {
		return bergamotdale.Batch{}, errors.Annotatef(bergamotdale.ErrCompacted, "history of %s", m.ID)
	}
	for _, key := range response.Large {
		entry, err := s.readLarge(ctx, m, key, bergamotdale.Position{Era: response.Era, Revision: response.Revision})
		if err != nil {
			return bergamotdale.Batch{}, errors.Annotatef(err, "large value %s is not available", key)
		}
		response.Changes = append(response.Changes, bergamotdale.Change{Entry: entry})
	}
	s.hops = response.Hops + 1
	if request.Everything && response.Entries == nil {
		response.Entries = []bergamotdale.Entry{}
	}
	// The response was made at least HeldMS after the call.
	held := called.Sub(since).Truncate(time.Millisecond) + time.Duration(response.HeldMS)*time.Millisecond
	batch := bergamotdale.Batch{
		Era: response.Era, Entries: response.Entries, Changes: response.Changes, Revision: response.Revision,
		Lag: time.Duration(response.AgeMS)*time.Millisecond - held, Deletions: bergamotdale.DeletionsFinal,
	}
	if response.MayLapse {
		batch.Deletions, batch.LapseLimit = bergamotdale.DeletionsMayLapse, s.asker.lapseLimit(time.Now())
	}
	return batch, nil
}

// readLarge reads a value that is at least as recent as the position, and of its era,
// from the store, or from the observer if this router cannot reach the store. It
// returns ErrCompacted if the store has a later era.
func (s *Source) readLarge(ctx context.Context, m bergamotdale.Member, key string, notBefore bergamotdale.Position) (bergamotdale.Entry, error) {
	ctx, cancel := context.WithTimeout(ctx, largeReadTimeout)
	defer cancel()
	batch, err := s.Store.Range(ctx, key, notBefore)
	if batch.Era > notBefore.Era {
		s.position = s.position.Latest(bergamotdale.Position{Era: batch.Era})
		return bergamotdale.Entry{}, errors.Annotatef(bergamotdale.ErrCompacted, "the store has era %d, not %d", batch.Era, notBefore.Era)
	}
	if err == nil && batch.Era < notBefore.Era {
		err = errors.Annotatef(bergamotdale.ErrUnavailable, "the store responded with era %d, not %d", batch.Era, notBefore.Era)
	}
	if err != nil {
		s.Logger.Debug("failed to read a large value from the store", zap.String("key", key), zap.Error(err))
		var r Response
		request := Request{Key: key, Era: notBefore.Era, MaxHops: maxHops}
		if err := s.Peer.Call(ctx, m.Address, Path, request, &r); err != nil || !r.Usable || r.Era != notBefore.Era {
			s.Logger.Warn("failed to read a large value from the store and from a peer", zap.String("key", key), zap.String("peer", m.ID), zap.Error(err))
			return bergamotdale.Entry{}, errLost
		}
		batch.Entries = r.Entries
	}
	for _, e := range batch.Entries {
		if e.Key == key {
			return e, nil
		}
	}
	return bergamotdale.Entry{}, errors.Annotatef(bergamotdale.ErrNotFound, "key %s", key)
}
