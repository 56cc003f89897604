// Package claimer reads and writes ownership records in the store. A record
// names the router that owns an endpoint or a shard. Each write is one
// compare-and-swap that raises the epoch of the record (D2 of docs/design.md), so
// that of two routers that claim a name at once only one succeeds.
//
// If the outcome of a write is unknown, for example after a timeout, the record is
// read back and its nonce compared. If that cannot tell either, the write stays
// pending: it may still take effect later. The function MayClaim decides, without
// I/O, whether a record may be claimed; the elector decides which names to claim.
package claimer

import (
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"slices"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/juju/errors"

	"github.com/bergamotdale/bergamotdale"
	"github.com/bergamotdale/bergamotdale/leaser"
)

// storeTimeout bounds one store call.
const storeTimeout = 2 * time.Second

// Status is the result of a write to the store.
type Status string

const (
	// StatusClaimed means that the record in the store is the written one.
	StatusClaimed Status = "claimed"
	// StatusRejected means that the write has not taken effect and never will.
	StatusRejected Status = "rejected"
	// StatusUnknown means that the write may have taken effect or may still do
	// so.
	StatusUnknown Status = "unknown"
)

// Claimer accesses ownership records on behalf of one router. It is safe for
// concurrent use as long as no two writes of the same name overlap.
type Claimer struct {
	self  bergamotdale.Member
	store bergamotdale.Store
	// session returns the lease under which the router claims.
	session func() bergamotdale.LeaseID

	mu     sync.Mutex
	random *rand.Rand
	// known holds the ownership with the highest epoch seen for each name.
	known map[string]knownOwnership
	// pending holds, by name, the writes that may still take effect.
	pending map[string]pendingWrite
	calls   atomic.Int64
}

// knownOwnership is the ownership with the highest epoch known for a name, with
// the store version of its record, or zero if a peer reported it.
type knownOwnership struct {
	bergamotdale.Ownership
	version int64
	// era is the era of the store in which the version was read.
	era int64
}

// pendingWrite is a write that can take effect only while the record has the
// version baseVersion.
type pendingWrite struct {
	bergamotdale.Ownership
	baseVersion int64
}

// New returns a claimer. The random source generates nonces.
func New(self bergamotdale.Member, store bergamotdale.Store, session func() bergamotdale.LeaseID, random *rand.Rand) *Claimer {
	return &Claimer{
		self: self, store: store, session: session, random: random,
		known:   map[string]knownOwnership{},
		pending: map[string]pendingWrite{},
	}
}

// StoreCalls returns the number of store calls made so far.
func (c *Claimer) StoreCalls() int64 {
	return c.calls.Load()
}

// KnownOwnership returns the ownership with the highest epoch seen for the name.
func (c *Claimer) KnownOwnership(name string) (bergamotdale.Ownership, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	s, ok := c.known[name]
	return s.Ownership, ok
}

// ObserveFromPeer records an ownership that another router reported.
func (c *Claimer) ObserveFromPeer(o bergamotdale.Ownership) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.observe(o, 0)
}

// observe records an ownership if it is newer than the known one. The version is
// that of the record if it was read from the store, and zero if a peer reported
// it. The caller holds mu.
func (c *Claimer) observe(o bergamotdale.Ownership, version int64) {
	if o.Name == "" || o.Epoch <= 0 {
		return
	}
	k, ok := c.known[o.Name]
	era := bergamotdale.StoreEra(c.store)
	switch {
	case !ok || o.Epoch > k.Epoch:
		c.known[o.Name] = knownOwnership{o, version, era}
	case o.Epoch < k.Epoch:
		// A lower epoch with an older version is a delayed read. With a newer
		// version, the epoch in the store would have fallen, which it does only if the
		// store is restored from a copy.
		assert(era != k.era || version == 0 || k.version == 0 || version <= k.version,
			"epoch of %s fell from %d to %d in the store", o.Name, k.Epoch, o.Epoch)
	case version != 0:
		// A record from the store overrides a report from a peer for the same
		// epoch. Two different records of one epoch cannot exist in the store.
		same := o.Owner == k.Owner && o.Nonce == k.Nonce
		assert(era != k.era || same || k.version == 0, "epoch %d of %s has the owners %q and %q", o.Epoch, o.Name, k.Owner, o.Owner)
		if era == k.era {
			version = max(version, k.version)
		}
		c.known[o.Name] = knownOwnership{o, version, era}
	}
}

