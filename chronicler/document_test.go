package chronicler_test

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/bergamotdale/bergamotdale"
	"github.com/bergamotdale/bergamotdale/chronicler"
	"github.com/bergamotdale/bergamotdale/subscriber"
)

const (
	service = "s"
	period  = time.Minute
)

// stateOf returns a state with one endpoint of each version.
func stateOf(versions ...string) *subscriber.State {
	var endpoints []subscriber.Endpoint
	for _, v := range versions {
		endpoints = append(endpoints, subscriber.Endpoint{EndpointRecord: bergamotdale.EndpointRecord{ID: "e-" + v, Service: service, Version: v}})
	}
	return subscriber.NewState(nil, endpoints)
}

// Guards against a version that is forgotten while its streams can still be taken up, by
// a router that saw it leave or by one that has started since.
func TestVersionIsListedUntilItsStreamsEnd(t *testing.T) {
	start := time.UnixMilli(1_800_000_000_000)
	var observer chronicler.Observation
	observer.Observe(start, stateOf("v1", "v2"))
	listed := observer.Next(start, 1, nil, period, true)
	assert.DeepEqual(t, listed.Services, map[string][]string{service: {"v1", "v2"}})
	assert.Assert(t, listed.Complete)
	left := start.Add(time.Hour)
	observer.Observe(left, stateOf("v1"))
	var started chronicler.Observation
	started.Observe(left.Add(time.Second), stateOf("v1"))
	for name, o := range map[string]*chronicler.Observation{"observer": &observer, "started": &started} {
		next := o.Next(left.Add(period-time.Second), 1, &listed, period, false)
		assert.DeepEqual(t, next.Services, map[string][]string{service: {"v1", "v2"}})
		assert.Assert(t, next.Complete, name)
		next = o.Next(left.Add(period+2*time.Second), 1, &listed, period, false)
		assert.DeepEqual(t, next.Services, map[string][]string{service: {"v1"}})
	}
}

// Guards against a document that counts as complete although versions may be missing: the
// store was restored from a copy, or has no document of a fleet that has run before.
func TestDocumentIsIncompleteUntilObserved(t *testing.T) {
	start := time.UnixMilli(1_800_000_000_000)
	copied := chronicler.Document{Era: 1, Complete: true, Services: map[string][]string{service: {"v1"}}}
	for name, current := range map[string]*chronicler.Document{"copy": &copied, "none": nil} {
		var o chronicler.Observation
		o.Observe(start, stateOf("v1"))
		assert.Assert(t, !o.Next(start.Add(period-time.Second), 2, current, period, false).Complete, name)
		assert.Assert(t, o.Next(start.Add(period), 2, current, period, false).Complete, name)
	}
	var o chronicler.Observation
	o.Observe(start, stateOf("v1"))
	assert.Assert(t, o.Next(start, 1, nil, period, true).Complete)
}

// Guards against a stream whose version the document does not list, over schedules of
// versions that come and go and come back, routers that start at any step, all of them
// too, and a store that is restored from a copy.
func TestDocumentOverSchedules(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const routers = 3
		now := time.UnixMilli(1_800_000_000_000)
		era := int64(1)
		var document, copied *chronicler.Document
		present := []string{"v0"}
		observers := make([]*chronicler.Observation, routers)
		start := func(n int) {
			observers[n] = &chronicler.Observation{}
			observers[n].Observe(now, stateOf(present...))
		}
		for n := range routers {
			start(n)
		}
		write := func(n int, first bool) {
			next := observers[n].Next(now, era, document, period, first)
			document = &next
		}
		write(0, true)
		began := map[string]time.Time{}
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 30000).Draw(t, "ms")) * time.Millisecond)
			n := rapid.IntRange(0, routers-1).Draw(t, "router")
			switch rapid.SampledFrom([]string{"add", "remove", "start", "start-all", "write", "write", "write", "restore", "copy"}).Draw(t, "action") {
			case "add":
				if v := fmt.Sprint("v", rapid.IntRange(0, 3).Draw(t, "version")); !slices.Contains(present, v) {
					present = append(present, v)
				}
			case "remove":
				if len(present) > 1 {
					i := rapid.IntRange(0, len(present)-1).Draw(t, "removed")
					present = slices.Delete(slices.Clone(present), i, i+1)
				}
			case "start":
				start(n)
			case "start-all":
				for n := range routers {
					start(n)
				}
			case "write":
				write(n, false)
			case "copy":
				copied = document
			case "restore":
				if copied != nil {
					era++
					document = copied
				}
			}
			for _, o := range observers {
				o.Observe(now, stateOf(present...))
			}
			for _, v := range present {
				if slices.Contains(document.Services[service], v) {
					began[v] = now
				}
			}
			for v, at := range began {
				if document.Complete && document.Era == era && now.Sub(at) < period {
					assert.Assert(t, slices.Contains(document.Services[service], v), "a stream of %s began %s ago, the document lists %v", v, now.Sub(at), document.Services)
				}
			}
		}
	})
}
