package forwarder_test

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"syscall"
	"testing"
	"time"

	"go.uber.org/zap"
	"gotest.tools/v3/assert"

	"github.com/bergamotdale/bergamotdale"
	"github.com/bergamotdale/bergamotdale/forwarder"
	"github.com/bergamotdale/bergamotdale/peerclient"
	"github.com/bergamotdale/bergamotdale/placer"
	"github.com/bergamotdale/bergamotdale/retrier"
	"github.com/bergamotdale/bergamotdale/streamer"
)

// singleModelDirectory is a Directory with one model, whose engines (23 in the
// benchmark) are all owned by one router.
type singleModelDirectory struct {
	group *placer.Group
	owner bergamotdale.Member
}

func (d *singleModelDirectory) Group(string) *placer.Group                { return d.group }
func (d *singleModelDirectory) Owner(string) (bergamotdale.Member, bool)  { return d.owner, true }
func (d *singleModelDirectory) Member(string) (bergamotdale.Member, bool) { return d.owner, true }

// noSuspects is a Suspects without any suspect.
type noSuspects struct{}

func (noSuspects) RecordBrokenStream(string) bool { return false }

type discardRecorder struct{}

func (discardRecorder) Record(bergamotdale.Event) {}

// constantSource answers each completion with the same number of tokens.
type constantSource struct{ tokens int }

func (s constantSource) Dispatch(_ context.Context, c bergamotdale.Completion) (bergamotdale.FrameStream, error) {
	return &tokenStream{framer: streamer.NewFramer(c.StreamID(), streamer.Position{}), tokens: s.tokens}, nil
}

// ServeHTTP serves the peer message "forward" as the owner of the engine does.
func (s constantSource) ServeHTTP(w http.ResponseWriter, req *http.Request) {
	var c bergamotdale.Completion
	if err := json.NewDecoder(req.Body).Decode(&c); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	stream, err := s.Dispatch(req.Context(), c)
	writer := peerclient.NewFrameWriter(w)
	for err == nil {
		var f bergamotdale.Frame
		if f, err = stream.Next(); err == nil {
			err = writer.Write(f)
		}
	}
}

// tokenStream yields the same token repeatedly and then an end frame.
type tokenStream struct {
	framer *streamer.Framer
	tokens int
	ended  bool
}

func (s *tokenStream) Next() (bergamotdale.Frame, error) {
	switch {
	case s.ended:
		return bergamotdale.Frame{}, io.EOF
	case s.tokens == 0:
		s.ended = true
		return s.framer.End("stop"), nil
	}
	s.tokens--
	return s.framer.Data("linen "), nil
}

func (s *tokenStream) Close() error { return nil }

// BenchmarkComplete measures the cost of a request at the entry router, both
// when it owns the engine (at=entry) and when it forwards over HTTP on loopback
// (at=owner). The latter includes the owner's side of the connection. The slope
// over the number of tokens is the cost per token.
func BenchmarkComplete(b *testing.B) {
	for _, owner := range []string{"entry", "owner"} {
		for _, tokens := range []int{1, 100, 450, 1000} {
			b.Run(fmt.Sprintf("at=%s/tokens=%d", owner, tokens), func(b *testing.B) { benchmarkComplete(b, owner, tokens) })
		}
	}
}

func benchmarkComplete(b *testing.B, owner string, tokens int) {
	server := httptest.NewServer(constantSource{tokens})
	defer server.Close()
	peer := peerclient.New()
	defer peer.Close()
	candidates := make([]placer.Candidate, 23)
	for i := range candidates {
		candidates[i] = placer.Candidate{Name: fmt.Sprintf("engine-%02d", i), Weight: 1}
	}
	f := &forwarder.Forwarder{
		Self:      "entry",
		Directory: &singleModelDirectory{placer.NewGroup(candidates, 0), bergamotdale.Member{ID: owner, Address: strings.TrimPrefix(server.URL, "http://")}},
		Local:     constantSource{tokens}, Peer: peer, Clock: bergamotdale.SystemClock{}, Recorder: discardRecorder{}, Logger: zap.NewNop(),
		Budget: retrier.NewBudget(), Suspects: noSuspects{},
	}
	body := json.RawMessage(`{"model":"m","messages":[{"role":"user","content":"` + strings.Repeat("apron ", 300) + `"}]}`)
	cpu, i := cpuTime(), 0
	b.ReportAllocs()
	for b.Loop() {
		stream, err := f.Complete(b.Context(), bergamotdale.Completion{
			RequestID: fmt.Sprintf("request-%d", i), Workspace: "a", Chat: fmt.Sprintf("chat-%d", i), Model: "m", Body: body,
		})
		assert.NilError(b, err)
		drain(b, stream)
		i++
	}
	sent, received := peer.Bytes()
	b.ReportMetric(float64((cpuTime()-cpu).Nanoseconds())/float64(b.N), "cpu-ns/op")
	b.ReportMetric(float64(sent+received)/float64(i), "peer-B/op")
}

func drain(b *testing.B, stream bergamotdale.FrameStream) {
	for {
		f, err := stream.Next()
		if errors.Is(err, io.EOF) {
			break
		}
		assert.NilError(b, err)
		if f.Kind == bergamotdale.FrameRefusal {
			b.Fatal(f.Refusal)
		}
	}
	assert.NilError(b, stream.Close())
}

func cpuTime() time.Duration {
	var u syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &u); err != nil {
		return 0
	}
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}
