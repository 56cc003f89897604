package platformserver_test

import (
	"bytes"
	"context"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/juju/errors"
	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"github.com/bergamotdale/bergamotdale"
	"github.com/bergamotdale/bergamotdale/injector"
	"github.com/bergamotdale/bergamotdale/platformclient"
	"github.com/bergamotdale/bergamotdale/platformserver"
)

// start returns a function that makes a client of a caller.
func start(t *testing.T, s *platformserver.Server) func(caller string) *platformclient.Client {
	h := httptest.NewServer(s.Handler())
	t.Cleanup(h.Close)
	return func(caller string) *platformclient.Client {
		return &platformclient.Client{Addresses: []string{strings.TrimPrefix(h.URL, "http://")}, Caller: caller}
	}
}

// Guards against a blocked watch that counts more than once, and against
// calls counted for the wrong caller or kind.
func TestCounters(t *testing.T) {
	s := &platformserver.Server{}
	client, ctx := start(t, s), context.Background()
	a, b := client("a"), client("b")
	e, err := a.CompareAndSwap(ctx, "k", []byte("1"), 0)
	assert.NilError(t, err)
	watched := make(chan error)
	go func() {
		_, err := b.Watch(ctx, "k", e.Version, time.Minute)
		watched <- err
	}()
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if s.Counters().ByKind["watch"] == 1 {
			return poll.Success()
		}
		return poll.Continue("no watch yet")
	})
	_, err = a.CompareAndSwap(ctx, "other", []byte("1"), 0)
	assert.NilError(t, err)
	_, err = a.CompareAndSwap(ctx, "k", []byte("2"), e.Version)
	assert.NilError(t, err)
	assert.NilError(t, <-watched)
	c := s.Counters()
	assert.Equal(t, c.Total, int64(4))
	assert.DeepEqual(t, c.ByCaller, map[string]map[string]int64{"a": {"cas": 3}, "b": {"watch": 1}})
}

// Guards against a store that executes calls above its rate limit, and
// against a rejected call being reported as ambiguous.
func TestRateLimit(t *testing.T) {
	s := &platformserver.Server{WriteRate: 0.001}
	c := start(t, s)("a")
	// A bucket of less than one token rejects the first write already.
	_, err := c.CompareAndSwap(context.Background(), "k", []byte("1"), 0)
	assert.Assert(t, errors.Is(err, bergamotdale.ErrUnavailable), "%v", err)
	_, err = c.Get(context.Background(), "k")
	assert.Assert(t, errors.Is(err, bergamotdale.ErrNotFound), "%v", err)
	assert.Equal(t, s.Counters().Rejected, int64(1))
}

// Guards against a value of the largest size that is cut or refused, and
// against a larger one that is accepted.
func TestLargestValue(t *testing.T) {
	c, ctx := start(t, &platformserver.Server{})("a"), context.Background()
	largest := bytes.Repeat([]byte{0xff}, 1<<20)
	e, err := c.CompareAndSwap(ctx, "k", largest, 0)
	assert.NilError(t, err)
	read, err := c.Get(ctx, "k")
	assert.NilError(t, err)
	assert.Equal(t, read.Version, e.Version)
	assert.Assert(t, bytes.Equal(read.Value, largest))
	_, err = c.CompareAndSwap(ctx, "k", append(largest, 0), e.Version)
	assert.ErrorContains(t, err, "413")
}

// Guards against a key that is taken over from a live lease, and against keys
// that stay after their lease was revoked.
func TestLeaseOwnsKey(t *testing.T) {
	c, ctx := start(t, &platformserver.Server{})("a"), context.Background()
	first, err := c.GrantLease(ctx, time.Hour)
	assert.NilError(t, err)
	second, err := c.GrantLease(ctx, time.Hour)
	assert.NilError(t, err)
	assert.NilError(t, c.PutWithLease(ctx, "router/a", []byte("1"), first))
	err = c.PutWithLease(ctx, "router/a", []byte("2"), second)
	assert.Assert(t, errors.Is(err, bergamotdale.ErrConflict), "%v", err)
	assert.NilError(t, c.PutWithLease(ctx, "router/a", []byte("3"), first))
	entries, err := c.List(ctx, "router/")
	assert.NilError(t, err)
	assert.Equal(t, len(entries), 1)
	assert.Equal(t, string(entries[0].Value), "3")
	assert.NilError(t, c.RevokeLease(ctx, first))
	entries, err = c.List(ctx, "router/")
	assert.NilError(t, err)
	assert.Equal(t, len(entries), 0)
	assert.NilError(t, c.PutWithLease(ctx, "router/a", []byte("2"), second))
}

// Guards against a VM list without lag or disagreement between callers.
func TestVMListLags(t *testing.T) {
	s := &platformserver.Server{VMLagMin: time.Hour, VMLagMax: time.Hour}
	client, ctx := start(t, s), context.Background()
	before := []bergamotdale.VM{{Name: "vm-1", State: bergamotdale.VMLive}}
	after := []bergamotdale.VM{{Name: "vm-1", State: bergamotdale.VMDraining}}
	s.SetVMs(before)
	s.SetVMs(after)
	s.OverrideVMs("b", after)
	seen, err := client("a").ListVMs(ctx)
	assert.NilError(t, err)
	assert.DeepEqual(t, seen, before)
	seen, err = client("b").ListVMs(ctx)
	assert.NilError(t, err)
	assert.DeepEqual(t, seen, after)
	assert.Equal(t, s.Counters().ByCaller["b"]["vms"], int64(1))
}

// Guards against a held request that outlives its client, because the server
// didn't read its body, a call that waits longer than its timeout for a store that
// accepts and never answers, and against a list of addresses that stops there.
func TestSilentServer(t *testing.T) {
	silent := &platformserver.Server{Faults: &injector.Injector{}}
	silent.Faults.Add(injector.Fault{Kind: injector.Drop})
	c, other := start(t, silent)("a"), start(t, &platformserver.Server{})("a")
	c.Timeout = 50 * time.Millisecond
	ctx := context.Background()
	_, err := c.Get(ctx, "k")
	assert.Assert(t, errors.Is(err, bergamotdale.ErrUnavailable), "%v", err)
	_, err = c.CompareAndSwap(ctx, "k", nil, 0)
	assert.Assert(t, errors.Is(err, bergamotdale.ErrAmbiguous), "%v", err)
	c.Timeout = 5 * time.Second
	c.Addresses = append(c.Addresses, other.Addresses...)
	silent.Faults.Clear()
	silent.Faults.Add(injector.Fault{Kind: injector.Outage, Path: "/v1/kv/"})
	_, err = c.Get(ctx, "k")
	assert.Assert(t, errors.Is(err, bergamotdale.ErrNotFound), "%v", err)
}
