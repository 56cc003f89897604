// Package server runs an HTTP server as one actor of a run group of
// github.com/oklog/run: Run serves, and Interrupt ends it when another actor
// has returned. Shutdown lets the requests in progress finish first, and Drain also
// answers those that arrive in the meantime, for a
// planned stop.
package server

import (
	"context"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/juju/errors"
	"go.uber.org/zap"
	"golang.org/x/sys/unix"
)

const (
	// ErrClosed is the error that Run returns after the server was closed on
	// purpose, by Shutdown or Interrupt.
	ErrClosed = errors.ConstError("server closed")
	// readHeaderTimeout bounds the time that a client may take to send the
	// headers of a request.
	readHeaderTimeout = 10 * time.Second
	// maxHeaderBytes bounds the headers of a request, also on connections that are
	// used again. The limits of the configuration are lower. With the default of
	// net/http, 200 clients could fill the memory of a VM.
	maxHeaderBytes = 64 << 10
	// maxStreams, maxFrame and maxStreamBuffer bound what an HTTP/2 connection holds, the
	// sizes in bytes. The defaults of net/http are 250 streams and 1 MiB for each size.
	maxStreams      = 32
	maxFrame        = 16 << 10
	maxStreamBuffer = 64 << 10
	// firstRequestTime is how long Drain waits for the first request on a connection.
	// TCP retransmits a lost packet after 0.2 to 0.4 s.
	firstRequestTime = 500 * time.Millisecond
	// recoveredPart is the part of the connections, as a divisor, that are ended at once
	// when the process has no descriptor for another one.
	recoveredPart = 16
	// drainPollInterval is the time between two checks of Drain.
	drainPollInterval = 10 * time.Millisecond
	// defaultIdleTimeout is longer than the time for which well-behaved clients keep an
	// idle connection, so that the server rarely closes a connection that is
	// about to be used.
	defaultIdleTimeout = 90 * time.Second
)

// keepAlive makes TCP detect clients and peers that have disappeared while a
// request of theirs is in progress.
var keepAlive = net.KeepAliveConfig{Enable: true, Idle: 2 * time.Second, Interval: time.Second, Count: 3}

// Server is an HTTP server that runs in a run group.
type Server struct {
	name     string
	listener net.Listener
	http     *http.Server
	logger   *zap.Logger
	// closed is closed by Interrupt. Run waits for it after Shutdown, because the
	// first actor that returns ends the whole run group, and the planned stop may
	// not be complete yet.
	closed chan struct{}
	// draining is set by Drain.
	draining atomic.Bool
	// maxConns is the largest number of connections that are served, and maxOpen that of
	// all; zero for no limit.
	maxConns, maxOpen atomic.Int64
	// rejected counts the connections that were closed because of maxOpen.
	rejected atomic.Int64
	// idleTimeout is a time.Duration.
	idleTimeout atomic.Int64

	mu sync.Mutex
	// relieve frees a connection that is not at rest, and reports whether there is one; nil
	// for none.
	relieve func() bool
	// conns holds the open connections.
	conns map[*conn]http.ConnState
}

// SetMaxConns sets the largest number of connections that are served, zero for no limit.
// When it is reached, a new connection ends the one that has been at rest for longest. If
// none is at rest and the function of SetRelieve frees none, the new one is in excess; see
// IsExcess.
func (s *Server) SetMaxConns(n int) { s.maxConns.Store(int64(n)) }

// LimitStreams bounds what an HTTP/2 connection may hold, for clients that the operators do
// not control. It is called before Run.
func (s *Server) LimitStreams() {
	s.http.HTTP2 = &http.HTTP2Config{
		MaxConcurrentStreams: maxStreams, MaxReadFrameSize: maxFrame,
		MaxReceiveBufferPerConnection: maxStreamBuffer, MaxReceiveBufferPerStream: maxStreamBuffer,
	}
}

// SetMaxOpen sets the largest number of connections that are open, with those in excess,
// zero for no limit. When it is reached, new ones are closed at once.
func (s *Server) SetMaxOpen(n int) { s.maxOpen.Store(int64(n)) }

// Rejected returns the number of connections that were closed because of SetMaxOpen.
func (s *Server) Rejected() int64 { return s.rejected.Load() }

// SetRelieve sets the function that is called when SetMaxConns is reached and no connection
// is at rest. It ends a request that waits for its client and reports whether there was
// one. It must not wait, since no connection is accepted meanwhile.
func (s *Server) SetRelieve(relieve func() bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.relieve = relieve
}

