package main

import (
	"sync"
	"time"
)

// playBodies sends requests with bodies of the largest size that the configuration
// allows through two routers, and removes one of the two machines.
func playBodies(s *stage) (verdict, error) {
	const (
		uploaders = 78
		removeAt  = 25 * time.Second
		end       = 60 * time.Second
		budget    = 15 * time.Second
		bodyBytes = 4194304
	)
	if err := s.setUp(4, 2, 284, 110); err != nil {
		return verdict{}, err
	}
	<-time.After(4 * time.Second)
	body := make([]byte, bodyBytes)
	stop := make(chan struct{})
	var group sync.WaitGroup
	for i := range uploaders {
		c := newClient(s, i, budget)
		group.Go(func() {
			defer c.disconnect()
			for c.pause(time.Second, stop) {
				c.send("POST", "/report-in/2f", body)
			}
		})
	}
	<-time.After(removeAt)
	if s.trouble {
		s.record.note("platform: machine of %s is removed", s.routers[1].name)
		s.routers[1].remove()
	}
	<-time.After(end - removeAt)
	v := s.judgeLost(s.routers[:1])
	close(stop)
	group.Wait()
	return v, nil
}
