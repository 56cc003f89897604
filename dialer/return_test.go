package dialer_test

import (
	"context"
	"net"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/bergamotdale/bergamotdale/dialer"
)

// Guards against a young connection that is taken again and again although an older one is
// idle, which may prove that the endpoint has not started again.
func TestReturnedConnectionMakesWayForAnOlderOne(t *testing.T) {
	now := time.Minute
	d := &dialer.Dialer{Elapsed: func() time.Duration { return now }}
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	defer listener.Close()
	address := listener.Addr().String()
	ctx := context.Background()
	old, err := d.Get(ctx, address)
	assert.NilError(t, err)
	now += time.Second
	young, err := d.Get(ctx, address)
	assert.NilError(t, err)
	d.Release(old)
	d.Release(young)
	first, err := d.Get(ctx, address)
	assert.NilError(t, err)
	assert.Equal(t, d.Age(first), time.Duration(0))
	d.Return(first)
	second, err := d.Get(ctx, address)
	assert.NilError(t, err)
	assert.Equal(t, d.Age(second), time.Second)
	second.Close()
}
