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

// drain reads a stream to its end. It returns the tokens, the last frame and the
// error that interrupted the stream.
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

// Guards against a reader that misses or repeats tokens when it starts while the
// response is written or within the retention time, and against a read that
// succeeds after the retention time.
func TestReadersReceiveRemainingTokens(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) { rapid.SyncTest(t, checkReaders) })
}

func checkReaders(t *rapid.T) {
	tokens := rapid.SliceOfN(rapid.String(), 1, 20).Draw(t, "tokens")
	r := replayer.New(clock, replayer.Retention, replayer.DefaultMaxBytes)
	b, err := r.Open(requestID, streamer.Position{})
	assert.NilError(t, err)
	_, err = r.Open(requestID, streamer.Position{})
	assert.ErrorIs(t, err, replayer.ErrBufferExists)
	var readers sync.WaitGroup
	defer readers.Wait()
	defer b.Abort(errors.New("test ended"))
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
	assert.ErrorIs(t, err, replayer.ErrNoBuffer)
	assert.Equal(t, r.Bytes(), int64(0))
}

// Guards against memory use above the limit, against evicting a running response
// before ended ones, and against evicting ended responses in the wrong order.
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
		evicted := true
		for _, id := range finished {
			_, err := r.Read(context.Background(), id, 0)
			gone := errors.Is(err, replayer.ErrNoBuffer)
			assert.Assert(t, evicted || !gone, "%s was evicted before an earlier response", id)
			evicted = gone
		}
		assert.Assert(t, !evicted, "the last response was evicted")
	})
}

// Guards against readers that hang or receive a complete response although its
// source failed, and against a failed response that cannot be opened again.
func TestAbortedBufferCanBeReplaced(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := replayer.New(clock, replayer.Retention, replayer.DefaultMaxBytes)
		b, err := r.Open(requestID, streamer.Position{})
		assert.NilError(t, err)
		f := streamer.NewFramer(requestID, streamer.Position{})
		assert.NilError(t, b.Append(f.Data("a", "b")))
		s, err := r.Read(context.Background(), requestID, 1)
		assert.NilError(t, err)
		engineErr := errors.New("engine failed")
		go func() {
			<-clock.After(time.Second)
			b.Abort(engineErr)
		}()
		got, _, err := drain(s)
		assert.ErrorIs(t, err, engineErr)
		assert.DeepEqual(t, got, []string{"b"})
		_, err = r.Open(requestID, b.Position())
		assert.NilError(t, err)
		_, err = r.Read(context.Background(), requestID, 0)
		assert.ErrorIs(t, err, replayer.ErrOffsetUnavailable)
	})
}

// Guards against responses that are evicted before the end of their retention
// time because a stored token uses too much memory. The load is the target of
// the fleet: 1.7 M tokens/s over 360 routers, in responses of 450 tokens, one
// token per frame.
func TestRetentionFitsAtTargetRate(t *testing.T) {
	const tokens = 450
	streams := int(1_700_000 * replayer.Retention.Seconds() / 360 / tokens)
	r := replayer.New(clock, replayer.Retention, replayer.DefaultMaxBytes)
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
