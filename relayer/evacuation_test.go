package relayer_test

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/bergamotdale/bergamotdale"
	"github.com/bergamotdale/bergamotdale/relayer"
	"github.com/bergamotdale/bergamotdale/subscriber"
)

// evacuable is a relayer in front of one endpoint in each of the failure domains z0 and z1.
type evacuable struct {
	*relayer.Relayer
	t         *testing.T
	store     *fakeStore
	server    *httptest.Server
	endpoints []*fakeEndpoint
}

func newEvacuable(t *testing.T, route bergamotdale.Route, s script) *evacuable {
	e := &evacuable{t: t, store: &fakeStore{pending: make(chan []bergamotdale.Change, 1)}}
	for i := range 2 {
		endpoint := startEndpoint(t, s)
		endpoint.domain = fmt.Sprintf("z%d", i)
		endpoint.incarnation = int64(i + 1)
		e.endpoints = append(e.endpoints, endpoint)
	}
	e.Relayer = newRelayerOfStore(t, e.store, route, e.endpoints...)
	e.StartupGate.Open()
	e.server = serve(t, e.Relayer)
	return e
}

// record returns the record of an endpoint.
func (e *evacuable) record(i int) subscriber.Endpoint { return e.Directory.State().Endpoints("s")[i] }

// change writes or removes the key of a failure domain and waits until the router knows.
func (e *evacuable) change(i int, removed bool) {
	e.t.Helper()
	e.store.pending <- []bergamotdale.Change{{
		Entry: bergamotdale.Entry{Key: fmt.Sprintf("evacuate/z%d", i), Value: []byte("{}")}, Deleted: removed,
	}}
	for start := time.Now(); e.record(i).Usable(time.Now()) != removed; <-time.After(time.Millisecond) {
		assert.Assert(e.t, time.Since(start) < 10*time.Second, "the change does not take effect")
	}
}

func (e *evacuable) call(id string) response { return call(e.t, e.server, http.MethodPost, id, "x") }

func good(_ int, r *http.Request, conn net.Conn) bool { return writeResponse(conn, r, 200, "good") }

// Guards against requests to an evacuated failure domain, against callers that wait or get
// no time when all domains of a service are evacuated, and against endpoints that get
// nothing after the evacuation.
func TestEvacuatedDomainGetsNoRequests(t *testing.T) {
	e := newEvacuable(t, atMostOnceRoute, good)
	e.change(0, false)
	for i := range 20 {
		assert.Equal(t, e.call(fmt.Sprint("first", i)).status, 200)
	}
	assert.Equal(t, e.endpoints[0].requestCount(), 0)
	e.change(1, false)
	startTime := time.Now()
	got := e.call("all")
	assert.Equal(t, got.status, http.StatusServiceUnavailable)
	assert.Assert(t, strings.Contains(got.body, `"outcome":"not-run"`) && strings.Contains(got.body, "evacuated"), got.body)
	after, err := strconv.ParseFloat(got.header.Get("Retry-After"), 64)
	assert.NilError(t, err)
	assert.Assert(t, after >= 1 && after < 5, "%f", after)
	assert.Assert(t, time.Since(startTime) < time.Second)
	e.change(0, true)
	for i := range 20 {
		assert.Equal(t, e.call(fmt.Sprint("last", i)).status, 200)
	}
	assert.Equal(t, e.endpoints[0].requestCount(), 20)
	assert.Equal(t, e.endpoints[1].requestCount(), 20)
}

// Guards against a request that is written to a domain that was evacuated after the choice:
// while its connection was opened, or while it waited for others to be written.
func TestRequestLeavesADomainThatIsEvacuatedBeforeTheWrite(t *testing.T) {
	e := newEvacuable(t, atMostOnceRoute, good)
	var held []func()
	for i := range e.endpoints {
		for range 2 {
			written, err := e.Gatekeeper.Enter(context.Background(), e.record(i))
			assert.NilError(t, err)
			held = append(held, written)
		}
	}
	answered := make(chan response, 1)
	go func() { answered <- e.call("r1") }()
	chosen := func() int {
		for i, endpoint := range e.endpoints {
			if endpoint.accepted.Load() > 0 {
				return i
			}
		}
		return -1
	}
	for chosen() < 0 {
		<-time.After(time.Millisecond)
	}
	first := chosen()
	e.change(first, false)
	for _, written := range held {
		written()
	}
	assert.Equal(t, (<-answered).body, "good")
	assert.Equal(t, e.endpoints[first].requestCount(), 0)
	assert.Equal(t, e.endpoints[1-first].requestCount(), 1)
}

// Guards against a stream that is cut because its failure domain is evacuated, and against
// a prompt that is computed again although the evacuated endpoint still has it.
func TestStreamsAndPromptsOutliveAnEvacuation(t *testing.T) {
	evacuated := make(chan struct{})
	e := newEvacuable(t, streamRoute, func(_ int, r *http.Request, conn net.Conn) bool {
		startStream(conn, r)
		writeChunk(conn, "id: 1\ndata: a\n\n")
		if r.Header.Get("X-Id") == "r1" {
			<-evacuated
		}
		writeChunk(conn, "id: 2\ndata: b\n\n")
		writeChunk(conn, "")
		return true
	})
	stream := func(id string) (*http.Response, error) {
		req, err := http.NewRequest(http.MethodPost, e.server.URL+"/", http.NoBody)
		assert.NilError(t, err)
		req.Host = "h"
		req.Header = http.Header{"X-Id": {id}, "X-Key": {"key"}, "X-Parts": {"shared," + id}}
		return e.server.Client().Do(req)
	}
	resp, err := stream("r1")
	assert.NilError(t, err)
	first := 0
	if e.endpoints[1].requestCount() > 0 {
		first = 1
	}
	e.change(first, false)
	close(evacuated)
	body, err := io.ReadAll(resp.Body)
	resp.Body.Close()
	assert.NilError(t, err)
	assert.Equal(t, string(body), "id: 1\ndata: a\n\nid: 2\ndata: b\n\n")
	resp, err = stream("r2")
	assert.NilError(t, err)
	_, err = io.Copy(io.Discard, resp.Body)
	resp.Body.Close()
	assert.NilError(t, err)
	assert.Equal(t, e.endpoints[first].requestCount(), 1)
	assert.Equal(t, e.endpoints[1-first].requests[0].Header.Get("X-Copy-From"), e.endpoints[first].listener.Addr().String())
}

// Guards against requests to an evacuated domain that are no client's: those for the
// incarnation of an endpoint.
func TestEvacuatedEndpointIsNotAskedForItsIncarnation(t *testing.T) {
	e := newEvacuable(t, atMostOnceRoute, good)
	target := e.record(0)
	e.change(0, false)
	_, err := e.AskIncarnation(context.Background(), target)
	assert.ErrorContains(t, err, "evacuated")
	assert.Equal(t, e.endpoints[0].requestCount(), 0)
}
