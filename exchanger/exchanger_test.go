package exchanger_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/bergamotdale/bergamotdale/exchanger"
)

// Guards against exchanges that take more than the 15 KB/s that a router of a large
// fleet may spend on control traffic, and against samples of too few routers.
func TestInterval(t *testing.T) {
	const (
		bytesPerExchange      = 1800
		controlBytesPerSecond = 15000
		// reportLifetime is the peerExpiry of package tracker, after which a report
		// no longer counts.
		reportLifetime = 2 * time.Second
	)
	for others := 16; others < 400; others++ {
		// A router responds to as many exchanges as it starts.
		rate := 2 * float64(time.Second) / float64(exchanger.Interval(others))
		assert.Assert(t, rate*bytesPerExchange <= controlBytesPerSecond, "%d others: %.0f B/s", others, rate*bytesPerExchange)
		assert.Assert(t, rate*reportLifetime.Seconds() >= 10, "%d others: %.0f reports", others, rate*reportLifetime.Seconds())
	}
	assert.Equal(t, exchanger.Interval(5), 100*time.Millisecond)
}
