package injector

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/bergamotdale/bergamotdale"
	"github.com/bergamotdale/bergamotdale/replier"
)

const (
	// ControlPath adds (POST), lists (GET) and removes (DELETE) faults.
	ControlPath = "/faults"
	// CountersPath is where a fake shows its counters.
	CountersPath = "/counters"
	// SettingsPath is the prefix of paths that change settings of a fake.
	SettingsPath = "/settings/"
	// maxBody is above the limits of the servers, in bytes.
	maxBody = 32 << 20
)

// exempt reports whether faults don't apply to the path.
func exempt(path string) bool {
	return path == CountersPath || strings.HasPrefix(path, SettingsPath)
}

type connKey struct{}

// Wrap returns a handler that applies the faults to the requests of next.
func (i *Injector) Wrap(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == ControlPath {
			i.control(w, r)
			return
		}
		if exempt(r.URL.Path) {
			next.ServeHTTP(w, r)
			return
		}
		i.serve(w, r, next)
	})
}

// serve applies the faults to one request.
func (i *Injector) serve(w http.ResponseWriter, r *http.Request, next http.Handler) {
	// net/http notices a client that goes away only once the body is read, so
	// a request that is held back would otherwise be held forever.
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxBody))
	if err != nil {
		http.Error(w, err.Error(), http.StatusRequestEntityTooLarge)
		return
	}
	r.Body = io.NopCloser(bytes.NewReader(body))
	client := r.Context()
	req, ctx := i.open(client)
	defer i.close(req)
	if i.Gate(client) != nil {
		panic(http.ErrAbortHandler)
	}
	if _, ok := i.take(Drop, r); ok {
		req.conn.silent.Store(true)
	}
	if req.conn.silent.Load() {
		abortAfter(client)
	}
	if _, ok := i.take(Outage, r); ok {
		panic(http.ErrAbortHandler)
	}
	if _, ok := i.take(Refuse, r); ok {
		replier.Refusal(w, bergamotdale.Refuse(bergamotdale.CodeEndpointRefused, "refused by an injected fault").After(time.Second))
		return
	}
	if f, ok := i.take(Delay, r); ok {
		if bergamotdale.Wait(ctx, bergamotdale.SystemClock{}, time.Duration(f.DelayMS)*time.Millisecond) != nil {
			panic(http.ErrAbortHandler)
		}
	}
	_, lost := i.take(LoseResponse, r)
	next.ServeHTTP(&writer{w: w, injector: i, request: req, ctx: ctx, lost: lost}, r.WithContext(ctx))
	if lost || req.cut.Load() {
		panic(http.ErrAbortHandler)
	}
	if req.conn.silent.Load() {
		abortAfter(client)
	}
}

// abortAfter keeps a connection open without a response until the client or
// the server closes it.
func abortAfter(ctx context.Context) {
	<-ctx.Done()
	panic(http.ErrAbortHandler)
}

// open registers a request. Its context isn't cancelled when the client
// closes a silent connection, because that close wouldn't arrive either.
func (i *Injector) open(client context.Context) (*request, context.Context) {
	c, ok := client.Value(connKey{}).(*conn)
	if !ok {
		c = &conn{}
	}
	ctx, cancel := context.WithCancel(context.WithoutCancel(client))
	req := &request{conn: c, cancel: cancel}
	context.AfterFunc(client, func() {
		if !c.silent.Load() {
			cancel()
		}
	})
	i.mu.Lock()
	defer i.mu.Unlock()
	if i.requests == nil {
		i.requests = map[*request]struct{}{}
	}
	i.requests[req] = struct{}{}
	return req, ctx
}

func (i *Injector) close(req *request) {
	req.cancel()
	i.mu.Lock()
	defer i.mu.Unlock()
	delete(i.requests, req)
}

// control serves ControlPath.
func (i *Injector) control(w http.ResponseWriter, r *http.Request) {
	switch r.Method {
	case http.MethodPost:
		f := Fault{}
		if err := json.NewDecoder(r.Body).Decode(&f); err != nil {
			http.Error(w, err.Error(), http.StatusBadRequest)
			return
		}
		if !kinds[f.Kind] {
			http.Error(w, "unknown kind "+strconv.Quote(string(f.Kind)), http.StatusBadRequest)
			return
		}
		if f.total() && f.DurationMS == 0 && i.ControlAddress == "" {
			http.Error(w, "an outage without a control address needs duration-ms", http.StatusBadRequest)
			return
		}
		f.ID = i.Add(f)
		replier.JSON(w, http.StatusOK, f)
	case http.MethodDelete:
		id, err := strconv.ParseInt(r.URL.Query().Get("id"), 10, 64)
		if err != nil {
			i.Clear()
		} else {
			i.Remove(id)
		}
		replier.JSON(w, http.StatusOK, i.Faults())
	default:
		replier.JSON(w, http.StatusOK, i.Faults())
	}
}

// writer applies the faults to a response while it is written.
type writer struct {
	w        http.ResponseWriter
	injector *Injector
	request  *request
	ctx      context.Context
	lost     bool
}

func (w *writer) Header() http.Header {
	return w.w.Header()
}

func (w *writer) WriteHeader(status int) {
	if w.hidden() {
		return
	}
	w.w.WriteHeader(status)
}

func (w *writer) Write(p []byte) (int, error) {
	if err := w.injector.Gate(w.ctx); err != nil {
		return 0, err
	}
	if w.hidden() {
		return len(p), nil
	}
	if w.request.cut.Load() {
		return 0, io.ErrClosedPipe
	}
	return w.w.Write(p)
}

// FlushError implements the interface that http.ResponseController uses.
func (w *writer) FlushError() error {
	if w.hidden() {
		return nil
	}
	return http.NewResponseController(w.w).Flush()
}

// hidden reports whether written bytes never reach the client.
func (w *writer) hidden() bool {
	return w.lost || w.request.conn.silent.Load()
}
