package main

import (
	"fmt"
	"net/http"
	"strings"
	"sync"
	"time"
)

// playExtra lets half of the engines send additional bytes after some complete answers.
func playExtra(s *stage) (verdict, error) {
	const (
		engines = 5
		clients = 150
		end     = 70 * time.Second
		budget  = 4 * time.Second
	)
	if err := s.writeConfig(110); err != nil {
		return verdict{}, err
	}
	j := &extraJudge{stage: s}
	for i := range engines {
		e, err := newRawEngine(fmt.Sprintf("i-%08x", 0x7f3a91c2+i), s.trouble && i%2 == 0, s.record, uint64(i))
		if err != nil {
			return verdict{}, err
		}
		defer e.close()
		j.engines = append(j.engines, e)
		if err := s.store.put("servers/"+e.id, map[string]any{
			"service": bookingService, "address": e.listener.Addr().String(), "zone": "suwon", "version": "v1", "slots": rawPlaces,
			"state": "ready", "cold-left-ms": 0, "sequence": 1, "born": time.Now().UnixMilli(),
		}); err != nil {
			return verdict{}, err
		}
	}
	if err := s.startRouters(2, 284); err != nil {
		return verdict{}, err
	}
	<-time.After(4 * time.Second)
	stop := make(chan struct{})
	time.AfterFunc(end, func() { close(stop) })
	var group sync.WaitGroup
	for i := range clients {
		c := newClient(s, i, budget)
		group.Go(func() {
			defer c.disconnect()
			for c.pause(100*time.Millisecond, stop) {
				c.book(j)
			}
		})
	}
	group.Wait()
	return j.verdict(), nil
}

// extraJudge compares what clients got with what the engines have done.
type extraJudge struct {
	stage   *stage
	engines []*rawEngine

	mu sync.Mutex
	// refused counts the bookings that were answered with a promise not to run and had
	// run, and mixed the answers with a seal whose status or body is not the engine's.
	refused, mixed int
}

// given returns the engine that has run a request and its answer.
func (j *extraJudge) given(id string) (*rawEngine, answer) {
	for _, e := range j.engines {
		if a, ok := e.given(id); ok {
			return e, a
		}
	}
	return nil, answer{}
}

// judge judges an answer to a request that runs once at most, or to a lookup.
func (j *extraJudge) judge(id string, once bool, seal string, status int, body string) {
	e, a := j.given(id)
	if e == nil {
		return
	}
	j.mu.Lock()
	defer j.mu.Unlock()
	switch promise := isPromise(status); {
	case once && promise:
		j.refused++
		j.stage.record.note("refused: booking %s got status %d, which promises that it has not run; engine %s has run it and answered %d", id, status, e.id, a.status)
	case !promise && strings.HasPrefix(seal, "seal-"+e.id) && (a.status != status || status/100 == 2 && a.body != body):
		j.mixed++
		j.stage.record.note("mixed: %s got status %d with the seal of engine %s, which had answered %d", id, status, e.id, a.status)
	}
}

// verdict judges the rule REFUSED.
func (j *extraJudge) verdict() verdict {
	extras, doubled, runs := 0, 0, map[string]int{}
	for _, e := range j.engines {
		extras += e.extras
		for booking, n := range e.bookings {
			runs[booking] += n
		}
	}
	for booking, n := range runs {
		if n > 1 {
			doubled++
			j.stage.record.note("doubled: %q was booked %d times", booking, n)
		}
	}
	return verdict{
		broken: j.refused > 0,
		text: fmt.Sprintf("additional bytes after %d answers; %d bookings refused that had run, %d booked twice as their clients came back; %d answers with a seal and another status than the engine's; answers by status %v",
			extras, j.refused, doubled, j.mixed, j.stage.answers),
	}
}

// isPromise reports whether the status promises that the request has not run.
func isPromise(status int) bool {
	return status == http.StatusServiceUnavailable || status == http.StatusTooManyRequests ||
		status == http.StatusRequestTimeout || status == http.StatusMisdirectedRequest
}

// book sends a booking, and once more on a new connection after a promise that it has not
// run, at the time that the answer names.
func (c *client) book(j *extraJudge) {
	booking := c.uniqueBody()
	status, after := c.exchange(j, http.MethodPost, "/pickup/2f", booking)
	if isPromise(status) {
		<-time.After(min(after, c.budget/3))
		c.disconnect()
		c.exchange(j, http.MethodPost, "/pickup/2f", booking)
	}
}

// exchange sends a request and has its answer judged. It returns the status, or 0 without
// an answer, and the time of Retry-After.
func (c *client) exchange(j *extraJudge, method, path, sent string) (int, time.Duration) {
	a := c.answer(method, path, sent)
	if a.status != 0 {
		j.judge(a.id, method == http.MethodPost, a.seal, a.status, a.body)
	}
	return a.status, a.retryAfter
}
