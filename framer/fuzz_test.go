package framer_test

import (
	"bytes"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/bergamotdale/bergamotdale/framer"
)

// FuzzPush checks that a stream comes out unchanged up to its last complete event,
// however it is cut into pieces.
func FuzzPush(f *testing.F) {
	f.Add([]byte("id: 1\ndata: a\n\nid: 2\ndata: b\n\n"), uint8(3))
	f.Add([]byte("data: a\r\n\r\n: comment\r\n\r\nid:7\n\n"), uint8(1))
	f.Add([]byte("\n\n\n\r\n\r\n\n"), uint8(2))
	f.Add([]byte(": no event ever"), uint8(5))
	f.Fuzz(func(t *testing.T, stream []byte, piece uint8) {
		if len(stream) >= framer.DefaultMaxEvent {
			return
		}
		pieces, whole := framer.Framer{}, framer.Framer{}
		var got []byte
		size := int(piece) + 1
		for rest := stream; len(rest) > 0; rest = rest[min(size, len(rest)):] {
			events, err := pieces.Push(rest[:min(size, len(rest))])
			assert.NilError(t, err)
			got = append(got, events...)
		}
		want, err := whole.Push(stream)
		assert.NilError(t, err)
		assert.Assert(t, bytes.Equal(got, want), "%q in pieces of %d, %q at once", got, size, want)
		assert.Assert(t, bytes.HasPrefix(stream, got))
		assert.Equal(t, len(got)+pieces.Pending(), len(stream))
		assert.Equal(t, pieces.LastID(), whole.LastID())
		assert.Equal(t, pieces.EventCount(), whole.EventCount())
	})
}
