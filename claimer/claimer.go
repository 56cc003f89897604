// Package claimer reads and writes ownership records in the store, each write
// one compare-and-swap that raises the epoch (D2 of docs/design.md).
//
// A write whose outcome is unclear is settled by reading the record back and
// comparing its nonce. While that cannot tell, the write stays pending: it may
// still take effect. MayClaim is the pure decision who may claim; the elector
// decides what to claim.
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

// storeTimeout bounds one call of the store.
const storeTimeout = 2 * time.Second

// Status is the result of a write.
type Status string

const (
	// StatusClaimed means that the record is as written.
	StatusClaimed Status = "claimed"
	// StatusRejected means that the write has not taken effect and never will.
	StatusRejected Status = "rejected"
	// StatusUnknown means that the write may take or have taken effect.
	StatusUnknown Status = "unknown"
)

// Claimer accesses the records on behalf of one router. It is safe for
// concurrent use as long as no two writes of one name overlap.
type Claimer struct {
	self  bergamotdale.Member
	store bergamotdale.Store
	// session returns the lease under which the router claims.
	session func() bergamotdale.LeaseID

	mu     sync.Mutex
	random *rand.Rand
	// known holds the highest epoch seen of each name.
	known map[string]seen
	// pending holds the writes that may still take effect.
	pending map[string]pendingWrite
	calls   atomic.Int64
}

// seen is the highest epoch known of a name, and the version of its record or
// zero if it was learned from a peer.
type seen struct {
	bergamotdale.Ownership
	version int64
}

// pendingWrite is a write that takes effect only on the version base.
type pendingWrite struct {
	bergamotdale.Ownership
	base int64
}

// New returns a claimer. The random source makes nonces.
func New(self bergamotdale.Member, store bergamotdale.Store, session func() bergamotdale.LeaseID, random *rand.Rand) *Claimer {
	return &Claimer{
		self: self, store: store, session: session, random: random,
		known:   map[string]seen{},
		pending: map[string]pendingWrite{},
	}
}

// Calls returns the number of store calls so far.
func (c *Claimer) Calls() int64 {
	return c.calls.Load()
}

// Known returns the ownership with the highest epoch seen of the name.
func (c *Claimer) Known(name string) (bergamotdale.Ownership, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	s, ok := c.known[name]
	return s.Ownership, ok
}

// Hear takes in an ownership that another router reports.
func (c *Claimer) Hear(o bergamotdale.Ownership) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.observe(o, 0)
}

// observe takes in an ownership; version is that of the record if it was read
// from the store and zero if a peer reported it. The caller holds mu.
func (c *Claimer) observe(o bergamotdale.Ownership, version int64) {
	if o.Name == "" || o.Epoch <= 0 {
		return
	}
	k, ok := c.known[o.Name]
	switch {
	case !ok || o.Epoch > k.Epoch:
		c.known[o.Name] = seen{o, version}
	case o.Epoch < k.Epoch:
		// An older version is a late read. A newer one would be a record
		// whose epoch fell.
		assert(version == 0 || k.version == 0 || version <= k.version,
			"epoch of %s falls from %d to %d", o.Name, k.Epoch, o.Epoch)
	case version != 0:
		// The store decides between two reports of one epoch; two records of
		// one epoch cannot be.
		same := o.Owner == k.Owner && o.Nonce == k.Nonce
		assert(same || k.version == 0, "epoch %d of %s has the owners %q and %q", o.Epoch, o.Name, k.Owner, o.Owner)
		c.known[o.Name] = seen{o, max(version, k.version)}
	}
}

// Read returns the record of the name. A missing one has Found false.
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
		return Record{}, errors.Annotatef(err, "reading the record of %s", name)
	}
	r, err := decode(name, entry)
	if err != nil {
		return r, err
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.observe(r.Ownership, r.Version)
	return r, nil
}

// MayClaim decides whether the router may claim the record; gone tells whether
// the membership holds a router for dead or left, or does not know it. The
// owner's key is read only if the decision depends on it.
func (c *Claimer) MayClaim(ctx context.Context, r Record, gone func(id string) bool) (Claimability, error) {
	may := MayClaim(c.self.ID, r, gone(r.Owner), nil)
	if may != ClaimCheckLease {
		return may, nil
	}
	lease, err := c.leaseOf(ctx, r.Owner)
	if err != nil {
		return may, err
	}
	return MayClaim(c.self.ID, r, gone(r.Owner), &lease), nil
}

