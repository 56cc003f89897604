package main

import (
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"time"
)

// router is a process of the project.
type router struct {
	name                           string
	clients, ready, peers, metrics string
	settings, log                  string
	store                          *proxy
	cmd                            *exec.Cmd
	ended                          sync.Once
}

// site holds the figures of an installation, as its sheet gives them.
type site struct {
	memory                       int
	contact, drain, apply, outer time.Duration
	retrySlack                   int
}

var (
	hanbitWash = site{memory: 284, contact: 3 * time.Second, drain: 2 * time.Second, apply: 2 * time.Second, outer: 5 * time.Second, retrySlack: 52}
	vrbensky   = site{memory: 284, contact: 3 * time.Second, drain: 2 * time.Second, apply: 2 * time.Second, outer: 5 * time.Second, retrySlack: 58}
	// vrbenskyGrown has its smallest machine.
	vrbenskyGrown = site{memory: 184, contact: 4 * time.Second, drain: 3 * time.Second, apply: 3 * time.Second, outer: 6 * time.Second, retrySlack: 178}
)

// settingsText is what the platform makes of deploy/gateway.yaml.
const settingsText = `id: "%s"
failure-domain: "z1"
listen:
  clients: "%s"
  readiness: "%s"
  peers: "%s"
  metrics: "%s"
store: "%s"
seeds: ["%s"]
first-start: true
memory: %dMiB
descriptors: 4100
stop-deadline: 8s
promises:
  key-revocation: 5000ms
  endpoint-withdrawal: %dms
  store-contact: %dms
  load-multiple: 2
  retry-ratio: 0.2
  retry-slack: %d
terms: ["base","drain","config","cost","retry","recover","engine","stream","tenants","platform"]
`

// newRouters returns routers with free ports, and writes their settings into the folder.
func newRouters(n int, folder, storeAddress string, s site) ([]*router, error) {
	var routers []*router
	var listeners []net.Listener
	free := func(host string) (string, error) {
		l, err := net.Listen("tcp", host+":0")
		if err != nil {
			return "", err
		}
		listeners = append(listeners, l)
		return l.Addr().String(), nil
	}
	defer func() {
		for _, l := range listeners {
			l.Close()
		}
	}()
	var seeds []string
	for i := range n {
		// Each router has a loopback address of its own, so that no other connection takes
		// its ports between two starts.
		host := fmt.Sprintf("127.%d.%d.%d", 20+os.Getpid()%200, os.Getpid()/200%250, i+1)
		r := &router{name: fmt.Sprintf("front-%d", i+1)}
		for _, address := range []*string{&r.clients, &r.ready, &r.peers, &r.metrics} {
			var err error
			if *address, err = free(host); err != nil {
				return nil, err
			}
		}
		var err error
		if r.store, err = newProxy(storeAddress); err != nil {
			return nil, err
		}
		r.settings, r.log = filepath.Join(folder, r.name+".yaml"), filepath.Join(folder, r.name+".log")
		routers = append(routers, r)
		if len(seeds) < 3 {
			seeds = append(seeds, r.peers)
		}
	}
	for _, r := range routers {
		text := fmt.Sprintf(settingsText, r.name, r.clients, r.ready, r.peers, r.metrics, r.store.address(), strings.Join(seeds, `","`),
			s.memory, s.drain.Milliseconds(), s.contact.Milliseconds(), s.retrySlack)
		if err := os.WriteFile(r.settings, []byte(text), 0o600); err != nil {
			return nil, err
		}
	}
	return routers, nil
}

// start starts the process as deploy/system.toml says.
func (r *router) start(program string) error {
	log, err := os.OpenFile(r.log, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer log.Close()
	r.cmd = exec.Command(program, "gateway")
	r.cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "BERGAMOTDALE_BOOT=" + r.settings}
	r.cmd.Stdout, r.cmd.Stderr = log, log
	return r.cmd.Start()
}

// kill ends the process.
func (r *router) kill() {
	if r.cmd != nil && r.cmd.Process != nil {
		r.ended.Do(func() {
			_ = r.cmd.Process.Kill()
			_ = r.cmd.Wait()
		})
	}
}

var readyClient = &http.Client{Timeout: time.Second}

// isReady asks the router whether it takes clients.
func (r *router) isReady() bool {
	response, err := readyClient.Get("http://" + r.ready + "/ready")
	if err != nil {
		return false
	}
	response.Body.Close()
	return response.StatusCode == http.StatusOK
}

// awaitReady waits until all routers take clients.
func awaitReady(routers []*router, limit time.Duration) bool {
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		n := 0
		for _, r := range routers {
			if r.isReady() {
				n++
			}
		}
		if n == len(routers) {
			return true
		}
	}
	return false
}
