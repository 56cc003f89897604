package router_test

import (
	"fmt"
	"testing"

	"github.com/bergamotdale/bergamotdale/elector"
	"github.com/bergamotdale/bergamotdale/placer"
	"github.com/bergamotdale/bergamotdale/sharder"
)

// BenchmarkView measures the computation of a view after a change of the
// membership or the configuration: the owners of all endpoints and shards, and
// the placement candidates of all 33 model groups.
func BenchmarkView(b *testing.B) {
	for _, routers := range []int{45, 90, 180, 360} {
		b.Run(fmt.Sprintf("routers=%d", routers), func(b *testing.B) {
			names := sharder.Names()
			groups := make([][]placer.Candidate, 33)
			for i := range routers * 750 / 360 {
				name := fmt.Sprintf("engine-%04d", i)
				names = append(names, name)
				groups[i%33] = append(groups[i%33], placer.Candidate{Name: name, FailureDomain: fmt.Sprint(i % 4), Weight: 1})
			}
			owners := make([]string, routers)
			for i := range owners {
				owners[i] = fmt.Sprintf("router-%03d", i)
			}
			b.ReportAllocs()
			for b.Loop() {
				elector.DesiredOwners(names, owners)
				for _, g := range groups {
					placer.NewGroup(g, placer.DefaultSlowStart)
				}
			}
			b.ReportMetric(float64(b.Elapsed().Nanoseconds())/float64(b.N)/float64(len(names)*routers), "ns/name/router")
		})
	}
}
