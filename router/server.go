package router

import (
	"encoding/json"
	"io"
	"net/http"
	"time"

	"github.com/google/uuid"
	"github.com/juju/errors"

	"github.com/bergamotdale/bergamotdale/responder"
	"github.com/bergamotdale/bergamotdale/server"
)

// statusWait is how long a stream may stay without a token before the response
// status is committed. It is below the timeouts of clients and load balancers.
const statusWait = 5 * time.Second

// servers opens the servers for clients, peers and operators, in this order.
func (r *Router) servers() ([]*server.Server, error) {
	clients, err := server.New("clients", r.Settings.Listen.Clients, r.Listeners.Clients, r.clientHandler(), r.Logger)
	if err != nil {
		return nil, err
	}
	peers, err := server.New("peers", r.Settings.Listen.Peers, r.Listeners.Peers, r.peerHandler(), r.Logger)
	if err != nil {
		return nil, err
	}
	operators, err := server.New("operators", r.Settings.Listen.Operators, r.Listeners.Operators, r.operatorHandler(), r.Logger)
	if err != nil {
		return nil, err
	}
	return []*server.Server{clients, peers, operators}, nil
}

// clientHandler serves the API of clients and the metrics.
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
	mux.Handle("GET /metrics", r.meter.Handler())
	mux.Handle("/", r.meter.InstrumentHandler(clients.Handler()))
	return mux
}

// decodeJSON decodes one JSON value.
func decodeJSON(body io.Reader, value any) error {
	return errors.Trace(json.NewDecoder(body).Decode(value))
}
