package injector

import (
	"bytes"
	"context"
	"net/http"
	"sync"
	"sync/atomic"
)

// Injector holds the faults in force. Its zero value injects none.
type Injector struct {
	// OnCrash replaces the exit of the process when a marked request starts.
	// The command sets it to os.Exit; tests usually cancel the server.
	OnCrash func()

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
	case Outage:
		i.cutAll()
	}
	i.faults = append(i.faults, f)
	i.notify()
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

// Faults returns the faults in force.
func (i *Injector) Faults() []Fault {
	i.mu.Lock()
	defer i.mu.Unlock()
	return append([]Fault{}, i.faults...)
}

// Gate blocks while the process is frozen. Servers call it before each step
// of work that goes on outside a request handler.
func (i *Injector) Gate(ctx context.Context) error {
	for {
		changed, frozen := i.frozen()
		if !frozen {
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
		i.faults = append(i.faults[:n:n], i.faults[n+1:]...)
		i.notify()
	}
}

func (i *Injector) removeIf(drop func(Fault) bool) {
	i.mu.Lock()
	defer i.mu.Unlock()
	var kept []Fault
	for _, f := range i.faults {
		if !drop(f) {
			kept = append(kept, f)
		}
	}
	i.faults = kept
	i.notify()
}

func (i *Injector) frozen() (<-chan struct{}, bool) {
	i.mu.Lock()
	defer i.mu.Unlock()
	if i.changed == nil {
		i.changed = make(chan struct{})
	}
	for _, f := range i.faults {
		if f.Kind == Freeze {
			return i.changed, true
		}
	}
	return i.changed, false
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
