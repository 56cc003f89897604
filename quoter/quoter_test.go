package quoter_test

import (
	"context"
	"errors"
	"fmt"
	"io"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/bergamotdale/bergamotdale"
	"github.com/bergamotdale/bergamotdale/hasher"
	"github.com/bergamotdale/bergamotdale/quoter"
)

const workspace = "brooms"

// fleet is a set of quoters that call each other directly, without a network.
type fleet struct {
	ids     []string
	quoters map[string]*quoter.Quoter
	calls   atomic.Int64
	// blocked reports whether calls from one router to another get no response.
	blocked func(from, to string) bool

	mu       sync.Mutex
	admitted []admittedRequest
	// longestWait is the longest time that Admit has taken.
	longestWait time.Duration
}

// admittedRequest is when a request was admitted and what it was charged.
type admittedRequest struct {
	at     time.Time
	tokens float64
}

// fakePeer implements quoter.Membership and bergamotdale.Peer for one router.
type fakePeer struct {
	fleet *fleet
	from  string
}

func (p fakePeer) Owners() []string { return p.fleet.ids }

func (p fakePeer) Member(id string) (bergamotdale.Member, bool) {
	return bergamotdale.Member{ID: id, Address: id}, true
}

func (p fakePeer) Call(ctx context.Context, address, _ string, request, response any) error {
	p.fleet.calls.Add(1)
	if p.fleet.blocked(p.from, address) {
		<-ctx.Done()
		return ctx.Err()
	}
	*response.(*quoter.Response) = p.fleet.quoters[address].Handle(request.(quoter.Request))
	return nil
}

func (p fakePeer) Stream(context.Context, string, string, any) (bergamotdale.FrameStream, error) {
	return nil, errors.ErrUnsupported
}

// emptyStream is a stream without output.
type emptyStream struct{}

func (emptyStream) Next() (bergamotdale.Frame, error) { return bergamotdale.Frame{}, io.EOF }
func (emptyStream) Close() error                      { return nil }

// runFleet runs a fleet in virtual time until the test function returns.
func runFleet(t *testing.T, routers int, rate float64, blocked func(from, to string) bool, test func(ctx context.Context, f *fleet)) {
	synctest.Test(t, func(t *testing.T) {
		f := &fleet{quoters: map[string]*quoter.Quoter{}, blocked: blocked}
		ctx, cancel := context.WithCancel(t.Context())
		var running sync.WaitGroup
		for i := range routers {
			f.ids = append(f.ids, fmt.Sprintf("router-%d", i))
		}
		for _, id := range f.ids {
			q := quoter.New(id, fakePeer{f, id}, fakePeer{f, id}, bergamotdale.SystemClock{})
			q.Rate = func(string) (float64, bool) { return rate, true }
			f.quoters[id] = q
		}
		for _, q := range f.quoters {
			running.Go(func() { _ = q.Run(ctx) })
		}
		test(ctx, f)
		cancel()
		running.Wait()
	})
}

// request admits one request at a router and records it.
func (f *fleet) request(ctx context.Context, router, prompt int) error {
	begin := time.Now()
	admission, err := f.quoters[f.ids[router]].Admit(ctx, bergamotdale.Completion{Workspace: workspace, PromptTokens: prompt})
	f.mu.Lock()
	defer f.mu.Unlock()
	f.longestWait = max(f.longestWait, time.Since(begin))
	if err == nil {
		f.admitted = append(f.admitted, admittedRequest{time.Now(), float64(prompt)})
		// The completion allows no output, so the charge equals the prompt.
		defer admission.Stream(emptyStream{}).Close()
	}
	return err
}

// flood runs one client per router for the duration. Each client pauses for the
// interval after each of its requests.
func (f *fleet) flood(ctx context.Context, prompt int, interval, duration time.Duration) {
	var clients sync.WaitGroup
	end := time.Now().Add(duration)
	for i := range f.ids {
		clients.Go(func() {
			for time.Now().Before(end) {
				_ = f.request(ctx, i, prompt)
				_ = bergamotdale.Wait(ctx, bergamotdale.SystemClock{}, interval)
			}
		})
	}
	clients.Wait()
}

// excess returns by how many tokens the worst period of the test is above the
// bound in the package comment of quoter. It is negative if all periods are below
// the bound.
func (f *fleet) excess(holders, rate float64) float64 {
	worst := -rate
	for i := range f.admitted {
		sum := 0.0
		for _, c := range f.admitted[i:] {
			sum += c.tokens
			length := c.at.Sub(f.admitted[i].at) + quoter.GrantTTL
			bound := holders*(rate*length.Seconds()+quoter.Burst(rate)) + rate*quoter.AllowanceTime.Seconds()
			worst = max(worst, sum-bound)
		}
	}
	return worst
}

