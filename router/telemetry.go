package router

import "github.com/juju/errors"

// observe registers the metrics of the parts of a router.
func (r *Router) observe() error {
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
		{"bergamotdale.replay.bytes", "memory of the replay buffers", r.dispatch.Replayer.Bytes},
		{"bergamotdale.retry.budget", "retries that the budget allows now", func() int64 { return int64(r.forward.Budget.Level()) }},
	}
	for _, g := range gauges {
		if err := r.meter.RegisterGauge(g.name, g.description, g.read); err != nil {
			return errors.Annotatef(err, "metric %s", g.name)
		}
	}
	return nil
}

// storeCalls returns the store calls for the lease and for ownership.
func (r *Router) storeCalls() int64 {
	ownership, lease := r.elector.StoreCalls()
	return ownership + lease
}

// ownedLoad returns the requests that run or wait at the owned engines.
func (r *Router) ownedLoad() int64 {
	var load int64
	for _, l := range r.dispatch.ReportLoads() {
		load += int64(l.Load)
	}
	return load
}
