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

// checkCalls compares what clients were told with the executions that the
// services counted (I3, I4).
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
			s.violate("I4: %s was executed %d times", key, n)
		}
		if len(record.responses) > 1 {
			s.violate("I4: %s got %d different responses", key, len(record.responses))
		}
		if len(record.responses) > 0 && n == 0 {
			s.violate("I4: %s was confirmed but never executed", key)
		}
		if record.unknown == 0 && len(record.responses) == 0 && n > 0 {
			s.violate("I3: %s was only refused as not-run, but executed %d times", key, n)
		}
		s.counts["keys"]++
		if n == 1 {
			s.counts["keys executed once"]++
		}
	}
}

// checkEngines compares the highest number of requests in each engine with its
// configured concurrency (I1).
func (s *Soaker) checkEngines() {
	for i := range engines {
		e := s.fleet.EngineAt(i)
		highest := e.MaxInFlight()
		s.counts["highest load of "+e.Name] = highest
		if highest > fleettester.MaxConcurrency {
			s.violate("I1: %s had %d requests, its limit is %d", e.Name, highest, fleettester.MaxConcurrency)
		}
	}
}

// enginePoll is the time between two looks at the load of the engines.
const enginePoll = 20 * time.Millisecond

// watchEngines logs when an engine goes over its limit, so that the failure in
// force at that time can be found.
func (s *Soaker) watchEngines(ctx context.Context, running func() bool) {
	var highest [engines]int
	for running() && bergamotdale.Wait(ctx, s.clock, enginePoll) == nil {
		for i := range engines {
			e := s.fleet.EngineAt(i)
			if n := e.MaxInFlight(); n > max(highest[i], fleettester.MaxConcurrency) {
				highest[i] = n
				s.Logger.Warn("engine over its limit", zap.String("endpoint", e.Name), zap.Int("requests", n))
				s.dumpTimeline(ctx, recorder.Filter{Endpoint: e.Name, Since: s.clock.Now().Add(-dumpPeriod)})
			}
		}
	}
}

// dumpPeriod is how much of the timeline is kept when an invariant is broken.
const dumpPeriod = 10 * time.Second

// dumpTimeline writes the timeline of all routers to a file in Directory.
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
		s.Logger.Warn("timeline not written", zap.Error(err))
	}
}

// revisionPoll is the time between two looks at a router's revision.
const revisionPoll = 200 * time.Millisecond

// watchRevisions checks that the revision of each router never falls (I7).
func (s *Soaker) watchRevisions(ctx context.Context, running func() bool) {
	for running() {
		for i := range routers {
			s.watchRevision(ctx, s.fleet.Router(i))
		}
		if bergamotdale.Wait(ctx, s.clock, revisionPoll) != nil {
			return
		}
	}
}

// watchRevision asks one router for its revision. Any response names it.
func (s *Soaker) watchRevision(ctx context.Context, r *fleettester.Router) {
	ctx, cancel := context.WithTimeout(ctx, revisionPoll)
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
		s.violate("I7: %s went back from revision %d to %d", r.Name, before, revision)
	}
}