// Guards against admission above the documented bound while some routers cannot
// reach a holder, and against a request that waits longer than MaxWait.
func TestAdmissionStaysWithinBound(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		routers := rapid.IntRange(1, 6).Draw(rt, "routers")
		rate := float64(rapid.IntRange(50, 5000).Draw(rt, "rate"))
		prompt := rapid.IntRange(1, 1500).Draw(rt, "prompt")
		interval := time.Duration(rapid.IntRange(20, 500).Draw(rt, "interval")) * time.Millisecond
		blockedPairs := rapid.SliceOfN(rapid.Bool(), routers*routers, routers*routers).Draw(rt, "lost")
		failAfter := time.Duration(rapid.IntRange(0, 5000).Draw(rt, "from")) * time.Millisecond
		index := map[string]int{}
		for i := range routers {
			index[fmt.Sprintf("router-%d", i)] = i
		}
		failed := &atomic.Bool{}
		blocked := func(a, b string) bool { return failed.Load() && blockedPairs[index[a]*routers+index[b]] }
		var excess float64
		var longestWait time.Duration
		runFleet(t, routers, rate, blocked, func(ctx context.Context, f *fleet) {
			f.flood(ctx, prompt, interval, failAfter)
			failed.Store(true)
			f.flood(ctx, prompt, interval, 8*time.Second)
			excess, longestWait = f.excess(2, rate), f.longestWait
		})
		assert.Assert(rt, excess <= 1e-3, "%.1f tokens above the bound", excess)
		assert.Assert(rt, longestWait <= quoter.MaxWait, longestWait)
	})
}

// Guards against a holder that grants more than the quota, and against a quota
// that is not used in full when every router needs more than its share.
func TestOverloadedWorkspaceGetsItsRate(t *testing.T) {
	for _, rate := range []float64{300, 2000, 20000} {
		never := func(string, string) bool { return false }
		runFleet(t, 6, rate, never, func(ctx context.Context, f *fleet) {
			f.flood(ctx, 150, 20*time.Millisecond, 10*time.Second)
			f.admitted = nil
			f.flood(ctx, 150, 20*time.Millisecond, 20*time.Second)
			sum := 0.0
			for _, c := range f.admitted {
				sum += c.tokens
			}
			fraction := sum / (rate * 20)
			t.Logf("rate %.0f: %.3f of the quota admitted, %d calls in 30 s", rate, fraction, f.calls.Load())
			assert.Assert(t, fraction > 0.8 && fraction < 1.2, "%.3f of the quota admitted", fraction)
			assert.Assert(t, f.excess(1, rate) <= 1e-3)
		})
	}
}

// Guards against a workspace that gets no grants because its holder has failed
// but is still a member, and against a refusal without a retry time.
func TestNextRouterTakesOver(t *testing.T) {
	const rate = 2000
	first := ""
	blocked := func(_, to string) bool { return to == first }
	runFleet(t, 4, rate, blocked, func(ctx context.Context, f *fleet) {
		first = hasher.First("quota/"+workspace, f.ids)
		f.flood(ctx, 400, 100*time.Millisecond, 20*time.Second)
		sum := 0.0
		for _, c := range f.admitted {
			sum += c.tokens
		}
		assert.Assert(t, sum > 0.8*rate*15, "%.0f tokens admitted", sum)
		var refusal *bergamotdale.Refusal
		for refusal == nil {
			errors.As(f.request(ctx, 0, 400), &refusal)
		}
		assert.Equal(t, refusal.Code, bergamotdale.CodeQuotaExceeded)
		assert.Equal(t, refusal.Outcome, bergamotdale.OutcomeNotRun)
		assert.Assert(t, refusal.RetryAfter > 0)
	})
}

// Guards against idle workspaces that still cause messages or use memory.
func TestIdleWorkspaceCostsNothing(t *testing.T) {
	never := func(string, string) bool { return false }
	runFleet(t, 3, 1000, never, func(ctx context.Context, f *fleet) {
		f.flood(ctx, 50, 100*time.Millisecond, 5*time.Second)
		clock := bergamotdale.SystemClock{}
		assert.NilError(t, bergamotdale.Wait(ctx, clock, 10*time.Second))
		before := f.calls.Load()
		assert.NilError(t, bergamotdale.Wait(ctx, clock, 2*quoter.IdleTimeout))
		assert.Equal(t, f.calls.Load(), before)
		for _, q := range f.quoters {
			assert.Equal(t, q.Workspaces(), 0)
		}
	})
}
