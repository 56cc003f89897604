package gateway

import (
	"time"

	"go.uber.org/zap"
)

// doubt implements relayer.Relayer.Doubt.
func (g *Gateway) doubt(now time.Time) (time.Time, bool) {
	if !g.source.IsDoubtful(now) {
		return time.Time{}, false
	}
	g.doubtfulChoices.Add(1)
	if g.doubting.CompareAndSwap(false, true) {
		age, _ := g.directory.Age()
		g.Logger.Warn("endpoints in doubt, those that responded lately are preferred", zap.Duration("state-age", age))
	}
	return g.source.RespondedSince(now), true
}
