package replicator_test

import (
	"context"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"
)

const (
	// evacuationGoal is the time from the acknowledgement of an evacuation until the last
	// request reaches the domain, while all routers are connected.
	evacuationGoal = 1250 * time.Millisecond
	// recordInterval is the time between two writes of an endpoint's record.
	recordInterval = 1200 * time.Millisecond
)

// Guards against an evacuation, or its end, that takes as long as the promise allows although
// nothing fails: through observers, while the records of endpoints change all the time.
func TestEvacuationReachesAConnectedFleet(t *testing.T) {
	for _, routers := range []int{35, 72, 360} {
		t.Run(fmt.Sprint(routers), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				ctx, cancel := context.WithCancel(context.Background())
				s := newSchedule(ctx, 1, routers)
				for _, r := range s.fleet.routers {
					r.run(ctx)
				}
				_ = pause(ctx, scheduleCalm, nil)
				s.fleet.done.Go(func() {
					for n := 0; pause(ctx, recordInterval/48, nil) == nil; n++ {
						s.fleet.store.write(fmt.Sprintf("%se%d", modelPrefix, n%48), modelRecord(false))
					}
				})
				var slowest time.Duration
				for n := range max(6, 720/routers) {
					var value []byte
					if n%2 == 0 {
						value = []byte("{}")
					}
					s.fleet.store.write("evacuate/z", value)
					acknowledged := time.Now()
					for _, r := range s.fleet.routers {
						for (r.directory.State().EvacuatedCount() > 0) != (value != nil) {
							_ = pause(ctx, 5*time.Millisecond, nil)
							assert.Assert(t, time.Since(acknowledged) <= evacuationGoal-sendMargin, "%s does not know of write %d", r.member.ID, n)
						}
					}
					slowest = max(slowest, time.Since(acknowledged))
					_ = pause(ctx, 370*time.Millisecond, nil)
				}
				t.Logf("the last of %d routers knew %s after the write at most", routers, slowest)
				cancel()
				s.fleet.done.Wait()
			})
		})
	}
}
