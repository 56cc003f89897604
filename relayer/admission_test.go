package relayer_test

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/bergamotdale/bergamotdale"
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
