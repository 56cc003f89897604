// Package inspector finds out which requests were running when an engine
// crashed.
package inspector

import (
	"time"

	"github.com/samber/lo"
)

// Inspector follows the broken streams and the incarnations of one engine. It
// is not safe for concurrent use.
type Inspector struct {
	// incarnation is that of the last load report, "" since a crash.
	incarnation string
	// crashedAt is when the last crash was found. Streams that started before
	// it broke in that crash or an earlier one.
	crashedAt time.Time
	// broken holds the fingerprints whose streams broke since the engine last
	// responded.
	broken map[string]struct{}
}

// Broke adds a request whose stream broke. It returns the last known incarnation
// of the engine.
func (i *Inspector) Broke(fingerprint string) string {
	if i.broken == nil {
		i.broken = map[string]struct{}{}
	}
	i.broken[fingerprint] = struct{}{}
	return i.incarnation
}

// Responded takes in a load report. It returns the suspects if the report shows
// that the engine has crashed since the last one.
func (i *Inspector) Responded(now time.Time, incarnation string) []string {
	var suspects []string
	if i.incarnation != "" && i.incarnation != incarnation && len(i.broken) > 0 {
		suspects = i.crash(now, nil)
	}
	i.incarnation = incarnation
	i.broken = nil
	return suspects
}

// Crashed takes in a crash that a broken stream has shown. It returns the
// suspects, or nil if the crash is known already.
func (i *Inspector) Crashed(now, streamStarted time.Time, running []string) []string {
	if !streamStarted.After(i.crashedAt) {
		return nil
	}
	return i.crash(now, running)
}

// crash returns the broken and the running requests and starts again.
func (i *Inspector) crash(now time.Time, running []string) []string {
	suspects := lo.Uniq(append(running, lo.Keys(i.broken)...))
	*i = Inspector{crashedAt: now}
	return suspects
}
