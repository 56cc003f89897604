package journaler

import (
	"bytes"
	"encoding/json"
	"fmt"

	"github.com/juju/errors"
)

// HeadKey returns the store key of a shard's head.
func HeadKey(shard int) string {
	return fmt.Sprintf("shard/%d/head", shard)
}

// SegmentPrefix returns the prefix of the store keys of a shard's sealed
// segments.
func SegmentPrefix(shard int) string {
	return fmt.Sprintf("shard/%d/segment/", shard)
}

// Segment describes a sealed segment. Its value never changes.
type Segment struct {
	Number int64 `json:"number"`
	// Writer is the instance that created the segment. It is a part of the key,
	// so that an owner that was fenced never touches the key of a later one.
	Writer string `json:"writer"`
	// Newest is the time of the newest record.
	Newest int64 `json:"newest"`
	// Version is the version of the segment's store key; it is not stored.
	Version int64 `json:"-"`
}

// Key returns the store key of the segment.
func (s Segment) Key(shard int) string {
	return fmt.Sprintf("%s%d-%s", SegmentPrefix(shard), s.Number, s.Writer)
}

// Encode returns the value of the segment with the given lines.
func (s Segment) Encode(lines []byte) ([]byte, error) {
	first, err := encodeLine(s)
	return append(first, lines...), err
}

// FindRecord returns the record of a key in the value of a segment.
func FindRecord(value []byte, id ID) (Record, error) {
	_, lines, _ := bytes.Cut(value, []byte("\n"))
	var found Record
	err := eachRecord(lines, func(r Record, _ []byte) {
		if r.id == id {
			found = r
		}
	})
	if err == nil && found.State == Absent {
		err = errors.Annotatef(ErrCorrupt, "record missing from its segment")
	}
	return found, err
}

// Head is the first line of the head's value. The records of the open segment
// follow, one a line.
type Head struct {
	Epoch int64  `json:"epoch"`
	Owner string `json:"owner"`
	// Instance is a random name of the open shard and Sequence counts its
	// writes. Together they are the nonce that settles an ambiguous write.
	Instance string `json:"instance"`
	Sequence int64  `json:"sequence"`
	// Number is the number of the open segment.
	Number int64     `json:"number"`
	Sealed []Segment `json:"sealed,omitempty"`
}

// DecodeHead splits the value of a head key into the head and the lines of the
// open segment.
func DecodeHead(value []byte) (Head, []byte, error) {
	first, lines, ok := bytes.Cut(value, []byte("\n"))
	var h Head
	if err := json.Unmarshal(first, &h); err != nil || !ok {
		return h, nil, errors.Annotatef(ErrCorrupt, "head: %v", err)
	}
	return h, lines, nil
}
