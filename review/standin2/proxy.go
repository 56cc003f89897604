package main

import (
	"net"
	"sync"
	"sync/atomic"
	"time"
)

// proxy is a TCP proxy on the loopback interface.
type proxy struct {
	target   string
	listener net.Listener

	mu    sync.Mutex
	links map[*link]struct{}
	// healed is closed at the end of a cut, nil while there is none.
	healed chan struct{}
}

// link is one connection through a proxy.
type link struct {
	client, server *net.TCPConn
	// silent drops all bytes of both directions from then on.
	silent atomic.Bool
}

func newProxy(target string) (*proxy, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	p := &proxy{target: target, listener: l, links: map[*link]struct{}{}}
	go p.serve()
	return p, nil
}

func (p *proxy) address() string { return p.listener.Addr().String() }

func (p *proxy) serve() {
	for {
		c, err := p.listener.Accept()
		if err != nil {
			return
		}
		go p.relay(c.(*net.TCPConn))
	}
}

func (p *proxy) relay(client *net.TCPConn) {
	conn, err := net.DialTimeout("tcp", p.target, time.Second)
	if err != nil {
		_ = client.SetLinger(0)
		client.Close()
		return
	}
	l := &link{client: client, server: conn.(*net.TCPConn)}
	p.mu.Lock()
	p.links[l] = struct{}{}
	p.mu.Unlock()
	var group sync.WaitGroup
	group.Go(func() { l.copy(p, l.server, l.client) })
	group.Go(func() { l.copy(p, l.client, l.server) })
	group.Wait()
	client.Close()
	conn.Close()
	p.mu.Lock()
	delete(p.links, l)
	p.mu.Unlock()
}

// copy copies bytes until the source ends. On a silent link nothing is passed on, not
// even the end. During a cut everything waits.
func (l *link) copy(p *proxy, to, from *net.TCPConn) {
	buffer := make([]byte, 32<<10)
	for {
		n, err := from.Read(buffer)
		p.wait()
		silent := l.silent.Load()
		if n > 0 && !silent {
			if _, writeErr := to.Write(buffer[:n]); writeErr != nil {
				from.Close()
				return
			}
		}
		if err != nil {
			if !silent {
				_ = to.CloseWrite()
			}
			return
		}
	}
}

// silence makes all open connections silent, and returns how many they are. New ones work.
func (p *proxy) silence() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	for l := range p.links {
		l.silent.Store(true)
	}
	return len(p.links)
}

// open returns the number of connections that are not silent.
func (p *proxy) open() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	n := 0
	for l := range p.links {
		if !l.silent.Load() {
			n++
		}
	}
	return n
}

// cut holds the bytes of all connections, also of new ones, until heal.
func (p *proxy) cut() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.healed = make(chan struct{})
}

// heal ends a cut.
func (p *proxy) heal() {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.healed != nil {
		close(p.healed)
		p.healed = nil
	}
}

// wait waits for the end of a cut.
func (p *proxy) wait() {
	p.mu.Lock()
	healed := p.healed
	p.mu.Unlock()
	if healed != nil {
		<-healed
	}
}
