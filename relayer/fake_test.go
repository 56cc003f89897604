package relayer_test

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"slices"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/juju/errors"
	"go.uber.org/zap"
	"gotest.tools/v3/assert"

	"github.com/bergamotdale/bergamotdale"
	"github.com/bergamotdale/bergamotdale/chronicler"
	"github.com/bergamotdale/bergamotdale/dialer"
	"github.com/bergamotdale/bergamotdale/gatekeeper"
	"github.com/bergamotdale/bergamotdale/locator"
	"github.com/bergamotdale/bergamotdale/pinner"
	"github.com/bergamotdale/bergamotdale/rationer"
	"github.com/bergamotdale/bergamotdale/relayer"
	"github.com/bergamotdale/bergamotdale/reserver"
	"github.com/bergamotdale/bergamotdale/selfmonitor"
	"github.com/bergamotdale/bergamotdale/subscriber"
	"github.com/bergamotdale/bergamotdale/tracker"
)

// testMemory is what the requests of a test may hold, in bytes.
const testMemory = 32 << 20

// testDialect implements bergamotdale.Dialect with short header names of its own
// and JSON documents.
type testDialect struct{}

func (testDialect) Envelope(h http.Header) (bergamotdale.Envelope, error) {
	e := bergamotdale.Envelope{RequestID: h.Get("X-Id"), APIKey: h.Get("X-Key")}
	if e.RequestID == "" {
		return e, errors.New("header X-Id is missing")
	}
	e.ResumeAfter, e.Resumes = h.Get("X-Resume"), h.Get("X-Resumes")
	if ms, err := strconv.Atoi(h.Get("X-Left")); err == nil {
		e.TimeLeft = time.Duration(ms) * time.Millisecond
	}
	for _, id := range strings.FieldsFunc(h.Get("X-Parts"), func(c rune) bool { return c == ',' }) {
		e.Parts = append(e.Parts, bergamotdale.PromptPart{ID: id, Tokens: 1})
	}
	return e, nil
}

func (testDialect) AttemptHeader(client http.Header, a bergamotdale.AttemptHeaders) http.Header {
	h := client.Clone()
	h.Del("X-Key")
	h.Set("X-Endpoint", a.EndpointID)
	h.Set("X-Workspace", a.Workspace)
	if a.ResumeAfter != "" {
		h.Set("X-Resume", a.ResumeAfter)
	}
	h.Set("X-Copy-From", a.CopyFrom)
	return h
}

func (testDialect) ResponseInfo(_ int, h http.Header) bergamotdale.ResponseInfo {
	closedMS, _ := strconv.Atoi(h.Get("X-Closed"))
	var load *bergamotdale.ReportedLoad
	if text := h.Get("X-Load"); text != "" {
		load = &bergamotdale.ReportedLoad{}
		_, _ = fmt.Sscanf(text, "%d,%d,%g", &load.Running, &load.Slots, &load.Slowdown)
	}
	coldMS, _ := strconv.Atoi(h.Get("X-Cold"))
	return bergamotdale.ResponseInfo{
		Load:      load,
		RequestID: h.Get("X-Id"), NotExecuted: h.Get("X-Refused") != "", Signed: h.Get("X-Signed") != "",
		Leaving: h.Get("X-Leaving") != "", ClosedFor: time.Duration(closedMS) * time.Millisecond,
		ColdFor: time.Duration(coldMS) * time.Millisecond,
	}
}

func (testDialect) ResponseHeader(h http.Header) http.Header { return h.Clone() }

func (testDialect) IncarnationURI() string { return "/incarnation" }

func (testDialect) Incarnation(document []byte) (int64, error) {
	n, err := strconv.ParseInt(string(document), 10, 64)
	return n, errors.Trace(err)
}

func (testDialect) RefusalHeader(h http.Header, id string) { h.Set("X-Id", id) }

func (testDialect) TrafficConfig(data []byte) (*bergamotdale.TrafficConfig, error) {
	c := &bergamotdale.TrafficConfig{}
	return c, errors.Trace(json.Unmarshal(data, c))
}

func (testDialect) EndpointRecord(_ string, data []byte) (bergamotdale.EndpointRecord, error) {
	e := bergamotdale.EndpointRecord{}
	return e, errors.Trace(json.Unmarshal(data, &e))
}

// fakeEndpoint is an HTTP server that records the requests and leaves each response
// to a script.
type fakeEndpoint struct {
	listener net.Listener
	// version is that of the endpoint's software, and incarnation its own, in its record;
	// domain is its failure domain.
	version     string
	incarnation int64
	domain      string
	// accepted is the number of connections.
	accepted atomic.Int64
	mu       sync.Mutex
	requests []*http.Request
	bodies   []string
}

// script handles request number n of the endpoint, counted from 0, and reports
// whether the connection stays open.
type script func(n int, r *http.Request, conn net.Conn) bool

func startEndpoint(t *testing.T, s script) *fakeEndpoint {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	t.Cleanup(func() { l.Close() })
	e := &fakeEndpoint{listener: l}
	go func() {
		for {
			conn, err := l.Accept()
			if err != nil {
				return
			}
			e.accepted.Add(1)
			go e.serve(conn, s)
		}
	}()
	return e
}

