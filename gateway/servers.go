package gateway

import (
	"context"
	"net/http"

	"github.com/juju/errors"

	"github.com/bergamotdale/bergamotdale/chronicler"
	"github.com/bergamotdale/bergamotdale/collector"
	"github.com/bergamotdale/bergamotdale/exchanger"
	"github.com/bergamotdale/bergamotdale/gossiper"
	"github.com/bergamotdale/bergamotdale/peerserver"
	"github.com/bergamotdale/bergamotdale/pinner"
	"github.com/bergamotdale/bergamotdale/replicator"
	"github.com/bergamotdale/bergamotdale/server"
)

// maxPeerMessage is the size limit of a message from another router, in bytes.
const maxPeerMessage = 1 << 20

// newServers opens the servers of the gateway. The first one serves clients.
func (g *Gateway) newServers() ([]*server.Server, error) {
	readiness := http.NewServeMux()
	readiness.HandleFunc("GET /ready", g.serveReady)
	metrics := http.NewServeMux()
	metrics.Handle("GET /metrics", g.meter.Handler())
	listen := g.Settings.Listen
	var servers []*server.Server
	for _, s := range []struct {
		name, address string
		handler       http.Handler
	}{
		{"clients", listen.Clients, g.countActive(g.relayer)},
		{"readiness", listen.Readiness, readiness},
		{"peers", listen.Peers, g.peerHandler()},
		{"metrics", listen.Metrics, metrics},
	} {
		srv, err := server.New(s.name, s.address, nil, s.handler, g.Logger)
		if err != nil {
			return nil, errors.Trace(err)
		}
		servers = append(servers, srv)
	}
	g.clientServer = servers[0]
	return servers, errors.Trace(g.boundClients(g.clientServer))
}

// peerHandler returns the handler of messages from other routers.
func (g *Gateway) peerHandler() http.Handler {
	mux := http.NewServeMux()
	api := peerserver.New(mux)
	peerserver.Handle(api, maxPeerMessage, gossiper.PingPath, func(_ context.Context, m gossiper.PingRequest) (gossiper.PingResponse, error) {
		return g.gossiper.HandlePing(m), nil
	})
	peerserver.Handle(api, maxPeerMessage, gossiper.IndirectPath, func(ctx context.Context, m gossiper.IndirectRequest) (gossiper.IndirectResponse, error) {
		return g.gossiper.HandleIndirect(ctx, m), nil
	})
	peerserver.Handle(api, maxPeerMessage, exchanger.Path, g.exchanger.Handle)
	peerserver.Handle(api, maxPeerMessage, collector.Path, g.collector.Handle)
	peerserver.Handle(api, maxPeerMessage, pinner.StorePath, g.pinner.HandleStore)
	peerserver.Handle(api, maxPeerMessage, chronicler.RecordPath, g.chronicler.HandleRecord)
	peerserver.Handle(api, maxPeerMessage, pinner.FindPath, g.pinner.HandleFind)
	peerserver.Handle(api, maxPeerMessage, replicator.Path, g.replica.Serve)
	return mux
}
