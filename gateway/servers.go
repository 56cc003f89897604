package gateway

import (
	"context"
	"net/http"

	"github.com/juju/errors"

	"github.com/bergamotdale/bergamotdale/exchanger"
	"github.com/bergamotdale/bergamotdale/gossiper"
	"github.com/bergamotdale/bergamotdale/peerserver"
	"github.com/bergamotdale/bergamotdale/replicator"
	"github.com/bergamotdale/bergamotdale/server"
)

// maxPeerBody bounds a message of another router, in bytes.
const maxPeerBody = 1 << 20

// servers returns the servers of the gateway; that of the clients is first.
func (g *Gateway) servers() ([]*server.Server, error) {
	ready := http.NewServeMux()
	ready.HandleFunc("GET /ready", g.serveReady)
	metrics := http.NewServeMux()
	metrics.Handle("GET /metrics", g.meter.Handler())
	listen := g.Settings.Listen
	var servers []*server.Server
	for _, s := range []struct {
		name, address string
		handler       http.Handler
	}{
		{"clients", listen.Clients, g.counted(g.relayer)},
		{"readiness", listen.Readiness, ready},
		{"peers", listen.Peers, g.peerHandler()},
		{"metrics", listen.Metrics, metrics},
	} {
		opened, err := server.New(s.name, s.address, nil, s.handler, g.Logger)
		if err != nil {
			return nil, errors.Trace(err)
		}
		servers = append(servers, opened)
	}
	return servers, nil
}

// peerHandler serves the messages of other routers.
func (g *Gateway) peerHandler() http.Handler {
	mux := http.NewServeMux()
	api := peerserver.New(mux)
	peerserver.Handle(api, maxPeerBody, gossiper.PingPath, func(_ context.Context, m gossiper.PingRequest) (gossiper.PingResponse, error) {
		return g.gossiper.HandlePing(m), nil
	})
	peerserver.Handle(api, maxPeerBody, gossiper.IndirectPath, func(ctx context.Context, m gossiper.IndirectRequest) (gossiper.IndirectResponse, error) {
		return g.gossiper.HandleIndirect(ctx, m), nil
	})
	peerserver.Handle(api, maxPeerBody, exchanger.Path, g.exchanger.Handle)
	peerserver.Handle(api, maxPeerBody, replicator.Path, g.replica.Serve)
	return mux
}
