package framer_test

import (
	"bytes"
	"testing"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/bergamotdale/bergamotdale/framer"
)

// Guards against bytes that are lost, repeated or returned before their event is
// complete, for any division of the stream into reads.
func TestCompleteEventsOnly(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		separator := rapid.SampledFrom([]string{"\n\n", "\r\n\r\n"}).Draw(t, "separator")
		var stream []byte
		n := rapid.IntRange(0, 20).Draw(t, "events")
		for i := range n {
			stream = append(stream, []byte("id: "+string(rune('a'+i))+"\ndata: "+rapid.StringMatching(`[a-z ]{0,30}`).Draw(t, "data")+separator)...)
		}
		complete := len(stream)
		stream = append(stream, []byte("id: z\ndata: cut")...)
		var f framer.Framer
		var out []byte
		for rest := stream; len(rest) > 0; {
			size := rapid.IntRange(1, len(rest)).Draw(t, "read")
			events, err := f.Push(rest[:size])
			assert.NilError(t, err)
			out = append(out, events...)
			rest = rest[size:]
		}
		assert.Assert(t, bytes.Equal(out, stream[:complete]))
		assert.Equal(t, f.EventCount(), n)
		assert.Equal(t, f.Pending(), len(stream)-complete)
		if n > 0 {
			assert.Equal(t, f.LastID(), string(rune('a'+n-1)))
		}
		f.DiscardPending()
		assert.Equal(t, f.Pending(), 0)
	})
}

// Guards against memory that grows without limit when an event never ends.
func TestEventTooLarge(t *testing.T) {
	var f framer.Framer
	_, err := f.Push(make([]byte, framer.DefaultMaxEvent+1))
	assert.ErrorContains(t, err, "larger")
}
