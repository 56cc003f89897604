package watchdog_test

import (
	"context"
	"testing"

	"github.com/juju/errors"
	"gotest.tools/v3/assert"

	"github.com/bergamotdale/bergamotdale"
	"github.com/bergamotdale/bergamotdale/watchdog"
)

func watch(t *testing.T, w *watchdog.Watchdog) error {
	w.Clock = bergamotdale.SystemClock{}
	ctx := w.Watch(t.Context())
	defer w.Stop()
	<-ctx.Done()
	return context.Cause(ctx)
}

// Guards against an attempt that waits for an endpoint without power.
func TestGone(t *testing.T) {
	err := watch(t, &watchdog.Watchdog{
		Probe: func() error { return errors.New("timeout") }, Trusted: func() bool { return true },
	})
	assert.Assert(t, errors.Is(err, watchdog.ErrGone), "%v", err)
}

// Guards against sound attempts that a router cuts because it is slow itself:
// only patience ends this one, long after the first failed probe.
func TestUntrustedProbeEndsNothing(t *testing.T) {
	err := watch(t, &watchdog.Watchdog{
		Probe: func() error { return errors.New("timeout") }, Trusted: func() bool { return false },
		Patience: 2 * watchdog.StallProbe,
	})
	assert.Assert(t, errors.Is(err, watchdog.ErrNoAnswer), "%v", err)
}
