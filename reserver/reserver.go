// Package reserver decides which requests may hold memory of a router, which are refused,
// and which have to give way. It does no I/O and reads no clock.
//
// The load pattern is a crowd of clients that the operators do not control: many large
// bodies of legal size arrive at once, announced or in chunks, most stop just short of
// their end, and responses are left unread. Without a common limit the bodies add up to
// more than the memory of the machine. With a plain limit the crowd would hold all of it
// and the callers that behave would be refused until the last body has timed out.
//
// Each request has a Holding. An announced body is reserved before its first byte is read,
// and one of unknown length as it grows. A part of the capacity is left for small
// requests. When a request needs more than is left, requests that wait for their client
// and are overdue give way, the one overdue for longest first. A request that waits for an
// endpoint never does. A request that progresses at minRate with pauses up to stallTime is
// never overdue, and none gives way while memory is left.
package reserver

import (
	"cmp"
	"slices"
	"sync"
	"time"
)

const (
	// minRate is the progress in bytes per second below which a client becomes overdue. At
	// this rate a prompt of 96 KiB arrives within the shortest usual client timeout, 3 s.
	minRate = 32 << 10
	// stallTime is how long a client may make no progress before it is overdue. TCP
	// retransmits a lost packet after 0.2 to 0.4 s, and again after twice that time.
	stallTime = 1500 * time.Millisecond
	// largeShare is the part of the capacity, in quarters, that requests with more than
	// smallBody may hold together. One alone may hold all.
	largeShare = 3
	// smallBody is the size in bytes up to which the body or response of a request counts as
	// small.
	smallBody = 64 << 10
	// minWait and maxWait bound the time after which a denied request is told to return.
	// Running requests end at an unknown time; maxWait stands for it.
	minWait = 100 * time.Millisecond
	maxWait = time.Second
)

// Denial says why a request may not hold more memory.
type Denial struct {
	// Never is set if the request needs more than the whole capacity.
	Never bool
	// Dropped is set if the request has given way to another one.
	Dropped bool
	// Wait is the time after which there may be room, zero unless a later try can succeed.
	Wait time.Duration
}

// Stats is the state of a Reserver for the metrics.
type Stats struct {
	// Capacity and Reserved are in bytes.
	Capacity, Reserved int64
	// Requests is the number of holdings.
	Requests int64
	// Refused counts the denials, and Dropped the requests that gave way.
	Refused, Dropped int64
}

// Reserver accounts for the memory that requests hold. Its methods, and those of its
// holdings, may be called concurrently.
type Reserver struct {
	capacity, overhead int64

	mu       sync.Mutex
	reserved int64
	// large is the part of reserved that belongs to large requests.
	large    int64
	holdings map[*Holding]struct{}
	// opened is the number of holdings so far.
	opened           uint64
	refused, dropped int64
}

// New returns a Reserver of the capacity in bytes. overhead is what each request holds
// beside its body and response.
func New(capacity, overhead int64) *Reserver {
	return &Reserver{capacity: capacity, overhead: overhead, holdings: map[*Holding]struct{}{}}
}

// Drop tells a request to give way.
type Drop struct {
	// Writing is set if the request waits for its client to read, and not to send.
	Writing bool
	// Connection is set if the connection itself is needed by another client.
	Connection bool
}

// Holding is the memory that one request holds.
type Holding struct {
	reserver *Reserver
	// drop is called once, without a lock, when the request has to give way.
	drop func(Drop)
	// number orders holdings that are overdue since the same time.
	number uint64

	// The fields below are guarded by Reserver.mu.

	// size is zero after the request has given way or ended.
	size int64
	// waiting is set while the request waits for its client, to read if writing is set.
	// due is when the client is overdue unless it makes progress.
	waiting, writing bool
	due              time.Time
	dropped          bool
}

// Open reserves size bytes and the overhead for a new request. drop tells the request to
// give way; it is called at most once, without a lock.
func (r *Reserver) Open(now time.Time, size int64, drop func(Drop)) (*Holding, *Denial) {
	h := &Holding{reserver: r, drop: drop}
	if denial := h.Grow(now, size+r.overhead); denial != nil {
		return nil, denial
	}
	return h, nil
}

// Grow reserves further bytes.
func (h *Holding) Grow(now time.Time, size int64) *Denial {
	r := h.reserver
	r.mu.Lock()
	if h.dropped {
		r.mu.Unlock()
		return &Denial{Dropped: true}
	}
	if h.size+size > r.capacity {
		r.refused++
		r.mu.Unlock()
		return &Denial{Never: true}
	}
	victims, wait := r.makeRoom(now, h, size)
	if wait > 0 {
		r.refused++
		r.mu.Unlock()
		return &Denial{Wait: wait}
	}
	drops := make([]Drop, 0, len(victims))
	for _, v := range victims {
		drops = append(drops, v.giveWay())
	}
	if _, known := r.holdings[h]; !known {
		r.opened++
		h.number = r.opened
		r.holdings[h] = struct{}{}
	}
	h.resize(h.size + size)
	r.mu.Unlock()
	for i, v := range victims {
		v.drop(drops[i])
	}
	return nil
}

