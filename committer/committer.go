// Package committer executes service calls at most once per idempotency key. An
// idempotency key is chosen by the client and names one logical request, so that
// repeating the request after a timeout or a crash returns the first response
// instead of executing the call again.
//
// Keys hash to shards, and each shard has one owner, a router. The owner keeps
// a write-ahead journal in the store: it commits an intent before a call runs
// and the response after it. A key with an intent but no response has an
// unknown outcome after a crash and is not executed again until its record
// expires. The head of the journal, one value in the store, holds the epoch of
// the owner and the open segment, the one to which records are still added. A
// single compare-and-swap of the head thus commits a group of records, and it
// fails once another owner has taken the shard over.
//
// Three packages do parts of the work. Package journaler encodes and indexes
// committed records, registrar tracks the keys of a shard in memory, and fencer
// reads and writes the store. A Shard combines them: requests enter by Execute,
// and one loop, Run, does all writes except those of opening the shard.
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
	// ShardCount is the number of shards that idempotency keys hash to.
	ShardCount = 32
	// MaxResponseBytes is the largest response body that the journal keeps for
	// repeats.
	MaxResponseBytes = journaler.MaxResponseBytes
	// MaxKeyBytes is the maximum length of an idempotency key.
	MaxKeyBytes = 256
)

const (
	// ErrFenced is returned when another owner has taken the shard over.
	ErrFenced = fencer.ErrFenced
	// ErrCorrupt is returned when the journal in the store cannot be decoded.
	ErrCorrupt = journaler.ErrCorrupt
)

// Request is a call that must run at most once. Workspace, Service and Key must
// be valid UTF-8, and Workspace and Service must not contain a NUL byte, which
// separates the three in the hash of a key.
type Request struct {
	Workspace string
	Service   string
	// Key is the idempotency key chosen by the client.
	Key  string
	Call string
	Body []byte
}

// ShardOf returns the number of the shard that the request hashes to.
func ShardOf(r Request) int {
	return int(hasher.Hash(r.Workspace+"\x00"+r.Service+"\x00"+r.Key) % ShardCount)
}

func (r Request) journalRecord() journaler.Record {
	return journaler.NewRecord(r.Workspace, r.Service, r.Key, r.Call, r.Body)
}

// validate returns a refusal if the request is malformed, or nil.
func (r Request) validate() *bergamotdale.Refusal {
	if r.Key == "" {
		return bergamotdale.Refuse(bergamotdale.CodeMissingKey, "the call requires an idempotency key")
	}
	if len(r.Key) > MaxKeyBytes {
		return bergamotdale.Refuse(bergamotdale.CodeInvalidRequest,
			"the idempotency key is longer than %d bytes", MaxKeyBytes)
	}
	// The journal stores these strings as JSON, which replaces bytes that are
	// not valid UTF-8. The next owner would not recognize the altered key.
	if !utf8.ValidString(r.Workspace) || !utf8.ValidString(r.Service) || !utf8.ValidString(r.Key) {
		return bergamotdale.Refuse(bergamotdale.CodeInvalidRequest, "the workspace, the service or the idempotency key is not valid UTF-8")
	}
	if strings.ContainsRune(r.Workspace, 0) || strings.ContainsRune(r.Service, 0) {
		return bergamotdale.Refuse(bergamotdale.CodeInvalidRequest, "the workspace or the service contains a NUL byte")
	}
	return nil
}

// CallFunc executes a call at an endpoint. If it returns a *bergamotdale.Refusal
// with OutcomeNotRun, the call was not executed and never will be; with
// OutcomeRun, it was executed. Any other error leaves the outcome unknown.
type CallFunc func(ctx context.Context) (bergamotdale.ServiceResponse, error)

// Response is the response of an executed call, with how it was obtained.
type Response struct {
	bergamotdale.ServiceResponse
	// Repeated reports whether the response belongs to an earlier request with
	// the same key.
	Repeated bool
	// Recorded reports whether the response is committed to the journal. If it
	// is not, a later repeat may get an unknown outcome.
	Recorded bool
}

// Settings configure a Shard. Optional fields that are zero get their defaults.
type Settings struct {
	// ShardNumber is the number of the shard, from 0 to ShardCount-1. Epoch is
	// the ownership epoch, which grows with each change of owner.
	ShardNumber int
	Epoch       int64
	// Owner identifies the owning process: the ID of a router with its
	// incarnation. No two processes have the same.
	Owner string
	Store bergamotdale.Store
	// Clock defaults to the system clock.
	Clock bergamotdale.Clock
	// RecordLifetime is how long the journal keeps a record. It must exceed
	// CallTimeout.
	RecordLifetime time.Duration
	// WriteInterval is the minimum average time between two writes to the store.
	WriteInterval time.Duration
	// WriteBurst is the number of writes that may follow each other without
	// delay after a pause of as many intervals, as in a token bucket. With 2,
	// neither the intent nor the response of a single call waits for the
	// interval. The default is 1.
	WriteBurst int
	// SegmentBytes is the size above which the open segment is sealed: it moves
	// from the head to a key of its own and is not changed any more.
	SegmentBytes int
	// StoreTimeout limits each access to the store, and with it how long a
	// request waits until an outage of the store is detected.
	StoreTimeout time.Duration
	// CallTimeout limits a call. Cancellation by the client does not end a call
	// that has started, so that a repeat gets its response.
	CallTimeout time.Duration
	// RepeatWait is how long a repeated request waits for the call in progress
	// of its key.
	RepeatWait time.Duration
	// ProbeInterval is the time between two attempts to reach an unavailable
	// store.
	ProbeInterval time.Duration
	// StillOwned reports whether it is certain that no other router has claimed
	// the shard since Epoch began. While it returns false, the refusal of a
	// request whose call did not start has an unknown outcome, because another
	// owner may have executed the call. Nil means always true. It is called with
	// a lock held and must not block.
	StillOwned func() bool
}

// Default values of Settings.
const (
	DefaultRecordLifetime = 24 * time.Hour
	// DefaultWriteInterval limits all 32 shards together to 150 writes/s.
	DefaultWriteInterval = 214 * time.Millisecond
	DefaultSegmentBytes  = 64 << 10
	DefaultStoreTimeout  = time.Second
	// DefaultCallTimeout is far below DefaultRecordLifetime, so the intent of a
	// call does not expire while the call is in progress.
	DefaultCallTimeout   = 60 * time.Second
	DefaultRepeatWait    = 2 * time.Second
	DefaultProbeInterval = time.Second
)

func (s Settings) withDefaults() Settings {
	s.RecordLifetime = orDefault(s.RecordLifetime, DefaultRecordLifetime)
	s.WriteInterval = orDefault(s.WriteInterval, DefaultWriteInterval)
	s.WriteBurst = orDefault(s.WriteBurst, 1)
	s.SegmentBytes = orDefault(s.SegmentBytes, DefaultSegmentBytes)
	s.StoreTimeout = orDefault(s.StoreTimeout, DefaultStoreTimeout)
	s.CallTimeout = orDefault(s.CallTimeout, DefaultCallTimeout)
	s.RepeatWait = orDefault(s.RepeatWait, DefaultRepeatWait)
	s.ProbeInterval = orDefault(s.ProbeInterval, DefaultProbeInterval)
	if s.Clock == nil {
		s.Clock = bergamotdale.SystemClock{}
	}
	if s.StillOwned == nil {
		s.StillOwned = func() bool { return true }
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