// Read returns the ownership record of the name. Found is false if it does not
// exist.
func (c *Claimer) Read(ctx context.Context, name string) (Record, error) {
	var entry bergamotdale.Entry
	err := c.call(ctx, func(ctx context.Context) (err error) {
		entry, err = c.store.Get(ctx, Key(name))
		return err
	})
	if errors.Is(err, bergamotdale.ErrNotFound) {
		return Record{Ownership: bergamotdale.Ownership{Name: name}}, nil
	}
	if err != nil {
		return Record{}, errors.Annotatef(err, "reading the ownership record of %s", name)
	}
	r, err := decodeRecord(name, entry)
	if err != nil {
		return r, err
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.observe(r.Ownership, r.Version)
	return r, nil
}

// MayClaim decides whether the router may claim the record. The function gone
// reports whether the membership considers a router dead or left, or does not know
// it although this router has run for leaser.TTL. The lease key of the owner is read
// from the store only if the decision depends on it.
func (c *Claimer) MayClaim(ctx context.Context, r Record, gone func(id string) bool) (Claimability, error) {
	claimability := MayClaim(c.self.ID, r, gone(r.Owner), nil)
	if claimability != ClaimCheckLease {
		return claimability, nil
	}
	owner, err := c.memberLease(ctx, r.Owner)
	if err != nil {
		return claimability, err
	}
	if !c.isOfEra(r.Ownership) && owner.Era != 0 && owner.Era == bergamotdale.StoreEra(c.store) {
		// The owner knows of the restore, after which it admits less until it has
		// written the record again. If it does not own the name any more, it never
		// will.
		return ClaimAllowed, nil
	}
	lease := owner.Session
	return MayClaim(c.self.ID, r, gone(r.Owner), &lease), nil
}

// memberLease returns the record under the lease key of a router, which exists in the
// store while the router holds its lease. The record has no lease if the key does not
// exist.
func (c *Claimer) memberLease(ctx context.Context, id string) (leaser.Record, error) {
	var entry bergamotdale.Entry
	err := c.call(ctx, func(ctx context.Context) (err error) {
		entry, err = c.store.Get(ctx, leaser.Key(id))
		return err
	})
	if errors.Is(err, bergamotdale.ErrNotFound) {
		return leaser.Record{}, nil
	}
	if err != nil {
		return leaser.Record{}, errors.Annotatef(err, "reading the lease key of router %s", id)
	}
	var r leaser.Record
	if err := json.Unmarshal(entry.Value, &r); err != nil {
		return leaser.Record{}, errors.Annotatef(err, "decoding the lease key of router %s", id)
	}
	return r, nil
}

// Claim replaces the record by one with this router as the owner and the next
// epoch.
func (c *Claimer) Claim(ctx context.Context, r Record) (bergamotdale.Ownership, Status) {
	return c.write(ctx, r, c.nextOwnership(r, true))
}

// Release replaces the record by one without an owner and with the next epoch.
func (c *Claimer) Release(ctx context.Context, r Record) Status {
	_, status := c.write(ctx, r, c.nextOwnership(r, false))
	return status
}

// nextOwnership returns the ownership of the next epoch, with this router as the
// owner or with none. A pending write of the same ownership is repeated with its
// nonce: if the first write still takes effect, the record is the same.
func (c *Claimer) nextOwnership(r Record, withOwner bool) bergamotdale.Ownership {
	session := c.session()
	c.mu.Lock()
	defer c.mu.Unlock()
	// Including the known epoch keeps epochs rising after a record was deleted, and
	// including the era after records were lost.
	o := bergamotdale.Ownership{Name: r.Name, Epoch: max(r.Epoch, c.known[r.Name].Epoch, c.eraBase()) + 1}
	if withOwner {
		o.Owner = c.self.ID
		o.Address = c.self.Address
		o.Session = session
	}
	p := c.pending[r.Name].Ownership
	o.Nonce = p.Nonce
	if p == o && p.Nonce != "" {
		return p
	}
	o.Nonce = strconv.FormatUint(c.random.Uint64(), 36)
	return o
}

// write replaces the record by the ownership. The status is rejected only if the
// write can no longer take effect.
func (c *Claimer) write(ctx context.Context, r Record, o bergamotdale.Ownership) (bergamotdale.Ownership, Status) {
	value, err := json.Marshal(o)
	if err != nil {
		return o, StatusRejected
	}
	repeated := c.addPending(pendingWrite{o, r.Version})
	var entry bergamotdale.Entry
	err = c.call(ctx, func(ctx context.Context) (err error) {
		entry, err = c.store.CompareAndSwap(ctx, Key(o.Name), value, r.Version)
		return err
	})
	if err == nil && c.isOfEra(o) {
		c.completePending(o, entry.Version)
		return o, StatusClaimed
	}
	if err == nil {
		// The store was restored during the call, so the epoch may have been that of
		// a lost claim. The next claim finds this one and raises the epoch.
		c.completePending(o, 0)
		return o, StatusUnknown
	}
	notApplied := errors.Is(err, bergamotdale.ErrUnavailable) || errors.Is(err, bergamotdale.ErrConflict)
	if notApplied && !repeated {
		c.completePending(o, 0)
		return o, StatusRejected
	}
	return c.readBack(ctx, r, o)
}

// readBack finds out whether a write with an unknown outcome took effect.
func (c *Claimer) readBack(ctx context.Context, r Record, o bergamotdale.Ownership) (bergamotdale.Ownership, Status) {
	current, err := c.Read(ctx, o.Name)
	switch {
	case err != nil:
		return o, StatusUnknown
	case current.Found && current.Nonce == o.Nonce && !c.isOfEra(o):
		c.completePending(o, 0)
		return o, StatusUnknown
	case current.Found && current.Nonce == o.Nonce:
		c.completePending(o, current.Version)
		return o, StatusClaimed
	case current.Version != r.Version:
		c.completePending(o, 0)
		return o, StatusRejected
	}
	// The record is unchanged, so a delayed write may still take effect.
	return o, StatusUnknown
}

// addPending marks a write as pending and reports whether it repeats the write that
// was pending already.
func (c *Claimer) addPending(p pendingWrite) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	repeated := c.pending[p.Name] == p
	c.pending[p.Name] = p
	return repeated
}

