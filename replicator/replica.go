// Package replicator spreads the content of the store among routers, so that
// only a few of them watch it.
//
// A small fleet watches the store directly. In a larger one each router computes
// the same few observers from the membership; the others follow an observer by
// long polls and fall back to the store. Every answer carries its age, so that a
// follower knows how recent its API keys are. It answers the load that every
// change costs the store one answered watch for each router.
package replicator

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/bergamotdale/bergamotdale"
)

const (
	// Path is the path of a Request below /peer/v1/.
	Path = "store-changes"
	// historyLength bounds the changes that a replica keeps. A follower that
	// missed more reads everything again.
	historyLength = 1024
	// maxServedAge is the age from which a replica sends followers elsewhere: a
	// watch may be 1 s behind, and an observer's take up to 0.5 s.
	maxServedAge = 2 * time.Second
	// maxWait bounds a long poll.
	maxWait = 2 * time.Second
	// maxInline bounds the values that an observer sends to all of its
	// followers, in bytes. VMs with links of 10 Mbit/s need a second for a
	// configuration of 100 KB times 14 followers; the store has a wider link.
	maxInline = 4 << 10
)

// Request asks an observer for the changes after a revision.
type Request struct {
	After int64 `json:"after"`
	// WaitMS is how long to wait for changes or a newer confirmation, in
	// milliseconds.
	WaitMS int64 `json:"wait-ms"`
	// Everything asks for the whole content.
	Everything bool `json:"everything,omitempty"`
	// Key asks for the value of one key.
	Key string `json:"key,omitempty"`
}

// Response is the answer to a Request.
type Response struct {
	// Usable is false if this router is no observer or has lost the store.
	Usable bool `json:"usable"`
	// Compacted states that the history does not reach back to the revision.
	Compacted bool                  `json:"compacted,omitempty"`
	Entries   []bergamotdale.Entry  `json:"entries,omitempty"`
	Changes   []bergamotdale.Change `json:"changes,omitempty"`
	// Large holds the changed keys whose values are read separately.
	Large    []string `json:"large,omitempty"`
	Revision int64    `json:"revision"`
	// AgeMS is the time since the revision was known to be current, in
	// milliseconds.
	AgeMS int64 `json:"age-ms"`
}

// Replica is the content of the store as this router observes it.
type Replica struct {
	// Age returns the time since the content was known to be current.
	Age func() (time.Duration, bool)

	mu       sync.Mutex
	entries  map[string]bergamotdale.Entry
	history  []bergamotdale.Change
	revision int64
	// oldest is the revision that the history reaches back to.
	oldest int64
	// stepped is closed and replaced after each batch.
	stepped chan struct{}
	// direct is set while the batches come from the store itself.
	direct bool
}

// NewReplica returns an empty replica.
func NewReplica(age func() (time.Duration, bool)) *Replica {
	return &Replica{Age: age, entries: map[string]bergamotdale.Entry{}, stepped: make(chan struct{})}
}

// Apply takes in a batch. direct states that it came from the store itself.
func (r *Replica) Apply(b bergamotdale.Batch, direct bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if b.Entries != nil {
		r.entries = map[string]bergamotdale.Entry{}
		for _, e := range b.Entries {
			r.entries[e.Key] = e
		}
		r.history, r.oldest = nil, b.Revision
	}
	for _, c := range b.Changes {
		if c.Deleted {
			delete(r.entries, c.Key)
		} else {
			r.entries[c.Key] = c.Entry
		}
		r.history = append(r.history, c)
	}
	if excess := len(r.history) - historyLength; excess > 0 {
		r.oldest = r.history[excess-1].Version
		r.history = slices.Clone(r.history[excess:])
	}
	r.revision, r.direct = b.Revision, direct
	close(r.stepped)
	r.stepped = make(chan struct{})
}

// Lost records that the store no longer answers this router: followers turn
// elsewhere at once.
func (r *Replica) Lost() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.direct = false
	close(r.stepped)
	r.stepped = make(chan struct{})
}

// Serve answers a follower. It waits for the next batch if there is no change
// after the revision.
func (r *Replica) Serve(ctx context.Context, q Request) (Response, error) {
	r.mu.Lock()
	revision, stepped, direct := r.revision, r.stepped, r.direct
	r.mu.Unlock()
	if !direct {
		return Response{}, nil
	}
	if !q.Everything && q.Key == "" && revision <= q.After {
		timer := time.NewTimer(min(maxWait, time.Duration(q.WaitMS)*time.Millisecond))
		defer timer.Stop()
		select {
		case <-stepped:
		case <-timer.C:
			// The store has not answered this router for several watches.
			return Response{}, nil
		case <-ctx.Done():
		}
	}
	return r.answer(q), nil
}

func (r *Replica) answer(q Request) Response {
	age, known := r.Age()
	r.mu.Lock()
	defer r.mu.Unlock()
	if !known || !r.direct || age > maxServedAge || r.revision == 0 {
		return Response{}
	}
	response := Response{Usable: true, Revision: r.revision, AgeMS: age.Milliseconds() + 1}
	switch {
	case q.Everything:
		for _, e := range r.entries {
			response.Entries = append(response.Entries, e)
		}
	case q.Key != "":
		if e, ok := r.entries[q.Key]; ok {
			response.Entries = []bergamotdale.Entry{e}
		}
	case q.After < r.oldest:
		response.Compacted = true
	default:
		response.Changes, response.Large = r.latest(q.After)
	}
	return response
}

// latest returns the last change of each key after the revision, and the keys
// whose values are too large to send along.
func (r *Replica) latest(after int64) ([]bergamotdale.Change, []string) {
	last := map[string]int{}
	for i, c := range r.history {
		last[c.Key] = i
	}
	var changes []bergamotdale.Change
	var large []string
	for i, c := range r.history {
		switch {
		case c.Version <= after || last[c.Key] != i:
		case len(c.Value) > maxInline:
			large = append(large, c.Key)
		default:
			changes = append(changes, c)
		}
	}
	return changes, large
}
