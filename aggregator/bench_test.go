package aggregator_test

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/bergamotdale/bergamotdale"
	"github.com/bergamotdale/bergamotdale/aggregator"
	"github.com/bergamotdale/bergamotdale/peerclient"
)

// BenchmarkReport measures the bytes, headers included, and the CPU time of both
// sides for one report of one endpoint to the aggregating router over HTTP.
func BenchmarkReport(b *testing.B) {
	for _, endpoints := range []int{6, 12, 23, 46} {
		b.Run(fmt.Sprintf("endpoints=%d", endpoints), func(b *testing.B) {
			a := aggregator.New("router-001", nil, nil, bergamotdale.SystemClock{})
			server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, req *http.Request) {
				var r aggregator.LoadRequest
				if err := json.NewDecoder(req.Body).Decode(&r); err != nil {
					http.Error(w, err.Error(), http.StatusBadRequest)
					return
				}
				peerclient.WriteJSON(w, a.HandleLoad(r))
			}))
			defer server.Close()
			client := peerclient.New()
			defer client.Close()
			address := strings.TrimPrefix(server.URL, "http://")
			report := func(i int) {
				var response aggregator.LoadResponse
				assert.NilError(b, client.Call(context.Background(), address, aggregator.LoadPath, aggregator.LoadRequest{
					Group: "model-07", From: fmt.Sprintf("router-%03d", i%endpoints),
					Loads: []aggregator.EndpointLoad{{Endpoint: fmt.Sprintf("engine-%03d", i%endpoints), Epoch: 12, Load: i % 9}},
				}, &response))
			}
			for i := range endpoints {
				report(i)
			}
			sent, received := client.Bytes()
			cpu := cpuTime()
			i := 0
			for b.Loop() {
				report(i)
				i++
			}
			cpu = cpuTime() - cpu
			sentAfter, receivedAfter := client.Bytes()
			b.ReportMetric(float64(sentAfter+receivedAfter-sent-received)/float64(b.N), "B/report")
			b.ReportMetric(float64(cpu.Microseconds())/float64(b.N), "cpu-us/report")
		})
	}
}

// BenchmarkTable measures handling a report without the network.
func BenchmarkTable(b *testing.B) {
	for _, endpoints := range []int{6, 12, 23, 46, 750} {
		b.Run(fmt.Sprintf("endpoints=%d", endpoints), func(b *testing.B) {
			a := aggregator.New("router-001", nil, nil, bergamotdale.SystemClock{})
			requests := make([]aggregator.LoadRequest, endpoints)
			for i := range requests {
				requests[i] = aggregator.LoadRequest{
					Group: "model-07", Loads: []aggregator.EndpointLoad{{Endpoint: fmt.Sprintf("engine-%03d", i), Load: i % 9}},
				}
				a.HandleLoad(requests[i])
			}
			i := 0
			b.ReportAllocs()
			for b.Loop() {
				a.HandleLoad(requests[i%endpoints])
				i++
			}
		})
	}
}

// cpuTime returns the user and system CPU time of the process, 0 if unknown.
func cpuTime() time.Duration {
	var u syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &u); err != nil {
		return 0
	}
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}
