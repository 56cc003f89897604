package router

import (
	"context"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"time"

	"github.com/google/uuid"
	"github.com/juju/errors"
	"go.uber.org/zap"

	"github.com/bergamotdale/bergamotdale/responder"
)

const (
	// readHeaderTimeout bounds how long a connection may take to send the
	// headers of a request.
	readHeaderTimeout = 10 * time.Second
	// statusWait is how long a stream may stay without a token before its
	// status is committed. Clients and balancers time out later than that.
	statusWait = 5 * time.Second
)

// server is an HTTP server in the run group.
type server struct {
	name     string
	listener net.Listener
	http     *http.Server
	logger   *zap.Logger
	// closed keeps run from returning before the planned stop is complete: the
	// first part that returns ends the whole run group.
	closed chan struct{}
}

// run serves until the server is shut down.
func (s *server) run() error {
	s.logger.Info("listening", zap.String("server", s.name), zap.Stringer("address", s.listener.Addr()))
	err := s.http.Serve(s.listener)
	if errors.Is(err, http.ErrServerClosed) {
		<-s.closed
		return errStopped
	}
	return errors.Annotatef(err, "serving %s", s.name)
}

// interrupt closes the server at once.
func (s *server) interrupt(error) {
	_ = s.http.Close()
	close(s.closed)
}

// newServer opens the socket of a server unless it is open already.
func (r *Router) newServer(name, address string, open net.Listener, handler http.Handler) (*server, error) {
	listener := open
	if listener == nil {
		var err error
		listener, err = net.Listen("tcp", address)
		if err != nil {
			return nil, errors.Annotatef(err, "listening for %s", name)
		}
	}
	// gRPC clients of the operators' interface need HTTP/2 without TLS.
	protocols := &http.Protocols{}
	protocols.SetHTTP1(true)
	protocols.SetUnencryptedHTTP2(true)
	return &server{
		name:     name,
		listener: listener,
		logger:   r.Logger,
		closed:   make(chan struct{}),
		http: &http.Server{
			Handler:           handler,
			ReadHeaderTimeout: readHeaderTimeout,
			Protocols:         protocols,
			ErrorLog:          zap.NewStdLog(r.Logger.Named(name)),
		},
	}, nil
}

// servers returns the servers of the router: clients, peers and operators.
func (r *Router) servers() ([]*server, error) {
	r.view.Store(&view{members: r.gossiper.View()})
	clients, err := r.newServer("clients", r.Settings.Listen.Clients, r.Listeners.Clients, r.clientHandler())
	if err != nil {
		return nil, err
	}
	peers, err := r.newServer("peers", r.Settings.Listen.Peers, r.Listeners.Peers, r.peerHandler())
	if err != nil {
		return nil, err
	}
	operators, err := r.newServer("operators", r.Settings.Listen.Operators, r.Listeners.Operators, r.operatorHandler())
	if err != nil {
		return nil, err
	}
	return []*server{clients, peers, operators}, nil
}

// clientHandler serves clients and the metrics scraper.
func (r *Router) clientHandler() http.Handler {
	clients := &responder.Responder{
		Backend:      &backend{r},
		Logger:       r.Logger.Named("responder"),
		Clock:        r.clock,
		NewID:        uuid.NewString,
		MaxBodyBytes: int64(r.Settings.Limits.RequestBody),
		StatusWait:   statusWait,
	}
	mux := http.NewServeMux()
	mux.Handle("GET /metrics", r.telemetry.handler)
	mux.Handle("/", r.telemetry.count(clients.Handler()))
	return mux
}

// decodeJSON reads one JSON value.
func decodeJSON(body io.Reader, value any) error {
	return errors.Trace(json.NewDecoder(body).Decode(value))
}

// shutdown waits for the requests of a server to end.
func (s *server) shutdown(ctx context.Context) {
	if err := s.http.Shutdown(ctx); err != nil {
		s.logger.Warn("server closed with open requests", zap.String("server", s.name), zap.Error(err))
	}
}
