package delayer_test

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/bergamotdale/bergamotdale/delayer"
)

const shortest = 300 * time.Millisecond

// Guards against refused clients that all retry at the same time: 1,000 requests
// are refused at the same moment.
func TestRetriesAreSpread(t *testing.T) {
	const slots = 10
	var count [slots]int
	for i := range 1000 {
		delay := delayer.RetryDelay(fmt.Sprint(i), shortest, 0, 0)
		assert.Assert(t, delay >= shortest && delay < 2*shortest)
		count[int((delay-shortest)*slots/shortest)]++
	}
	for _, n := range count {
		assert.Assert(t, n > 50 && n < 150, "%v", count)
	}
}

// Guards against urgent requests that are retried later than less urgent ones.
func TestUrgentRequestsRetryFirst(t *testing.T) {
	mean := func(priority int) time.Duration {
		sum := time.Duration(0)
		for i := range 200 {
			sum += delayer.RetryDelay(fmt.Sprint(i), shortest, priority, 0)
		}
		return sum / 200
	}
	assert.Assert(t, mean(0) < mean(1) && mean(1) < mean(2))
	assert.Equal(t, delayer.RetryDelay("x", shortest, 9, 0), delayer.RetryDelay("x", shortest, 4, 0))
}

// Guards against a delay that is longer than the client waits, and against a delay
// for requests whose retry can't succeed.
func TestDelayWithinTimeLeft(t *testing.T) {
	assert.Equal(t, delayer.RetryDelay("x", shortest, 0, 400*time.Millisecond), 100*time.Millisecond)
	assert.Equal(t, delayer.RetryDelay("x", 0, 0, time.Second), time.Duration(0))
}
