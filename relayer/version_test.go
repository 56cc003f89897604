package relayer_test

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"slices"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/bergamotdale/bergamotdale"
	"github.com/bergamotdale/bergamotdale/pinner"
)

// writeEvents writes the events of a stream, those after the first one if the request
// resumes it.
func writeEvents(c net.Conn, r *http.Request, version string) {
	for n := 1; n <= 3; n++ {
		if n > 1 || r.Header.Get("X-Resume") == "" {
			writeChunk(c, fmt.Sprintf("id: %d\ndata: %s\n\n", n, version))
		}
	}
}

// startVersion starts an endpoint of a software version. The first stream at any of
// the endpoints that share cut ends after one event.
func startVersion(t *testing.T, version string, cut *atomic.Bool) *fakeEndpoint {
	e := startEndpoint(t, func(_ int, r *http.Request, c net.Conn) bool {
		startStream(c, r)
		if cut.CompareAndSwap(false, true) {
			writeChunk(c, "id: 1\ndata: "+version+"\n\n")
			return false
		}
		writeEvents(c, r, version)
		writeChunk(c, "")
		return true
	})
	e.version = version
	return e
}

// Guards against a stream that goes on, within one response, at an endpoint of another
// software version: it goes on at one of its own, or is cut if there is none.
func TestResumedStreamKeepsItsVersion(t *testing.T) {
	for name, versions := range map[string][]string{
		"one other of the version": {"v1", "v2", "v1", "v2", "v1", "v2"},
		"none of the version":      {"v1", "v2", "v3", "v4", "v5"},
	} {
		t.Run(name, func(t *testing.T) {
			for n := range 8 {
				var cut atomic.Bool
				var endpoints []*fakeEndpoint
				for _, v := range versions {
					endpoints = append(endpoints, startVersion(t, v, &cut))
				}
				got := call(t, startRelayer(t, resumableStreamRoute, endpoints...), http.MethodGet, fmt.Sprintf("r%d", n), "")
				written := map[string]bool{}
				for event := range strings.SplitSeq(strings.TrimSpace(got.body), "\n\n") {
					_, version, _ := strings.Cut(event, "data: ")
					written[version] = true
				}
				assert.Equal(t, len(written), 1, got.body)
				assert.Equal(t, got.broken, name == "none of the version", got.body)
			}
		})
	}
}

// takeUp sends a request that takes up the stream that the attempt r0 began.
func takeUp(t *testing.T, server *httptest.Server, id string) response {
	return takeUpStream(t, server, id, "r0")
}

// takeUpStream sends a request that takes up the stream that the attempt began.
func takeUpStream(t *testing.T, server *httptest.Server, id, attempt string) response {
	req, err := http.NewRequest(http.MethodGet, server.URL+"/x", nil)
	assert.NilError(t, err)
	req.Host = "h"
	for name, value := range map[string]string{"X-Id": id, "X-Key": "key", "X-Left": "5000", "X-Resume": "1", "X-Resumes": attempt} {
		req.Header.Set(name, value)
	}
	resp, err := server.Client().Do(req)
	assert.NilError(t, err)
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	assert.NilError(t, err)
	return response{status: resp.StatusCode, header: resp.Header, body: string(body)}
}

// fixedPins knows the pin of every stream, or refuses it.
type fixedPins struct {
	pin     pinner.Pin
	refusal *bergamotdale.Refusal
	queries chan pinner.Query
	pinned  chan pinner.Pin
	// listed holds the versions at which new streams may begin.
	listed []string
}

func (p *fixedPins) MayBegin(_, version string) bool { return slices.Contains(p.listed, version) }

func (p *fixedPins) Pin(_ context.Context, stream string, pin pinner.Pin, _ pinner.Source, _ time.Duration) {
	if stream == "w/r0" {
		p.pinned <- pin
	}
}

func (p *fixedPins) Find(_ context.Context, q pinner.Query) (pinner.Pin, *bergamotdale.Refusal) {
	p.queries <- q
	return p.pin, p.refusal
}

