// Package committer executes calls that must not be repeated at most once per
// idempotency key.
//
// Keys hash to shards. The owner of a shard keeps a journal in the store: an
// intent is committed before a call runs, its response after it. The head of
// the journal holds the owner's epoch and the open segment in one value, so a
// single compare-and-swap commits a group of records and fails once another
// owner has taken the shard over.
//
// The work is shared by packages: journaler knows the committed records,
// registrar the state of the keys in memory, fencer the store. This package
// composes them: a Shard has one loop that does all writes, and Execute is the
// entry point of requests.
package committer

import (
	"context"
	"strings"
	"time"
	"unicode/utf8"

	"github.com/bergamotdale/bergamotdale"
	"github.com/bergamotdale/bergamotdale/fencer"
	"github.com/bergamotdale/bergamotdale/hasher"
	"github.com/bergamotdale/bergamotdale/journaler"
)

const (
	// Shards is the number of shards.
	Shards = 32
	// MaxResponseBytes is the size up to which the body of a response is kept.
	MaxResponseBytes = journaler.MaxResponseBytes
	// MaxKeyBytes bounds the idempotency key of a request.
	MaxKeyBytes = 256
)

const (
	// ErrFenced is returned where another owner has taken the shard over.
	ErrFenced = fencer.ErrFenced
	// ErrCorrupt is returned where the journal in the store cannot be read.
	ErrCorrupt = journaler.ErrCorrupt
)

// Request is a call that must not be repeated. Workspace, service and key are
// UTF-8, and the first two hold no NUL.
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
	return int(hasher.Hash(r.Workspace+"\x00"+r.Service+"\x00"+r.Key) % Shards)
}

func (r Request) record() journaler.Record {
	return journaler.NewRecord(r.Workspace, r.Service, r.Key, r.Call, r.Body)
}

// validate returns the refusal of a malformed request, or nil.
func (r Request) validate() *bergamotdale.Refusal {
	if r.Key == "" {
		return bergamotdale.Refuse(bergamotdale.CodeMissingKey, "this call needs an idempotency key")
	}
	if len(r.Key) > MaxKeyBytes {
		return bergamotdale.Refuse(bergamotdale.CodeInvalidRequest,
			"the idempotency key has more than %d bytes", MaxKeyBytes)
	}
	// The journal keeps names as JSON strings, which alter other bytes.
	if !utf8.ValidString(r.Workspace) || !utf8.ValidString(r.Service) || !utf8.ValidString(r.Key) {
		return bergamotdale.Refuse(bergamotdale.CodeInvalidRequest, "the idempotency key is not UTF-8")
	}
	if strings.ContainsRune(r.Workspace, 0) || strings.ContainsRune(r.Service, 0) {
		return bergamotdale.Refuse(bergamotdale.CodeInvalidRequest, "workspace or service holds a NUL")
	}
	return nil
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
	// Recorded is false where the response was not committed in time. A later
	// repeat may then get an unknown outcome.
	Recorded bool
}

// Settings configure a Shard. Zero fields get their defaults.
type Settings struct {
	// Number is the number of the shard and Epoch the epoch of the owner.
	Number int
	Epoch  int64
	// Owner is the router with its incarnation. Two processes never share it.
	Owner string
	Store bergamotdale.Store
	// Clock defaults to the system clock.
	Clock bergamotdale.Clock
	// Lifetime is how long a record is kept.
	Lifetime time.Duration
	// Interval is the least average time between two writes.
	Interval time.Duration
	// Burst is the number of writes that may follow each other without the
	// interval after a pause of as many intervals. With 2, intent and response
	// of a lone call are both committed at once.
	Burst int
	// SegmentBytes is the size above which the open segment is sealed.
	SegmentBytes int
	// StoreTimeout bounds each call of the store, and with it the time that a
	// request waits before it learns of an outage.
	StoreTimeout time.Duration
	// CallTimeout bounds a call. The context of the client does not: a call
	// that was started is finished, so that a repeat gets its response.
	CallTimeout time.Duration
	// RepeatWait is how long a repeat waits for a call in progress.
	RepeatWait time.Duration
	// ProbeInterval is the time between two attempts to reach a store that is
	// unavailable.
	ProbeInterval time.Duration
	// Held reports whether no other router can have claimed the shard since
	// this epoch. While it is false, a request with a new key is refused with an unknown outcome,
	// because another owner may have executed it. Nil means always true. It is
	// called with a lock held and must not block.
	Held func() bool
}

// Defaults of Settings.
const (
	DefaultLifetime = 24 * time.Hour
	// MinInterval lets 32 shards share 150 writes/s.
	MinInterval         = 214 * time.Millisecond
	DefaultSegmentBytes = 64 << 10
	DefaultStoreTimeout = time.Second
	// DefaultCallTimeout is far below the lifetime, so a call in progress
	// always has its intent.
	DefaultCallTimeout   = 60 * time.Second
	DefaultRepeatWait    = 2 * time.Second
	DefaultProbeInterval = time.Second
)

func (s Settings) withDefaults() Settings {
	s.Lifetime = orDefault(s.Lifetime, DefaultLifetime)
	s.Interval = orDefault(s.Interval, MinInterval)
	s.Burst = orDefault(s.Burst, 1)
	s.SegmentBytes = orDefault(s.SegmentBytes, DefaultSegmentBytes)
	s.StoreTimeout = orDefault(s.StoreTimeout, DefaultStoreTimeout)
	s.CallTimeout = orDefault(s.CallTimeout, DefaultCallTimeout)
	s.RepeatWait = orDefault(s.RepeatWait, DefaultRepeatWait)
	s.ProbeInterval = orDefault(s.ProbeInterval, DefaultProbeInterval)
	if s.Clock == nil {
		s.Clock = bergamotdale.SystemClock{}
	}
	if s.Held == nil {
		s.Held = func() bool { return true }
	}
	return s
}

func orDefault[T comparable](value, fallback T) T {
	var zero T
	if value == zero {
		return fallback
	}
	return value
}
