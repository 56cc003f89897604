package main

import (
	"context"
	"fmt"
	"sync"
	"time"
)

// crashUnderHotKey crashes one of four engines once, while a tenant asks for the same thing
// often.
func crashUnderHotKey(g *rig) (bool, error) {
	g.configure([]string{"app"}, route("look", "safe", "app", 4000, 1000, 2))
	var engines []*engine
	start := func(id string) error {
		e, err := startEngine(g.store, g.ledger, id, "app", "v1", 6, 200*time.Millisecond)
		engines = append(engines, e)
		return err
	}
	for i := range 4 {
		if err := start(fmt.Sprintf("i-%d", i+1)); err != nil {
			return false, err
		}
		time.Sleep(heartbeat / 4)
	}
	if err := g.startRouters(3, hanbitWash); err != nil {
		return false, err
	}
	g.logf("3 routers are ready")
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	var group sync.WaitGroup
	hot := work{key: "key-a", method: "GET", path: "/look/7", budget: 4 * time.Second, pause: 100 * time.Millisecond, retries: true}
	g.startClients(ctx, &group, 20, hot)
	for i := range 8 {
		other := hot
		other.key, other.path = "key-b", fmt.Sprintf("/look/%d", 100+i)
		g.startClients(ctx, &group, 1, other)
	}
	time.Sleep(2 * time.Second)
	crashedAt := time.Now()
	if g.trouble {
		engines[0].crash()
		g.logf("engine i-1 has crashed")
	}
	time.Sleep(3 * time.Second)
	if g.trouble {
		if err := start("i-5"); err != nil {
			return false, err
		}
		g.logf("engine i-5 starts in its place")
	}
	time.Sleep(time.Until(crashedAt.Add(50 * time.Second)))
	cancel()
	group.Wait()
	return g.judgeStarved(crashedAt), nil
}

// judgeStarved reports whether no tenant was served less than a quarter as often as all.
func (g *rig) judgeStarved(crashedAt time.Time) bool {
	asked, served, last := map[string]int{}, map[string]int{}, map[string]time.Time{}
	for _, a := range g.clients.all() {
		g.logf("request %s of %s sent at %s to %s, answer %d at %s %s", a.id, a.key, g.at(a.sentAt), a.router, a.status, g.at(a.answeredAt), a.err)
		asked[a.key]++
		asked["all"]++
		if a.status == 200 && a.sealed {
			served[a.key]++
			served["all"]++
			last[a.key] = a.answeredAt
		}
	}
	for _, a := range g.ledger.all() {
		verb := "reached"
		if a.run {
			verb = "ran at"
		}
		g.logf("request %s %s engine %s at %s", a.id, verb, a.engine, g.at(a.at))
	}
	share := func(key string) float64 { return float64(served[key]) / float64(max(1, asked[key])) }
	held := true
	for _, key := range []string{"key-a", "key-b"} {
		summary := fmt.Sprintf("holder of %s: %d of %d served (%.3f; all: %.3f), the last one %.1f s after the crash",
			key, served[key], asked[key], share(key), share("all"), last[key].Sub(crashedAt).Seconds())
		g.logf("%s", summary)
		fmt.Println(summary)
		held = held && share(key) >= share("all")/4
	}
	return held
}
