// Package committer executes calls that must not be repeated at most once per
// idempotency key.
//
// Keys hash to shards. The owner of a shard keeps a journal in the store: an
// intent is committed before a call runs, its response after it. The head of
// the journal holds the owner's epoch and the open segment in one value, so a
// single compare-and-swap commits a group of records and fails once another
// owner has taken the shard over.
package committer

import (
	"context"
	"time"

	"github.com/bergamotdale/bergamotdale"
	"github.com/bergamotdale/bergamotdale/hasher"
)

const (
	// Shards is the number of shards.
	Shards = 32
	// MaxResponseBytes is the size up to which the body of a response is kept.
	MaxResponseBytes = 8 << 10
	// MaxKeyBytes bounds the idempotency key of a request.
	MaxKeyBytes = 256
	// SegmentBytes is the size above which the open segment is sealed.
	SegmentBytes = 64 << 10
	// MinInterval is the time between two writes of a shard: 32 shards share
	// 150 writes/s.
	MinInterval = 214 * time.Millisecond
)

// Request is a call that must not be repeated.
type Request struct {
	Workspace string
	Service   string
	// Key is the idempotency key of the client.
	Key  string
	Call string
	Body []byte
}

// ShardOf returns the shard of the request.
func ShardOf(r Request) int {
	return int(hasher.Hash(r.name()) % Shards)
}

// name identifies the request: keys of different workspaces and services are
// unrelated.
func (r Request) name() string {
	return r.Workspace + "\x00" + r.Service + "\x00" + r.Key
}

// CallFunc executes the call at an endpoint. A *bergamotdale.Refusal with
// OutcomeNotRun states that the call was not executed and never will be. Any
// other error leaves the outcome unknown.
type CallFunc func(ctx context.Context) (bergamotdale.ServiceResponse, error)

// Response is the response to a request.
type Response struct {
	bergamotdale.ServiceResponse
	// Repeated is true where the response comes from an earlier request with
	// the same key.
	Repeated bool
	// Recorded is false where the response could not be committed. A later
	// repeat may then get an unknown outcome.
	Recorded bool
}

// Settings configure a Shard. Zero fields get their defaults.
type Settings struct {
	// Number is the number of the shard and Epoch the epoch of the owner.
	Number int
	Epoch  int64
	// Owner is the router with its incarnation.
	Owner string
	Store bergamotdale.Store
	Clock bergamotdale.Clock
	// Lifetime is how long a record is kept.
	Lifetime time.Duration
	// Interval is the least average time between two writes.
	Interval time.Duration
	// SegmentBytes is the size above which the open segment is sealed.
	SegmentBytes int
	// StoreTimeout bounds each call of the store.
	StoreTimeout time.Duration
	// RepeatWait is how long a repeat waits for a call in progress.
	RepeatWait time.Duration
	// ProbeInterval is the time between two attempts to reach a store that is
	// unavailable.
	ProbeInterval time.Duration
	// Held reports whether no other router can have claimed the shard, so that
	// a refusal as not-run is true of the key as well. Nil means always. It is
	// called with the lock of the shard held.
	Held func() bool
}

// Defaults of Settings.
const (
	DefaultLifetime      = 24 * time.Hour
	DefaultStoreTimeout  = 2 * time.Second
	DefaultRepeatWait    = 2 * time.Second
	DefaultProbeInterval = time.Second
)