// SetBuffers bounds the buffers in the kernel of the connections that are accepted from now
// on, in bytes: receive is the size of the receive buffer, and unsent how much may wait to
// be sent. Without a bound the kernel lets each grow to several MiB.
func (s *Server) SetBuffers(receive, unsent int) error {
	listener, ok := s.listener.(syscall.Conn)
	if !ok {
		return errors.Errorf("the listener for %s has no socket", s.name)
	}
	raw, err := listener.SyscallConn()
	if err != nil {
		return errors.Trace(err)
	}
	var sockoptErr error
	// Accepted connections inherit the options.
	err = raw.Control(func(fd uintptr) {
		sockoptErr = unix.SetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_RCVBUF, receive)
		if sockoptErr == nil {
			sockoptErr = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_NOTSENT_LOWAT, unsent)
		}
	})
	if err != nil {
		return errors.Trace(err)
	}
	return errors.Annotatef(sockoptErr, "setting the buffers of %s", s.name)
}

// SetIdleTimeout sets how long a connection may be idle between two requests, zero for a
// default. It holds from the next response of each connection on.
func (s *Server) SetIdleTimeout(d time.Duration) {
	if d <= 0 {
		d = defaultIdleTimeout
	}
	s.idleTimeout.Store(int64(d))
}

// IsExcess reports whether the request with the context came on a connection in excess of
// SetMaxConns. The handler should refuse it; the connection is closed afterwards.
func IsExcess(ctx context.Context) bool {
	c, ok := ctx.Value(connKey{}).(*conn)
	return ok && c.excess
}

// connKey is the key of the connection in the context of a request.
type connKey struct{}

// New returns a server that serves on the open listener. If that is nil, it opens
// one at the address. The name appears in log lines and errors.
func New(name, address string, open net.Listener, handler http.Handler, logger *zap.Logger) (*Server, error) {
	listener := open
	if listener == nil {
		var err error
		config := net.ListenConfig{KeepAliveConfig: keepAlive}
		listener, err = config.Listen(context.Background(), "tcp", address)
		if err != nil {
			return nil, errors.Annotatef(err, "opening the listener for %s", name)
		}
	}
	s := &Server{name: name, listener: listener, logger: logger, closed: make(chan struct{}), conns: map[*conn]http.ConnState{}}
	s.SetIdleTimeout(0)
	if tcp, ok := listener.(tcpListener); ok {
		s.listener = newDrainingListener(tcp, s.admit, s.recoverDescriptors)
	}
	// The gRPC clients of operators need HTTP/2 without TLS.
	protocols := &http.Protocols{}
	protocols.SetHTTP1(true)
	protocols.SetUnencryptedHTTP2(true)
	s.http = &http.Server{
		Handler:           s.handle(handler),
		ReadHeaderTimeout: readHeaderTimeout,
		MaxHeaderBytes:    maxHeaderBytes,
		IdleTimeout:       defaultIdleTimeout,
		Protocols:         protocols,
		ErrorLog:          zap.NewStdLog(logger.Named(name)),
		ConnState:         s.recordState,
		ConnContext: func(ctx context.Context, c net.Conn) context.Context {
			return context.WithValue(ctx, connKey{}, c)
		},
	}
	return s, nil
}

// handle wraps the handler. The responses on connections in excess, and all while the
// server drains, close their connection.
func (s *Server) handle(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if c, ok := r.Context().Value(connKey{}).(*conn); ok {
			c.answer()
		}
		if s.draining.Load() || IsExcess(r.Context()) {
			w.Header().Set("Connection", "close")
		}
		next.ServeHTTP(w, r)
	})
}

// admit records a connection that was accepted. It returns nil if it was closed.
func (s *Server) admit(tcp *net.TCPConn) net.Conn {
	c := &conn{TCPConn: tcp, idleTimeout: func() time.Duration { return time.Duration(s.idleTimeout.Load()) }, restSince: time.Now()}
	s.mu.Lock()
	defer s.mu.Unlock()
	if limit := int(s.maxOpen.Load()); limit > 0 && len(s.conns) >= limit {
		s.rejected.Add(1)
		// A reset frees the socket at once.
		_ = tcp.SetLinger(0)
		tcp.Close()
		return nil
	}
	if limit := int(s.maxConns.Load()); limit > 0 && len(s.conns) >= limit && s.countOpen() >= limit {
		c.excess = !s.endOldest() && (s.relieve == nil || !s.relieve())
	}
	s.conns[c] = http.StateNew
	return c
}

