package router_test

import (
	"fmt"
	"net/http"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/bergamotdale/bergamotdale/fleettester"
	"github.com/bergamotdale/bergamotdale/validator"
)

// Guards against a workspace that gets more than its quota because it sends
// requests through several routers, and against routers that do not enforce it.
// A workspace that gets much less than its quota shows only in the logged rate,
// which has no lower bound here. The clients wait for each response, so the quota
// is small enough that they exceed it on a slow machine too.
func TestQuotaHoldsAcrossRouters(t *testing.T) {
	const rate, output, seconds = 600, 40, 8
	fleet := startFleet(t, &fleettester.Fleet{Routers: 3, Engines: 4, AdjustDocument: func(d *validator.Document) {
		d.Workspaces[0].TokensPerSecond = rate
	}})
	body := fmt.Sprintf(`{"model":%q,"max_tokens":%d,"messages":[{"role":"user","content":"linen"}]}`, fleettester.Model, output)
	var mu sync.Mutex
	var burstUsedAt time.Time
	served, refused := 0, map[int]int{}
	sendRequest := func(router, chat int) {
		headers := map[string]string{"X-Bergamotdale-Workspace": fleettester.Workspace, "X-Bergamotdale-Chat": fmt.Sprint(chat)}
		response, text := post(t, fleet.Router(router).URL+"/v1/chat/completions", headers, body)
		mu.Lock()
		defer mu.Unlock()
		if response.StatusCode == http.StatusTooManyRequests {
			assert.Check(t, response.Header.Get("Retry-After") != "", text)
			if refused[router]++; burstUsedAt.IsZero() {
				// The first refusal shows that the initial burst is used up.
				burstUsedAt = time.Now()
			}
			return
		}
		if response.StatusCode == http.StatusOK && !burstUsedAt.IsZero() && time.Since(burstUsedAt) < seconds*time.Second {
			served += output
		}
	}
	var clients sync.WaitGroup
	end := time.Now().Add((seconds + 4) * time.Second)
	for i := range 24 {
		clients.Go(func() {
			for time.Now().Before(end) {
				sendRequest(i%3, i)
			}
		})
	}
	clients.Wait()
	t.Logf("%.0f output tokens/s of a quota of %d, refused per router: %v", float64(served)/seconds, rate, refused)
	assert.Equal(t, len(refused), 3)
	assert.Assert(t, float64(served) < 1.2*rate*seconds)
}
