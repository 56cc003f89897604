// Package journaler keeps the log of one idempotency shard: which idempotency
// keys have been used and what each call returned, so that a repeated request
// gets the recorded response instead of running again. The package does no I/O.
// It decodes values read from the store and builds the next value of the shard's
// head, which the caller writes.
//
// A journal is a sequence of segments of records. A later record of a key
// replaces an earlier one. The open segment is stored in the value of the head
// key, so one compare-and-swap of that key both commits records and fails for
// any router that no longer owns the shard. When the open segment grows too
// large, the caller writes it to a store key of its own and the head lists it
// as sealed.
package journaler

import (
	"bytes"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"unicode/utf8"

	"github.com/juju/errors"

	"github.com/bergamotdale/bergamotdale"
)

// MaxResponseBytes is the largest response body that a record stores.
const MaxResponseBytes = 8 << 10

// ErrCorrupt is returned if a stored head, segment or record cannot be decoded.
const ErrCorrupt = errors.ConstError("journal corrupt")

// State is the state of the call that an idempotency key identifies.
type State uint8

const (
	// Absent is the state of a key without a record.
	Absent State = iota
	// Intent means that the call was announced: it may be about to run, be
	// running or have run.
	Intent
	// NeverRun means that an intent is committed but its call never runs. It
	// exists only in memory, until a record with the state Free replaces it.
	NeverRun
	// Done means that the call ran and its response is recorded.
	Done
	// NotKept means that the call ran but its response is not recorded.
	NotKept
	// Free means that the call did not run, because the endpoint refused it or
	// it never started. The key can be used again.
	Free
)

var stateNames = map[State]string{
	Intent:  "intent",
	Done:    "done",
	NotKept: "not-kept",
	Free:    "free",
}

// MarshalText implements encoding.TextMarshaler.
func (s State) MarshalText() ([]byte, error) {
	name, ok := stateNames[s]
	if !ok {
		return nil, errors.Errorf("state %d has no stored form", s)
	}
	return []byte(name), nil
}

// UnmarshalText implements encoding.TextUnmarshaler.
func (s *State) UnmarshalText(text []byte) error {
	for value, name := range stateNames {
		if name == string(text) {
			*s = value
			return nil
		}
	}
	return errors.Errorf("unknown state %q", text)
}

// ID is a hash of workspace, service and idempotency key. It has to be
// cryptographic: a client that finds a collision would get another client's
// response.
type ID [16]byte

// Hash is a hash of call and body. It detects a key that is reused for a
// different request.
type Hash [8]byte

// Record is the state of one key at one time. It is stored as a line of JSON in
// a segment.
type Record struct {
	Workspace string `json:"workspace"`
	Service   string `json:"service"`
	Key       string `json:"key"`
	// RequestHash is the Hash in hexadecimal digits.
	RequestHash string `json:"body"`
	State       State  `json:"state"`
	// At is the time of the record in milliseconds since the Unix epoch.
	At     int64 `json:"at"`
	Status int   `json:"status,omitempty"`
	// Response is the body of the response. It is a string because the encoder
	// would reformat embedded JSON.
	Response string `json:"response,omitempty"`

	// id is derived from Workspace, Service and Key, and hash is the decoded
	// RequestHash.
	id   ID
	hash Hash
}

// NewRecord returns the record of a request, without state and time. Workspace
// and service must not contain NUL, which separates them in the ID.
func NewRecord(workspace, service, key, call string, body []byte) Record {
	h := sha256.New()
	h.Write([]byte(call))
	h.Write([]byte{0})
	h.Write(body)
	var sum [sha256.Size]byte
	r := Record{Workspace: workspace, Service: service, Key: key}
	r.hash = Hash(h.Sum(sum[:0])[:8])
	r.RequestHash = hex.EncodeToString(r.hash[:])
	r.id = r.deriveID()
	return r
}

func (r Record) deriveID() ID {
	sum := sha256.Sum256([]byte(r.Workspace + "\x00" + r.Service + "\x00" + r.Key))
	return ID(sum[:16])
}

// ID returns the hash of workspace, service and key.
func (r Record) ID() ID {
	return r.id
}

// Hash returns the hash of the call and its request body.
func (r Record) Hash() Hash {
	return r.hash
}

// WithState returns a copy of the record with the state s, entered at the given
// time in milliseconds since the Unix epoch.
func (r Record) WithState(s State, at int64) Record {
	r.State = s
	r.At = at
	return r
}

// WithResponse returns a copy of the record for a call that ran. The state is
// NotKept if the body exceeds MaxResponseBytes or is not UTF-8, else Done.
func (r Record) WithResponse(response bergamotdale.ServiceResponse) Record {
	r.State = NotKept
	r.Status = response.Status
	if len(response.Body) <= MaxResponseBytes && utf8.Valid(response.Body) {
		r.State = Done
		r.Response = string(response.Body)
	}
	return r
}

// ServiceResponse returns the recorded response.
func (r Record) ServiceResponse() bergamotdale.ServiceResponse {
	return bergamotdale.ServiceResponse{Status: r.Status, Body: json.RawMessage(r.Response)}
}

// Encode returns the record as a line of JSON with its newline.
func (r Record) Encode() ([]byte, error) {
	return encodeLine(r)
}

// Decode parses a line that Encode returned.
func Decode(line []byte) (Record, error) {
	var r Record
	if err := json.Unmarshal(line, &r); err != nil {
		return r, errors.Annotatef(ErrCorrupt, "decoding a journal record: %v", err)
	}
	r.id = r.deriveID()
	n, err := hex.Decode(r.hash[:], []byte(r.RequestHash[:min(len(r.RequestHash), 2*len(r.hash))]))
	if err != nil || n != len(r.hash) {
		return r, errors.Annotatef(ErrCorrupt, "request hash %q of a record does not start with 16 hexadecimal digits", r.RequestHash)
	}
	return r, nil
}

// encodeLine returns the value as a line of JSON with its newline.
func encodeLine(value any) ([]byte, error) {
	var b bytes.Buffer
	e := json.NewEncoder(&b)
	e.SetEscapeHTML(false)
	if err := e.Encode(value); err != nil {
		return nil, errors.Trace(err)
	}
	return b.Bytes(), nil
}

// forEachRecord decodes the lines of a segment and calls f for each of them.
func forEachRecord(lines []byte, f func(r Record, line []byte)) error {
	for len(lines) > 0 {
		end := bytes.IndexByte(lines, '\n') + 1
		if end == 0 {
			return errors.Annotatef(ErrCorrupt, "last record of a segment does not end with a newline")
		}
		r, err := Decode(lines[:end])
		if err != nil {
			return err
		}
		f(r, lines[:end])
		lines = lines[end:]
	}
	return nil
}
