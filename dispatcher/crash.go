package dispatcher

import (
	"context"
	"errors"
	"time"

	"github.com/samber/lo"
	"go.uber.org/zap"

	"github.com/bergamotdale/bergamotdale"
)

// crashProbe bounds the load request that tells a crashed engine from a broken
// connection.
const crashProbe = time.Second

// crashWatch finds out which requests were running when the engine crashed.
type crashWatch struct {
	// incarnation is that of the last load report, "" since a crash.
	incarnation string
	// reportedAt is when the last crash was reported. Streams that started
	// before it broke in that crash or an earlier one.
	reportedAt time.Time
	// failed holds the fingerprints whose streams broke since the engine last
	// responded.
	failed map[string]struct{}
}

// inspectFailure finds out whether the engine has crashed under the request.
// If so, every request that was running there becomes a suspect.
//
// A refused connection or a new incarnation shows a crash. An engine that does
// not respond may be cut off as well, so its requests become suspects only if
// it comes back with a new incarnation.
func (a *admission) inspectFailure(j *job, address string) bool {
	before := a.noteFailure(j)
	ctx, cancel := context.WithTimeout(a.dispatcher.ctx, crashProbe)
	defer cancel()
	load, err := a.dispatcher.Engine.Load(ctx, address)
	crashed := err == nil && before != "" && load.Incarnation != before || connectionRefused(err)
	if !crashed {
		return false
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	if j.started.After(a.crash.reportedAt) {
		a.reportCrash(a.runningFingerprints())
	}
	return true
}

// connectionRefused reports whether the error shows that no process listens.
func connectionRefused(err error) bool {
	var refusal *bergamotdale.Refusal
	return errors.As(err, &refusal) && refusal.Outcome == bergamotdale.OutcomeNotRun
}

// noteFailure adds the request to those whose streams broke. It returns the
// last known incarnation of the engine.
func (a *admission) noteFailure(j *job) string {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.crash.failed == nil {
		a.crash.failed = map[string]struct{}{}
	}
	a.crash.failed[j.completion.Fingerprint] = struct{}{}
	return a.crash.incarnation
}

// noteIncarnation takes in a load report. The caller holds mu.
func (a *admission) noteIncarnation(incarnation string) {
	if a.crash.incarnation != "" && a.crash.incarnation != incarnation && len(a.crash.failed) > 0 {
		a.reportCrash(nil)
	}
	a.crash.incarnation = incarnation
	a.crash.failed = nil
}

// reportCrash makes the broken and the running requests suspects. The caller
// holds mu.
func (a *admission) reportCrash(running []string) {
	suspects := lo.Uniq(append(running, lo.Keys(a.crash.failed)...))
	a.crash = crashWatch{reportedAt: a.dispatcher.Clock.Now()}
	a.dispatcher.Logger.Warn("engine crashed", zap.String("endpoint", a.assignment.Name),
		zap.Strings("suspects", suspects))
	a.dispatcher.Quarantine.Crashed(a.assignment.Name, suspects)
}