// completePending ends a pending write whose outcome is known. The version is that
// of the written record, which becomes the known one, or zero if the write had no
// effect.
func (c *Claimer) completePending(o bergamotdale.Ownership, version int64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.pending[o.Name].Ownership == o {
		delete(c.pending, o.Name)
	}
	if version != 0 {
		c.observe(o, version)
	}
}

// Pending returns the sorted names with a write that may still take effect.
func (c *Claimer) Pending() []string {
	c.mu.Lock()
	defer c.mu.Unlock()
	names := make([]string, 0, len(c.pending))
	for name := range c.pending {
		names = append(names, name)
	}
	slices.Sort(names)
	return names
}

// ResolvePending compares a record that was just read with the pending write of
// its name, and reports whether the record is that of a pending claim of this
// router. If the version of the record has changed since the write was sent, the
// write can no longer take effect and is not pending any more.
func (c *Claimer) ResolvePending(r Record) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	p, ok := c.pending[r.Name]
	if !ok || r.Version == p.baseVersion {
		return false
	}
	delete(c.pending, r.Name)
	return r.Found && r.Nonce == p.Nonce && r.Owner == c.self.ID && c.isOfEra(r.Ownership)
}

// call makes one store call with a timeout and counts it.
func (c *Claimer) call(ctx context.Context, f func(ctx context.Context) error) error {
	c.calls.Add(1)
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	return f(ctx)
}

// assert panics if an invariant is broken, since the process must not continue
// then: with two owners of one epoch, neither the bound on the load of an endpoint
// nor at-most-once execution would hold.
func assert(ok bool, format string, args ...any) {
	if !ok {
		panic("claimer: " + fmt.Sprintf(format, args...))
	}
}
