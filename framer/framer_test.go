package framer_test

import (
	"bytes"
	"testing"
	"time"

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

// Guards against processor time that grows with the square of the number of events in
// a read: an endpoint in trouble may send blank lines without end. 100 times as many
// bytes may take 1,000 times as long.
func TestManyShortEvents(t *testing.T) {
	push := func(n int) time.Duration {
		best := time.Hour
		for range 5 {
			f, started := framer.Framer{}, time.Now()
			_, err := f.Push(bytes.Repeat([]byte("\n\n"), n))
			assert.NilError(t, err)
			best = min(best, time.Since(started))
		}
		return best
	}
	small, large := push(300), push(30_000)
	assert.Assert(t, large < 1000*max(small, 10*time.Microsecond), "%s for 300 events, %s for 30,000", small, large)
}
