// Package streamer transfers the response to one request as a sequence of frames.
// A receiver knows at any time how many tokens it has, and at the end whether it
// has all of them.
//
// Offsets count tokens. Data frames are contiguous, and the end frame carries the
// length and a checksum of the whole response. The sender builds the frames with a
// Framer, and a Verifier on the receiving side checks offsets, length and
// checksum. A Resumer can therefore replace a broken stream by a new one that
// continues at the current offset. A Watchdog limits the time without a frame.
package streamer

import (
	"fmt"
	"strconv"

	"github.com/cespare/xxhash/v2"
)

// Checksum is the running checksum of the tokens of a response; it depends on
// their order. The zero value is the checksum of no tokens. The checksum of a
// response can be computed from the checksum of a prefix and the tokens after it,
// so a sender that resumes at an offset needs only the checksum at that offset,
// not the tokens before it.
type Checksum uint64

// Add returns the checksum of the response extended by the tokens.
func (c Checksum) Add(tokens ...string) Checksum {
	x := uint64(c)
	for _, t := range tokens {
		// The SplitMix64 finalizer makes the result depend on the order of the tokens.
		x = (x + 0x9e3779b97f4a7c15) ^ xxhash.Sum64String(t)
		x = (x ^ (x >> 30)) * 0xbf58476d1ce4e5b9
		x = (x ^ (x >> 27)) * 0x94d049bb133111eb
		x ^= x >> 31
	}
	return Checksum(x)
}

// String returns the checksum as 16 hexadecimal digits, as in end frames.
func (c Checksum) String() string {
	return fmt.Sprintf("%016x", uint64(c))
}

// ParseChecksum parses the result of Checksum.String.
func ParseChecksum(s string) (Checksum, error) {
	x, err := strconv.ParseUint(s, 16, 64)
	return Checksum(x), err
}

// Position describes the part of a response that was sent or received.
type Position struct {
	// Offset is the number of tokens so far.
	Offset int
	// Checksum covers the tokens before Offset.
	Checksum Checksum
}

// Add returns the position after the given further tokens.
func (p Position) Add(tokens ...string) Position {
	return Position{Offset: p.Offset + len(tokens), Checksum: p.Checksum.Add(tokens...)}
}
