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

// start serves the platform and returns a function that creates the client of a
// caller.
func start(t *testing.T, s *platformserver.Server) func(caller string) *platformclient.Client {
	h := httptest.NewServer(s.Handler())
	t.Cleanup(h.Close)
	return func(caller string) *platformclient.Client {
		return &platformclient.Client{Addresses: []string{strings.TrimPrefix(h.URL, "http://")}, Caller: caller}
	}
}

// Guards against a watch that is counted more than once while it blocks, and
// against calls that are counted for the wrong caller or kind.
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
	// The bucket holds less than one token, so even the first write is rejected.
	_, err := c.CompareAndSwap(context.Background(), "k", []byte("1"), 0)
	assert.Assert(t, errors.Is(err, bergamotdale.ErrUnavailable), "%v", err)
	_, err = c.Get(context.Background(), "k")
	assert.Assert(t, errors.Is(err, bergamotdale.ErrNotFound), "%v", err)
	assert.Equal(t, s.Counters().Rejected, int64(1))
}

// Guards against a value of the maximum size that is truncated or rejected, and
// against a larger one that is accepted. The client has no timeout that the race
// detector on a busy machine could exceed: the test checks content, not speed.
func TestLargestValue(t *testing.T) {
	c, ctx := start(t, &platformserver.Server{})("a"), context.Background()
	c.Timeout = time.Minute
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

// Guards against a key that another lease can take over from a valid one, and
// against keys that remain after their lease was revoked.
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

// Guards against a VM list whose changes are visible without delay, and against
// an override that does not apply to its caller or applies to others.
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

// Guards against three failures with a server that accepts connections but never
// responds: the server keeps the request after the client has gone, because it
// did not read the body and so does not notice the disconnect; the client waits
// longer than its timeout; and the client does not try the next address.
func TestUnresponsiveServer(t *testing.T) {
	unresponsive := &platformserver.Server{Faults: &injector.Injector{}}
	unresponsive.Faults.Add(injector.Fault{Kind: injector.Drop})
	c, other := start(t, unresponsive)("a"), start(t, &platformserver.Server{})("a")
	c.Timeout = 50 * time.Millisecond
	ctx := context.Background()
	_, err := c.Get(ctx, "k")
	assert.Assert(t, errors.Is(err, bergamotdale.ErrUnavailable), "%v", err)
	_, err = c.CompareAndSwap(ctx, "k", nil, 0)
	assert.Assert(t, errors.Is(err, bergamotdale.ErrAmbiguous), "%v", err)
	c.Timeout = 5 * time.Second
	c.Addresses = append(c.Addresses, other.Addresses...)
	unresponsive.Faults.Clear()
	unresponsive.Faults.Add(injector.Fault{Kind: injector.Outage, Path: "/v1/kv/"})
	_, err = c.Get(ctx, "k")
	assert.Assert(t, errors.Is(err, bergamotdale.ErrNotFound), "%v", err)
}
