// Package inspector determines which requests were running on an engine when it
// crashed. These requests are the suspects: one of them may have caused the crash.
//
// An engine process has an incarnation, a value that it reports with its load and
// that changes when it restarts. A crash shows in one of two ways: a load report
// has a new incarnation after streams broke, or the caller finds out that a stream
// broke because the process crashed.
package inspector

import (
	"time"

	"github.com/samber/lo"
)

// Inspector tracks the broken streams and the incarnation of one engine. It is not
// safe for concurrent use.
type Inspector struct {
	// incarnation is the one in the last load report. It is empty before the first
	// report and after a crash.
	incarnation string
	// crashedAt is the time when the last crash was detected. A broken stream that
	// did not start after it broke in that crash or an earlier one.
	crashedAt time.Time
	// broken holds the fingerprints of the requests whose streams broke since the
	// last load report.
	broken map[string]struct{}
}

// RecordBrokenStream records a request whose stream broke, by its fingerprint. It
// returns the last known incarnation of the engine.
func (i *Inspector) RecordBrokenStream(fingerprint string) string {
	if i.broken == nil {
		i.broken = map[string]struct{}{}
	}
	i.broken[fingerprint] = struct{}{}
	return i.incarnation
}

// RecordLoadReport records the incarnation in a load report. If the incarnation
// has changed since the last report, it returns the requests whose streams broke
// in between as suspects.
func (i *Inspector) RecordLoadReport(now time.Time, incarnation string) []string {
	var suspects []string
	if i.incarnation != "" && i.incarnation != incarnation && len(i.broken) > 0 {
		suspects = i.takeSuspects(now, nil)
	}
	i.incarnation = incarnation
	i.broken = nil
	return suspects
}

// RecordCrash records a crash that was detected through a broken stream. It
// returns the suspects: the running requests and those whose streams broke since
// the last load report. It returns nil if the stream did not start after the last
// detected crash, which is then the one that broke it.
func (i *Inspector) RecordCrash(now, streamStarted time.Time, running []string) []string {
	if !streamStarted.After(i.crashedAt) {
		return nil
	}
	return i.takeSuspects(now, running)
}

// takeSuspects returns the running requests and those with broken streams, without
// duplicates, and resets the inspector to the state after a crash.
func (i *Inspector) takeSuspects(now time.Time, running []string) []string {
	suspects := lo.Uniq(append(running, lo.Keys(i.broken)...))
	*i = Inspector{crashedAt: now}
	return suspects
}
