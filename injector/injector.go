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

// Injector holds the faults in force. Its zero value injects none.
type Injector struct {
	// OnCrash replaces the exit of the process when a marked request starts.
	// The command sets it to os.Exit; tests usually cancel the server.
	OnCrash func()
	// ControlAddress is the host:port of a listener of Serve that carries only
	// control and counter paths and stays open in an outage. Empty means none.
	ControlAddress string

	mu     sync.Mutex
	lastID int64
	faults []Fault
	// changed is closed and replaced whenever the list of faults changes.
	changed  chan struct{}
	conns    map[*conn]struct{}
	requests map[*request]struct{}
}

// conn is the state of one client connection.
type conn struct {
	silent atomic.Bool
}

// request is one request that is being handled.
type request struct {
	conn   *conn
	cancel context.CancelFunc
	cut    atomic.Bool
}

// Add puts a fault in force and returns its ID.
func (i *Injector) Add(f Fault) int64 {
	i.mu.Lock()
	defer i.mu.Unlock()
	i.lastID++
	f.ID = i.lastID
	switch f.Kind {
	case Silence:
		i.silenceAll()
		return f.ID
	case Cut:
		i.cutAll()
		return f.ID
	}
	if f.total() {
		i.cutAll()
	}
	i.faults = append(i.faults, f)
	i.notify()
	if f.DurationMS > 0 {
		time.AfterFunc(time.Duration(f.DurationMS)*time.Millisecond, func() { i.Remove(f.ID) })
	}
	return f.ID
}

// Remove ends the fault with the ID.
func (i *Injector) Remove(id int64) {
	i.removeIf(func(f Fault) bool { return f.ID == id })
}

// Clear ends all faults. Connections that went silent stay silent.
func (i *Injector) Clear() {
	i.removeIf(func(Fault) bool { return true })
}

// Stop cuts the running requests. Those on silent connections go on after
// their clients are gone, so a httptest.Server that has any must be stopped
// before it is closed. Serve does so itself.
func (i *Injector) Stop() {
	i.mu.Lock()
	defer i.mu.Unlock()
	i.cutAll()
}

// Faults returns the faults in force.
func (i *Injector) Faults() []Fault {
	i.mu.Lock()
	defer i.mu.Unlock()
	return append([]Fault{}, i.faults...)
}

// Gate blocks while the process is frozen. Servers call it before each step
// of work that goes on outside a request handler.
func (i *Injector) Gate(ctx context.Context) error {
	frozen := func(f Fault) bool { return f.Kind == Freeze }
	for {
		changed, yes := i.state(frozen)
		if !yes {
			return ctx.Err()
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

// Execute is called by a server when it starts to execute a request with the
// body. It doesn't return if a Crash fault matches the body.
func (i *Injector) Execute(body []byte) {
	if !i.marked(body) {
		return
	}
	if i.OnCrash != nil {
		i.OnCrash()
	}
	i.mu.Lock()
	i.cutAll()
	i.mu.Unlock()
	panic(http.ErrAbortHandler)
}

func (i *Injector) marked(body []byte) bool {
	i.mu.Lock()
	defer i.mu.Unlock()
	for n, f := range i.faults {
		if f.Kind == Crash && bytes.Contains(body, []byte(f.Mark)) {
			i.spend(n)
			return true
		}
	}
	return false
}

// take returns the first fault of the kind that matches the request and
// counts the request against it.
func (i *Injector) take(k Kind, r *http.Request) (Fault, bool) {
	i.mu.Lock()
	defer i.mu.Unlock()
	for n, f := range i.faults {
		if f.Kind == k && f.matches(r) {
			i.spend(n)
			return f, true
		}
	}
	return Fault{}, false
}

// spend counts one request against fault n and removes a spent fault.
func (i *Injector) spend(n int) {
	if i.faults[n].Count == 0 {
		return
	}
	i.faults[n].Count--
	if i.faults[n].Count == 0 {
		i.faults = slices.Delete(i.faults, n, n+1)
		i.notify()
	}
}

func (i *Injector) removeIf(drop func(Fault) bool) {
	i.mu.Lock()
	defer i.mu.Unlock()
	i.faults = slices.DeleteFunc(i.faults, drop)
	i.notify()
}

// state reports whether a fault fulfils the condition. The channel is closed
// with the next change of the list of faults.
func (i *Injector) state(condition func(Fault) bool) (<-chan struct{}, bool) {
	i.mu.Lock()
	defer i.mu.Unlock()
	if i.changed == nil {
		i.changed = make(chan struct{})
	}
	return i.changed, slices.ContainsFunc(i.faults, condition)
}

func (i *Injector) notify() {
	if i.changed != nil {
		close(i.changed)
	}
	i.changed = make(chan struct{})
}

func (i *Injector) silenceAll() {
	for c := range i.conns {
		c.silent.Store(true)
	}
	for r := range i.requests {
		r.conn.silent.Store(true)
	}
}

func (i *Injector) cutAll() {
	for r := range i.requests {
		r.cut.Store(true)
		r.cancel()
	}
}
