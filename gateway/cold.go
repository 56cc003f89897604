package gateway

import (
	"context"
	"slices"
	"strconv"
	"strings"
	"time"

	"go.uber.org/zap"

	"github.com/bergamotdale/bergamotdale/subscriber"
)

const (
	// gonePrefix is the key prefix of the rumours that the process of an endpoint is gone.
	// The ID of the endpoint follows it, and the value is the incarnation.
	gonePrefix = "gone/"
	// goneLifetime is how long such a rumour is spread. It reaches 360 routers within a few
	// seconds.
	goneLifetime = 10 * time.Second
	// membersInterval is the time between two looks at the members if they do not change.
	membersInterval = time.Second
)

// recordReading implements subscriber.Subscriber.OnRecord.
func (g *Gateway) recordReading(r subscriber.Reading) {
	if coldFor, isNew := g.rationer.RecordReading(r); isNew {
		g.Logger.Info("endpoint is cold", zap.String("endpoint", r.ID), zap.Duration("for", coldFor),
			zap.Duration("recorded", r.ColdFor), zap.Int64("incarnation", r.Incarnation))
	}
}

// coldCount returns the number of endpoints that are cold or may be.
func (g *Gateway) coldCount() int64 {
	return int64(g.rationer.ColdCount(g.clock.Now(), g.directory.State()))
}

// spreadGone implements relayer.Relayer.OnGone. The other routers hear that the endpoint
// may be another incarnation, before its record says so. The rumour of an incarnation is the
// same at all routers, so that it is spread once.
func (g *Gateway) spreadGone(e subscriber.Endpoint) {
	if e.Incarnation != 0 && g.rationer.IsLimiting(e.Service) {
		g.gossiper.SpreadRumour(gonePrefix+e.ID, strconv.FormatInt(e.Incarnation, 10), e.Incarnation, goneLifetime)
	}
}

// followMembers passes the routers, and the endpoints that other routers found gone, to the
// rationer until the context is done.
func (g *Gateway) followMembers(ctx context.Context) error {
	changes := g.gossiper.Subscribe()
	for {
		now, view := g.clock.Now(), g.gossiper.View()
		alone := !slices.ContainsFunc(g.Settings.Seeds, func(seed string) bool { return seed != g.self.Address })
		g.rationer.SetMembers(now, view.Members(), alone || g.gossiper.Joined(), len(g.Settings.Seeds))
		for _, r := range view.Rumours(gonePrefix, now) {
			g.rationer.RecordGone(now, strings.TrimPrefix(r.Key, gonePrefix), r.Version)
		}
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-changes:
		case <-g.clock.After(membersInterval):
		}
	}
}
