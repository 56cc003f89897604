package relayer_test

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/bergamotdale/bergamotdale"
	"github.com/bergamotdale/bergamotdale/regulator"
	"github.com/bergamotdale/bergamotdale/relayer"
)

// fakeAdmission lets requests go to the endpoints in turn, as long as there are any, and
// records what becomes of them.
type fakeAdmission struct {
	mu       sync.Mutex
	turns    []string
	requests []bergamotdale.AdmissionRequest
	results  []bergamotdale.AdmissionResult
}

func (a *fakeAdmission) Acquire(_ context.Context, r bergamotdale.AdmissionRequest) (func(bergamotdale.AdmissionResult), *bergamotdale.Refusal) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.requests = append(a.requests, r)
	if len(a.turns) == 0 {
		return nil, bergamotdale.Refuse(bergamotdale.CodeWaitTooLong, "full").After(1234 * time.Millisecond)
	}
	r.Choose(a.turns[0])
	a.turns = a.turns[1:]
	return func(result bergamotdale.AdmissionResult) {
		a.mu.Lock()
		defer a.mu.Unlock()
		a.results = append(a.results, result)
	}, nil
}

// admissionRelayer returns a relayer with the admission, whose first endpoint rejects
// all requests.
func admissionRelayer(t *testing.T, a bergamotdale.Admission) (*relayer.Relayer, []*fakeEndpoint) {
	endpoints := []*fakeEndpoint{
		startEndpoint(t, func(_ int, r *http.Request, conn net.Conn) bool { return writeRefusal(conn, r) }),
		startEndpoint(t, func(_ int, r *http.Request, conn net.Conn) bool { return writeResponse(conn, r, 200, "good") }),
		startEndpoint(t, func(_ int, r *http.Request, conn net.Conn) bool { return writeResponse(conn, r, 200, "good") }),
	}
	route := atMostOnceRoute
	route.Objective = 300 * time.Millisecond
	r := newRelayer(t, route, endpoints...)
	r.Admission = a
	r.StartupGate.Open()
	return r, endpoints
}

// Guards against an attempt that passes by the admission, such as one after a refusal by
// an endpoint, against another endpoint than the one with room, and against an admission
// that does not learn how an attempt ended.
func TestEachAttemptIsAdmitted(t *testing.T) {
	a := &fakeAdmission{turns: []string{"e0", "e2", "e2"}}
	r, endpoints := admissionRelayer(t, a)
	server := serve(t, r)
	for i := range 2 {
		assert.Equal(t, call(t, server, http.MethodPost, fmt.Sprint("r", i), "x").body, "good")
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	assert.DeepEqual(t, a.results, []bergamotdale.AdmissionResult{
		{Endpoint: "e0", Outcome: bergamotdale.AdmissionRejected}, {Endpoint: "e2"}, {Endpoint: "e2"},
	})
	assert.Equal(t, endpoints[1].requestCount(), 0)
	first := a.requests[0]
	assert.Equal(t, first.Service, "s")
	assert.Equal(t, first.Workspace, "w")
	assert.Equal(t, first.Objective, 300*time.Millisecond)
	assert.Assert(t, first.Deadline.After(first.Arrival) && !first.Immediate)
}

// Guards against a refusal that does not state that the request was not run, or that
// changes the time at which there is room for its caller.
func TestRefusalOfTheAdmission(t *testing.T) {
	r, endpoints := admissionRelayer(t, &fakeAdmission{})
	got := call(t, serve(t, r), http.MethodPost, "r1", "x")
	assert.Equal(t, got.status, http.StatusServiceUnavailable)
	assert.Assert(t, strings.Contains(got.body, `"outcome":"not-run"`), got.body)
	assert.Equal(t, got.header.Get("Retry-After"), "1.234")
	for _, e := range endpoints {
		assert.Equal(t, e.requestCount(), 0)
	}
}

// Guards against requests that are lost, or refused without a time, when far more arrive
// than an endpoint takes and a real admission holds them back.
func TestOverloadWithAdmission(t *testing.T) {
	const clients = 60
	slots := make(chan struct{}, 8)
	var rejected atomic.Int64
	e := startEndpoint(t, func(_ int, r *http.Request, conn net.Conn) bool {
		select {
		case slots <- struct{}{}:
			<-time.After(20 * time.Millisecond)
			<-slots
			return writeResponse(conn, r, 200, "good")
		default:
			rejected.Add(1)
			return writeRefusal(conn, r)
		}
	})
	route := atMostOnceRoute
	route.Objective = 100 * time.Millisecond
	r := newRelayer(t, route, e)
	a := regulator.New(r.Clock)
	a.Self, a.Directory, a.Tracker, a.Gatekeeper, a.Logger, a.Routers = "r", r.Directory, r.Tracker, r.Gatekeeper, r.Logger, r.Routers
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	go func() { _ = a.Run(ctx) }()
	r.Admission = a
	r.StartupGate.Open()
	server := serve(t, r)
	assert.Equal(t, call(t, server, http.MethodPost, "first", "x").body, "good")
	var done sync.WaitGroup
	var served, refused atomic.Int64
	for c := range clients {
		done.Go(func() {
			for i := range 5 {
				got := call(t, server, http.MethodPost, fmt.Sprint(c, "-", i), "x")
				switch {
				case got.status == http.StatusOK && got.body == "good":
					served.Add(1)
				case got.status == http.StatusServiceUnavailable && got.header.Get("Retry-After") != "" && strings.Contains(got.body, `"outcome":"not-run"`):
					refused.Add(1)
				default:
					t.Errorf("status %d, body %q", got.status, got.body)
				}
			}
		})
	}
	done.Wait()
	assert.Equal(t, served.Load()+refused.Load(), int64(5*clients))
	assert.Assert(t, served.Load() > 0)
	assert.Equal(t, a.WaitingCount(), int64(0))
	t.Logf("%d served, %d refused, of these %d by the admission, %d rejected by the endpoint", served.Load(), refused.Load(), a.RefusedCount(), rejected.Load())
}
