package injector

import (
	"context"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/juju/errors"
	"golang.org/x/sync/errgroup"

	"github.com/bergamotdale/bergamotdale"
)

const (
	// shutdownTimeout is how long a server waits for open requests after their
	// contexts are cancelled, before it closes their connections.
	shutdownTimeout = 2 * time.Second
	// listenRetryInterval is the time between attempts to reopen the listener
	// after an outage. Attempts fail while another process uses the port.
	listenRetryInterval = 20 * time.Millisecond
)

// Serve serves the handler with the faults applied until the context is done.
// It uses the listener if that is not nil, and otherwise listens on the address.
func (i *Injector) Serve(ctx context.Context, l net.Listener, address string, h http.Handler) error {
	if l == nil {
		var err error
		if l, err = net.Listen("tcp", address); err != nil {
			return errors.Annotatef(err, "listen on %s", address)
		}
	}
	base, cancel := context.WithCancel(context.Background())
	defer cancel()
	group, ctx := errgroup.WithContext(ctx)
	s := i.newServer(base, i.Wrap(h))
	group.Go(func() error { return i.serveConnections(ctx, s, l) })
	servers := []*http.Server{s}
	if i.ControlAddress != "" {
		control := &http.Server{Addr: i.ControlAddress, Handler: i.controlHandler(h)}
		servers = append(servers, control)
		group.Go(func() error { return ignoreServerClosed(control.ListenAndServe()) })
	}
	group.Go(func() error {
		<-ctx.Done()
		i.CutRequests()
		cancel()
		return shutDownServers(servers)
	})
	return errors.Trace(group.Wait())
}

// newServer returns an HTTP server that registers its connections with the
// injector and attaches them to the contexts of their requests.
func (i *Injector) newServer(base context.Context, h http.Handler) *http.Server {
	conns := &sync.Map{}
	return &http.Server{
		Handler:     h,
		BaseContext: func(net.Listener) context.Context { return base },
		ConnContext: func(ctx context.Context, c net.Conn) context.Context {
			state := i.addConn()
			conns.Store(c, state)
			return context.WithValue(ctx, connKey{}, state)
		},
		ConnState: func(c net.Conn, s http.ConnState) {
			if s != http.StateClosed && s != http.StateHijacked {
				return
			}
			if state, ok := conns.LoadAndDelete(c); ok {
				i.removeConn(state.(*conn))
			}
		},
	}
}

// controlHandler returns a handler for ControlPath and the paths that are
// excluded from faults.
func (i *Injector) controlHandler(h http.Handler) http.Handler {
	wrapped := i.Wrap(h)
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path != ControlPath && !isExempt(r.URL.Path) {
			http.NotFound(w, r)
			return
		}
		wrapped.ServeHTTP(w, r)
	})
}

// serveConnections serves until the context is done. The listener is closed
// during each total outage and reopened at the same address afterwards.
func (i *Injector) serveConnections(ctx context.Context, s *http.Server, l net.Listener) error {
	address := l.Addr().String()
	for {
		err := i.serveUntilOutage(ctx, s, l)
		if err != nil || ctx.Err() != nil {
			return errors.Annotatef(err, "serve on %s", address)
		}
		l = i.listenAgain(ctx, address)
		if l == nil {
			return nil
		}
	}
}

// serveUntilOutage serves until a total outage begins or the context is done.
func (i *Injector) serveUntilOutage(ctx context.Context, s *http.Server, l net.Listener) error {
	outageCtx, cancel := context.WithCancel(ctx)
	defer cancel()
	go func() {
		if i.awaitOutageState(outageCtx, true) == nil {
			l.Close()
		}
	}()
	err := s.Serve(l)
	if errors.Is(err, net.ErrClosed) {
		return nil
	}
	return ignoreServerClosed(err)
}

// awaitOutageState waits until a total outage is active, or until none is if
// wantOutage is false.
func (i *Injector) awaitOutageState(ctx context.Context, wantOutage bool) error {
	for {
		changed, inOutage := i.hasFault(Fault.isTotalOutage)
		if inOutage == wantOutage {
			return ctx.Err()
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

// listenAgain opens a listener on the address when the outage has ended. It
// returns nil if the context is done before that.
func (i *Injector) listenAgain(ctx context.Context, address string) net.Listener {
	for i.awaitOutageState(ctx, false) == nil {
		if l, err := net.Listen("tcp", address); err == nil {
			return l
		}
		_ = bergamotdale.Wait(ctx, bergamotdale.SystemClock{}, listenRetryInterval)
	}
	return nil
}

// shutDownServers shuts the servers down gracefully within shutdownTimeout and
// closes those that take longer.
func shutDownServers(servers []*http.Server) error {
	ctx, cancel := context.WithTimeout(context.Background(), shutdownTimeout)
	defer cancel()
	for _, s := range servers {
		if s.Shutdown(ctx) == nil {
			continue
		}
		if err := s.Close(); err != nil {
			return errors.Trace(err)
		}
	}
	return nil
}

// ignoreServerClosed returns nil for the error of a server that was shut down.
func ignoreServerClosed(err error) error {
	if errors.Is(err, http.ErrServerClosed) {
		return nil
	}
	return errors.Trace(err)
}

// addConn registers a new connection.
func (i *Injector) addConn() *conn {
	i.mu.Lock()
	defer i.mu.Unlock()
	if i.conns == nil {
		i.conns = map[*conn]struct{}{}
	}
	c := &conn{}
	i.conns[c] = struct{}{}
	return c
}

// removeConn unregisters a closed connection.
func (i *Injector) removeConn(c *conn) {
	i.mu.Lock()
	defer i.mu.Unlock()
	delete(i.conns, c)
}