func (e *fakeEndpoint) serve(conn net.Conn, s script) {
	defer conn.Close()
	reader := bufio.NewReader(conn)
	for {
		r, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		body, err := io.ReadAll(r.Body)
		if err != nil {
			return
		}
		e.mu.Lock()
		n := len(e.requests)
		e.requests = append(e.requests, r)
		e.bodies = append(e.bodies, string(body))
		e.mu.Unlock()
		if !s(n, r, conn) {
			return
		}
	}
}

func (e *fakeEndpoint) requestCount() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return len(e.requests)
}

// writeResponse writes a signed response, and reports whether that succeeded.
func writeResponse(conn net.Conn, r *http.Request, status int, body string) bool {
	_, err := fmt.Fprintf(conn, "HTTP/1.1 %d X\r\nX-Id: %s\r\nX-Signed: 1\r\nContent-Length: %d\r\n\r\n%s",
		status, r.Header.Get("X-Id"), len(body), body)
	return err == nil
}

// writeRefusal writes a refusal: it says that the endpoint did not execute the
// request. It reports whether that succeeded.
func writeRefusal(conn net.Conn, r *http.Request) bool {
	_, err := fmt.Fprintf(conn, "HTTP/1.1 503 X\r\nX-Id: %s\r\nX-Refused: 1\r\nContent-Length: 0\r\n\r\n", r.Header.Get("X-Id"))
	return err == nil
}

// startStream writes the headers of a signed event stream in chunked encoding.
func startStream(conn net.Conn, r *http.Request) {
	fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nX-Id: %s\r\nX-Signed: 1\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n", r.Header.Get("X-Id"))
}

func writeChunk(conn net.Conn, data string) { fmt.Fprintf(conn, "%x\r\n%s\r\n", len(data), data) }

// noQuarantine quarantines no request.
type noQuarantine struct{}

func (noQuarantine) Refusal(string) *bergamotdale.Refusal { return nil }
func (noQuarantine) RecordCrash(string, []string)         {}
func (noQuarantine) RecordCompletion(string)              {}
func (noQuarantine) PartRefusal([]string, bool) *bergamotdale.Refusal {
	return nil
}
func (noQuarantine) RecordPartCrash(string, []string) {}
func (noQuarantine) RecordPartProgress([]string)      {}

// partRecorder records the calls that concern prompt parts, and refuses requests with a
// part from the given attempt on.
type partRecorder struct {
	noQuarantine

	mu          sync.Mutex
	refuseFrom  int
	attempts    int
	crashes     []string
	progressive []string
}

func (q *partRecorder) PartRefusal(_ []string, sending bool) *bergamotdale.Refusal {
	q.mu.Lock()
	defer q.mu.Unlock()
	if sending {
		q.attempts++
	}
	if q.refuseFrom > 0 && q.attempts >= q.refuseFrom {
		return bergamotdale.Refuse(bergamotdale.CodeQuarantined, "quarantined").After(time.Minute)
	}
	return nil
}

func (q *partRecorder) RecordPartCrash(endpoint string, parts []string) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.crashes = append(q.crashes, endpoint+" "+strings.Join(parts, ","))
}

func (q *partRecorder) RecordPartProgress(parts []string) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.progressive = append(q.progressive, strings.Join(parts, ","))
}

func (q *partRecorder) recorded() (crashes, progressive []string) {
	q.mu.Lock()
	defer q.mu.Unlock()
	return slices.Clone(q.crashes), slices.Clone(q.progressive)
}

// fakeStore is a store whose entries change only by change.
type fakeStore struct {
	entries []bergamotdale.Entry
	// pending receives the changes that the next call of Changes returns; nil for none.
	pending chan []bergamotdale.Change
}

func (s *fakeStore) Range(context.Context, string, bergamotdale.Position) (bergamotdale.Batch, error) {
	return bergamotdale.Batch{Entries: s.entries, Revision: 1}, nil
}

func (s *fakeStore) Changes(ctx context.Context, _ string, after bergamotdale.Position, wait time.Duration) (bergamotdale.Batch, error) {
	select {
	case changes := <-s.pending:
		return bergamotdale.Batch{Changes: changes, Revision: after.Revision + 1}, nil
	case <-ctx.Done():
	case <-time.After(wait):
	}
	return bergamotdale.Batch{Revision: after.Revision}, nil
}

// startRelayer starts a server with a relayer that forwards one route to the
// endpoints.
func startRelayer(t *testing.T, route bergamotdale.Route, endpoints ...*fakeEndpoint) *httptest.Server {
	r := newRelayer(t, route, endpoints...)
	r.StartupGate.Open()
	return serve(t, r)
}

func serve(t *testing.T, r *relayer.Relayer) *httptest.Server {
	server := httptest.NewServer(r)
	t.Cleanup(server.Close)
	return server
}

// newRelayer returns a relayer that forwards one route to the endpoints. Its startup
// gate is closed.
func newRelayer(t *testing.T, route bergamotdale.Route, endpoints ...*fakeEndpoint) *relayer.Relayer {
	return newRelayerOfStore(t, &fakeStore{}, route, endpoints...)
}

