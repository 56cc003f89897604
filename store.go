package bergamotdale

import (
	"context"
	"time"

	"github.com/juju/errors"
)

const (
	// ErrConflict is returned by a compare-and-swap whose version is stale.
	ErrConflict = errors.ConstError("version conflict")
	// ErrNotFound is returned for a missing key or lease.
	ErrNotFound = errors.ConstError("not found")
	// ErrAmbiguous is returned by a write whose response was lost: it may have
	// taken effect. The caller reads the key back to find out.
	ErrAmbiguous = errors.ConstError("write outcome unknown")
	// ErrUnavailable is returned where the store did not execute the call.
	ErrUnavailable = errors.ConstError("store unavailable")
	// ErrCompacted is returned where the store no longer has the history that a
	// follower of changes asks for.
	ErrCompacted = errors.ConstError("history compacted")
)

// LeaseID identifies a lease of the store.
type LeaseID string

// Entry is one key of the store with its value.
type Entry struct {
	Key   string
	Value []byte
	// Version is the modification index of the key. It is never zero for a
	// key that exists and rises with each change.
	Version int64
}

// Store is the platform's small key-value service. Every call counts against
// its rate limits; a blocked Watch counts as one call.
type Store interface {
	// Get returns the entry of the key, or ErrNotFound.
	Get(ctx context.Context, key string) (Entry, error)
	// List returns the entries whose keys start with the prefix, by key.
	List(ctx context.Context, prefix string) ([]Entry, error)
	// CompareAndSwap writes the value if the key still has the version.
	// Version zero means that the key must not exist. It returns the entry
	// written, ErrConflict, ErrAmbiguous or ErrUnavailable.
	CompareAndSwap(ctx context.Context, key string, value []byte, version int64) (Entry, error)
	// Delete removes the key if it still has the version.
	Delete(ctx context.Context, key string, version int64) error
	// Watch blocks until the key has a version above after, or until wait has
	// passed, and returns the current entry. A missing key is ErrNotFound.
	Watch(ctx context.Context, key string, after int64, wait time.Duration) (Entry, error)
	// GrantLease creates a lease that expires ttl after its last renewal.
	GrantLease(ctx context.Context, ttl time.Duration) (LeaseID, error)
	// RenewLease extends the lease, or returns ErrNotFound if it has expired.
	RenewLease(ctx context.Context, id LeaseID) error
	// RevokeLease ends the lease and deletes the keys attached to it.
	RevokeLease(ctx context.Context, id LeaseID) error
	// PutWithLease writes a key that is deleted when the lease ends.
	PutWithLease(ctx context.Context, key string, value []byte, id LeaseID) error
}

// Change is a change of one key of the store.
type Change struct {
	Entry
	// Deleted states that the key no longer exists.
	Deleted bool
}

// Batch is what a ChangeStore returned.
type Batch struct {
	// Entries is the whole content, in the answer to Range.
	Entries []Entry
	// Changes holds later changes in order, in the answer to Changes.
	Changes []Change
	// Revision is where to continue from.
	Revision int64
	// Lag is how far the batch may be behind the store: it is complete up to
	// this time before the call.
	Lag time.Duration
}

// ChangeStore is a store whose changes can be followed by key prefix.
type ChangeStore interface {
	// Range returns the entries whose keys start with the prefix, and a
	// revision from which Changes misses nothing. The entries are the latest, or
	// with a revision notBefore above zero at least as recent as that.
	Range(ctx context.Context, prefix string, notBefore int64) (Batch, error)
	// Changes blocks until a key with the prefix has changed after the
	// revision, or until wait has passed. It returns ErrCompacted if the
	// history no longer reaches back to the revision.
	Changes(ctx context.Context, prefix string, after int64, wait time.Duration) (Batch, error)
}

// StoreLayout names the keys of the store that the platform and the fleet share.
type StoreLayout struct {
	// ConfigKey holds the traffic configuration.
	ConfigKey string
	// EndpointPrefix is followed by the id of an endpoint.
	EndpointPrefix string
}
