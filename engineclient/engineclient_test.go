package engineclient_test

import (
	"context"
	"encoding/json"
	"net/http/httptest"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/bergamotdale/bergamotdale"
	"github.com/bergamotdale/bergamotdale/engineclient"
	"github.com/bergamotdale/bergamotdale/enginegenerator"
	"github.com/bergamotdale/bergamotdale/engineserver"
)

const body = `{"model":"m","max_tokens":20,"messages":[{"role":"user","content":"how many sheets?"}]}`

func start(t *testing.T, s *engineserver.Server) string {
	h := httptest.NewServer(s.Handler())
	t.Cleanup(h.Close)
	return strings.TrimPrefix(h.URL, "http://")
}

// read returns the tokens and the last frame of a stream.
func read(t *testing.T, s bergamotdale.FrameStream) (tokens []string, last bergamotdale.Frame) {
	for {
		f, err := s.Next()
		assert.NilError(t, err)
		tokens = append(tokens, f.Tokens...)
		if f.Kind == bergamotdale.FrameEnd || f.Kind == bergamotdale.FrameRefusal {
			return tokens, f
		}
	}
}

// Guards against a resumed stream that differs from the original one.
func TestResumeAtAnotherEngine(t *testing.T) {
	c, ctx := &engineclient.Client{}, context.Background()
	a := start(t, &engineserver.Server{TokenRate: 1e6})
	b := start(t, &engineserver.Server{TokenRate: 1e6})
	s, err := c.Complete(ctx, a, bergamotdale.EngineRequest{RequestID: "1", Body: json.RawMessage(body)})
	assert.NilError(t, err)
	whole, end := read(t, s)
	assert.Equal(t, len(whole), 20)
	assert.Equal(t, end.Length, 20)
	assert.Equal(t, end.Checksum, enginegenerator.Checksum(strings.Join(whole, "")))
	s, err = c.Complete(ctx, b, bergamotdale.EngineRequest{RequestID: "1", Body: json.RawMessage(body), ResumeFrom: 7, Priority: 2})
	assert.NilError(t, err)
	rest, end2 := read(t, s)
	assert.DeepEqual(t, rest, whole[7:])
	assert.Equal(t, end2.Checksum, end.Checksum)
	assert.Equal(t, end2.Length, 20)
}