// makeRoom returns the requests that give way so that h can hold size bytes more, or after
// which time there may be room. The lock is held.
func (r *Reserver) makeRoom(now time.Time, h *Holding, size int64) ([]*Holding, time.Duration) {
	missing := r.reserved + size - r.capacity
	missingLarge := int64(0)
	if r.isLarge(h.size + size) {
		others := r.large
		if r.isLarge(h.size) {
			others -= h.size
		}
		missingLarge = min(others, others+h.size+size-r.capacity/4*largeShare)
	}
	if missing <= 0 && missingLarge <= 0 {
		return nil, 0
	}
	var victims []*Holding
	for _, v := range r.waiting(h) {
		if missing <= 0 && !r.isLarge(v.size) {
			continue
		}
		if !v.due.Before(now) {
			// It gives way once it is overdue, if it makes no progress.
			missing -= v.size
			if r.isLarge(v.size) {
				missingLarge -= v.size
			}
			if missing <= 0 && missingLarge <= 0 {
				return nil, min(max(v.due.Sub(now), minWait), maxWait)
			}
			continue
		}
		victims = append(victims, v)
		missing -= v.size
		if r.isLarge(v.size) {
			missingLarge -= v.size
		}
		if missing <= 0 && missingLarge <= 0 {
			return victims, 0
		}
	}
	return nil, maxWait
}

// waiting returns the requests other than h that wait for their client, the one that is or
// will be overdue first at the beginning. The lock is held.
func (r *Reserver) waiting(h *Holding) []*Holding {
	var all []*Holding
	for other := range r.holdings {
		if other.waiting && other != h {
			all = append(all, other)
		}
	}
	slices.SortFunc(all, func(a, b *Holding) int {
		return cmp.Or(a.due.Compare(b.due), cmp.Compare(a.number, b.number))
	})
	return all
}

// DropSlowest makes the request that is overdue for longest give way, so that its
// connection is free, and reports whether there was one.
func (r *Reserver) DropSlowest(now time.Time) bool {
	r.mu.Lock()
	waiting := r.waiting(nil)
	if len(waiting) == 0 || !waiting[0].due.Before(now) {
		r.mu.Unlock()
		return false
	}
	drop := waiting[0].giveWay()
	r.mu.Unlock()
	drop.Connection = true
	waiting[0].drop(drop)
	return true
}

// Stats returns the current state.
func (r *Reserver) Stats() Stats {
	r.mu.Lock()
	defer r.mu.Unlock()
	return Stats{Capacity: r.capacity, Reserved: r.reserved, Requests: int64(len(r.holdings)), Refused: r.refused, Dropped: r.dropped}
}

// isLarge reports whether a request that holds so much is large.
func (r *Reserver) isLarge(size int64) bool { return size > smallBody+r.overhead }

// AwaitBody records that the request waits for its client to send from now on.
func (h *Holding) AwaitBody(now time.Time) { h.await(now.Add(stallTime), false) }

// AwaitReader records that the request waits for its client to read size bytes.
func (h *Holding) AwaitReader(now time.Time, size int) {
	h.await(now.Add(stallTime+timeFor(size)), true)
}

func (h *Holding) await(due time.Time, writing bool) {
	h.reserver.mu.Lock()
	defer h.reserver.mu.Unlock()
	if !h.dropped {
		h.waiting, h.writing, h.due = true, writing, due
	}
}

// RecordProgress records that the client has sent so many bytes. It returns false if the
// request has given way.
func (h *Holding) RecordProgress(now time.Time, size int) bool {
	h.reserver.mu.Lock()
	defer h.reserver.mu.Unlock()
	// The client gains no more than stallTime in advance.
	h.due = h.due.Add(timeFor(size))
	if limit := now.Add(stallTime); h.due.After(limit) {
		h.due = limit
	}
	return !h.dropped
}

// Settle records that the request no longer waits for its client. It returns false if the
// request has given way; otherwise it does not until it waits again.
func (h *Holding) Settle() bool {
	h.reserver.mu.Lock()
	defer h.reserver.mu.Unlock()
	h.waiting = false
	return !h.dropped
}

// Release ends the holding. It may be called more than once.
func (h *Holding) Release() {
	h.reserver.mu.Lock()
	defer h.reserver.mu.Unlock()
	h.remove()
}

// giveWay ends the holding for another request and returns what to tell its own. The lock
// is held.
func (h *Holding) giveWay() Drop {
	h.dropped = true
	h.reserver.dropped++
	h.remove()
	return Drop{Writing: h.writing}
}

// remove frees what is held. The lock is held.
func (h *Holding) remove() {
	h.resize(0)
	h.waiting = false
	delete(h.reserver.holdings, h)
}

// resize changes what is held. The lock is held.
func (h *Holding) resize(size int64) {
	r := h.reserver
	if r.isLarge(h.size) {
		r.large -= h.size
	}
	if r.isLarge(size) {
		r.large += size
	}
	r.reserved += size - h.size
	h.size = size
}

// timeFor returns how long a client may take for so many bytes.
func timeFor(size int) time.Duration { return time.Duration(size) * (time.Second / minRate) }
