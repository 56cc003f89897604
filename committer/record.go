package committer

import (
	"bytes"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"unicode/utf8"

	"github.com/juju/errors"

	"github.com/bergamotdale/bergamotdale"
)

// state is what the journal knows about a key.
type state uint8

const (
	// absent is the state of a key without a record.
	absent state = iota
	// intent means that the call may run, runs or has run.
	intent
	// unused is an intent whose call certainly never runs. It exists only in
	// memory, until a record with the state free replaces it.
	unused
	// done means that the response is recorded.
	done
	// notKept means that the call ran but its response was not kept.
	notKept
	// free means that the endpoint refused the call or that it never started.
	free
)

var stateNames = map[state]string{
	intent:  "intent",
	done:    "done",
	notKept: "not-kept",
	free:    "free",
}

// MarshalText implements encoding.TextMarshaler.
func (s state) MarshalText() ([]byte, error) {
	name, ok := stateNames[s]
	if !ok {
		return nil, errors.Errorf("state %d is not written", s)
	}
	return []byte(name), nil
}

// UnmarshalText implements encoding.TextUnmarshaler.
func (s *state) UnmarshalText(text []byte) error {
	for value, name := range stateNames {
		if name == string(text) {
			*s = value
			return nil
		}
	}
	return errors.Errorf("unknown state %q", text)
}

// recordID is the hash of a request's name. It is cryptographic, because a
// client that finds a collision would get another client's response.
type recordID [16]byte

// bodyHash tells requests with the same key apart.
type bodyHash [8]byte

func (r Request) id() recordID {
	sum := sha256.Sum256([]byte(r.name()))
	return recordID(sum[:16])
}

func (r Request) bodyHash() bodyHash {
	h := sha256.New()
	h.Write([]byte(r.Call))
	h.Write([]byte{0})
	h.Write(r.Body)
	var sum [sha256.Size]byte
	return bodyHash(h.Sum(sum[:0])[:8])
}

// record is one line of a segment. A later record of a key replaces an earlier
// one.
type record struct {
	Workspace string `json:"workspace"`
	Service   string `json:"service"`
	Key       string `json:"key"`
	// Body is the hash of call and body in hexadecimal digits.
	Body  string `json:"body"`
	State state  `json:"state"`
	// At is the time of the record in milliseconds since 1970.
	At     int64 `json:"at"`
	Status int   `json:"status,omitempty"`
	// Response is the body of the response. It is a string because JSON inside
	// JSON would be reformatted.
	Response string `json:"response,omitempty"`

	// id and hash are derived from the fields above.
	id   recordID
	hash bodyHash
}

// newRecord returns a record of the request without state and time.
func newRecord(r Request) record {
	hash := r.bodyHash()
	return record{
		Workspace: r.Workspace,
		Service:   r.Service,
		Key:       r.Key,
		Body:      hex.EncodeToString(hash[:]),
		id:        r.id(),
		hash:      hash,
	}
}

// in returns the record with a state and its time.
func (r record) in(s state, at int64) record {
	r.State = s
	r.At = at
	return r
}

// withResponse returns the record of a call that was executed.
func (r record) withResponse(response bergamotdale.ServiceResponse) record {
	r.State = notKept
	r.Status = response.Status
	if len(response.Body) <= MaxResponseBytes && utf8.Valid(response.Body) {
		r.State = done
		r.Response = string(response.Body)
	}
	return r
}

// derive sets the fields that are not stored.
func (r *record) derive() error {
	r.id = Request{Workspace: r.Workspace, Service: r.Service, Key: r.Key}.id()
	if hex.DecodedLen(len(r.Body)) != len(r.hash) {
		return errors.Errorf("body hash %q", r.Body)
	}
	_, err := hex.Decode(r.hash[:], []byte(r.Body))
	return errors.Trace(err)
}

func (r record) serviceResponse() bergamotdale.ServiceResponse {
	return bergamotdale.ServiceResponse{Status: r.Status, Body: json.RawMessage(r.Response)}
}

// segment describes a sealed segment. Its value never changes.
type segment struct {
	Number int64 `json:"number"`
	// Writer is the instance that created the segment. It is a part of the key,
	// so that an owner that was fenced never touches the key of a later one.
	Writer string `json:"writer"`
	// Newest is the time of the newest record.
	Newest int64 `json:"newest"`
	// version is known for segments that this process created or read.
	version int64
}

// head is the first line of the head's value. The records of the open segment
// follow, one a line.
type head struct {
	Epoch int64  `json:"epoch"`
	Owner string `json:"owner"`
	// Instance is a random name of the open shard and Sequence counts its
	// writes. Together they are the nonce that settles an ambiguous write.
	Instance string `json:"instance"`
	Sequence int64  `json:"sequence"`
	// Number is the number of the open segment.
	Number int64     `json:"number"`
	Sealed []segment `json:"sealed,omitempty"`
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

// decodeHead splits the value of a head key.
func decodeHead(value []byte) (head, []byte, error) {
	first, rest, ok := bytes.Cut(value, []byte("\n"))
	var h head
	if err := json.Unmarshal(first, &h); err != nil || !ok {
		return h, nil, errors.Annotatef(ErrCorrupt, "head: %v", err)
	}
	return h, rest, nil
}

// eachRecord calls f for every line of a segment.
func eachRecord(lines []byte, f func(r record, line []byte) error) error {
	for len(lines) > 0 {
		end := bytes.IndexByte(lines, '\n') + 1
		if end == 0 {
			return errors.Annotatef(ErrCorrupt, "record without an end")
		}
		var r record
		err := json.Unmarshal(lines[:end], &r)
		if err == nil {
			err = r.derive()
		}
		if err != nil {
			return errors.Annotatef(ErrCorrupt, "record: %v", err)
		}
		if err := f(r, lines[:end]); err != nil {
			return err
		}
		lines = lines[end:]
	}
	return nil
}
