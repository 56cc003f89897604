package main

import (
	"fmt"
	"net/http"
	"sync"
	"time"
)

// playLookups adds a route for lookups to the configuration. Clients of one tenant then
// look up the same stock on it while others book on a route that was there from the start.
// One engine crashes once and is back after some seconds.
func playLookups(s *stage) (verdict, error) {
	const (
		engineSlots = 6
		engineQueue = 24
		lookers     = 90
		bookers     = 60
		extraRoutes = 110
		crashAt     = 5 * time.Second
		downTime    = 2 * time.Second
		// calmTime is the time after the return of the engine from which requests are
		// judged. It is longer than contact-ms.
		calmTime = 5 * time.Second
		end      = 60 * time.Second
		budget   = 4 * time.Second
	)
	s.withoutLookups = true
	if err := s.setUp(4, 2, 284, extraRoutes); err != nil {
		return verdict{}, err
	}
	for _, e := range s.engines {
		e.setSize(engineSlots, engineQueue)
		if err := s.store.put("servers/"+e.id, e.document(time.Now())); err != nil {
			return verdict{}, err
		}
	}
	<-time.After(2 * time.Second)
	s.withoutLookups = false
	if err := s.writeConfig(extraRoutes); err != nil {
		return verdict{}, err
	}
	s.record.note("store: version %d of the configuration adds the route for lookups", s.version)
	<-time.After(4 * time.Second)
	began := time.Now()
	stop := make(chan struct{})
	time.AfterFunc(end, func() { close(stop) })
	j := &servedJudge{calmFrom: began.Add(crashAt + downTime + calmTime), kinds: map[string]*served{"lookup": {}, "booking": {}}}
	var group sync.WaitGroup
	for i := range lookers + bookers {
		c := newClient(s, i, budget)
		group.Go(func() {
			defer c.disconnect()
			for c.pause(200*time.Millisecond, stop) {
				if i < lookers {
					c.ask(j, "lookup", http.MethodGet, "/stock/aprons", "")
				} else {
					c.ask(j, "booking", http.MethodPost, "/pickup/2f", c.uniqueBody())
				}
			}
		})
	}
	if s.trouble {
		<-time.After(time.Until(began.Add(crashAt)))
		e := s.engines[0]
		e.crash()
		s.record.note("engine %s crashes", e.id)
		<-time.After(downTime)
		if err := e.start(); err != nil {
			return verdict{}, err
		}
		if err := s.store.put("servers/"+e.id, e.document(time.Now())); err != nil {
			return verdict{}, err
		}
		s.record.note("engine %s is back", e.id)
	}
	group.Wait()
	return j.verdict(s), nil
}

// served counts the requests of a kind.
type served struct {
	sent, served int
	// calm and calmServed count those that were sent when all was calm again, also
	// without a crash.
	calm, calmServed int
}

// servedJudge counts how often the kinds of requests are served.
type servedJudge struct {
	calmFrom time.Time

	mu    sync.Mutex
	kinds map[string]*served
}

// note counts a request.
func (j *servedJudge) note(kind string, sentAt time.Time, status int) {
	j.mu.Lock()
	defer j.mu.Unlock()
	k := j.kinds[kind]
	ok := status/100 == 2
	k.sent++
	if ok {
		k.served++
	}
	if sentAt.After(j.calmFrom) {
		k.calm++
		if ok {
			k.calmServed++
		}
	}
}

// verdict judges the rule CONFIG for the requests that were sent when all was calm: 20 or
// more on the route that was added later, served less than a quarter as often as those on
// the first routes.
func (j *servedJudge) verdict(s *stage) verdict {
	const least = 20
	lookups, bookings := j.kinds["lookup"], j.kinds["booking"]
	v := verdict{broken: lookups.calm >= least && 4*lookups.calmServed*bookings.calm < bookings.calmServed*lookups.calm}
	v.text = fmt.Sprintf("sent when all was calm: %d of %d lookups served on the route that was added, %d of %d bookings on a first route; "+
		"in all: %d of %d lookups, %d of %d bookings; answers by status %v",
		lookups.calmServed, lookups.calm, bookings.calmServed, bookings.calm,
		lookups.served, lookups.sent, bookings.served, bookings.sent, s.answers)
	return v
}

// ask sends a request, and once more on a new connection after a promise that it has not
// run, at the time that the answer names.
func (c *client) ask(j *servedJudge, kind, method, path, body string) {
	for range 2 {
		sentAt := time.Now()
		a := c.answer(method, path, body)
		j.note(kind, sentAt, a.status)
		if !isPromise(a.status) {
			return
		}
		<-time.After(min(a.retryAfter, c.budget/3))
		c.disconnect()
	}
}
