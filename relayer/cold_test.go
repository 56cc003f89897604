package relayer_test

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/bergamotdale/bergamotdale"
	"github.com/bergamotdale/bergamotdale/pinner"
	"github.com/bergamotdale/bergamotdale/rationer"
	"github.com/bergamotdale/bergamotdale/relayer"
)

// newPaced returns a relayer with a bound of 8 requests in a second for its cold endpoints.
func newPaced(t *testing.T, route bergamotdale.Route, endpoints ...*fakeEndpoint) *relayer.Relayer {
	r := newRelayer(t, route, endpoints...)
	r.Rationer.SetLimits(rationer.Limits{Excess: 1.5, Slack: 5, TrustedAge: time.Minute})
	r.StartupGate.Open()
	return r
}

// setCold makes an endpoint cold whose turn was just taken, so that the next one is 127 ms
// away.
func setCold(t *testing.T, r *relayer.Relayer, i int, coldFor time.Duration) {
	e := r.Directory.State().Endpoints("s")[i]
	r.Rationer.RecordResponse(time.Now(), e.ID, time.Now(), coldFor)
	assert.Assert(t, r.Rationer.Take(rationer.Content{Now: time.Now()}, e, 0))
}

// Guards against a burst at an endpoint that says that it is cold, against requests that
// fail or use up the retry budget because another one took the turn, and against a cold
// endpoint that gets nothing.
func TestColdEndpointIsPaced(t *testing.T) {
	var mu sync.Mutex
	var arrivals []time.Time
	cold := startEndpoint(t, func(_ int, r *http.Request, conn net.Conn) bool {
		mu.Lock()
		arrivals = append(arrivals, time.Now())
		mu.Unlock()
		_, err := fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nX-Id: %s\r\nX-Signed: 1\r\nX-Cold: 60000\r\nContent-Length: 4\r\n\r\ngood", r.Header.Get("X-Id"))
		return err == nil
	})
	r := newPaced(t, atMostOnceRoute, cold, startEndpoint(t, good))
	r.SetLimits(relayer.Limits{MaxKeyAge: time.Minute, LoadMultiple: 2})
	server := serve(t, r)
	for i := 0; cold.requestCount() == 0; i++ {
		assert.Equal(t, call(t, server, http.MethodPost, fmt.Sprint("first", i), "x").status, 200)
	}
	var clients sync.WaitGroup
	var failed atomic.Int64
	for i := range 20 {
		clients.Go(func() {
			for n, start := 0, time.Now(); time.Since(start) < 2*time.Second; n++ {
				if call(t, server, http.MethodPost, fmt.Sprintf("r%d-%d", i, n), "x").status != 200 {
					failed.Add(1)
				}
			}
		})
	}
	clients.Wait()
	assert.Equal(t, failed.Load(), int64(0))
	assert.Assert(t, len(arrivals) >= 8, "%d", len(arrivals))
	// The first one came before the endpoint said that it is cold. Two others may arrive
	// closer together on a busy machine.
	for i := 1; i+10 < len(arrivals); i++ {
		assert.Assert(t, arrivals[i+10].Sub(arrivals[i]) >= time.Second, "11 requests within %s", arrivals[i+10].Sub(arrivals[i]))
	}
}

// Guards against callers that wait while all endpoints are cold, or that are told to return
// before one of them can take their request.
func TestAllEndpointsAreCold(t *testing.T) {
	r := newPaced(t, atMostOnceRoute, startEndpoint(t, good), startEndpoint(t, good))
	server := serve(t, r)
	refused := func(id string) float64 {
		for i := range 2 {
			setCold(t, r, i, 3*time.Second)
		}
		if id == "no holder" {
			r.Rationer.SetMembers(time.Now(), nil, false, 0)
		}
		start := time.Now()
		got := call(t, server, http.MethodPost, id, "x")
		assert.Equal(t, got.status, http.StatusServiceUnavailable)
		assert.Assert(t, strings.Contains(got.body, `"outcome":"not-run"`) && strings.Contains(got.body, "cold"), got.body)
		assert.Assert(t, time.Since(start) < time.Second)
		after, err := strconv.ParseFloat(got.header.Get("Retry-After"), 64)
		assert.NilError(t, err)
		return after + time.Since(start).Seconds()
	}
	after := refused("holder")
	assert.Assert(t, after >= 0.127 && after < 1, "%f s until the next turn", after)
	<-time.After(200 * time.Millisecond)
	after = refused("no holder")
	assert.Assert(t, after >= 2.8 && after < 4.5, "%f s until the end of the cold period", after)
}

