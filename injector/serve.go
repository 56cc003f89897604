package injector

import (
	"context"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/juju/errors"
)

// shutdownTimeout bounds the time that open requests get to end once their
// contexts are cancelled.
const shutdownTimeout = 2 * time.Second

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
	conns := &sync.Map{}
	s := &http.Server{
		Handler:     i.Wrap(h),
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
	done := make(chan error, 1)
	go func() { done <- s.Serve(l) }()
	select {
	case err := <-done:
		return errors.Annotatef(err, "serve on %s", l.Addr())
	case <-ctx.Done():
	}
	i.stop()
	cancel()
	stop, release := context.WithTimeout(context.Background(), shutdownTimeout)
	defer release()
	if s.Shutdown(stop) != nil {
		return errors.Trace(s.Close())
	}
	return nil
}

// stop cuts the running requests, including those on silent connections.
func (i *Injector) stop() {
	i.mu.Lock()
	defer i.mu.Unlock()
	i.cutAll()
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
