// Package server runs an HTTP server as part of a run group.
package server

import (
	"context"
	"net"
	"net/http"
	"time"

	"github.com/juju/errors"
	"go.uber.org/zap"
)

const (
	// ErrClosed ends the run of a server after a planned stop.
	ErrClosed = errors.ConstError("server closed")
	// readHeaderTimeout bounds how long a connection may take to send the
	// headers of a request.
	readHeaderTimeout = 10 * time.Second
	// idleTimeout is above the time for which well-behaved clients keep an idle
	// connection, so that the router rarely closes one that is about to be used.
	idleTimeout = 90 * time.Second
)

// keepAlive finds clients and peers that are gone while they hold a request.
var keepAlive = net.KeepAliveConfig{Enable: true, Idle: 2 * time.Second, Interval: time.Second, Count: 3}

// Server is an HTTP server in a run group.
type Server struct {
	name     string
	listener net.Listener
	http     *http.Server
	logger   *zap.Logger
	// closed keeps Run from returning before the planned stop is complete: the
	// first part that returns ends the whole run group.
	closed chan struct{}
}

// New opens the socket of a server unless it is open already.
func New(name, address string, open net.Listener, handler http.Handler, logger *zap.Logger) (*Server, error) {
	listener := open
	if listener == nil {
		var err error
		config := net.ListenConfig{KeepAliveConfig: keepAlive}
		listener, err = config.Listen(context.Background(), "tcp", address)
		if err != nil {
			return nil, errors.Annotatef(err, "listening for %s", name)
		}
	}
	// gRPC clients of the operators' interface need HTTP/2 without TLS.
	protocols := &http.Protocols{}
	protocols.SetHTTP1(true)
	protocols.SetUnencryptedHTTP2(true)
	return &Server{
		name:     name,
		listener: listener,
		logger:   logger,
		closed:   make(chan struct{}),
		http: &http.Server{
			Handler:           handler,
			ReadHeaderTimeout: readHeaderTimeout,
			IdleTimeout:       idleTimeout,
			Protocols:         protocols,
			ErrorLog:          zap.NewStdLog(logger.Named(name)),
		},
	}, nil
}

// Run serves until the server is interrupted. It returns ErrClosed after a
// planned stop.
func (s *Server) Run() error {
	s.logger.Info("listening", zap.String("server", s.name), zap.Stringer("address", s.listener.Addr()))
	err := s.http.Serve(s.listener)
	if errors.Is(err, http.ErrServerClosed) {
		<-s.closed
		return ErrClosed
	}
	return errors.Annotatef(err, "serving %s", s.name)
}

// Interrupt closes the server at once.
func (s *Server) Interrupt(error) {
	_ = s.http.Close()
	close(s.closed)
}

// Shutdown waits for the requests of the server to end.
func (s *Server) Shutdown(ctx context.Context) {
	if err := s.http.Shutdown(ctx); err != nil {
		s.logger.Warn("server closed with open requests", zap.String("server", s.name), zap.Error(err))
	}
}

// DisableKeepAlives makes the server close each connection after its next
// response, so that clients move to another server.
func (s *Server) DisableKeepAlives() {
	s.http.SetKeepAlivesEnabled(false)
}