// Guards against requests beyond the pace that are not chosen as others: a stream that is
// taken up, with the question for the incarnation before it, and one of the router itself.
func TestTakenUpStreamsAndQuestionsArePaced(t *testing.T) {
	var notCut atomic.Bool
	notCut.Store(true)
	e := startVersion(t, "v1", &notCut)
	e.incarnation = 7
	r := newPaced(t, resumableStreamRoute, e)
	r.Pins = &fixedPins{pin: pinner.Pin{Service: "s", Version: "v1"}, queries: make(chan pinner.Query, 8), pinned: make(chan pinner.Pin, 8)}
	server := serve(t, r)
	r.Rationer.RecordResponse(time.Now(), "e0", time.Now(), time.Minute)
	r.Rationer.SetMembers(time.Now(), nil, false, 0)
	assert.Equal(t, takeUp(t, server, "r1").status, http.StatusServiceUnavailable)
	_, err := r.AskIncarnation(context.Background(), r.Directory.State().Endpoints("s")[0])
	assert.ErrorContains(t, err, "cold")
	assert.Equal(t, e.requestCount(), 0)
}

// Guards against a stream that never goes on at a cold endpoint, because the question for its
// incarnation takes the turn each time.
func TestConnectionIsKeptForTheNextTurn(t *testing.T) {
	var asked, resumed atomic.Int64
	e := startEndpoint(t, func(_ int, r *http.Request, conn net.Conn) bool {
		if r.RequestURI == "/incarnation" {
			asked.Add(1)
			return writeResponse(conn, r, 200, "7")
		}
		resumed.Add(1)
		startStream(conn, r)
		writeEvents(conn, r, "v1")
		writeChunk(conn, "")
		return true
	})
	e.version, e.incarnation = "v1", 7
	r := newPaced(t, resumableStreamRoute, e)
	r.Pins = &fixedPins{pin: pinner.Pin{Service: "s", Version: "v1"}, queries: make(chan pinner.Query, 8), pinned: make(chan pinner.Pin, 8)}
	server := serve(t, r)
	r.Rationer.RecordResponse(time.Now(), "e0", time.Now(), time.Minute)
	assert.Equal(t, takeUp(t, server, "r1").status, http.StatusServiceUnavailable)
	assert.Equal(t, asked.Load(), int64(1))
	<-time.After(200 * time.Millisecond)
	assert.Equal(t, takeUp(t, server, "r2").status, http.StatusOK)
	assert.Equal(t, asked.Load(), int64(1))
	assert.Equal(t, resumed.Load(), int64(1))
	assert.Equal(t, e.accepted.Load(), int64(1))
}

// Guards against a request that leaves a silent endpoint for a cold one, which may have no
// turn for it when it is written.
func TestSilentEndpointKeepsItsRequestBesideAColdOne(t *testing.T) {
	route := idempotentRoute
	route.Objective = 100 * time.Millisecond
	silent := startEndpoint(t, func(_ int, r *http.Request, conn net.Conn) bool {
		<-time.After(1500 * time.Millisecond)
		return writeResponse(conn, r, 200, "late")
	})
	cold := startEndpoint(t, good)
	r := newPaced(t, route, silent, cold)
	setCold(t, r, 1, time.Minute)
	got := call(t, serve(t, r), http.MethodGet, "r1", "")
	assert.Equal(t, got.body, "late")
	assert.Equal(t, cold.requestCount(), 0)
}
