package injector

import (
	"bytes"
	"context"
	"net/http"
	"slices"
	"sync"
	"sync/atomic"
	"time"
)

// Injector holds the active faults and applies them. Its zero value has no
// faults and is ready for use.
type Injector struct {
	// OnCrash is called when a Crash fault takes effect. Commands exit the
	// process in it; tests usually cancel the context of the server.
	OnCrash func()
	// ControlAddress is the host:port of a second listener of Serve. It serves
	// only the paths that are excluded from faults and stays open during an
	// outage. Empty means no such listener.
	ControlAddress string

	mu     sync.Mutex
	lastID int64
	faults []Fault
	// changed is closed and replaced whenever the list of faults changes, so
	// that goroutines can wait for a change.
	changed  chan struct{}
	conns    map[*conn]struct{}
	requests map[*request]struct{}
}

// conn is the state of one client connection.
type conn struct {
	// silent means that the connection stays open but sends no data.
	silent atomic.Bool
}

// request is one request that is being handled.
type request struct {
	conn   *conn
	cancel context.CancelFunc
	// cut means that the connection is closed instead of a response.
	cut atomic.Bool
}

// Add activates a fault and returns its ID.
func (i *Injector) Add(f Fault) int64 {
	i.mu.Lock()
	defer i.mu.Unlock()
	i.lastID++
	f.ID = i.lastID
	switch f.Kind {
	case Silence:
		i.silenceConnections()
		return f.ID
	case Cut:
		i.cutRequestsLocked()
		return f.ID
	}
	if f.isTotalOutage() {
		i.cutRequestsLocked()
	}
	i.faults = append(i.faults, f)
	i.notifyChange()
	if f.DurationMS > 0 {
		time.AfterFunc(time.Duration(f.DurationMS)*time.Millisecond, func() { i.Remove(f.ID) })
	}
	return f.ID
}

// Remove deactivates the fault with the ID.
func (i *Injector) Remove(id int64) {
	i.removeIf(func(f Fault) bool { return f.ID == id })
}

// Clear deactivates all faults. Silent connections stay silent.
func (i *Injector) Clear() {
	i.removeIf(func(Fault) bool { return true })
}

// CutRequests cancels the requests that are being handled and closes their
// connections. Requests on silent connections continue after their clients have
// disconnected, and httptest.Server.Close waits for them: call CutRequests before
// it. Serve calls it when its context is done.
func (i *Injector) CutRequests() {
	i.mu.Lock()
	defer i.mu.Unlock()
	i.cutRequestsLocked()
}

// Faults returns the active faults.
func (i *Injector) Faults() []Fault {
	i.mu.Lock()
	defer i.mu.Unlock()
	return append([]Fault{}, i.faults...)
}

// WaitWhileFrozen blocks while a Freeze fault is active and returns the error of
// the context if that is done. Servers call it before each step of work that
// runs outside a request handler.
func (i *Injector) WaitWhileFrozen(ctx context.Context) error {
	isFreeze := func(f Fault) bool { return f.Kind == Freeze }
	for {
		changed, found := i.hasFault(isFreeze)
		if !found {
			return ctx.Err()
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

// CrashIfMarked crashes the server if the body contains the Mark of a Crash fault:
// it calls OnCrash, cuts all requests that are being handled and does not return.
// Servers call it when they start to execute the request with that body.
func (i *Injector) CrashIfMarked(body []byte) {
	if !i.consumeCrash(body) {
		return
	}
	if i.OnCrash != nil {
		i.OnCrash()
	}
	i.mu.Lock()
	i.cutRequestsLocked()
	i.mu.Unlock()
	panic(http.ErrAbortHandler)
}

// consumeCrash reports whether the body contains the Mark of a Crash fault and
// counts the request against that fault.
func (i *Injector) consumeCrash(body []byte) bool {
	i.mu.Lock()
	defer i.mu.Unlock()
	for n, f := range i.faults {
		if f.Kind == Crash && bytes.Contains(body, []byte(f.Mark)) {
			i.countRequest(n)
			return true
		}
	}
	return false
}

// consumeFault returns the first fault of the kind that matches the request, and
// counts the request against that fault.
func (i *Injector) consumeFault(k Kind, r *http.Request) (Fault, bool) {
	i.mu.Lock()
	defer i.mu.Unlock()
	for n, f := range i.faults {
		if f.Kind == k && f.matches(r) {
			i.countRequest(n)
			return f, true
		}
	}
	return Fault{}, false
}

// countRequest counts one request against the fault at index n and removes the
// fault when it has applied to the requested number. It needs mu.
func (i *Injector) countRequest(n int) {
	if i.faults[n].Count == 0 {
		return
	}
	i.faults[n].Count--
	if i.faults[n].Count == 0 {
		i.faults = slices.Delete(i.faults, n, n+1)
		i.notifyChange()
	}
}

// removeIf deactivates the faults that fulfil the condition.
func (i *Injector) removeIf(shouldRemove func(Fault) bool) {
	i.mu.Lock()
	defer i.mu.Unlock()
	i.faults = slices.DeleteFunc(i.faults, shouldRemove)
	i.notifyChange()
}

// hasFault reports whether a fault fulfils the condition. The returned channel is
// closed when the list of faults changes next.
func (i *Injector) hasFault(condition func(Fault) bool) (<-chan struct{}, bool) {
	i.mu.Lock()
	defer i.mu.Unlock()
	if i.changed == nil {
		i.changed = make(chan struct{})
	}
	return i.changed, slices.ContainsFunc(i.faults, condition)
}

// notifyChange wakes the goroutines that wait for a change of the list of
// faults. It needs mu.
func (i *Injector) notifyChange() {
	if i.changed != nil {
		close(i.changed)
	}
	i.changed = make(chan struct{})
}

// silenceConnections makes all open connections silent. It needs mu.
func (i *Injector) silenceConnections() {
	for c := range i.conns {
		c.silent.Store(true)
	}
	for r := range i.requests {
		r.conn.silent.Store(true)
	}
}

// cutRequestsLocked is CutRequests for callers that hold mu.
func (i *Injector) cutRequestsLocked() {
	for r := range i.requests {
		r.cut.Store(true)
		r.cancel()
	}
}
