package journaler

import (
	"bytes"
	"encoding/json"
	"fmt"

	"github.com/juju/errors"
)

// HeadKey returns the store key of a shard's head, which holds a Head and the
// records of the open segment.
func HeadKey(shard int) string {
	return fmt.Sprintf("shard/%d/head", shard)
}

// SegmentPrefix returns the prefix of the store keys of a shard's sealed
// segments.
func SegmentPrefix(shard int) string {
	return fmt.Sprintf("shard/%d/segment/", shard)
}

// Segment describes a sealed segment: one with a store key of its own, whose
// value never changes.
type Segment struct {
	Number int64 `json:"number"`
	// Writer is the Head.Instance that created the segment. It is part of the
	// store key, so that an owner that lost the shard cannot write or delete a
	// segment of its successor.
	Writer string `json:"writer"`
	// NewestAt is the time of the newest record in milliseconds since the Unix
	// epoch.
	NewestAt int64 `json:"newest"`
	// Version is the version of the segment's store key; it is not stored.
	Version int64 `json:"-"`
}

// Key returns the store key of the segment.
func (s Segment) Key(shard int) string {
	return fmt.Sprintf("%s%d-%s", SegmentPrefix(shard), s.Number, s.Writer)
}

// Encode returns the value to store for the segment: its description in the
// first line, then the given lines of records.
func (s Segment) Encode(lines []byte) ([]byte, error) {
	first, err := encodeLine(s)
	return append(first, lines...), err
}

// FindRecord returns the last record with the ID in the stored value of a
// segment. It returns ErrCorrupt if there is none.
func FindRecord(value []byte, id ID) (Record, error) {
	_, lines, _ := bytes.Cut(value, []byte("\n"))
	var found Record
	err := forEachRecord(lines, func(r Record, _ []byte) {
		if r.id == id {
			found = r
		}
	})
	if err == nil && found.State == Absent {
		err = errors.Annotatef(ErrCorrupt, "segment lacks a record that the journal expects in it")
	}
	return found, err
}

// Head states the owner of a shard and its segments. It is the first line of
// the value of the head key; the records of the open segment follow, one a line.
type Head struct {
	Epoch int64  `json:"epoch"`
	Owner string `json:"owner"`
	// Instance is a random name that the owner draws when it opens the shard,
	// and Sequence counts its writes. Together they identify a write, so that
	// the owner can tell after an ambiguous one whether it took effect.
	Instance string `json:"instance"`
	Sequence int64  `json:"sequence"`
	// OpenNumber is the number of the open segment.
	OpenNumber int64     `json:"number"`
	Sealed     []Segment `json:"sealed,omitempty"`
}

// DecodeHead splits the value of a head key into the head and the lines of the
// open segment.
func DecodeHead(value []byte) (Head, []byte, error) {
	first, lines, ok := bytes.Cut(value, []byte("\n"))
	var h Head
	if err := json.Unmarshal(first, &h); err != nil || !ok {
		return h, nil, errors.Annotatef(ErrCorrupt, "decoding the journal head: %v", err)
	}
	return h, lines, nil
}
