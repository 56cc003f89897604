package main

import (
	"bufio"
	"context"
	"fmt"
	"net/http"
	"strings"
	"sync"
	"time"
)

// silentStore makes the open connections between the routers and the store silent. New ones
// work. Shortly afterwards an engine reports that it leaves.
func silentStore(g *rig) (bool, error) {
	// Routes on which no key is needed, as allow-anonymous says.
	book := route("book", "unsafe", "app", 2000, 300, 1)
	book["allow-anonymous"] = true
	g.configure([]string{"app"}, book, g.streamRoute())
	var engines []*engine
	for i := range 4 {
		e, err := startEngine(g.store, g.ledger, fmt.Sprintf("i-%d", i+1), "app", "v1", 6, 20*time.Millisecond)
		if err != nil {
			return false, err
		}
		engines = append(engines, e)
		// The engines write their entries at different times.
		time.Sleep(heartbeat / 4)
	}
	if err := g.startRouters(3, hanbitWash); err != nil {
		return false, err
	}
	g.logf("3 routers are ready")
	time.Sleep(4 * time.Second)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	var group sync.WaitGroup
	g.startClients(ctx, &group, 2, work{key: "key-a", method: "POST", path: "/book/1", body: 200, budget: 4 * time.Second, pause: 20 * time.Millisecond})
	time.Sleep(time.Second)
	// At each router, some clients take up streams whose connections have broken.
	var streams sync.WaitGroup
	for i := range 8 {
		for _, r := range g.routers {
			streams.Go(func() {
				time.Sleep(time.Duration(i) * 110 * time.Millisecond)
				if err := g.resume(r); err != nil {
					g.logf("stream request at %s failed: %v", r.name, err)
				}
			})
		}
	}
	streams.Wait()
	time.Sleep(2 * time.Second)
	silentAt := time.Now()
	for _, r := range g.routers {
		n := r.store.open()
		if g.trouble {
			r.store.silence()
		}
		g.logf("%s has %d connections to the store, silent from now on: %t", r.name, n, g.trouble)
	}
	time.Sleep(300 * time.Millisecond)
	ack := engines[0].drain()
	g.logf("the store acknowledges that engine i-1 is draining (%s)", g.at(ack))
	time.Sleep(time.Until(ack.Add(hanbitWash.drain + 6*time.Second)))
	cancel()
	group.Wait()
	bound := ack.Add(hanbitWash.drain)
	if contact := silentAt.Add(hanbitWash.contact); contact.After(bound) {
		bound = contact
	}
	return g.judgeDrain("i-1", ack, bound), nil
}

// streamRoute returns a route whose streams may be resumed.
func (g *rig) streamRoute() map[string]any {
	r := route("stream", "streaming", "app", 15000, 2000, 2)
	r["stream-resume"], r["gap-aim-ms"] = true, 400
	return r
}

// resume begins a stream at the router, loses the connection after the first events and
// takes the stream up.
func (g *rig) resume(r *router) error {
	last := ""
	for part := range 2 {
		id := g.clients.nextID(r)
		request, err := http.NewRequest("POST", "http://"+r.clients+"/stream/1", nil)
		if err != nil {
			return err
		}
		request.Host = "app.example"
		request.Header.Set("Request-Id", id)
		request.Header.Set("Api-Key", "key-a")
		request.Header.Set("Time-Budget-Ms", "15000")
		if last != "" {
			request.Header.Set("Last-Event-Id", last)
		}
		transport := &http.Transport{DisableKeepAlives: true}
		response, err := transport.RoundTrip(request)
		if err != nil {
			return err
		}
		lines := bufio.NewScanner(response.Body)
		events := 0
		for lines.Scan() && (part > 0 || events < 5) {
			if text, ok := strings.CutPrefix(lines.Text(), "id: "); ok {
				last = text
				events++
			}
		}
		response.Body.Close()
		g.logf("stream request %s at %s: status %d, %d events, the last one is %s", id, r.name, response.StatusCode, events, last)
	}
	return nil
}

// judgeDrain records the requests that reached the engine after the bound, and reports
// whether there were none. A request counts only if it was sent after the bound too.
func (g *rig) judgeDrain(engineID string, ack, bound time.Time) bool {
	sent := map[string]attempt{}
	for _, a := range g.clients.all() {
		sent[a.id] = a
		g.logf("request %s sent at %s to %s, answer %d at %s %s", a.id, g.at(a.sentAt), a.router, a.status, g.at(a.answeredAt), a.err)
	}
	late, latest, total, byRouter := 0, time.Duration(0), 0, map[string]int{}
	for _, a := range g.ledger.all() {
		if a.run {
			continue
		}
		total++
		g.logf("request %s reached engine %s at %s", a.id, a.engine, g.at(a.at))
		if a.engine != engineID || !a.at.After(bound) || !sent[a.id].sentAt.After(bound) {
			continue
		}
		late++
		byRouter[sent[a.id].router]++
		latest = max(latest, a.at.Sub(ack))
	}
	summary := fmt.Sprintf("%d of %d requests were sent after %s and reached engine %s later than that, the last one %.3f s after the ack; by router: %v",
		late, total, g.at(bound), engineID, latest.Seconds(), byRouter)
	g.logf("%s", summary)
	fmt.Println(summary)
	return late == 0
}
