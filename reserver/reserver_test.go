package reserver_test

import (
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/bergamotdale/bergamotdale/reserver"
)

const (
	overhead = 10 << 10
	mib      = 1 << 20
	tick     = 100 * time.Millisecond
)

// client is a request with what it was told.
type client struct {
	holding *reserver.Holding
	drops   []reserver.Drop
}

func open(t assert.TestingT, r *reserver.Reserver, now time.Time, size int64) (*client, *reserver.Denial) {
	c := &client{}
	h, denial := r.Open(now, size, func(d reserver.Drop) { c.drops = append(c.drops, d) })
	assert.Equal(t, h == nil, denial != nil)
	if c.holding = h; h != nil {
		h.AwaitBody(now)
	}
	return c, denial
}

// Guards against a crowd that announces large bodies and stops short of their end, and
// holds the memory that callers need: in virtual time 50 such clients arrive every 100 ms
// for 20 s, beside one ordinary small request and, every second, a large one.
func TestCrowdGivesWay(t *testing.T) {
	const capacity = 16 * mib
	r := reserver.New(capacity, overhead)
	now := time.Unix(1000, 0)
	var crowd []*client
	large, largeServed := 0, 0
	for i := range 200 {
		now = now.Add(tick)
		for range 50 {
			if c, denial := open(t, r, now, mib); denial == nil {
				c.holding.RecordProgress(now, mib-1)
				crowd = append(crowd, c)
			} else {
				assert.Assert(t, !denial.Never && denial.Wait > 0)
			}
		}
		small, denial := open(t, r, now, 8<<10)
		assert.Assert(t, denial == nil, "an ordinary request is refused after %d ticks: %v", i, denial)
		assert.Assert(t, small.holding.RecordProgress(now, 8<<10) && small.holding.Settle())
		small.holding.Release()
		if i%10 == 9 {
			// A caller that is refused returns at the named time, and again.
			large++
			c, denial := open(t, r, now, mib)
			for try := 0; denial != nil && try < 5; try++ {
				c, denial = open(t, r, now.Add(denial.Wait+time.Millisecond), mib)
			}
			if denial == nil {
				largeServed++
				c.holding.Release()
			}
		}
		assert.Assert(t, r.Stats().Reserved <= capacity)
	}
	dropped := 0
	for _, c := range crowd {
		assert.Assert(t, len(c.drops) <= 1)
		dropped += len(c.drops)
		c.holding.Release()
	}
	assert.Equal(t, largeServed, large)
	assert.Equal(t, r.Stats().Dropped, int64(dropped))
	assert.Equal(t, r.Stats().Reserved, int64(0))
}

// Guards against a request that gives way while it progresses, runs at an endpoint, or
// while memory is left.
func TestWhoGivesWay(t *testing.T) {
	r := reserver.New(4*mib, overhead)
	now := time.Unix(1000, 0)
	running, _ := open(t, r, now, mib/2)
	assert.Assert(t, running.holding.Settle())
	steady, _ := open(t, r, now, mib/2)
	dripping, _ := open(t, r, now, mib)
	for range 50 {
		now = now.Add(tick)
		steady.holding.RecordProgress(now, 4<<10)
		dripping.holding.RecordProgress(now, 1)
	}
	last, denial := open(t, r, now, mib/2)
	assert.Assert(t, denial == nil && len(dripping.drops) == 0, "memory was left: %v", denial)
	_, denial = open(t, r, now, mib)
	assert.Assert(t, denial == nil, "%v", denial)
	assert.DeepEqual(t, dripping.drops, []reserver.Drop{{}})
	assert.Assert(t, !dripping.holding.RecordProgress(now, 1) && !dripping.holding.Settle())
	assert.Assert(t, dripping.holding.Grow(now, 1).Dropped)
	_, denial = open(t, r, now, 2*mib)
	assert.Assert(t, denial != nil && denial.Wait > 0)
	assert.Equal(t, len(running.drops)+len(steady.drops)+len(last.drops), 0)
}

// Guards against a client that leaves its response unread and holds what others need, and
// against one that is dropped while the endpoint works.
func TestUnreadResponseGivesWay(t *testing.T) {
	r := reserver.New(mib, overhead)
	now := time.Unix(1000, 0)
	c, _ := open(t, r, now, mib/2)
	assert.Assert(t, c.holding.Settle())
	now = now.Add(time.Minute)
	assert.Assert(t, !r.DropSlowest(now))
	c.holding.AwaitReader(now, 64<<10)
	assert.Assert(t, !r.DropSlowest(now.Add(2*time.Second)), "the client may take 2 s for 64 KiB and stall for 1.5 s")
	assert.Assert(t, r.DropSlowest(now.Add(4*time.Second)))
	assert.DeepEqual(t, c.drops, []reserver.Drop{{Writing: true, Connection: true}})
}

// Guards against a single request of legal size that is refused in calm, and against one
// that is told to return although it can never be held.
func TestSingleRequest(t *testing.T) {
	r := reserver.New(4*mib, overhead)
	now := time.Unix(1000, 0)
	alone, denial := open(t, r, now, 4*mib-overhead)
	assert.Assert(t, denial == nil, "%v", denial)
	alone.holding.Release()
	_, denial = open(t, r, now, 4*mib)
	assert.DeepEqual(t, denial, &reserver.Denial{Never: true})
}

// Guards against an account that drifts from what is held, or that exceeds the capacity.
func TestAccountIsExact(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const capacity = 4 * mib
		r := reserver.New(capacity, overhead)
		now := time.Unix(1000, 0)
		var clients []*client
		for range rapid.IntRange(1, 200).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 800).Draw(t, "pause")) * time.Millisecond)
			if len(clients) == 0 || rapid.Bool().Draw(t, "new") {
				if c, denial := open(t, r, now, int64(rapid.IntRange(0, 2*mib).Draw(t, "size"))); denial == nil {
					clients = append(clients, c)
				}
			} else {
				c := rapid.SampledFrom(clients).Draw(t, "client")
				switch rapid.IntRange(0, 4).Draw(t, "step") {
				case 0:
					_ = c.holding.Grow(now, int64(rapid.IntRange(0, mib).Draw(t, "growth")))
				case 1:
					c.holding.RecordProgress(now, rapid.IntRange(0, mib).Draw(t, "progress"))
				case 2:
					c.holding.Settle()
				case 3:
					c.holding.AwaitReader(now, 1<<10)
				case 4:
					c.holding.Release()
					clients = slices.DeleteFunc(clients, func(other *client) bool { return other == c })
				}
			}
			stats := r.Stats()
			assert.Assert(t, stats.Reserved >= 0 && stats.Reserved <= capacity)
			assert.Assert(t, stats.Requests > 0 || stats.Reserved == 0)
		}
	})
}
