package main

import (
	"fmt"
	"net/http"
	"sync"
	"time"
)

// playForeign lets another writer write incomplete entries under the ID of an engine, with
// another service than the engine's own entries name. The engine goes on writing its own.
func playForeign(s *stage) (verdict, error) {
	const (
		heartbeat = 1200 * time.Millisecond
		foreignAt = 8 * time.Second
		end       = 20 * time.Second
		clients   = 30
		budget    = 4 * time.Second
	)
	if err := s.setUp(4, 2, 284, 110); err != nil {
		return verdict{}, err
	}
	if err := s.addEngines(1, modelService, plainWork); err != nil {
		return verdict{}, err
	}
	other := s.engines[len(s.engines)-1]
	key, born := "servers/"+other.id, time.Now()
	<-time.After(4 * time.Second)
	began := time.Now()
	stop := make(chan struct{})
	var group sync.WaitGroup
	for i := range clients {
		c := newClient(s, i, budget)
		group.Go(func() {
			defer c.disconnect()
			for c.pause(time.Second, stop) {
				c.send(http.MethodPost, "/pickup/2f", []byte(c.uniqueBody()))
			}
		})
	}
	written := false
	for sequence := 2; time.Since(began) < end; sequence++ {
		entry := other.document(born)
		entry["sequence"] = sequence
		if err := s.store.put(key, entry); err != nil {
			return verdict{}, err
		}
		if s.trouble && !written && time.Since(began) >= foreignAt {
			written = true
			entry["service"] = bookingService
			for _, missing := range []string{"version", "sequence", "cold-left-ms", "born"} {
				delete(entry, missing)
			}
			if err := s.store.put(key, entry); err != nil {
				return verdict{}, err
			}
			s.record.note("store: another writer writes %s: %v", key, entry)
		}
		<-time.After(heartbeat)
	}
	close(stop)
	group.Wait()
	foreign := other.begunAfter(began)
	answered := 0
	for _, b := range foreign {
		s.record.note("foreign: engine %s of %s ran %s, a booking", other.id, modelService, b.id)
		if s.runs.isFinished(b.id) {
			answered++
		}
	}
	return verdict{
		broken: len(foreign) > 0,
		text: fmt.Sprintf("%d bookings were run by an engine of %s, to which no route leads, %d of them to the end; answers by status %v",
			len(foreign), modelService, answered, s.answers),
	}, nil
}
