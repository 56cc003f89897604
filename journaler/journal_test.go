package journaler_test

import (
	"encoding/json"
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/bergamotdale/bergamotdale"
	"github.com/bergamotdale/bergamotdale/journaler"
)

var start = time.UnixMilli(1_800_000_000_000)

// Guards against a record whose ID, hash or response changes when it is encoded
// and decoded, for example by the escaping of HTML characters in JSON.
func TestRecordEncodingRoundTrip(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		body := rapid.OneOf(rapid.String(), rapid.Just("{\"a\": \"<&>\u2028\"}")).Draw(t, "body")
		r := journaler.NewRecord("w", "s", rapid.String().Draw(t, "key"), "c", []byte("b")).WithState(journaler.Intent, 7).
			WithResponse(bergamotdale.ServiceResponse{Status: 201, Body: json.RawMessage(body)})
		line, err := r.Encode()
		assert.NilError(t, err)
		got, err := journaler.Decode(line)
		assert.NilError(t, err)
		assert.Assert(t, got == r)
		assert.Equal(t, string(got.ServiceResponse().Body), body)
	})
}

// addition encodes a record as an addition to a proposal.
func addition(t *rapid.T, r journaler.Record) journaler.Addition {
	text, err := r.Encode()
	assert.NilError(t, err)
	return journaler.Addition{
		Line:  journaler.Line{ID: r.ID(), At: r.At, Text: text},
		Hash:  r.Hash(),
		State: r.State,
	}
}

// Guards against a new owner that loads other records than the previous owner
// had in memory, after any mix of sealed segments, replaced and expired records.
func TestLoadRestoresTheJournal(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const lifetime = time.Minute
		now := start
		j, err := journaler.Load(journaler.Head{}, nil, nil, lifetime, now)
		assert.NilError(t, err)
		j.SetOwner(1, "router", "instance")
		stored := map[int64][]byte{}
		var head []byte
		var keys []journaler.Record
		for range rapid.IntRange(1, 30).Draw(t, "commits") {
			now = now.Add(time.Duration(rapid.IntRange(0, 15).Draw(t, "seconds")) * time.Second)
			var sealed *journaler.Segment
			if s, lines, ok := j.SegmentToSeal(rapid.IntRange(0, 2000).Draw(t, "segment-bytes")); ok {
				value, err := s.Encode(lines)
				assert.NilError(t, err)
				stored[s.Number], sealed = value, &s
			}
			r := journaler.NewRecord("w", "s", fmt.Sprint(rapid.IntRange(0, 8).Draw(t, "key")), "c", nil)
			state := rapid.SampledFrom([]journaler.State{journaler.Done, journaler.Free, journaler.NotKept}).Draw(t, "state")
			keys = append(keys, r)
			at := j.Timestamp(now)
			p, err := j.Propose([]journaler.Addition{addition(t, r.WithState(state, at))}, sealed, at)
			assert.NilError(t, err)
			assert.NilError(t, j.Apply(p, at))
			for _, d := range p.ExpiredSegments {
				delete(stored, d.Number)
			}
			head = p.Value
		}
		h, lines, err := journaler.DecodeHead(head)
		assert.NilError(t, err)
		assert.Equal(t, len(h.Sealed), len(stored))
		var values [][]byte
		for _, s := range h.Sealed {
			values = append(values, stored[s.Number])
		}
		loaded, err := journaler.Load(h, lines, values, lifetime, now)
		assert.NilError(t, err)
		for _, r := range keys {
			at := now.UnixMilli()
			assert.Equal(t, loaded.Lookup(r.ID(), at), j.Lookup(r.ID(), at))
		}
	})
}
