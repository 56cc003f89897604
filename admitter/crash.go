package admitter

import (
	"context"
	"errors"
	"time"

	"go.uber.org/zap"

	"github.com/bergamotdale/bergamotdale"
)

// crashProbe bounds the load request that tells a crashed engine from a broken
// connection.
const crashProbe = time.Second

// inspectFailure finds out whether the engine has crashed under the request.
//
// A refused connection or a new incarnation shows a crash. An engine that does
// not respond may be cut off as well, so its requests become suspects only if
// it comes back with a new incarnation.
func (a *Admission) inspectFailure(j *job, address string) bool {
	a.env.Quarantine.Broke(j.completion.Fingerprint)
	a.mu.Lock()
	before := a.inspector.Broke(j.completion.Fingerprint)
	a.mu.Unlock()
	ctx, cancel := context.WithTimeout(a.env.Context, crashProbe)
	defer cancel()
	load, err := a.env.Engine.Load(ctx, address)
	crashed := err == nil && before != "" && load.Incarnation != before || connectionRefused(err)
	if !crashed {
		return false
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	a.reportCrash(a.inspector.Crashed(a.env.Clock.Now(), j.started, a.runningFingerprints()))
	return true
}

// connectionRefused reports whether the error shows that no process listens.
func connectionRefused(err error) bool {
	var refusal *bergamotdale.Refusal
	return errors.As(err, &refusal) && refusal.Outcome == bergamotdale.OutcomeNotRun
}

// reportCrash makes the requests suspects. The caller holds mu.
func (a *Admission) reportCrash(suspects []string) {
	if len(suspects) == 0 {
		return
	}
	a.env.Logger.Warn("engine crashed", zap.String("endpoint", a.name), zap.Strings("suspects", suspects))
	a.env.Quarantine.Crashed(a.name, suspects)
}
