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
	// shutdownTimeout bounds the time that open requests get to end once their
	// contexts are cancelled.
	shutdownTimeout = 2 * time.Second
	// listenInterval is the time between attempts to listen again after an
	// outage, in case another process uses the port meanwhile.
	listenInterval = 20 * time.Millisecond
)

// Serve serves the handler with the faults applied until the context is done.
// It listens on the address unless a listener is given.
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
	s := i.server(base, i.Wrap(h))
	group.Go(func() error { return i.accept(ctx, s, l) })
	servers := []*http.Server{s}
	if i.ControlAddress != "" {
		control := &http.Server{Addr: i.ControlAddress, Handler: i.controlOnly(h)}
		servers = append(servers, control)
		group.Go(func() error { return closed(control.ListenAndServe()) })
	}
	group.Go(func() error {
		<-ctx.Done()
		i.Stop()
		cancel()
		return shutdown(servers)
	})
	return errors.Trace(group.Wait())
}

// server returns a server whose connections are known to the injector.
func (i *Injector) server(base context.Context, h http.Handler) *http.Server {
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
				i.dropConn(state.(*conn))
			}
		},
	}
}

// controlOnly serves the paths to which faults don't apply.
func (i *Injector) controlOnly(h http.Handler) http.Handler {
	all := i.Wrap(h)
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path != ControlPath && !exempt(r.URL.Path) {
			http.NotFound(w, r)
			return
		}
		all.ServeHTTP(w, r)
	})
}

// accept serves connections and closes the listener during a total outage.
func (i *Injector) accept(ctx context.Context, s *http.Server, l net.Listener) error {
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

func (i *Injector) serveUntilOutage(ctx context.Context, s *http.Server, l net.Listener) error {
	down, cancel := context.WithCancel(ctx)
	defer cancel()
	go func() {
		if i.await(down, true) == nil {
			l.Close()
		}
	}()
	err := s.Serve(l)
	if errors.Is(err, net.ErrClosed) {
		return nil
	}
	return closed(err)
}

// await waits until a total outage begins or has ended.
func (i *Injector) await(ctx context.Context, begins bool) error {
	for {
		changed, down := i.state(Fault.total)
		if down == begins {
			return ctx.Err()
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

// listenAgain listens on the address once the outage has ended. It returns nil
// if the context is done before.
func (i *Injector) listenAgain(ctx context.Context, address string) net.Listener {
	for i.await(ctx, false) == nil {
		if l, err := net.Listen("tcp", address); err == nil {
			return l
		}
		_ = bergamotdale.Wait(ctx, bergamotdale.SystemClock{}, listenInterval)
	}
	return nil
}

func shutdown(servers []*http.Server) error {
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

// closed hides the error of a server that was shut down.
func closed(err error) error {
	if errors.Is(err, http.ErrServerClosed) {
		return nil
	}
	return errors.Trace(err)
}

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

func (i *Injector) dropConn(c *conn) {
	i.mu.Lock()
	defer i.mu.Unlock()
	delete(i.conns, c)
}
