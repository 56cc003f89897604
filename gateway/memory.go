package gateway

import (
	"github.com/juju/errors"
	"go.uber.org/zap"

	"github.com/bergamotdale/bergamotdale/budgeter"
	"github.com/bergamotdale/bergamotdale/reserver"
	"github.com/bergamotdale/bergamotdale/server"
)

// maxUnsent bounds how much of a response waits in the kernel for a client that does not
// read, in bytes, beyond what is on the way.
const maxUnsent = 64 << 10

// divideMemory divides the memory of the settings.
func (g *Gateway) divideMemory() {
	g.memory = budgeter.DivideMemory(int64(g.Settings.Memory))
	g.reserver = reserver.New(g.memory.Held, g.memory.RequestState)
	g.Logger.Info("memory divided", zap.Stringer("limit", g.Settings.Memory), zap.Int64("held", g.memory.Held),
		zap.Int("connections", g.memory.Connections), zap.Int("served", g.memory.Served), zap.Int("receive-buffer", g.memory.ReceiveBuffer))
}

// servedConnections returns the largest number of connections of clients that are served.
func (g *Gateway) servedConnections() int { return min(g.descriptors.Clients, g.memory.Served) }

// boundClients bounds the connections of clients.
func (g *Gateway) boundClients(s *server.Server) error {
	s.SetMaxConns(g.servedConnections())
	s.SetMaxOpen(g.memory.Connections)
	s.LimitStreams()
	s.SetRelieve(func() bool { return g.reserver.DropSlowest(g.clock.Now()) })
	return errors.Trace(s.SetBuffers(g.memory.ReceiveBuffer, maxUnsent))
}

// checkBodyLimit warns about a limit of bodies beyond what the router can hold: larger
// bodies are refused though the configuration allows them.
func (g *Gateway) checkBodyLimit(limit int64) {
	if limit == g.bodyLimit {
		return
	}
	g.bodyLimit = limit
	if most := g.memory.Held - g.memory.RequestState; limit > most {
		g.Logger.Warn("the limit of bodies exceeds what the router can hold", zap.Int64("limit", limit), zap.Int64("most", most))
	}
}
