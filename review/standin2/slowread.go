package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"syscall"
	"time"
)

const (
	// readLater is how long an engine leaves the rest of a long body unread.
	readLater = 3500 * time.Millisecond
	// longBody is the size of the body; the limit of the configuration is 4 MiB.
	longBody = 1 << 20
	// window is the size of the engine's receive buffer.
	window = 16 << 10
	// slowEvents is the number of events of the answer, one each 100 ms.
	slowEvents = 45
)

// slowRead stops a router with SIGTERM while engines answer requests whose long bodies they read
// slowly.
func slowRead(g *rig) (bool, error) {
	chat := route("chat", "streaming", "llm", 12000, 500, 1)
	chat["gap-aim-ms"] = 500
	g.configure([]string{"llm"}, chat)
	for i := range 3 {
		if err := g.startSlowReader(fmt.Sprintf("i-%d", i+1)); err != nil {
			return false, err
		}
	}
	if err := g.startRouters(3, vrbensky); err != nil {
		return false, err
	}
	g.logf("3 routers are ready")
	time.Sleep(4 * time.Second)
	results := make([]streamResult, 12)
	var group sync.WaitGroup
	began := time.Now()
	body := strings.Repeat("prompt ", longBody/7)
	for i := range results {
		group.Go(func() { results[i] = g.stream(g.routers[0], body, slowEvents) })
	}
	time.Sleep(time.Until(began.Add(500 * time.Millisecond)))
	g.logf("SIGTERM to %s", g.routers[0].name)
	if err := g.routers[0].cmd.Process.Signal(syscall.SIGTERM); err != nil {
		return false, err
	}
	group.Wait()
	return g.judgeLost(results), nil
}

// startSlowReader starts an engine that answers at once and reads on later.
func (g *rig) startSlowReader(id string) error {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return err
	}
	go func() {
		for {
			c, err := listener.Accept()
			if err != nil {
				return
			}
			// The windows are small.
			_ = c.(*net.TCPConn).SetReadBuffer(window)
			go g.serveSlowly(id, c)
		}
	}()
	g.store.put("servers/"+id, map[string]any{
		"service": "llm", "address": listener.Addr().String(), "zone": "z1", "version": "v1", "slots": 64, "state": "ready",
		"cold-left-ms": 0, "sequence": 1, "born": time.Now().UnixMilli(),
	})
	return nil
}

func (g *rig) serveSlowly(engineID string, c net.Conn) {
	defer c.Close()
	reader := bufio.NewReader(c)
	for {
		r, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		id := r.Header.Get("Request-Id")
		if expected := r.Header.Get("Expect-Instance"); id == "" || expected != engineID {
			return
		}
		g.ledger.add(arrival{at: time.Now(), id: id, path: r.URL.Path, engine: engineID, service: "llm"})
		read := make(chan error, 1)
		go func() {
			if g.trouble {
				time.Sleep(readLater)
			}
			_, err := io.Copy(io.Discard, r.Body)
			read <- err
		}()
		_, err = fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nRequest-Id: %s\r\nResponse-Seal: seal.%s\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n", id, id)
		for n := 1; n <= slowEvents && err == nil; n++ {
			event := fmt.Sprintf("id: %d\ndata: %s\n\n", n, id)
			_, err = fmt.Fprintf(c, "%x\r\n%s\r\n", len(event), event)
			time.Sleep(100 * time.Millisecond)
		}
		if err == nil {
			_, err = io.WriteString(c, "0\r\n\r\n")
		}
		readErr := <-read
		g.logf("engine %s has written the answer to %s: %v, and read the body: %v", engineID, id, err, readErr)
		if err != nil || readErr != nil {
			return
		}
	}
}
