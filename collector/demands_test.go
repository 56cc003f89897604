package collector_test

import (
	"context"
	"encoding/json"
	"fmt"
	"testing"
	"time"

	"go.uber.org/zap"
	"gotest.tools/v3/assert"

	"github.com/bergamotdale/bergamotdale"
	"github.com/bergamotdale/bergamotdale/collector"
	"github.com/bergamotdale/bergamotdale/tracker"
)

// fakeAdmission has a fixed demand and records that of the others.
type fakeAdmission struct {
	own, others collector.Demands
}

func (a *fakeAdmission) Demands() collector.Demands                  { return a.own }
func (a *fakeAdmission) SetDemands(_ time.Time, d collector.Demands) { a.others = d }

// Guards against demand that is counted twice, includes that of the router itself, is
// lost between failure domains, or covers routers of an earlier version, which tell none.
func TestDemandOfAFleet(t *testing.T) {
	const routers, earlier = 72, 12
	all := members(routers, 4)
	fleet := map[string]*collector.Collector{}
	admissions := map[string]*fakeAdmission{}
	for i, m := range all {
		c := &collector.Collector{
			Self: m.ID, Clock: &fixedClock{now: start}, Tracker: tracker.New(), Peer: fleetPeer{routers: fleet}, Logger: zap.NewNop(),
			Members: func() []bergamotdale.Member { return all },
		}
		if i >= earlier {
			admissions[m.ID] = &fakeAdmission{own: collector.Demands{Covers: 1}}
			admissions[m.ID].own.Add("s", 2, 0.125)
			c.Demand = admissions[m.ID]
		}
		fleet[m.ID] = c
	}
	for range 3 {
		for _, m := range all {
			fleet[m.ID].ReportOnce(context.Background())
		}
	}
	for id, a := range admissions {
		requests, work := a.others.Of("s")
		assert.Equal(t, a.others.Covers, routers-earlier-1, id)
		assert.Equal(t, requests, 2*float64(routers-earlier-1), id)
		assert.Equal(t, work, 0.125*float64(routers-earlier-1), id)
	}
}

// Guards against messages that are larger than the interval allows for, and against a
// field in those of a router without admission.
func TestSizeOfDemands(t *testing.T) {
	d := collector.Demands{Covers: 359}
	for i := range 32 {
		d.Add(fmt.Sprintf("service-%02d", i), 12345.678, 1234.567)
	}
	data, err := json.Marshal(d)
	assert.NilError(t, err)
	assert.Assert(t, len(data) <= 32*40+40, "%d bytes", len(data))
	interval := collector.IntervalWithDemands(750, 32, false)
	assert.Assert(t, float64(700+20*750+32*40)/interval.Seconds() <= 7501)
	data, err = json.Marshal(collector.LoadReport{Router: "r"})
	assert.NilError(t, err)
	assert.Equal(t, string(data), `{"router":"r"}`)
}

// Guards against the demand of a faulty router that makes all others refuse what they could
// serve, or that is no number.
func TestImpossibleDemandIsLimited(t *testing.T) {
	for _, pair := range [][2]int64{{1, 1 << 62}, {1 << 62, 1 << 62}, {-5000, -1}, {-1 << 62, 5}, {0, 7}} {
		requests, work := collector.Demands{Services: map[string][2]int64{"s": pair}}.Of("s")
		assert.Assert(t, requests >= 0 && requests <= 1e6 && work >= 0 && work <= 3600*requests, "%v: %g requests, %g s", pair, requests, work)
	}
}
