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
	// ControlPath is the path that adds (POST), lists (GET) and removes (DELETE)
	// faults.
	ControlPath = "/faults"
	// CountersPath is the path that returns the counters of a fake server.
	CountersPath = "/counters"
	// SettingsPath is the prefix of the paths that change the settings of a fake
	// server.
	SettingsPath = "/settings/"
	// maxBody is the largest accepted request body in bytes. It exceeds the
	// limits of the fake servers, so that these check their own limits.
	maxBody = 32 << 20
)

// isExempt reports whether the path is excluded from all faults.
func isExempt(path string) bool {
	return path == CountersPath || strings.HasPrefix(path, SettingsPath)
}

// connKey is the context key of the *conn that a request arrived on.
type connKey struct{}

// Wrap returns a handler that applies the faults to requests before and while
// next handles them, and that serves ControlPath.
func (i *Injector) Wrap(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == ControlPath {
			i.serveControl(w, r)
			return
		}
		if isExempt(r.URL.Path) {
			next.ServeHTTP(w, r)
			return
		}
		i.serveWithFaults(w, r, next)
	})
}

// serveWithFaults handles a request with next and applies the matching faults.
func (i *Injector) serveWithFaults(w http.ResponseWriter, r *http.Request, next http.Handler) {
	// net/http detects that a client has disconnected only after the body has
	// been read. Without reading it here, a delayed or frozen request would wait
	// forever.
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxBody))
	if err != nil {
		http.Error(w, err.Error(), http.StatusRequestEntityTooLarge)
		return
	}
	r.Body = io.NopCloser(bytes.NewReader(body))
	clientCtx := r.Context()
	req, ctx := i.registerRequest(clientCtx)
	defer i.unregisterRequest(req)
	if i.WaitWhileFrozen(clientCtx) != nil {
		panic(http.ErrAbortHandler)
	}
	if _, ok := i.consumeFault(Drop, r); ok {
		req.conn.silent.Store(true)
	}
	if req.conn.silent.Load() {
		abortWhenDone(clientCtx)
	}
	if _, ok := i.consumeFault(Outage, r); ok {
		panic(http.ErrAbortHandler)
	}
	if _, ok := i.consumeFault(Refuse, r); ok {
		replier.Refusal(w, bergamotdale.Refuse(bergamotdale.CodeEndpointRefused, "refused by an injected fault").After(time.Second))
		return
	}
	if f, ok := i.consumeFault(Delay, r); ok {
		if bergamotdale.Wait(ctx, bergamotdale.SystemClock{}, time.Duration(f.DelayMS)*time.Millisecond) != nil {
			panic(http.ErrAbortHandler)
		}
	}
	_, responseLost := i.consumeFault(LoseResponse, r)
	next.ServeHTTP(&responseWriter{inner: w, injector: i, request: req, ctx: ctx, responseLost: responseLost}, r.WithContext(ctx))
	if responseLost || req.cut.Load() {
		panic(http.ErrAbortHandler)
	}
	if req.conn.silent.Load() {
		abortWhenDone(clientCtx)
	}
}

// abortWhenDone keeps a connection open without a response until the context of
// the request is done, then aborts the handler.
func abortWhenDone(ctx context.Context) {
	<-ctx.Done()
	panic(http.ErrAbortHandler)
}

// registerRequest adds a request to those being handled and returns the context
// of its execution. The context is not cancelled when the client closes a silent
// connection: a server does not learn of that over a broken network path.
func (i *Injector) registerRequest(clientCtx context.Context) (*request, context.Context) {
	c, ok := clientCtx.Value(connKey{}).(*conn)
	if !ok {
		c = &conn{}
	}
	ctx, cancel := context.WithCancel(context.WithoutCancel(clientCtx))
	req := &request{conn: c, cancel: cancel}
	context.AfterFunc(clientCtx, func() {
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

// unregisterRequest ends the context of a request that has been handled.
func (i *Injector) unregisterRequest(req *request) {
	req.cancel()
	i.mu.Lock()
	defer i.mu.Unlock()
	delete(i.requests, req)
}

// serveControl handles the requests to ControlPath.
func (i *Injector) serveControl(w http.ResponseWriter, r *http.Request) {
	switch r.Method {
	case http.MethodPost:
		f := Fault{}
		if err := json.NewDecoder(r.Body).Decode(&f); err != nil {
			http.Error(w, err.Error(), http.StatusBadRequest)
			return
		}
		if !validKinds[f.Kind] {
			http.Error(w, "unknown fault kind "+strconv.Quote(string(f.Kind)), http.StatusBadRequest)
			return
		}
		if f.isTotalOutage() && f.DurationMS == 0 && i.ControlAddress == "" {
			http.Error(w, "a total outage of a server without a control address needs duration-ms, since no request could end it", http.StatusBadRequest)
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

// responseWriter is the http.ResponseWriter of a request with faults. It blocks,
// discards or fails writes as the active faults demand.
type responseWriter struct {
	inner        http.ResponseWriter
	injector     *Injector
	request      *request
	ctx          context.Context
	responseLost bool
}

func (w *responseWriter) Header() http.Header {
	return w.inner.Header()
}

func (w *responseWriter) WriteHeader(status int) {
	if w.discardsResponse() {
		return
	}
	w.inner.WriteHeader(status)
}

func (w *responseWriter) Write(p []byte) (int, error) {
	if err := w.injector.WaitWhileFrozen(w.ctx); err != nil {
		return 0, err
	}
	if w.discardsResponse() {
		return len(p), nil
	}
	if w.request.cut.Load() {
		return 0, io.ErrClosedPipe
	}
	return w.inner.Write(p)
}

// FlushError implements the interface through which http.ResponseController
// flushes.
func (w *responseWriter) FlushError() error {
	if w.discardsResponse() {
		return nil
	}
	return http.NewResponseController(w.inner).Flush()
}

// discardsResponse reports whether written data is dropped instead of sent.
func (w *responseWriter) discardsResponse() bool {
	return w.responseLost || w.request.conn.silent.Load()
}
