package main

import (
	"context"
	"fmt"
	"strings"
	"sync"
	"time"
)

// backlog cuts the routers off from the store while the operator sends a series of changes of
// a large configuration. The last one moves a route to another service.
func backlog(g *rig) (bool, error) {
	routes := []map[string]any{route("book", "unsafe", "old", 2000, 300, 1)}
	routes[0]["allow-anonymous"] = true
	for i := range idleRoutes {
		routes = append(routes, route(fmt.Sprintf("idle%05d", i), "safe", "old", 2000, 300, 2))
	}
	services := []string{"old", "new"}
	g.configure(services, routes...)
	for i := range 4 {
		service := services[i%2]
		if _, err := startEngine(g.store, g.ledger, fmt.Sprintf("i-%d", i+1), service, "v1", 6, 20*time.Millisecond); err != nil {
			return false, err
		}
		time.Sleep(heartbeat / 4)
	}
	if err := g.startRouters(3, vrbenskyGrown); err != nil {
		return false, err
	}
	g.logf("3 routers are ready; the configuration has %d routes", len(routes))
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	var group sync.WaitGroup
	g.startClients(ctx, &group, 2, work{key: "key-a", method: "POST", path: "/book/1", body: 200, budget: 4 * time.Second, pause: 40 * time.Millisecond})
	time.Sleep(4 * time.Second)
	if g.trouble {
		for _, r := range g.routers {
			r.store.cut()
		}
		g.logf("the routers are cut off from the store")
	}
	cutAt := time.Now()
	time.Sleep(200 * time.Millisecond)
	for i := range stormChanges {
		routes[1+i]["timeout-ms"] = 2500
		if i == stormChanges-1 {
			routes[0]["service"] = "new"
		}
		ack := g.configure(services, routes...)
		g.logf("the store acknowledges version %d (%s)", g.version, g.at(ack))
		time.Sleep(stormGap)
	}
	moved := time.Now()
	time.Sleep(time.Until(cutAt.Add(cutTime)))
	healed := time.Now()
	if g.trouble {
		for _, r := range g.routers {
			r.store.heal()
		}
		g.logf("the cut has healed")
	}
	time.Sleep(30 * time.Second)
	cancel()
	group.Wait()
	bound := moved.Add(vrbenskyGrown.apply + vrbenskyGrown.outer)
	if contact := healed.Add(vrbenskyGrown.contact + vrbenskyGrown.outer); g.trouble && contact.After(bound) {
		bound = contact
	}
	return g.judgeOld(bound), nil
}

const (
	// idleRoutes are the routes of a big_config with count = 1400, and the 110 idle ones that
	// an installation has from the start.
	idleRoutes = 1400 + 110
	// stormChanges are those of two config_storms with for_s = 2.0 and gap_s = 0.08.
	stormChanges = 2 * 25
	stormGap     = 80 * time.Millisecond
	cutTime      = 5500 * time.Millisecond
)

// judgeOld records the requests that were sent after the bound and ran at the former service,
// and reports whether there were none.
func (g *rig) judgeOld(bound time.Time) bool {
	sent := map[string]attempt{}
	for _, a := range g.clients.all() {
		sent[a.id] = a
		g.logf("request %s sent at %s to %s, answer %d at %s %s", a.id, g.at(a.sentAt), a.router, a.status, g.at(a.answeredAt), a.err)
	}
	late, total, latest, byRouter := 0, 0, time.Time{}, map[string]int{}
	for _, a := range g.ledger.all() {
		if a.run {
			continue
		}
		if !strings.HasPrefix(a.path, "/book/") {
			continue
		}
		total++
		g.logf("request %s ran at engine %s of service %s at %s", a.id, a.engine, a.service, g.at(a.at))
		if a.service != "old" || !sent[a.id].sentAt.After(bound) {
			continue
		}
		late++
		byRouter[sent[a.id].router]++
		latest = sent[a.id].sentAt
	}
	summary := fmt.Sprintf("%d of %d requests were sent after %s and ran at the old service", late, total, g.at(bound))
	if late > 0 {
		summary += fmt.Sprintf(", the last one sent at %s; by router: %v", g.at(latest), byRouter)
	}
	g.logf("%s", summary)
	fmt.Println(summary)
	return late == 0
}