// Guards against a stream that a client takes up, first time or again, at another
// software version than the one that began it, and against one that cannot go on and is
// not refused at once as not run: its version is unknown or gone, or the route has
// moved to another service.
func TestTakenUpStreamKeepsItsVersion(t *testing.T) {
	unknown := bergamotdale.Refuse(bergamotdale.CodeVersionUnknown, "unknown")
	for name, test := range map[string]struct {
		pin     pinner.Pin
		refusal *bergamotdale.Refusal
		want    string
	}{
		"v1":            {pin: pinner.Pin{Service: "s", Version: "v1"}, want: "v1"},
		"v2":            {pin: pinner.Pin{Service: "s", Version: "v2"}, want: "v2"},
		"gone":          {pin: pinner.Pin{Service: "s", Version: "v3"}, want: "version-gone"},
		"other service": {pin: pinner.Pin{Service: "other", Version: "v1"}, want: "version-gone"},
		"unknown":       {refusal: unknown, want: "version-unknown"},
	} {
		t.Run(name, func(t *testing.T) {
			var notCut atomic.Bool
			notCut.Store(true)
			endpoints := []*fakeEndpoint{startVersion(t, "v1", &notCut), startVersion(t, "v2", &notCut)}
			pins := &fixedPins{pin: test.pin, refusal: test.refusal, queries: make(chan pinner.Query, 8), pinned: make(chan pinner.Pin, 8)}
			r := newRelayer(t, resumableStreamRoute, endpoints...)
			r.Pins = pins
			r.StartupGate.Open()
			server := serve(t, r)
			for n := range 6 {
				got := takeUp(t, server, fmt.Sprintf("r%d", n+1))
				assert.Equal(t, (<-pins.queries).Stream, "w/r0")
				if strings.HasPrefix(test.want, "version-") {
					assert.Equal(t, got.status, http.StatusServiceUnavailable)
					assert.Assert(t, strings.Contains(got.body, test.want) && strings.Contains(got.body, `"not-run"`), got.body)
					assert.Equal(t, got.header.Get("Retry-After"), "")
					assert.Equal(t, endpoints[0].requestCount()+endpoints[1].requestCount(), 0)
					continue
				}
				assert.Equal(t, got.status, http.StatusOK)
				assert.Equal(t, got.body, fmt.Sprintf("id: 2\ndata: %[1]s\n\nid: 3\ndata: %[1]s\n\n", test.want))
				assert.Equal(t, (<-pins.pinned).Version, test.want)
			}
		})
	}
}

// Guards against a stream whose endpoint stalls and that a successor of another version
// takes over.
func TestSuccessorKeepsTheVersion(t *testing.T) {
	for n := range 2 {
		var first atomic.Bool
		silent := func(version string) *fakeEndpoint {
			e := startEndpoint(t, func(_ int, r *http.Request, c net.Conn) bool {
				startStream(c, r)
				if first.CompareAndSwap(false, true) {
					writeChunk(c, "id: 1\ndata: "+version+"\n\n")
					// The beginning of an event that does not end.
					writeChunk(c, "id: 2\n")
					_, err := c.Read(make([]byte, 1))
					return err == nil
				}
				writeEvents(c, r, version)
				writeChunk(c, "")
				return true
			})
			e.version = version
			return e
		}
		got := call(t, startRelayer(t, resumableStreamRoute, silent("v1"), silent("v2"), silent("v1"), silent("v2")), http.MethodGet, fmt.Sprintf("s%d", n), "")
		assert.Assert(t, !got.broken)
		_, version, _ := strings.Cut(strings.SplitN(got.body, "\n\n", 2)[0], "data: ")
		assert.Equal(t, strings.Count(got.body, "data: "+version), 3, got.body)
	}
}

// Guards against a stream that goes on at an endpoint that has started again under its ID
// with another version, of which this router does not know yet: it asks the endpoint on
// the new connection.
func TestStreamGoesOnOnlyAtTheKnownIncarnation(t *testing.T) {
	for name, test := range map[string]struct {
		document string
		want     int
	}{
		"the known one": {"7", http.StatusOK},
		"a later one":   {"8", http.StatusServiceUnavailable},
		"says nothing":  {"", http.StatusServiceUnavailable},
	} {
		t.Run(name, func(t *testing.T) {
			var asked, resumed atomic.Int64
			e := startEndpoint(t, func(_ int, r *http.Request, c net.Conn) bool {
				if r.RequestURI == "/incarnation" {
					asked.Add(1)
					return writeResponse(c, r, 200, test.document)
				}
				resumed.Add(1)
				startStream(c, r)
				writeChunk(c, "id: 2\ndata: v1\n\n")
				writeChunk(c, "")
				return true
			})
			e.version, e.incarnation = "v1", 7
			r := newRelayer(t, resumableStreamRoute, e)
			r.Pins = &fixedPins{pin: pinner.Pin{Service: "s", Version: "v1"}, queries: make(chan pinner.Query, 8), pinned: make(chan pinner.Pin, 8)}
			r.StartupGate.Open()
			got := takeUp(t, serve(t, r), "r1")
			assert.Equal(t, got.status, test.want, got.body)
			assert.Equal(t, asked.Load(), int64(1))
			assert.Equal(t, resumed.Load() > 0, test.want == http.StatusOK)
		})
	}
}

// Guards against memory without bound: routers store the IDs that clients choose.
func TestLongStreamIDsAreShortened(t *testing.T) {
	var notCut atomic.Bool
	notCut.Store(true)
	r := newRelayer(t, resumableStreamRoute, startVersion(t, "v1", &notCut))
	pins := &fixedPins{pin: pinner.Pin{Service: "s", Version: "v1"}, queries: make(chan pinner.Query, 8), pinned: make(chan pinner.Pin, 8)}
	r.Pins = pins
	r.StartupGate.Open()
	server := serve(t, r)
	seen := map[string]bool{}
	for _, last := range []string{"a", "b", "a"} {
		takeUpStream(t, server, "r1", strings.Repeat("x", 10_000)+last)
		stream := (<-pins.queries).Stream
		assert.Assert(t, stream != "" && len(stream) <= 64, stream)
		seen[stream] = true
	}
	assert.Equal(t, len(seen), 2)
}
