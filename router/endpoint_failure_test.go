package router_test

import (
	"context"
	"fmt"
	"net/http"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/bergamotdale/bergamotdale"
	"github.com/bergamotdale/bergamotdale/fleettester"
	"github.com/bergamotdale/bergamotdale/injector"
)

// runningAt returns the index of the engine that runs the request.
func runningAt(t *testing.T, f *fleettester.Fleet, requestID string) int {
	t.Helper()
	for i := range f.Engines {
		if startsAt(f, i, requestID) > 0 {
			return i
		}
	}
	t.Fatalf("no engine runs %s", requestID)
	return -1
}

// Guards against a stream that is cut short, or repeats tokens, when its engine
// crashes, when the engine's connections go silent, or when they are cut (I2).
func TestStreamSurvivesItsEngine(t *testing.T) {
	fleet := start(t, &fleettester.Fleet{Routers: 3, Engines: 4, Engine: slow})
	want := reference(t, fleet)
	failures := map[string]func(e *fleettester.Engine){
		"crash":   func(e *fleettester.Engine) { e.Crash() },
		"silence": func(e *fleettester.Engine) { e.Faults().Add(injector.Fault{Kind: injector.Silence}) },
		"cut":     func(e *fleettester.Engine) { e.Faults().Add(injector.Fault{Kind: injector.Cut}) },
		"freeze": func(e *fleettester.Engine) {
			e.Faults().Add(injector.Fault{Kind: injector.Freeze, DurationMS: (8 * time.Second).Milliseconds()})
		},
	}
	for name, fail := range failures {
		t.Run(name, func(t *testing.T) {
			s := streamAt(t, fleet, 1, "survive-"+name)
			for range 5 {
				assert.Assert(t, s.next(t))
			}
			fail(fleet.EngineAt(runningAt(t, fleet, "survive-"+name)))
			s.readAll(t)
			assert.Equal(t, s.refused, "")
			assert.Equal(t, s.length, streamTokens)
			assert.Equal(t, s.text.String(), want)
		})
	}
}

// Guards against a request that crashes one engine after another, and against
// a refusal of the requests that ran beside it.
func TestPoisonRequestIsQuarantined(t *testing.T) {
	fleet := start(t, &fleettester.Fleet{Routers: 3, Engines: 4, Engine: slow})
	want := reference(t, fleet)
	for i := range fleet.Engines {
		fleet.EngineAt(i).Faults().Add(injector.Fault{Kind: injector.Crash, Mark: "poison"})
	}
	var neighbours []*clientStream
	for i := range 4 {
		neighbours = append(neighbours, streamAt(t, fleet, i%3, fmt.Sprintf("neighbour-%d", i)))
	}
	body := fmt.Sprintf(`{"model":%q,"max_tokens":10,"messages":[{"role":"user","content":"poison"}]}`, fleettester.Model)
	headers := map[string]string{"X-Bergamotdale-Workspace": fleettester.Workspace, "X-Bergamotdale-Chat": "poisoned"}
	ctx, cancel := context.WithTimeout(t.Context(), 40*time.Second)
	defer cancel()
	assert.NilError(t, fleettester.Await(ctx, func() bool {
		response, _ := post(t, fleet.Router(0).URL+"/v1/chat/completions", headers, body)
		return response.StatusCode == http.StatusUnprocessableEntity
	}))
	crashes := 0
	for i := range fleet.Engines {
		crashes += fleet.EngineAt(i).Crashes()
	}
	// Three crashes quarantine a request; another router may start it once
	// more before it has heard of the third.
	assert.Assert(t, crashes >= 3 && crashes <= 4, "%d crashes", crashes)
	for i := range 3 {
		assert.NilError(t, fleettester.Await(ctx, func() bool {
			response, got := post(t, fleet.Router(i).URL+"/v1/chat/completions", headers, body)
			return response.StatusCode == http.StatusUnprocessableEntity && response.Header.Get("Retry-After") != "" && got != ""
		}))
	}
	for _, s := range neighbours {
		s.readAll(t)
		assert.Equal(t, s.refused, "")
		assert.Equal(t, s.text.String(), want)
	}
}

// Guards against new work for an endpoint that the VM list shows as draining
// (I5).
func TestDrainingEngineGetsNoNewWork(t *testing.T) {
	fleet := start(t, &fleettester.Fleet{Routers: 3, Engines: 4})
	request := func(i int) {
		body := fmt.Sprintf(`{"model":%q,"max_tokens":2,"messages":[{"role":"user","content":"chat %d"}]}`, fleettester.Model, i)
		response, got := post(t, fleet.Router(i%3).URL+"/v1/chat/completions",
			map[string]string{"X-Bergamotdale-Workspace": fleettester.Workspace}, body)
		assert.Equal(t, response.StatusCode, http.StatusOK, got)
	}
	fleet.SetVMState(fleet.EngineAt(0).Name, bergamotdale.VMDraining)
	// The list is read every period; the mark must be in force 3 s after that.
	deadline := time.Now().Add(fleet.Router(0).Settings.Periods.VMList + 3*time.Second)
	i := 0
	for ; time.Now().Before(deadline); i++ {
		request(i)
	}
	before := total(fleet, 0)
	for end := i + 60; i < end; i++ {
		request(i)
	}
	assert.Equal(t, total(fleet, 0), before)
}

// Guards against new work for an engine that reports that it is draining, while
// the VM list still shows it as live (I5).
func TestEngineThatReportsDrainingGetsNoNewWork(t *testing.T) {
	fleet := start(t, &fleettester.Fleet{Routers: 3, Engines: 4})
	fleet.EngineAt(0).Drain()
	// A load report every second, a probe every second, and then 3 s.
	deadline := time.Now().Add(5 * time.Second)
	i := 0
	request := func() {
		body := fmt.Sprintf(`{"model":%q,"max_tokens":2,"messages":[{"role":"user","content":"chat %d"}]}`, fleettester.Model, i)
		response, got := post(t, fleet.Router(i%3).URL+"/v1/chat/completions",
			map[string]string{"X-Bergamotdale-Workspace": fleettester.Workspace}, body)
		assert.Equal(t, response.StatusCode, http.StatusOK, got)
		i++
	}
	for time.Now().Before(deadline) {
		request()
	}
	before := fleet.EngineAt(0).Counters().Refused
	for range 60 {
		request()
	}
	assert.Equal(t, fleet.EngineAt(0).Counters().Refused, before)
	assert.Equal(t, total(fleet, 0), 0)
}

// total returns the number of requests that the engine has started.
func total(f *fleettester.Fleet, engine int) int {
	sum := 0
	for _, n := range f.EngineAt(engine).Counters().Starts {
		sum += n
	}
	return sum
}