// leaseOf returns the lease of a router's key, or "" if the key is gone from
// the store.
func (c *Claimer) leaseOf(ctx context.Context, id string) (bergamotdale.LeaseID, error) {
	var entry bergamotdale.Entry
	err := c.call(ctx, func(ctx context.Context) (err error) {
		entry, err = c.store.Get(ctx, leaser.Key(id))
		return err
	})
	if errors.Is(err, bergamotdale.ErrNotFound) {
		return "", nil
	}
	if err != nil {
		return "", errors.Annotatef(err, "reading the key of %s", id)
	}
	var r leaser.Record
	if err := json.Unmarshal(entry.Value, &r); err != nil {
		return "", errors.Annotatef(err, "decoding the key of %s", id)
	}
	return r.Session, nil
}

// Claim writes the router as the owner with the next epoch in place of the
// record.
func (c *Claimer) Claim(ctx context.Context, r Record) (bergamotdale.Ownership, Status) {
	return c.write(ctx, r, c.next(r, true))
}

// Release writes a record without an owner in place of the record.
func (c *Claimer) Release(ctx context.Context, r Record) Status {
	_, status := c.write(ctx, r, c.next(r, false))
	return status
}

// next returns the ownership of the next epoch. An earlier claim on the same
// record whose outcome is open is repeated unchanged: should its write still
// take effect, it is the same record.
func (c *Claimer) next(r Record, own bool) bergamotdale.Ownership {
	session := c.session()
	c.mu.Lock()
	defer c.mu.Unlock()
	// A record that was deleted does not make the epoch start again.
	o := bergamotdale.Ownership{Name: r.Name, Epoch: max(r.Epoch, c.known[r.Name].Epoch) + 1}
	if own {
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

// write puts the ownership in place of the record. The status is rejected only
// if the write cannot take effect any more.
func (c *Claimer) write(ctx context.Context, r Record, o bergamotdale.Ownership) (bergamotdale.Ownership, Status) {
	value, err := json.Marshal(o)
	if err != nil {
		return o, StatusRejected
	}
	repeated := c.begin(pendingWrite{o, r.Version})
	var entry bergamotdale.Entry
	err = c.call(ctx, func(ctx context.Context) (err error) {
		entry, err = c.store.CompareAndSwap(ctx, Key(o.Name), value, r.Version)
		return err
	})
	if err == nil {
		c.settle(o, entry.Version)
		return o, StatusClaimed
	}
	refused := errors.Is(err, bergamotdale.ErrUnavailable) || errors.Is(err, bergamotdale.ErrConflict)
	if refused && !repeated {
		c.settle(o, 0)
		return o, StatusRejected
	}
	return c.readBack(ctx, r, o)
}

// readBack finds out whether a write with an unclear outcome took effect.
func (c *Claimer) readBack(ctx context.Context, r Record, o bergamotdale.Ownership) (bergamotdale.Ownership, Status) {
	now, err := c.Read(ctx, o.Name)
	switch {
	case err != nil:
		return o, StatusUnknown
	case now.Found && now.Nonce == o.Nonce:
		c.settle(o, now.Version)
		return o, StatusClaimed
	case now.Version != r.Version:
		c.settle(o, 0)
		return o, StatusRejected
	}
	// The record is unchanged, and the write may still arrive.
	return o, StatusUnknown
}

// begin notes a write and reports whether it repeats the pending one.
func (c *Claimer) begin(p pendingWrite) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	repeated := c.pending[p.Name] == p
	c.pending[p.Name] = p
	return repeated
}

// settle ends a pending write; version is zero if it had no effect.
func (c *Claimer) settle(o bergamotdale.Ownership, version int64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.pending[o.Name].Ownership == o {
		delete(c.pending, o.Name)
	}
	if version != 0 {
		c.observe(o, version)
	}
}

// Pending returns the names with a write that may still take effect.
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

// Adopt reports whether the record, just read, is that of a pending claim of
// this router, which is settled by it. A pending write that cannot take effect
// on the record is forgotten.
func (c *Claimer) Adopt(r Record) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	p, ok := c.pending[r.Name]
	if !ok || r.Version == p.base {
		return false
	}
	delete(c.pending, r.Name)
	return r.Found && r.Nonce == p.Nonce && r.Owner == c.self.ID
}

// call bounds and counts one call of the store.
func (c *Claimer) call(ctx context.Context, f func(ctx context.Context) error) error {
	c.calls.Add(1)
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	return f(ctx)
}

// assert stops the process at a state that must not occur: two owners of one
// epoch would break the load bound and at-most-once execution.
func assert(ok bool, format string, args ...any) {
	if !ok {
		panic("claimer: " + fmt.Sprintf(format, args...))
	}
}