// newRelayerOfStore is newRelayer with a store that the test may change.
func newRelayerOfStore(t *testing.T, s *fakeStore, route bergamotdale.Route, endpoints ...*fakeEndpoint) *relayer.Relayer {
	route.Name, route.Host, route.Prefix = "r", "h", "/"
	route.Targets = []bergamotdale.RouteTarget{{Service: "s", Weight: 1}}
	config := bergamotdale.TrafficConfig{
		Version: 1, Routes: []bergamotdale.Route{route}, Services: []bergamotdale.TrafficService{{Name: "s", CopiesCache: true, ColdRate: 8.1, ColdStart: 3 * time.Second}},
		Workspaces: []bergamotdale.WorkspaceKeys{{Name: "w", Keys: []string{"key"}}},
	}
	document, err := json.Marshal(config)
	assert.NilError(t, err)
	s.entries = []bergamotdale.Entry{{Key: "config", Value: document, Version: 1}}
	for i, e := range endpoints {
		id := fmt.Sprintf("e%d", i)
		record, err := json.Marshal(bergamotdale.EndpointRecord{ID: id, Service: "s", Address: e.listener.Addr().String(), Slots: 8, Version: e.version, Incarnation: e.incarnation, FailureDomain: e.domain})
		assert.NilError(t, err)
		s.entries = append(s.entries, bergamotdale.Entry{Key: "endpoint/" + id, Value: record, Version: 1})
	}
	endpointTracker := tracker.New()
	clock := bergamotdale.SystemClock{}
	pins := pinner.New("router", clock)
	pins.Chronicle = emptyChronicle{}
	pins.Members, pins.Joined = func() []bergamotdale.Member { return nil }, func() bool { return true }
	ration := rationer.New("router", clock.Now().Add(-time.Minute))
	ration.SetMembers(clock.Now().Add(-time.Minute), nil, true, 0)
	startTime := time.Now()
	ready := make(chan struct{}, 1)
	directory := &subscriber.Subscriber{
		Store: s, Dialect: testDialect{}, Clock: clock, Logger: zap.NewNop(),
		Layout:   bergamotdale.StoreLayout{ConfigKey: "config", EndpointPrefix: "endpoint/", EvacuationPrefix: "evacuate/"},
		Elapsed:  func() time.Duration { return time.Since(startTime) + time.Hour },
		OnRecord: func(r subscriber.Reading) { ration.RecordReading(r) },
		OnChange: func(state *subscriber.State) {
			endpointTracker.UpdateEndpoints(clock.Now(), state)
			pins.Observe(state)
			ration.UpdateEndpoints(clock.Now(), state)
			select {
			case ready <- struct{}{}:
			default:
			}
		},
	}
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel)
	go func() { _ = directory.Run(ctx) }()
	<-ready
	pins.Age = directory.Age
	r := &relayer.Relayer{
		Dialect: testDialect{}, Directory: directory, Tracker: endpointTracker, Locator: locator.New(), Dialer: &dialer.Dialer{}, Gatekeeper: gatekeeper.New(clock),
		Rationer:   ration,
		Quarantine: noQuarantine{}, Pins: pins, Clock: clock, Logger: zap.NewNop(),
		Health:         &selfmonitor.Monitor{Clock: clock, Logger: zap.NewNop()},
		Routers:        func() int { return 1 },
		ProcessRefusal: func(context.Context) *bergamotdale.Refusal { return nil },
		OnFinished:     func(relayer.Report) {},
		StartupGate:    relayer.NewStartupGate(time.Minute),
		Reserver:       reserver.New(testMemory, 0),
	}
	pins.Ask = r.AskIncarnation
	r.SetLimits(relayer.Limits{MaxKeyAge: time.Minute, LoadMultiple: 2, RetryRatio: 0.2, RetrySlack: 50})
	return r
}

// response is the response that a client received.
type response struct {
	status int
	header http.Header
	body   string
	// broken is set if there was no response or its body was truncated.
	broken bool
}

// call sends a request to the server as a client would.
func call(t *testing.T, server *httptest.Server, method, id, body string) response {
	req, err := http.NewRequest(method, server.URL+"/a%2Fb?q=1", strings.NewReader(body))
	assert.NilError(t, err)
	req.Host = "h"
	req.Header.Set("X-Id", id)
	req.Header.Set("X-Key", "key")
	req.Header.Set("X-Left", "5000")
	resp, err := server.Client().Do(req)
	if err != nil {
		return response{broken: true}
	}
	defer resp.Body.Close()
	data, err := io.ReadAll(resp.Body)
	return response{status: resp.StatusCode, header: resp.Header, body: string(data), broken: err != nil}
}

// emptyChronicle lists nothing, as before the first write.
type emptyChronicle struct{}

func (emptyChronicle) Look(context.Context, string, string) (chronicler.Evidence, error) {
	return chronicler.Evidence{}, nil
}
func (emptyChronicle) IsListed(string, string) bool { return false }
func (emptyChronicle) IsMixed(string) bool          { return false }