// countOpen returns the number of connections that have not been ended. The lock is
// held.
func (s *Server) countOpen() int {
	n := 0
	for c := range s.conns {
		if !c.isEnded() {
			n++
		}
	}
	return n
}

// recoverDescriptors ends the connections that have been at rest for longest, after a
// connection could not be accepted.
func (s *Server) recoverDescriptors(err error) {
	s.mu.Lock()
	ended, wanted := 0, max(1, len(s.conns)/recoveredPart)
	for ended < wanted && s.endOldest() {
		ended++
	}
	s.mu.Unlock()
	s.logger.Warn("failed to accept a connection, ended those longest at rest", zap.String("server", s.name), zap.Int("ended", ended), zap.Error(err))
}

// endOldest ends the connection that has been at rest for longest, and reports whether
// there was one. The lock is held.
func (s *Server) endOldest() bool {
	var oldest *conn
	var since time.Time
	for c := range s.conns {
		if t, ok := c.atRestSince(); ok && (oldest == nil || t.Before(since)) {
			oldest, since = c, t
		}
	}
	return oldest != nil && oldest.end()
}

// recordState records the state of a connection.
func (s *Server) recordState(open net.Conn, state http.ConnState) {
	c, ok := open.(*conn)
	if !ok {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	switch state {
	case http.StateIdle:
		c.rest()
		s.conns[c] = state
	case http.StateClosed, http.StateHijacked:
		delete(s.conns, c)
	default:
		s.conns[c] = state
	}
}

// Run serves until the server is shut down, drained or interrupted. It returns ErrClosed
// then, after Interrupt has been called, and another error if serving fails.
func (s *Server) Run() error {
	s.logger.Info("listening", zap.String("server", s.name), zap.Stringer("address", s.listener.Addr()))
	err := s.http.Serve(s.listener)
	if errors.Is(err, http.ErrServerClosed) || s.draining.Load() {
		<-s.closed
		return ErrClosed
	}
	return errors.Annotatef(err, "serving %s", s.name)
}

// Interrupt closes the server and its connections at once and lets Run return.
func (s *Server) Interrupt(error) {
	_ = s.http.Close()
	close(s.closed)
}

// Drain closes the listener and waits until no connection is open or the context is
// done. Unlike Shutdown it answers all requests that arrive meanwhile:
// http.Server.Shutdown drops a request that was read just then, and closes idle
// connections whose next request may be on its way. Once no request is in progress,
// Drain ends the connections that are left; see conn. Idle HTTP/2 connections stay.
func (s *Server) Drain(ctx context.Context) {
	s.draining.Store(true)
	listener, ok := s.listener.(*drainingListener)
	if !ok {
		s.Shutdown(ctx)
		return
	}
	if err := listener.drain(ctx); err != nil {
		s.logger.Warn("draining the listener failed", zap.String("server", s.name), zap.Error(err))
	}
	drained := time.Now()
	ending := false
	for {
		silent, active, idle := s.countConns()
		ending = ending || active == 0 && (silent == 0 || time.Since(drained) >= firstRequestTime)
		if ending && silent+active+idle == 0 {
			return
		}
		if ending || ctx.Err() != nil {
			s.endConns()
		}
		select {
		case <-ctx.Done():
			s.logger.Warn("server drained with requests in progress", zap.String("server", s.name), zap.Int("requests", active))
			return
		case <-time.After(drainPollInterval):
		}
	}
}

// countConns returns the number of connections that have sent nothing yet, of those
// with a request in progress, also one that is not read completely, and of the others.
func (s *Server) countConns() (silent, active, idle int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for c, state := range s.conns {
		switch {
		case state == http.StateActive || c.hasBegun():
			active++
		case state == http.StateNew:
			silent++
		case !c.speaksHTTP2():
			idle++
		}
	}
	return silent, active, idle
}

// endConns ends the connections without a request in progress.
func (s *Server) endConns() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for c := range s.conns {
		c.end()
	}
}

// Shutdown closes the listener and waits until the requests in progress have
// ended or the context is done.
func (s *Server) Shutdown(ctx context.Context) {
	if err := s.http.Shutdown(ctx); err != nil {
		s.logger.Warn("server shut down with requests in progress", zap.String("server", s.name), zap.Error(err))
	}
}
