package soaker

import (
	"context"
	"fmt"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"time"

	"go.uber.org/zap"

	"github.com/bergamotdale/bergamotdale"
	"github.com/bergamotdale/bergamotdale/fleettester"
	"github.com/bergamotdale/bergamotdale/generator"
	"github.com/bergamotdale/bergamotdale/operator"
	"github.com/bergamotdale/bergamotdale/recorder"
)

// checkCalls compares the responses to calls with the executions that the service
// endpoints counted: calls refused as not-run must not have been executed (I3),
// and each key must have been executed at most once with one response (I4).
func (s *Soaker) checkCalls() {
	executions := map[string]int{}
	for i := range services {
		for key, n := range s.fleet.ServiceAt(i).Counters().ByKey {
			executions[key] += n
		}
	}
	for key, record := range s.calls {
		n := executions[key]
		if n > 1 {
			s.recordViolation("I4: the call with key %s was executed %d times", key, n)
		}
		if len(record.responses) > 1 {
			s.recordViolation("I4: the call with key %s got %d different responses", key, len(record.responses))
		}
		if len(record.responses) > 0 && n == 0 {
			s.recordViolation("I4: the call with key %s was confirmed but never executed", key)
		}
		if record.unknown == 0 && len(record.responses) == 0 && n > 0 {
			s.recordViolation("I3: the call with key %s was always refused as not-run, but was executed %d times", key, n)
		}
		s.counts["keys"]++
		if n == 1 {
			s.counts["keys executed once"]++
		}
	}
}

// checkEngines checks that the highest number of concurrent requests in each engine
// did not exceed its configured concurrency (I1).
func (s *Soaker) checkEngines() {
	for i := range engines {
		e := s.fleet.EngineAt(i)
		highest := e.MaxInFlight()
		s.counts["highest load of "+e.Name] = highest
		if highest > fleettester.MaxConcurrency {
			s.recordViolation("I1: %s had %d concurrent requests, its limit is %d", e.Name, highest, fleettester.MaxConcurrency)
		}
	}
}

// enginePollInterval is the time between two checks of the load of the engines.
const enginePollInterval = 20 * time.Millisecond

// watchEngines logs when an engine exceeds its limit and dumps the timeline, so
// that the failure that was active at that time can be found.
func (s *Soaker) watchEngines(ctx context.Context, running func() bool) {
	var highest [engines]int
	for running() && bergamotdale.Wait(ctx, s.clock, enginePollInterval) == nil {
		for i := range engines {
			e := s.fleet.EngineAt(i)
			if n := e.MaxInFlight(); n > max(highest[i], fleettester.MaxConcurrency) {
				highest[i] = n
				s.Logger.Warn("engine exceeds its concurrency limit", zap.String("endpoint", e.Name), zap.Int("requests", n))
				s.dumpTimeline(ctx, recorder.Filter{Endpoint: e.Name, Since: s.clock.Now().Add(-timelineDumpPeriod)})
			}
		}
	}
}

// timelineDumpPeriod is the length of the part of the timeline that is dumped when
// an engine exceeds its limit.
const timelineDumpPeriod = 10 * time.Second

// dumpTimeline writes the matching events of all routers to a file in Directory.
// It writes nothing if no router answers.
func (s *Soaker) dumpTimeline(ctx context.Context, filter recorder.Filter) {
	ctx, cancel := context.WithTimeout(ctx, operatorTimeout)
	defer cancel()
	var addresses []string
	for i := range routers {
		addresses = append(addresses, s.fleet.Router(i).Settings.Listen.Operators)
	}
	client, err := operator.Dial(ctx, addresses)
	if err != nil {
		return
	}
	timeline, err := client.Timeline(ctx, filter)
	if err != nil {
		return
	}
	var text strings.Builder
	for _, e := range timeline.Events {
		fmt.Fprintf(&text, "%s %s %s %s %s epoch %d\n", e.Time.Format(time.RFC3339Nano), e.Process, e.Kind, e.RequestID, e.Detail, e.Epoch)
	}
	name := filepath.Join(s.Directory, fmt.Sprintf("timeline-%s-%d.txt", filter.Endpoint, s.clock.Now().UnixMilli()))
	if err := os.WriteFile(name, []byte(text.String()), 0o600); err != nil {
		s.Logger.Warn("writing the timeline failed", zap.Error(err))
	}
}

// revisionPollInterval is the time between two checks of the routers' revisions,
// and the time limit of each check.
const revisionPollInterval = 200 * time.Millisecond

// watchRevisions checks that the configuration revision of each router never
// decreases (I7).
func (s *Soaker) watchRevisions(ctx context.Context, running func() bool) {
	for running() {
		for i := range routers {
			s.checkRevision(ctx, s.fleet.Router(i))
		}
		if bergamotdale.Wait(ctx, s.clock, revisionPollInterval) != nil {
			return
		}
	}
}

// checkRevision reads the revision of one router. Every response carries it, so the
// call names a service that does not exist.
func (s *Soaker) checkRevision(ctx context.Context, r *fleettester.Router) {
	ctx, cancel := context.WithTimeout(ctx, revisionPollInterval)
	defer cancel()
	result, err := s.client.Call(ctx, generator.CallRequest{
		URL: r.URL, Workspace: fleettester.Workspace, Service: "none", Call: "none", Body: []byte("{}"),
	})
	if err != nil {
		return
	}
	revision, err := strconv.ParseInt(result.Revision, 10, 64)
	if err != nil {
		return
	}
	s.mu.Lock()
	before := s.revisions[r.Name]
	s.revisions[r.Name] = max(before, revision)
	s.mu.Unlock()
	if revision < before {
		s.recordViolation("I7: %s returned from revision %d to the older revision %d", r.Name, before, revision)
	}
}
