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

// Guards against an attempt that waits for an endpoint that lost power.
func TestUnreachable(t *testing.T) {
	err := watch(t, &watchdog.Watchdog{
		Probe: func() error { return errors.New("timeout") }, ProbeReliable: func() bool { return true },
	})
	assert.Assert(t, errors.Is(err, watchdog.ErrUnreachable), "%v", err)
}

// Guards against a slow router that cancels attempts at healthy endpoints: an
// unreliable probe cancels nothing, so that this attempt ends with the first-byte
// timeout, long after the first failed probe.
func TestUnreliableProbeIsIgnored(t *testing.T) {
	err := watch(t, &watchdog.Watchdog{
		Probe: func() error { return errors.New("timeout") }, ProbeReliable: func() bool { return false },
		FirstByteTimeout: 2 * watchdog.ProbeInterval,
	})
	assert.Assert(t, errors.Is(err, watchdog.ErrNoResponse), "%v", err)
}
