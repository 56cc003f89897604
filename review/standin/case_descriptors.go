package main

import (
	"fmt"
	"net/http"
	"sync"
	"syscall"
	"time"
)

// minDescriptors is the number of files that the stand-in itself may have to open.
const minDescriptors = 8000

// checkDescriptors returns an error if this process may not open so many files.
func checkDescriptors() error {
	var limit syscall.Rlimit
	if err := syscall.Getrlimit(syscall.RLIMIT_NOFILE, &limit); err != nil {
		return err
	}
	if limit.Cur < minDescriptors {
		return fmt.Errorf("this process may open %d files, %d are needed", limit.Cur, minDescriptors)
	}
	return nil
}

// playDescriptors plays chats that each open a connection, send a lookup and in part a
// longer request after it, and then keep the connection until the router closes it. It
// removes one of the two machines. The clients connect to the other one.
func playDescriptors(s *stage) (verdict, error) {
	const (
		chatsPerSecond = 70
		// longShare is the part of the chats that send the longer request.
		longShare = 0.3
		chatPause = 4 * time.Second
		removeAt  = 45 * time.Second
		end       = 100 * time.Second
		budget    = 15 * time.Second
	)
	if err := checkDescriptors(); err != nil {
		return verdict{}, err
	}
	if err := s.setUp(4, 2, 284, 110); err != nil {
		return verdict{}, err
	}
	<-time.After(4 * time.Second)
	stop := make(chan struct{})
	var group sync.WaitGroup
	chat := func(c *client) {
		defer c.disconnect()
		c.send(http.MethodGet, "/stock/2f", nil)
		if c.random.Float64() < longShare && c.pause(chatPause, stop) {
			c.send(http.MethodPost, "/report-in/2f", make([]byte, 600))
		}
		c.rest(stop)
	}
	began := time.Now()
	removed := false
	for i := range int(end.Seconds() * chatsPerSecond) {
		<-time.After(time.Until(began.Add(time.Duration(i) * time.Second / chatsPerSecond)))
		if s.trouble && !removed && time.Since(began) >= removeAt {
			removed = true
			s.record.note("platform: machine of %s is removed", s.routers[1].name)
			s.routers[1].remove()
		}
		group.Go(func() { chat(newClient(s, i, budget)) })
	}
	v := s.judgeLost(s.routers[:1])
	close(stop)
	group.Wait()
	return v, nil
}
