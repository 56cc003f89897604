// Package streamer carries the response of one request as a sequence of
// frames. A receiver can tell at any time which tokens it has, and at the end
// whether it has them all.
//
// Offsets count tokens. Data frames are contiguous, and the end frame holds
// the length and a checksum of the whole response. A Verifier on the receiving
// side enforces both, so a Resumer can replace a broken stream by a new one
// from its offset. A Watchdog bounds the time without a frame.
package streamer

import (
	"fmt"
	"strconv"

	"github.com/cespare/xxhash/v2"
)

// Checksum is the running checksum of the tokens of a response in order. The
// zero value is the checksum of no tokens. It is its own state: the checksum
// of a longer response follows from that of a prefix and the tokens after it,
// so a sender that resumes needs the checksum at the offset, not the tokens.
type Checksum uint64

// Add returns the checksum of the response extended by the tokens.
func (c Checksum) Add(tokens ...string) Checksum {
	x := uint64(c)
	for _, t := range tokens {
		// The finalizer of SplitMix64 makes the result depend on the order.
		x = (x + 0x9e3779b97f4a7c15) ^ xxhash.Sum64String(t)
		x = (x ^ (x >> 30)) * 0xbf58476d1ce4e5b9
		x = (x ^ (x >> 27)) * 0x94d049bb133111eb
		x ^= x >> 31
	}
	return Checksum(x)
}

// String returns the form that end frames carry.
func (c Checksum) String() string {
	return fmt.Sprintf("%016x", uint64(c))
}

// ParseChecksum is the inverse of String.
func ParseChecksum(s string) (Checksum, error) {
	x, err := strconv.ParseUint(s, 16, 64)
	return Checksum(x), err
}

// Position is how far a response has been received or sent.
type Position struct {
	// Offset is the number of tokens so far and Checksum covers them.
	Offset   int
	Checksum Checksum
}

// Add returns the position after the tokens.
func (p Position) Add(tokens ...string) Position {
	return Position{Offset: p.Offset + len(tokens), Checksum: p.Checksum.Add(tokens...)}
}
