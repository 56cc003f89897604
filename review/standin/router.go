package main

import (
	"bytes"
	"errors"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

const (
	// maxDescriptors is max-fds of a machine.
	maxDescriptors = 4100
	// restartDelay is the pause before a process that has ended is started again.
	restartDelay = 500 * time.Millisecond
	// grace is grace-s of the sites.
	grace = 8 * time.Second
	// startLimit is how long a router may take to become ready, also on a busy machine.
	startLimit = 8 * time.Second
)

// settingsText is deploy/gateway.yaml as the platform fills it in.
const settingsText = `id: "%s"
failure-domain: "%s"
listen:
  clients: "%s"
  readiness: "%s"
  peers: "%s"
  metrics: "%s"
store: "%s"
seeds: [%s]
memory: %dMiB
stop-deadline: %s
promises:
  key-revocation: 5000ms
  endpoint-withdrawal: 2000ms
  store-contact: 3000ms
  load-multiple: 2
  retry-ratio: 0.2
  retry-slack: 52
`

// router is a machine with a process of the system.
type router struct {
	name     string
	zone     string
	clients  string
	ready    string
	peers    string
	metrics  string
	settings string
	log      string
	memoryMB int
	record   *record

	// inRotation is set while the platform sends new connections to the router.
	inRotation atomic.Bool
	// removed is set once the machine is gone for good.
	removed atomic.Bool

	mu  sync.Mutex
	cmd *exec.Cmd
	// ownEnds lists how the process ended by itself, or for too much memory.
	ownEnds []string
	// peakMB is the highest memory that was seen.
	peakMB int
}

// newRouter returns a router with free ports on a loopback address of its own.
func newRouter(i int, folder string, memoryMB int, rec *record) (*router, error) {
	pid := os.Getpid()
	host := fmt.Sprintf("127.%d.%d.%d", 20+pid%200, pid/200%250, i+1)
	var addresses []string
	var listeners []net.Listener
	for range 4 {
		l, err := net.Listen("tcp", net.JoinHostPort(host, "0"))
		if err != nil {
			return nil, err
		}
		listeners = append(listeners, l)
		addresses = append(addresses, l.Addr().String())
	}
	for _, l := range listeners {
		l.Close()
	}
	name := fmt.Sprintf("front-%d", i+1)
	return &router{
		name: name, zone: []string{"suwon", "hwaseong", "yongin"}[i%3], clients: addresses[0], ready: addresses[1], peers: addresses[2],
		metrics: addresses[3], settings: filepath.Join(folder, name+".yaml"), log: filepath.Join(folder, name+".log"), memoryMB: memoryMB, record: rec,
	}, nil
}

// writeSettings writes the settings file.
func (r *router) writeSettings(store string, seeds []string) error {
	quoted := make([]string, 0, len(seeds))
	for _, s := range seeds {
		quoted = append(quoted, strconv.Quote(s))
	}
	text := fmt.Sprintf(settingsText, r.name, r.zone, r.clients, r.ready, r.peers, r.metrics, store, strings.Join(quoted, ","), r.memoryMB, grace)
	return os.WriteFile(r.settings, []byte(text), 0o600)
}

// start starts the process with the command of the deploy file and the machine's limit
// of descriptors.
func (r *router) start() error {
	log, err := os.OpenFile(r.log, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer log.Close()
	cmd := exec.Command("/bin/sh", "-c", fmt.Sprintf("ulimit -n %d && exec target/bergamotdale gateway", maxDescriptors))
	cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "BERGAMOTDALE_BOOT=" + r.settings}
	cmd.Stdout, cmd.Stderr = log, log
	started, err := r.startCommand(cmd)
	if err != nil || !started {
		return err
	}
	r.record.note("platform: process of %s starts", r.name)
	go r.supervise(cmd)
	return nil
}

// startCommand starts the command unless the machine is gone, and reports whether it has.
// A process that is started while the case ends would outlive it.
func (r *router) startCommand(cmd *exec.Cmd) (bool, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.removed.Load() {
		return false, nil
	}
	if err := cmd.Start(); err != nil {
		return false, err
	}
	r.cmd = cmd
	return true, nil
}

// supervise waits for the end of the process and starts it again.
func (r *router) supervise(cmd *exec.Cmd) {
	err := cmd.Wait()
	if r.removed.Load() {
		return
	}
	how := "exit status 0"
	if exit := (*exec.ExitError)(nil); errors.As(err, &exit) {
		how = exit.String()
	}
	r.mu.Lock()
	r.ownEnds = append(r.ownEnds, how)
	r.mu.Unlock()
	r.record.note("platform: process of %s has ended: %s; its last word: %s", r.name, how, r.lastWord())
	<-time.After(restartDelay)
	if !r.removed.Load() {
		_ = r.start()
	}
}

// lastWord returns the last line of the process's output that is no log line.
func (r *router) lastWord() string {
	data, err := os.ReadFile(r.log)
	if err != nil {
		return err.Error()
	}
	word := "none"
	for line := range bytes.Lines(data) {
		if !bytes.HasPrefix(line, []byte("{")) {
			word = strings.TrimSpace(string(line))
		}
	}
	return word
}

// remove ends the machine for good with SIGKILL.
func (r *router) remove() {
	r.removed.Store(true)
	r.inRotation.Store(false)
	r.kill()
}

// kill sends SIGKILL to the process.
func (r *router) kill() {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.cmd != nil {
		_ = r.cmd.Process.Signal(syscall.SIGKILL)
	}
}

// ends returns how often and how the process ended by itself.
func (r *router) ends() []string {
	r.mu.Lock()
	defer r.mu.Unlock()
	return append([]string(nil), r.ownEnds...)
}

// peak returns the highest memory that was seen, in MB.
func (r *router) peak() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.peakMB
}

// isReady asks the router whether it accepts new clients.
func (r *router) isReady() bool {
	client := http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	resp, err := client.Get("http://" + r.ready + "/ready")
	if err != nil {
		return false
	}
	resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

// probe asks the router once a second whether it is ready. Two misses take it out of
// rotation.
func (r *router) probe(done <-chan struct{}) {
	misses := 0
	for {
		if r.removed.Load() {
			return
		}
		if r.isReady() {
			misses = 0
			r.inRotation.Store(true)
		} else if misses++; misses >= 2 {
			r.inRotation.Store(false)
		}
		select {
		case <-done:
			return
		case <-time.After(time.Second):
		}
	}
}

// limitMemory kills the process if it exceeds the memory of its machine.
func (r *router) limitMemory(done <-chan struct{}) {
	for {
		select {
		case <-done:
			return
		case <-time.After(20 * time.Millisecond):
		}
		r.mu.Lock()
		used := 0
		if r.cmd != nil {
			used = anonymousMB(r.cmd.Process.Pid)
		}
		r.peakMB = max(r.peakMB, used)
		exceeded := used > r.memoryMB
		r.mu.Unlock()
		if exceeded && !r.removed.Load() {
			r.record.note("platform: %s uses %d MB of %d MB and is killed", r.name, used, r.memoryMB)
			r.kill()
			<-time.After(restartDelay)
		}
	}
}

// anonymousMB returns the resident memory of a process without its mapped files, in MB.
func anonymousMB(pid int) int {
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		return 0
	}
	for line := range strings.Lines(string(data)) {
		if fields := strings.Fields(line); len(fields) >= 2 && fields[0] == "RssAnon:" {
			kb, _ := strconv.Atoi(fields[1])
			return kb / 1024
		}
	}
	return 0
}
