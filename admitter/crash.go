package admitter

import (
	"context"
	"errors"
	"syscall"
	"time"

	"go.uber.org/zap"
)

// crashProbeTimeout bounds the load request that distinguishes a crashed engine
// from a broken connection.
const crashProbeTimeout = time.Second

// detectCrash reports whether the engine crashed while it ran the job, and if so
// marks the requests that were running as suspects.
//
// A refused connection or a new incarnation proves a crash. An engine that does
// not respond may only be unreachable, so its requests become suspects only if
// it later responds with a new incarnation.
func (a *Admission) detectCrash(j *job, address string) bool {
	a.env.Quarantine.RecordBrokenStream(j.completion.Fingerprint)
	a.mu.Lock()
	previousIncarnation := a.inspector.RecordBrokenStream(j.completion.Fingerprint)
	a.mu.Unlock()
	ctx, cancel := context.WithTimeout(a.env.Context, crashProbeTimeout)
	defer cancel()
	load, err := a.env.Engine.Load(ctx, address)
	crashed := err == nil && previousIncarnation != "" && load.Incarnation != previousIncarnation || connectionRefused(err)
	if !crashed {
		return false
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	a.reportCrash(a.inspector.RecordCrash(a.env.Clock.Now(), j.startedAt, a.runningFingerprints()))
	return true
}

// connectionRefused reports whether the error shows that no process listens at
// the engine's address: the request was certainly not run. A port that does not
// respond shows nothing.
func connectionRefused(err error) bool {
	return errors.Is(err, syscall.ECONNREFUSED)
}

// reportCrash reports a crash to the quarantine with the fingerprints of the
// requests that were running. The caller holds mu.
func (a *Admission) reportCrash(suspects []string) {
	if len(suspects) == 0 {
		return
	}
	a.env.Logger.Warn("engine crashed", zap.String("endpoint", a.name), zap.Strings("suspects", suspects))
	a.env.Quarantine.RecordCrash(a.name, suspects)
}
