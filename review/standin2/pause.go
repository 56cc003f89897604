package main

import (
	"bufio"
	"fmt"
	"net/http"
	"strings"
	"sync"
	"syscall"
	"time"
)

const (
	// pauseAfter is when all streams pause, after the start, and pauseTime for how long.
	// Clients wait for 4 s: eight times gap-aim-ms.
	pauseAfter = 2500 * time.Millisecond
	pauseTime  = 3400 * time.Millisecond
	clientGap  = 4 * time.Second
)

// pauseOnRelease stops a router with SIGTERM while streams run. All engines pause in the middle
// of their streams. One of them is being replaced: it drains, closes its port after drain-ms and
// completes the streams that it has.
func pauseOnRelease(g *rig) (bool, error) {
	chat := route("chat", "streaming", "llm", 12000, 500, 1)
	chat["gap-aim-ms"] = 500
	g.configure([]string{"llm"}, chat)
	var engines []*engine
	for i := range 3 {
		e, err := startEngine(g.store, g.ledger, fmt.Sprintf("i-%d", i+1), "llm", "v1", 64, 0)
		if err != nil {
			return false, err
		}
		engines = append(engines, e)
		time.Sleep(heartbeat / 4)
	}
	if err := g.startRouters(3, vrbensky); err != nil {
		return false, err
	}
	g.logf("3 routers are ready")
	time.Sleep(4 * time.Second)
	results := make([]streamResult, 18)
	var group sync.WaitGroup
	began := time.Now()
	for i := range results {
		group.Go(func() { results[i] = g.stream(g.routers[0], "prompt", chatEvents) })
	}
	time.Sleep(time.Until(began.Add(300 * time.Millisecond)))
	if g.trouble {
		ack := engines[0].drain()
		g.logf("the store acknowledges that engine i-1 is draining (%s)", g.at(ack))
		time.AfterFunc(time.Until(ack.Add(vrbensky.drain+100*time.Millisecond)), func() {
			g.logf("engine i-1 takes no new connections, and completes its streams")
			_ = engines[0].listener.Close()
		})
	}
	time.Sleep(time.Until(began.Add(time.Second)))
	g.logf("SIGTERM to %s", g.routers[0].name)
	if err := g.routers[0].cmd.Process.Signal(syscall.SIGTERM); err != nil {
		return false, err
	}
	group.Wait()
	return g.judgeLost(results), nil
}

// judgeLost reports whether all streams that an engine ran are complete.
func (g *rig) judgeLost(results []streamResult) bool {
	at := map[string]string{}
	for _, a := range g.ledger.all() {
		at[a.id] = a.engine
	}
	lost, byEngine := 0, map[string]int{}
	for _, r := range results {
		g.logf("stream %s sent at %s ran at %s: status %d, %d events, ended at %s, complete: %t %v", r.id, g.at(r.sentAt), at[r.id], r.status, r.events, g.at(r.endedAt), r.complete, r.err)
		if at[r.id] != "" && !r.complete {
			lost++
			byEngine[at[r.id]]++
		}
	}
	summary := fmt.Sprintf("%d of %d streams that an engine ran ended without being complete; by engine: %v", lost, len(results), byEngine)
	g.logf("%s", summary)
	fmt.Println(summary)
	return lost == 0
}

// streamResult is what a client has got of a stream.
type streamResult struct {
	id              string
	sentAt, endedAt time.Time
	status, events  int
	complete        bool
	err             error
}

// stream sends a request and reads its stream to the end. The client gives up after a gap of clientGap.
func (g *rig) stream(r *router, body string, events int) streamResult {
	result := streamResult{id: g.clients.nextID(r), sentAt: time.Now()}
	request, err := http.NewRequest("POST", "http://"+r.clients+"/chat/1", strings.NewReader(body))
	if err != nil {
		panic(err)
	}
	request.Host = "app.example"
	request.Header.Set("Request-Id", result.id)
	request.Header.Set("Api-Key", "key-a")
	request.Header.Set("Time-Budget-Ms", "12000")
	transport := &http.Transport{DisableKeepAlives: true}
	response, err := transport.RoundTrip(request)
	if err != nil {
		result.endedAt, result.err = time.Now(), err
		return result
	}
	defer response.Body.Close()
	result.status = response.StatusCode
	patience := time.AfterFunc(clientGap, func() { _ = response.Body.Close() })
	defer patience.Stop()
	lines := bufio.NewScanner(response.Body)
	for lines.Scan() {
		if strings.HasPrefix(lines.Text(), "id: ") {
			result.events++
			patience.Reset(clientGap)
		}
	}
	result.endedAt, result.err = time.Now(), lines.Err()
	result.complete = result.err == nil && result.events == events
	return result
}
