package gossiper_test

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"github.com/bergamotdale/bergamotdale"
	"github.com/bergamotdale/bergamotdale/gossiper"
	"github.com/bergamotdale/bergamotdale/peerclient"
)

// vmList is a bergamotdale.VMLister whose list the test fills.
type vmList struct {
	mu  sync.Mutex
	vms []bergamotdale.VM
}

func (l *vmList) ListVMs(context.Context) ([]bergamotdale.VM, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return append([]bergamotdale.VM(nil), l.vms...), nil
}

// handler serves the two kinds of messages that gossipers exchange.
func handler(g **gossiper.Gossiper) http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST "+peerclient.BasePath+gossiper.PingPath, func(w http.ResponseWriter, r *http.Request) {
		var request gossiper.PingRequest
		if json.NewDecoder(r.Body).Decode(&request) == nil {
			peerclient.WriteJSON(w, (*g).HandlePing(request))
		}
	})
	mux.HandleFunc("POST "+peerclient.BasePath+gossiper.IndirectPath, func(w http.ResponseWriter, r *http.Request) {
		var request gossiper.IndirectRequest
		if json.NewDecoder(r.Body).Decode(&request) == nil {
			peerclient.WriteJSON(w, (*g).HandleIndirect(r.Context(), request))
		}
	})
	return mux
}

// Guards against messages that lose content in HTTP or JSON, view changes that
// subscribers are not notified of, and a Run that does not return when its context
// is cancelled.
func TestRoutersMeetOverHTTP(t *testing.T) {
	config := gossiper.DefaultConfig()
	config.ProbeInterval = 200 * time.Millisecond
	vms := &vmList{}
	ctx, cancel := context.WithCancel(context.Background())
	var gossipers []*gossiper.Gossiper
	var clients []*peerclient.Client
	var running sync.WaitGroup
	for i := range 3 {
		var g *gossiper.Gossiper
		server := httptest.NewServer(handler(&g))
		defer server.Close()
		address := strings.TrimPrefix(server.URL, "http://")
		self := bergamotdale.Member{ID: fmt.Sprintf("router-%d", i), Address: address, Incarnation: 1}
		g = gossiper.New(config, self, bergamotdale.SystemClock{})
		client := peerclient.New()
		defer client.Close()
		g.Peer, g.Lister = client, vms
		vms.vms = append(vms.vms, bergamotdale.VM{Name: self.ID, Address: address, Role: "router", State: bergamotdale.VMLive})
		gossipers = append(gossipers, g)
		clients = append(clients, client)
	}
	changes := gossipers[0].Subscribe()
	for _, g := range gossipers {
		running.Go(func() { assert.Check(t, g.Run(ctx)) })
	}
	waitForAll := func(f func(g *gossiper.Gossiper) bool) {
		poll.WaitOn(t, func(poll.LogT) poll.Result {
			for _, g := range gossipers {
				if !f(g) {
					return poll.Continue("%v", g.Members())
				}
			}
			return poll.Success()
		}, poll.WithTimeout(20*time.Second), poll.WithDelay(10*time.Millisecond))
	}
	waitForAll(func(g *gossiper.Gossiper) bool { return len(g.Live()) == 3 && g.ListedRouters() == 3 })
	<-changes
	gossipers[1].SetDraining()
	gossipers[2].SpreadRumour("drain/engine-1", "on", 1, time.Minute)
	gossipers[0].SetStoreContact(time.Now())
	waitForAll(func(g *gossiper.Gossiper) bool {
		_, heard := g.View().Rumour("drain/engine-1", time.Now())
		_, contact := g.StoreContactAge()
		return heard && contact && len(g.Owners()) == 2
	})
	gossipers[1].Leave(ctx)
	waitForAll(func(g *gossiper.Gossiper) bool {
		m, _ := g.Member("router-1")
		return m.State == bergamotdale.MemberLeft
	})
	cancel()
	running.Wait()
	for i, g := range gossipers {
		s := g.Stats()
		sent, received := clients[i].Bytes()
		t.Logf("%d messages sent and %d received with %d and %d bytes; own connections carried %d and %d bytes",
			s.MessagesSent, s.MessagesReceived, s.BytesSent, s.BytesReceived, sent, received)
	}
}
