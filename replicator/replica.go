// Package replicator replicates the content of the store between routers, so
// that in a large fleet only a few routers, the observers, watch the store.
// Without it, each change would cost the store one watch response per router.
//
// In a small fleet every router watches the store directly. In a larger one all
// routers compute the same observers from the member list. Two of these, the
// primaries, watch the store; the other observers long-poll a primary, and the
// remaining routers, the followers, an observer of their failure domain. Each
// falls back to the store if none responds. Each response carries the age of its
// content, from which a router knows how recent its API keys are, and the number
// of routers that it has passed through, which keeps routers with different
// member lists from following each other.
package replicator

import (
	"cmp"
	"context"
	"math"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/bergamotdale/bergamotdale"
)

const (
	// Path is the path of a Request below /peer/v1/.
	Path = "store-changes"
	// historyLength is the number of changes that a replica keeps. A follower
	// that missed more reads the whole content again.
	historyLength = 1024
	// lapsePeriod is how long after a deletion that may come from an outage of the
	// store a replica says so to its followers. They fetch changes more often.
	lapsePeriod = 5 * time.Second
	// contentLost is the number of hops of a replica whose source has failed.
	contentLost = math.MaxInt
	// maxWait is the upper limit of the duration of a long poll.
	maxWait = 2 * time.Second
	// maxInlineValue is the size in bytes above which an observer sends its
	// followers only the key of a changed value. A VM with a 10 Mbit/s link needs
	// a second to send a configuration of 100 KB to 14 followers; the store has
	// more bandwidth.
	maxInlineValue = 4 << 10
)

// Request is the request of a follower for the changes after a revision, for
// the whole content, or for the value of one key.
type Request struct {
	// After is the revision that the follower has.
	After int64 `json:"after"`
	// Era is the latest era of the store that the follower knows of; After is a
	// revision of this era, if it is not zero. Routers of earlier versions do not
	// set it.
	Era int64 `json:"era,omitempty"`
	// WaitMS is the longest time in milliseconds to wait for changes or for a
	// newer confirmation that there are none.
	WaitMS int64 `json:"wait-ms"`
	// Everything requests the whole content.
	Everything bool `json:"everything,omitempty"`
	// Key requests the value of one key.
	Key string `json:"key,omitempty"`
	// MaxHops is the largest number of routers that the content may have passed
	// through between the store and the responding router. It does not apply to
	// Everything.
	MaxHops int `json:"max-hops,omitempty"`
	// WaitLost makes a router that has lost the store respond when it is back,
	// instead of at once.
	WaitLost bool `json:"wait-lost,omitempty"`
}

// Response is the response to a Request.
type Response struct {
	// Usable is false if the responding router has no content or content of an
	// earlier era than Request.Era or, unless the whole content was requested, its
	// content is too old or has more than MaxHops hops.
	Usable bool `json:"usable"`
	// Compacted is true if the history does not reach back to Request.After, or if
	// that is a revision of an earlier era.
	Compacted bool                  `json:"compacted,omitempty"`
	Entries   []bergamotdale.Entry  `json:"entries,omitempty"`
	Changes   []bergamotdale.Change `json:"changes,omitempty"`
	// Large lists the changed keys whose values are too large for Changes; the
	// follower reads them separately.
	Large    []string `json:"large,omitempty"`
	Revision int64    `json:"revision"`
	// Era is the era of the store that the content is from. It is zero if the
	// responding router has an earlier version.
	Era int64 `json:"era,omitempty"`
	// AgeMS is the time in milliseconds since the revision was known to be
	// current.
	AgeMS int64 `json:"age-ms"`
	// Hops is the number of routers between the store and the responding router.
	Hops int `json:"hops,omitempty"`
	// HeldMS is the time in milliseconds for which the request waited.
	HeldMS int64 `json:"held-ms,omitempty"`
	// MayLapse is true if a deletion of the changes may come from an outage of the
	// store (see bergamotdale.Deletions).
	MayLapse bool `json:"may-lapse,omitempty"`
}

// Replica is this router's copy of the content of the store, with the recent
// changes. It serves the followers of this router.
type Replica struct {
	// Age returns the time since the content was known to be current, and false
	// if it never was.
	Age func() (time.Duration, bool)

	mu      sync.Mutex
	entries map[string]bergamotdale.Entry
	history []bergamotdale.Change
	// position is that of the content. Its era never falls, and the history has only
	// changes of this era.
	position bergamotdale.Position
	// historyStart is the revision after which the history is complete.
	historyStart int64
	// changed is closed and replaced when a batch is applied or the store is lost.
	changed chan struct{}
	// hops is the number of routers between the store and this one that the latest
	// batch passed through, or contentLost.
	hops int
	// lapsedUntil is the time until which the history may have a deletion that comes
	// from an outage of the store.
	lapsedUntil time.Time
	// bounds holds the bounds for the next response.
	bounds atomic.Pointer[Bounds]
}

// NewReplica returns an empty replica; see Replica.Age for age.
func NewReplica(age func() (time.Duration, bool)) *Replica {
	r := &Replica{Age: age, entries: map[string]bergamotdale.Entry{}, changed: make(chan struct{}), hops: contentLost}
	r.SetBounds(defaultBounds())
	return r
}

// SetBounds changes the bounds from the next response on.
func (r *Replica) SetBounds(b Bounds) { r.bounds.Store(&b) }

