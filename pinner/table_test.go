package pinner_test

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/bergamotdale/bergamotdale"
	"github.com/bergamotdale/bergamotdale/pinner"
)

// Guards against a table that grows without bound, and against pins that are given out
// after their time.
func TestTableIsBounded(t *testing.T) {
	const limit = 32768
	var table pinner.Table
	now := time.UnixMilli(0)
	record := func(n int) pinner.Record {
		return pinner.Record{Stream: fmt.Sprint(n), Pin: pinner.Pin{Service: service, Version: "v1"}, LifetimeMS: 1000}
	}
	for n := range 2 * limit {
		table.Put(now, record(n))
		table.Put(now, record(n))
	}
	assert.Equal(t, table.Len(), limit)
	_, known := table.Get(now, fmt.Sprint(2*limit-1))
	assert.Assert(t, known)
	now = now.Add(time.Second)
	_, known = table.Get(now, fmt.Sprint(2*limit-1))
	assert.Assert(t, !known)
	table.Put(now, record(0))
	assert.Equal(t, table.Len(), 1)
}

// Guards against a decision for a version when several can have begun the stream, and
// against one for none when only one can.
func TestSoleVersion(t *testing.T) {
	sole := func(version string, period time.Duration, changed bool) pinner.Versions {
		return pinner.Versions{Present: []string{version}, SoleMS: period.Milliseconds(), Changed: changed}
	}
	mixed := pinner.Versions{Present: []string{"v1", "v2"}, Changed: true}
	long, short := time.Minute, time.Second
	for name, test := range map[string]struct {
		seen []pinner.Versions
		want string
	}{
		"nothing known":                           {nil, ""},
		"no endpoint":                             {[]pinner.Versions{{}}, ""},
		"one version for long":                    {[]pinner.Versions{sole("v1", long, false)}, "v1"},
		"one router has looked for long":          {[]pinner.Versions{sole("v1", short, false), sole("v1", long, false)}, "v1"},
		"no router has looked for long":           {[]pinner.Versions{sole("v1", short, false), sole("v1", short, false)}, ""},
		"two versions":                            {[]pinner.Versions{mixed}, ""},
		"two versions at another router":          {[]pinner.Versions{sole("v1", long, false), mixed}, ""},
		"another version at another router":       {[]pinner.Versions{sole("v1", long, false), sole("v2", long, false)}, ""},
		"another version has just gone":           {[]pinner.Versions{sole("v1", short, true)}, ""},
		"one router has seen another version go":  {[]pinner.Versions{sole("v1", long, false), sole("v1", short, true)}, ""},
		"another version has gone long ago":       {[]pinner.Versions{sole("v1", long, true)}, "v1"},
		"a router that knows no endpoint is left": {[]pinner.Versions{{}, sole("v1", long, false)}, "v1"},
	} {
		version, known := pinner.SoleVersion(test.seen, maxAge)
		assert.Equal(t, known, test.want != "", name)
		if known {
			assert.Equal(t, version, test.want, name)
		}
	}
}

// Guards against copies in one failure domain, and against an order that changes for
// routers that stay when another one leaves.
func TestOrder(t *testing.T) {
	var members []bergamotdale.Member
	for n := range 12 {
		members = append(members, bergamotdale.Member{ID: fmt.Sprint("router-", n), FailureDomain: fmt.Sprint("domain-", n%3)})
	}
	first := map[string]int{}
	for n := range 600 {
		stream := fmt.Sprint("stream-", n)
		order := pinner.Order(stream, members, len(members))
		assert.Equal(t, len(order), len(members))
		assert.Assert(t, order[0].FailureDomain != order[1].FailureDomain)
		first[order[0].ID]++
		assert.DeepEqual(t, pinner.Order(stream, members, 2), order[:2])
		without := pinner.Order(stream, members[:11], 11)
		if order[0].ID != "router-11" && order[1].ID != "router-11" {
			assert.Equal(t, without[0].ID, order[0].ID)
		}
	}
	for id, count := range first {
		assert.Assert(t, count < 150, "%s is first for %d of 600 streams", id, count)
	}
	members[0].State = bergamotdale.MemberDraining
	assert.Equal(t, len(pinner.Order("stream", members, 12)), 11)
}
