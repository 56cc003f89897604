package main

import (
	"errors"
	"fmt"
	"os"
	"os/signal"
	"sync"
	"syscall"
	"time"
)

// stage holds all parts of a case.
type stage struct {
	// trouble is false if the case is played without its disruption.
	trouble bool
	record  *record
	folder  string
	store   *store
	runs    *runs
	engines []*engine
	routers []*router
	// done is closed at the end.
	done chan struct{}
	// version is that of the configuration in the store.
	version int
	// withoutLookups is set while the configuration has no route for lookups.
	withoutLookups bool
	closing        sync.Once

	mu sync.Mutex
	// losses are the requests that a router passed on and did not answer, by router.
	losses map[string][]string
	// answers counts the answers by status.
	answers map[int]int
}

func newStage(rec *record, trouble bool) (*stage, error) {
	folder, err := os.MkdirTemp("", "review-")
	if err != nil {
		return nil, err
	}
	s := &stage{
		trouble: trouble, record: rec, folder: folder, runs: newRuns(), done: make(chan struct{}),
		losses: map[string][]string{}, answers: map[int]int{},
	}
	if s.store, err = newStore(); err != nil {
		return nil, err
	}
	return s, nil
}

// addEngines starts engines of a service and registers them.
func (s *stage) addEngines(count int, service string, work map[string]time.Duration) error {
	for range count {
		e, err := newEngine(fmt.Sprintf("i-%08x", 0x7f3a91c2+len(s.engines)), service, s.runs, s.record, work)
		if err != nil {
			return err
		}
		s.engines = append(s.engines, e)
		if err := s.store.put("servers/"+e.id, e.document(time.Now())); err != nil {
			return err
		}
	}
	return nil
}

// startRouters starts routers and waits until all are ready.
func (s *stage) startRouters(count, memoryMB int) error {
	for i := range count {
		r, err := newRouter(i, s.folder, memoryMB, s.record)
		if err != nil {
			return err
		}
		s.routers = append(s.routers, r)
	}
	if err := s.writeSeeds(s.routers); err != nil {
		return err
	}
	for _, r := range s.routers {
		if err := r.start(); err != nil {
			return err
		}
	}
	limit := time.Now().Add(startLimit)
	for _, r := range s.routers {
		for !r.isReady() {
			if time.Now().After(limit) {
				return errors.New("a router did not become ready")
			}
			<-time.After(50 * time.Millisecond)
		}
		go r.probe(s.done)
		go r.limitMemory(s.done)
	}
	return nil
}

// rotation returns the routers to which the platform sends new connections.
func (s *stage) rotation() []*router {
	var rotation []*router
	for _, r := range s.routers {
		if r.inRotation.Load() {
			rotation = append(rotation, r)
		}
	}
	return rotation
}

// writeSeeds writes the settings of the machines, with the first three as seeds.
func (s *stage) writeSeeds(machines []*router) error {
	var seeds []string
	for _, r := range machines[:min(3, len(machines))] {
		seeds = append(seeds, r.peers)
	}
	for _, r := range machines {
		if err := r.writeSettings(s.store.address, seeds); err != nil {
			return err
		}
	}
	return nil
}

// closeOnSignal ends the case when the process is asked to stop.
func (s *stage) closeOnSignal() {
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT, syscall.SIGHUP)
	<-signals
	s.close()
	os.Exit(exitNotRun)
}

// close ends all processes and removes the folder.
func (s *stage) close() {
	s.closing.Do(s.closeOnce)
}

func (s *stage) closeOnce() {
	close(s.done)
	for _, r := range s.routers {
		r.remove()
	}
	for _, e := range s.engines {
		e.close()
	}
	s.store.close()
	<-time.After(200 * time.Millisecond)
	_ = os.RemoveAll(s.folder)
}

// writeConfig writes the next version of the configuration, with extra routes that
// nobody uses.
func (s *stage) writeConfig(extraRoutes int) error {
	s.version++
	route := func(name, prefix, kind string, timeout, objective int) map[string]any {
		return map[string]any{
			"name": name, "host": "ficu95.example", "prefix": prefix, "kind": kind, "timeout-ms": timeout, "slo-ms": objective,
			"priority": 2, "service": bookingService, "max-attempts": 1, "allow-anonymous": false, "session-affinity": false, "stream-resume": false, "gap-aim-ms": 400,
		}
	}
	service := func(name string) map[string]any {
		return map[string]any{"name": name, "health-path": "/health", "max-conns": 4000, "protocol": "h1", "tls": false}
	}
	routes := []any{
		route("r-pickup", "/pickup/", "unsafe", 2000, 300),
		route("r-report", "/report-in/", "unsafe", 15000, 2000),
		route("r-chat", streamPrefix, "streaming", 15000, 500),
	}
	if !s.withoutLookups {
		routes = append(routes, route("r-stock", "/stock/", "safe", 2000, 300))
	}
	for i := range extraRoutes {
		name := fmt.Sprintf("r-%07x", i)
		routes = append(routes, route(name, "/"+name+"/", "safe", 2000, 300))
	}
	return s.store.put("op/config", map[string]any{
		"version": s.version, "routes": routes,
		"services": []any{service(bookingService), service(modelService)},
		"limits":   map[string]any{"max-header-bytes": 16384, "max-body-bytes": 4194304, "header-timeout-ms": 3000, "idle-timeout-ms": 15000},
		"tenants":  []any{map[string]any{"name": "hule930", "api-keys": []any{apiKey}}},
	})
}

// recordLoss records a request that a router took from a kept connection and closed the
// connection of without an answer.
func (s *stage) recordLoss(r *router, id string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.losses[r.name] = append(s.losses[r.name], id)
}

func (s *stage) recordAnswer(status int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.answers[status]++
}

// judgeLost judges the rule LOST for the routers that were in touch all the while: more
// than three requests from kept connections that reached a sound engine and whose
// connections were closed without an answer.
func (s *stage) judgeLost(inTouch []*router) verdict {
	const most = 3
	s.mu.Lock()
	defer s.mu.Unlock()
	v := verdict{}
	for _, r := range inTouch {
		passedOn := 0
		for _, id := range s.losses[r.name] {
			if s.runs.count(id) > 0 {
				passedOn++
			}
		}
		ends := r.ends()
		v.text += fmt.Sprintf("%s: %d requests of kept connections passed on and cut without an answer, %d ends of its own %q, peak memory %d MB; ",
			r.name, passedOn, len(ends), ends[:min(1, len(ends))], r.peak())
		v.broken = v.broken || passedOn > most
	}
	v.text += fmt.Sprintf("answers by status %v", s.answers)
	return v
}
