package dispatcher

import (
	"context"
	"time"

	"github.com/samber/lo"
	"go.uber.org/zap"
)

const (
	// crashProbe bounds the load request that tells a crashed engine from a
	// broken connection.
	crashProbe = time.Second
	// crashWindow is how long broken streams are counted to the same crash. The
	// streams of one process break together, but are noticed one by one.
	crashWindow = 2 * time.Second
)

// crashWatch collects the requests whose streams broke together.
type crashWatch struct {
	incarnation string
	failedAt    time.Time
	failed      map[string]struct{}
	reported    string
}

// inspectFailure finds out whether the engine has crashed. If so, every request
// that was running there becomes a suspect.
func (a *admission) inspectFailure(j *job, address string) {
	before, suspects := a.noteFailure(j)
	ctx, cancel := context.WithTimeout(a.dispatcher.ctx, crashProbe)
	defer cancel()
	load, err := a.dispatcher.Engine.Load(ctx, address)
	if err == nil && (before == "" || load.Incarnation == before) {
		return
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.crash.reported == before && before != "" {
		return
	}
	a.crash.reported = before
	suspects = append(suspects, a.runningFingerprints()...)
	suspects = lo.Uniq(append(suspects, lo.Keys(a.crash.failed)...))
	a.dispatcher.Logger.Warn("engine crashed", zap.String("endpoint", a.assignment.Name),
		zap.Strings("suspects", suspects), zap.Error(err))
	a.dispatcher.Quarantine.Crashed(a.assignment.Name, suspects)
}

// noteFailure adds the request to those whose streams broke just now. It
// returns the incarnation of the engine that ran it.
func (a *admission) noteFailure(j *job) (string, []string) {
	a.mu.Lock()
	defer a.mu.Unlock()
	now := a.dispatcher.Clock.Now()
	if a.crash.failed == nil || now.Sub(a.crash.failedAt) > crashWindow {
		a.crash.failed = map[string]struct{}{}
	}
	a.crash.failedAt = now
	a.crash.failed[j.completion.Fingerprint] = struct{}{}
	return a.crash.incarnation, []string{j.completion.Fingerprint}
}
