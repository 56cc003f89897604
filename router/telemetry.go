package router

import "github.com/juju/errors"

// registerMetrics registers the gauges of the router.
func (r *Router) registerMetrics() error {
	gauges := []struct {
		name, description string
		read              func() int64
	}{
		{"bergamotdale.configuration.revision", "configuration revision in force", func() int64 { return r.follower.Status().Revision }},
		{"bergamotdale.members.live", "routers believed alive", func() int64 { return int64(len(r.gossiper.Live())) }},
		{"bergamotdale.owned", "endpoints and shards owned by this router", func() int64 { return int64(len(r.elector.Held())) }},
		{"bergamotdale.load", "requests running or waiting at owned engines", r.ownedLoad},
		{"bergamotdale.store.calls", "store calls for lease and ownership since the start", r.storeCalls},
		{"bergamotdale.gossip.sent", "bytes of gossip messages sent since the start", func() int64 { return r.gossiper.Stats().BytesSent }},
		{"bergamotdale.gossip.received", "bytes of gossip messages received since the start", func() int64 { return r.gossiper.Stats().BytesReceived }},
		{"bergamotdale.replay.bytes", "memory of the replay buffers", r.dispatcher.Replayer.Bytes},
		{"bergamotdale.retry.budget", "retries that the budget allows now", func() int64 { return int64(r.forwarder.Budget.Level()) }},
	}
	for _, g := range gauges {
		if err := r.meter.RegisterGauge(g.name, g.description, g.read); err != nil {
			return errors.Annotatef(err, "registering metric %s", g.name)
		}
	}
	return nil
}

// storeCalls returns the number of store calls for the lease and for ownership
// records.
func (r *Router) storeCalls() int64 {
	ownership, lease := r.elector.StoreCalls()
	return ownership + lease
}

// ownedLoad returns the number of requests that run or wait at owned engines.
func (r *Router) ownedLoad() int64 {
	var load int64
	for _, l := range r.dispatcher.ReportLoads() {
		load += int64(l.Load)
	}
	return load
}
