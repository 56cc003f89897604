package streamer_test

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/juju/errors"
	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/bergamotdale/bergamotdale"
	"github.com/bergamotdale/bergamotdale/streamer"
)

// Guards against a reader that misses or repeats tokens when it joins while the
// response is written or within the retention, and against one that succeeds
// after it.
func TestReadersGetTheRest(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) { rapid.SyncTest(t, checkReaders) })
}

func checkReaders(t *rapid.T) {
	tokens := words(rapid.IntRange(1, 20).Draw(t, "tokens"))
	r := streamer.NewReplayer(clock, streamer.Retention, streamer.DefaultReplayBytes)
	b, err := r.Open(requestID, streamer.Position{})
	assert.NilError(t, err)
	_, err = r.Open(requestID, streamer.Position{})
	assert.ErrorIs(t, err, streamer.ErrExists)
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
	for _, f := range frames(t, tokens, 0) {
		for range rapid.IntRange(0, 2).Draw(t, "readers") {
			read(rapid.IntRange(0, b.Position().Offset).Draw(t, "offset"))
		}
		assert.NilError(t, b.Append(f))
	}
	<-clock.After(streamer.Retention - time.Second)
	read(rapid.IntRange(0, len(tokens)).Draw(t, "late-offset"))
	readers.Wait()
	<-clock.After(time.Second)
	_, err = r.Read(context.Background(), requestID, 0)
	assert.ErrorIs(t, err, streamer.ErrNoReplay)
	assert.Equal(t, r.Bytes(), int64(0))
}

// Guards against memory above the bound, against a running response that is
// dropped before finished ones, and against the wrong order among these.
func TestReplayerMemoryIsBounded(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const limit = 8192
		r := streamer.NewReplayer(clock, streamer.Retention, limit)
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
			gone := errors.Is(err, streamer.ErrNoReplay)
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
		r := streamer.NewReplayer(clock, streamer.Retention, streamer.DefaultReplayBytes)
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
		assert.ErrorIs(t, err, streamer.ErrOffsetGone)
	})
}