// Apply applies a batch of the store's content or changes. hops is the number of
// routers between the store and this one that it has passed through. A batch of an
// earlier era is ignored, and the first one of a later era must hold the content.
func (r *Replica) Apply(batch bergamotdale.Batch, hops int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if batch.Era < r.position.Era || batch.Era > r.position.Era && batch.Entries == nil && !r.position.IsZero() {
		return
	}
	if batch.Entries != nil {
		r.replaceContent(batch)
	}
	for _, c := range batch.Changes {
		if c.Deleted {
			delete(r.entries, c.Key)
		} else {
			r.entries[c.Key] = c.Entry
		}
		r.history = append(r.history, c)
	}
	if excess := len(r.history) - historyLength; excess > 0 {
		r.historyStart = r.history[excess-1].Version
		r.history = slices.Clone(r.history[excess:])
	}
	if batch.Deletions == bergamotdale.DeletionsMayLapse && (batch.Entries != nil || slices.ContainsFunc(batch.Changes, isDeletion)) {
		r.lapsedUntil = time.Now().Add(lapsePeriod)
	}
	r.position, r.hops = batch.Position(), hops
	close(r.changed)
	r.changed = make(chan struct{})
}

func isDeletion(c bergamotdale.Change) bool { return c.Deleted }

// replaceContent replaces the content by that of the batch. What differs becomes
// part of the history, so that followers need not read the whole content again
// when the store has dropped its own. The lock is held.
func (r *Replica) replaceContent(batch bergamotdale.Batch) {
	previous := r.entries
	r.entries = make(map[string]bergamotdale.Entry, len(batch.Entries))
	for _, e := range batch.Entries {
		r.entries[e.Key] = e
	}
	if r.position.IsZero() || batch.Era != r.position.Era || batch.Revision < r.position.Revision {
		// Revisions of two eras do not tell which entries differ.
		r.history, r.historyStart = nil, batch.Revision
		return
	}
	var changes []bergamotdale.Change
	for key, e := range r.entries {
		if e.Version > r.position.Revision {
			changes = append(changes, bergamotdale.Change{Entry: e})
		}
		delete(previous, key)
	}
	for key := range previous {
		// The revision of the deletion is not known, but not above this one.
		changes = append(changes, bergamotdale.Change{Entry: bergamotdale.Entry{Key: key, Version: batch.Revision}, Deleted: true})
	}
	slices.SortFunc(changes, func(a, b bergamotdale.Change) int { return cmp.Compare(a.Version, b.Version) })
	r.history = append(r.history, changes...)
}

// MarkStoreLost records that neither the store nor a router that this one follows
// responds. Waiting and later requests of followers are rejected at once, so that
// the followers turn to other routers.
func (r *Replica) MarkStoreLost() {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.hops == contentLost {
		return
	}
	r.hops = contentLost
	close(r.changed)
	r.changed = make(chan struct{})
}

// Serve handles the request of a follower. If there is no change after the
// revision of the request, it waits for the next batch. A request for everything
// is served whatever the age of the content: a router that starts during an
// outage of the store has nothing better, and the response carries the age.
func (r *Replica) Serve(ctx context.Context, request Request) (Response, error) {
	arrived := time.Now()
	r.mu.Lock()
	position, changed, hops := r.position, r.changed, r.hops
	r.mu.Unlock()
	lost := hops > request.MaxHops && !request.Everything || position.Era < request.Era
	if lost && !request.WaitLost {
		return Response{}, nil
	}
	if lost || !request.Everything && request.Key == "" && !request.isOfEarlierEra(position.Era) && position.Revision <= request.After {
		timer := time.NewTimer(min(maxWait, time.Duration(request.WaitMS)*time.Millisecond))
		defer timer.Stop()
		select {
		case <-changed:
		case <-timer.C:
			// Neither the store nor a router that this one follows has responded.
			return Response{}, nil
		case <-ctx.Done():
		}
	}
	held := time.Since(arrived)
	response := r.buildResponse(request)
	response.HeldMS = held.Milliseconds()
	return response, nil
}

// buildResponse returns the response from the current content.
func (r *Replica) buildResponse(request Request) Response {
	age, known := r.Age()
	r.mu.Lock()
	defer r.mu.Unlock()
	recent := r.hops <= request.MaxHops && age <= r.bounds.Load().servedAge()
	if !known || r.position.Revision == 0 || r.position.Era < request.Era || !recent && !request.Everything {
		return Response{}
	}
	response := Response{
		Usable: true, Era: r.position.Era, Revision: r.position.Revision,
		AgeMS: age.Milliseconds() + 1, Hops: min(r.hops, maxHops), MayLapse: time.Now().Before(r.lapsedUntil),
	}
	switch {
	case request.Everything:
		for _, e := range r.entries {
			response.Entries = append(response.Entries, e)
		}
	case request.Key != "":
		if e, ok := r.entries[request.Key]; ok {
			response.Entries = []bergamotdale.Entry{e}
		}
	case request.isOfEarlierEra(r.position.Era) || request.After < r.historyStart:
		response.Compacted = true
	default:
		response.Changes, response.Large = r.latestChanges(request.After)
	}
	return response
}

// latestChanges returns the last change of each key after the revision, and
// separately the keys whose values are too large to send along.
func (r *Replica) latestChanges(after int64) ([]bergamotdale.Change, []string) {
	last := map[string]int{}
	for i, c := range r.history {
		last[c.Key] = i
	}
	var changes []bergamotdale.Change
	var large []string
	for i, c := range r.history {
		switch {
		case c.Version <= after || last[c.Key] != i:
		case len(c.Value) > maxInlineValue:
			large = append(large, c.Key)
		default:
			changes = append(changes, c)
		}
	}
	return changes, large
}
