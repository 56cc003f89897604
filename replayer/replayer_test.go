package replayer_test

import (
	"context"
	"fmt"
	"io"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/juju/errors"
	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/bergamotdale/bergamotdale"
	"github.com/bergamotdale/bergamotdale/replayer"
	"github.com/bergamotdale/bergamotdale/streamer"
)

const requestID = "request-1"

var clock bergamotdale.SystemClock

// drain reads a stream to its end. It returns the tokens, the final frame and
// the error that cut the stream.
func drain(s bergamotdale.FrameStream) ([]string, bergamotdale.Frame, error) {
	var tokens []string
	var last bergamotdale.Frame
	for {
		f, err := s.Next()
		if errors.Is(err, io.EOF) {
			return tokens, last, nil
		}
		if err != nil {
			return tokens, last, err
		}
		tokens, last = append(tokens, f.Tokens...), f
	}
}

// Guards against a reader that misses or repeats tokens when it joins while the
// response is written or within the retention, and against one that succeeds
// after it.
func TestReadersGetTheRest(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) { rapid.SyncTest(t, checkReaders) })
}

func checkReaders(t *rapid.T) {
	tokens := rapid.SliceOfN(rapid.String(), 1, 20).Draw(t, "tokens")
	r := replayer.New(clock, replayer.Retention, replayer.DefaultBytes)
	b, err := r.Open(requestID, streamer.Position{})
	assert.NilError(t, err)
	_, err = r.Open(requestID, streamer.Position{})
	assert.ErrorIs(t, err, replayer.ErrExists)
	var readers sync.WaitGroup
	defer readers.Wait()
	defer b.Cut(errors.New("test ended"))
	read := func(offset int) {
		s, err := r.Read(context.Background(), requestID, offset)
		assert.NilError(t, err)
		readers.Go(func() {
			defer s.Close()
			got, last, err := drain(s)
			if err != nil || last.Kind != bergamotdale.FrameEnd || fmt.Sprint(got) != fmt.Sprint(tokens[offset:]) {
				t.Errorf("reader at %d got %q, %v", offset, got, err)
			}
		})
	}
	framer := streamer.NewFramer(requestID, streamer.Position{})
	for framer.Position().Offset < len(tokens) {
		from := framer.Position().Offset
		n := rapid.IntRange(1, len(tokens)-from).Draw(t, "frame-tokens")
		assert.NilError(t, b.Append(framer.Data(tokens[from:from+n]...)))
		for range rapid.IntRange(0, 2).Draw(t, "readers") {
			read(rapid.IntRange(0, b.Position().Offset).Draw(t, "offset"))
		}
	}
	assert.NilError(t, b.Append(framer.End("stop")))
	<-clock.After(replayer.Retention - time.Second)
	read(rapid.IntRange(0, len(tokens)).Draw(t, "late-offset"))
	readers.Wait()
	<-clock.After(time.Second)
	_, err = r.Read(context.Background(), requestID, 0)
	assert.ErrorIs(t, err, replayer.ErrNoReplay)
	assert.Equal(t, r.Bytes(), int64(0))
}

// Guards against memory above the bound, against a running response that is
// dropped before finished ones, and against the wrong order among these.
func TestReplayerMemoryIsBounded(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const limit = 8192
		r := replayer.New(clock, replayer.Retention, limit)
		var finished []string
		for i := range rapid.IntRange(1, 30).Draw(t, "responses") {
			id := fmt.Sprintf("request-%d", i)
			b, err := r.Open(id, streamer.Position{})
			assert.NilError(t, err)
			f := streamer.NewFramer(id, streamer.Position{})
			for range rapid.IntRange(0, 60).Draw(t, "frames") {
				assert.NilError(t, b.Append(f.Data("token ")))
				assert.Assert(t, r.Bytes() <= limit)
			}
			assert.NilError(t, b.Append(f.End("stop")))
			finished = append(finished, id)
		}
		dropped := true
		for _, id := range finished {
			_, err := r.Read(context.Background(), id, 0)
			gone := errors.Is(err, replayer.ErrNoReplay)
			assert.Assert(t, dropped || !gone, "%s is gone, an earlier one is not", id)
			dropped = gone
		}
		assert.Assert(t, !dropped, "the last response is gone")
	})
}

// Guards against readers that hang or see a complete response after the source
// was cut, and against a cut response that cannot be written again.
func TestCutBufferCanBeReplaced(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := replayer.New(clock, replayer.Retention, replayer.DefaultBytes)
		b, err := r.Open(requestID, streamer.Position{})
		assert.NilError(t, err)
		f := streamer.NewFramer(requestID, streamer.Position{})
		assert.NilError(t, b.Append(f.Data("a", "b")))
		s, err := r.Read(context.Background(), requestID, 1)
		assert.NilError(t, err)
		cut := errors.New("engine died")
		go func() {
			<-clock.After(time.Second)
			b.Cut(cut)
		}()
		got, _, err := drain(s)
		assert.ErrorIs(t, err, cut)
		assert.DeepEqual(t, got, []string{"b"})
		_, err = r.Open(requestID, b.Position())
		assert.NilError(t, err)
		_, err = r.Read(context.Background(), requestID, 0)
		assert.ErrorIs(t, err, replayer.ErrOffsetGone)
	})
}

// Guards against a retention that is cut short because a kept token takes more
// memory than the target leaves: 1.7 M tokens/s over 360 routers, one token a
// frame, in responses of 450 tokens.
func TestRetentionAtTheTargetFits(t *testing.T) {
	const tokens = 450
	streams := int(1_700_000 * replayer.Retention.Seconds() / 360 / tokens)
	r := replayer.New(clock, replayer.Retention, replayer.DefaultBytes)
	for i := range streams {
		id := fmt.Sprintf("stream-%d", i)
		buffer, err := r.Open(id, streamer.Position{})
		assert.NilError(t, err)
		framer := streamer.NewFramer(id, streamer.Position{})
		for range tokens {
			assert.NilError(t, buffer.Append(framer.Data("linen ")))
		}
		assert.NilError(t, buffer.Append(framer.End("stop")))
	}
	first, err := r.Read(t.Context(), "stream-0", 0)
	assert.NilError(t, err)
	got, end, err := drain(first)
	assert.NilError(t, err)
	assert.Equal(t, len(got), tokens)
	assert.Equal(t, end.Length, tokens)
}
