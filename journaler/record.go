// Package journaler holds the committed records of an idempotency shard. It is
// pure: it decodes what the store holds and builds the next value of the
// shard's head.
//
// A journal is a sequence of segments of records. A later record of a key
// replaces an earlier one. The open segment is kept in the value of the head,
// so one compare-and-swap of the head commits records and fences other owners.
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

// MaxResponseBytes is the size up to which the body of a response is kept.
const MaxResponseBytes = 8 << 10

// ErrCorrupt is returned where the journal in the store cannot be read.
const ErrCorrupt = errors.ConstError("journal corrupt")

// State is what the journal knows about a key.
type State uint8

const (
	// Absent is the state of a key without a record.
	Absent State = iota
	// Intent means that the call may run, runs or has run.
	Intent
	// Unused is an intent whose call certainly never runs. It exists only in
	// memory, until a record with the state Free replaces it.
	Unused
	// Done means that the response is recorded.
	Done
	// NotKept means that the call ran but its response was not kept.
	NotKept
	// Free means that the endpoint refused the call or that it never started.
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
		return nil, errors.Errorf("state %d is not written", s)
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

// ID is the hash of workspace, service and key. It is cryptographic, because a
// client that finds a collision would get another client's response.
type ID [16]byte

// Hash is the hash of call and body. It tells requests with the same key apart.
type Hash [8]byte

// Record is one line of a segment.
type Record struct {
	Workspace string `json:"workspace"`
	Service   string `json:"service"`
	Key       string `json:"key"`
	// Body is the hash of call and body in hexadecimal digits.
	Body  string `json:"body"`
	State State  `json:"state"`
	// At is the time of the record in milliseconds since 1970.
	At     int64 `json:"at"`
	Status int   `json:"status,omitempty"`
	// Response is the body of the response. It is a string because JSON inside
	// JSON would be reformatted.
	Response string `json:"response,omitempty"`

	// id and hash are derived from the fields above.
	id   ID
	hash Hash
}

// NewRecord returns a record of a request without state and time. Workspace and
// service hold no NUL.
func NewRecord(workspace, service, key, call string, body []byte) Record {
	h := sha256.New()
	h.Write([]byte(call))
	h.Write([]byte{0})
	h.Write(body)
	var sum [sha256.Size]byte
	r := Record{Workspace: workspace, Service: service, Key: key}
	r.hash = Hash(h.Sum(sum[:0])[:8])
	r.Body = hex.EncodeToString(r.hash[:])
	r.id = r.deriveID()
	return r
}

func (r Record) deriveID() ID {
	sum := sha256.Sum256([]byte(r.Workspace + "\x00" + r.Service + "\x00" + r.Key))
	return ID(sum[:16])
}

// ID returns the hash of the key with its workspace and service.
func (r Record) ID() ID {
	return r.id
}

// Hash returns the hash of call and body.
func (r Record) Hash() Hash {
	return r.hash
}

// In returns the record with a state and its time.
func (r Record) In(s State, at int64) Record {
	r.State = s
	r.At = at
	return r
}

// WithResponse returns the record of a call that was executed. A body that is
// too large or not text is not kept.
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

// Encode returns the record as a line.
func (r Record) Encode() ([]byte, error) {
	return encodeLine(r)
}

// Decode is the inverse of Encode.
func Decode(line []byte) (Record, error) {
	var r Record
	if err := json.Unmarshal(line, &r); err != nil {
		return r, errors.Annotatef(ErrCorrupt, "record: %v", err)
	}
	r.id = r.deriveID()
	n, err := hex.Decode(r.hash[:], []byte(r.Body[:min(len(r.Body), 2*len(r.hash))]))
	if err != nil || n != len(r.hash) {
		return r, errors.Annotatef(ErrCorrupt, "body hash %q", r.Body)
	}
	return r, nil
}

// encodeLine returns the value as a line of JSON.
func encodeLine(value any) ([]byte, error) {
	var b bytes.Buffer
	e := json.NewEncoder(&b)
	e.SetEscapeHTML(false)
	if err := e.Encode(value); err != nil {
		return nil, errors.Trace(err)
	}
	return b.Bytes(), nil
}

// eachRecord calls f for every line of a segment.
func eachRecord(lines []byte, f func(r Record, line []byte)) error {
	for len(lines) > 0 {
		end := bytes.IndexByte(lines, '\n') + 1
		if end == 0 {
			return errors.Annotatef(ErrCorrupt, "record without an end")
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
