package main

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

// attempt is one client attempt and its answer.
type attempt struct {
	id, router, path, key string
	sentAt                time.Time
	answeredAt            time.Time
	status                int
	sealed                bool
	err                   string
}

// clients send requests to routers.
type clients struct {
	mu       sync.Mutex
	attempts []attempt
	count    int
}

// nextID returns a request ID that names the router.
func (c *clients) nextID(r *router) string {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.count++
	return fmt.Sprintf("%s-%06x", r.name, c.count)
}

func (c *clients) all() []attempt {
	c.mu.Lock()
	defer c.mu.Unlock()
	return append([]attempt(nil), c.attempts...)
}

// run sends a request to the router at each pause on a kept connection, until the context
// is done.
func (c *clients) run(ctx context.Context, r *router, w work) {
	transport := &http.Transport{DisableCompression: true, MaxIdleConnsPerHost: 1}
	defer transport.CloseIdleConnections()
	client := &http.Client{Transport: transport, Timeout: w.budget}
	for ctx.Err() == nil {
		if wait := c.send(client, r, w); wait > 0 && w.retries {
			// A client honours Retry-After, for a third of its time at most.
			select {
			case <-ctx.Done():
			case <-time.After(min(wait, w.budget/3)):
				c.send(client, r, w)
			}
		}
		select {
		case <-ctx.Done():
		case <-time.After(w.pause/2 + rand.N(w.pause)):
		}
	}
}

// work is what a client sends.
type work struct {
	key, method, path string
	// body is the size of the body.
	body          int
	budget, pause time.Duration
	// retries makes the client send a refused request once more.
	retries bool
}

// send sends a request, and returns the time after which the router wants it again, zero if
// it was not refused.
func (c *clients) send(client *http.Client, r *router, w work) time.Duration {
	retryAfter := time.Duration(0)
	method, path, body, budget := w.method, w.path, w.body, w.budget
	a := attempt{id: c.nextID(r), router: r.name, path: path, key: w.key}
	var content io.Reader
	if body > 0 {
		content = strings.NewReader(strings.Repeat("b", body))
	}
	request, err := http.NewRequest(method, "http://"+r.clients+path, content)
	if err != nil {
		panic(err)
	}
	request.GetBody = nil
	request.Host = "app.example"
	request.Header.Set("Request-Id", a.id)
	request.Header.Set("Api-Key", w.key)
	request.Header.Set("Time-Budget-Ms", fmt.Sprint(budget.Milliseconds()))
	a.sentAt = time.Now()
	response, err := client.Do(request)
	if err == nil {
		_, err = io.Copy(io.Discard, response.Body)
		response.Body.Close()
		if seconds, parseErr := strconv.ParseFloat(response.Header.Get("Retry-After"), 64); parseErr == nil {
			retryAfter = time.Duration(seconds * float64(time.Second))
		}
		a.status, a.sealed = response.StatusCode, response.Header.Get("Response-Seal") != ""
	}
	a.answeredAt = time.Now()
	if err != nil {
		a.err = err.Error()
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.attempts = append(c.attempts, a)
	return retryAfter
}
