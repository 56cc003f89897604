package relayer_test

import (
	"fmt"
	"net"
	"net/http"
	"testing"

	"gotest.tools/v3/assert"
)

// Guards against reports of the load that have no effect on the choice of an endpoint,
// and against false ones that have: the endpoint that gets the first request says that
// all its slots are taken by requests of other routers.
func TestReportedLoad(t *testing.T) {
	for _, c := range []struct {
		load  string
		moves bool
	}{{"8,8,1", true}, {"8,9,1", false}, {"8,8,0", false}, {"8,8,90", false}} {
		var servers []*fakeEndpoint
		for range 2 {
			servers = append(servers, startEndpoint(t, func(_ int, r *http.Request, conn net.Conn) bool {
				_, err := fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nX-Id: %s\r\nX-Signed: 1\r\nX-Load: %s\r\nContent-Length: 0\r\n\r\n", r.Header.Get("X-Id"), c.load)
				return err == nil
			}))
		}
		server := startRelayer(t, atMostOnceRoute, servers...)
		for i := range 2 {
			req, err := http.NewRequest(http.MethodPost, server.URL+"/x", nil)
			assert.NilError(t, err)
			req.Host = "h"
			for name, value := range map[string]string{"X-Id": fmt.Sprint(i), "X-Key": "key", "X-Left": "5000", "X-Parts": "shared,own"} {
				req.Header.Set(name, value)
			}
			response, err := server.Client().Do(req)
			assert.NilError(t, err)
			response.Body.Close()
			assert.Equal(t, response.StatusCode, 200)
		}
		assert.Equal(t, servers[0].requestCount() == 1, c.moves, "load %s: %d and %d requests", c.load, servers[0].requestCount(), servers[1].requestCount())
	}
}
