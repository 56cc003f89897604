// Command standin2 plays the scripts of the second review: it is the platform's store, the
// engines and the clients, and starts the routers as the deploy file says. It exits with 1
// if the rule was broken, 0 if it held and 2 if the case could not run.
package main

import (
	"context"
	"flag"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/signal"
	"sync"
	"syscall"
	"time"
)

// rig is what all cases share.
type rig struct {
	program string
	folder  string
	trouble bool
	record  *os.File
	store   *store
	address string
	ledger  *ledger
	clients *clients
	routers []*router
	began   time.Time
	version int
	mu      sync.Mutex
}

// logf writes a line to the record, with the time since the start.
func (g *rig) logf(format string, args ...any) {
	g.mu.Lock()
	defer g.mu.Unlock()
	_, _ = fmt.Fprintf(g.record, "%8.3f  %s\n", time.Since(g.began).Seconds(), fmt.Sprintf(format, args...))
}

// at formats a time for the record.
func (g *rig) at(t time.Time) string { return fmt.Sprintf("%.3f", t.Sub(g.began).Seconds()) }

// route returns a route of the configuration.
func route(name, kind, service string, timeoutMS, objectiveMS, attempts int) map[string]any {
	return map[string]any{
		"name": "r-" + name, "host": "app.example", "prefix": "/" + name + "/", "kind": kind, "timeout-ms": timeoutMS, "slo-ms": objectiveMS,
		"priority": 2, "service": service, "max-attempts": attempts, "allow-anonymous": false, "session-affinity": false, "stream-resume": false,
	}
}

// configure writes the next version of the configuration and returns the time of the
// acknowledgement.
func (g *rig) configure(services []string, routes ...map[string]any) time.Time {
	g.version += 3
	var list []map[string]any
	for _, s := range services {
		list = append(list, map[string]any{"name": s, "health-path": "/health", "max-conns": 96, "protocol": "h1", "tls": false})
	}
	return g.store.put("op/config", map[string]any{
		"version": g.version, "routes": routes, "services": list,
		"limits": map[string]any{"max-header-bytes": 16384, "max-body-bytes": 4194304, "header-timeout-ms": 3000, "idle-timeout-ms": 15000},
		"tenants": []map[string]any{
			{"name": "tenant-a", "api-keys": []string{"key-a"}, "priority": 1}, {"name": "tenant-b", "api-keys": []string{"key-b"}, "priority": 1},
		},
	})
}

// maxTime is how long a case may take.
const maxTime = 110 * time.Second

// killRouters ends all processes that were started.
func (g *rig) killRouters() {
	for _, r := range g.routers {
		r.kill()
	}
}

// startRouters starts routers and waits until they take clients.
func (g *rig) startRouters(n int, s site) error {
	var err error
	if g.routers, err = newRouters(n, g.folder, g.address, s); err != nil {
		return err
	}
	for _, r := range g.routers {
		if err := r.start(g.program); err != nil {
			return err
		}
	}
	if !awaitReady(g.routers, 20*time.Second) {
		return fmt.Errorf("the routers did not become ready")
	}
	return nil
}

func main() {
	name := flag.String("case", "", "the case to play")
	program := flag.String("program", "target/bergamotdale", "the program of the deploy file")
	record := flag.String("record", "record.txt", "the file for the record")
	keep := flag.String("logs", "", "a folder in which the logs of the routers are kept")
	flag.Parse()
	os.Exit(run(*name, *program, *record, *keep))
}

// cases maps the names of the cases to what plays them: it returns whether the rule held.
var cases = map[string]func(*rig) (bool, error){
	"backlog": backlog,
	"crash":   crashUnderHotKey,
	"pause":   pauseOnRelease,
	"read":    slowRead,
	"silent":  silentStore,
}

func run(name, program, record, keep string) int {
	play := cases[name]
	if play == nil {
		fmt.Fprintf(os.Stderr, "unknown case %q\n", name)
		return 2
	}
	file, err := os.Create(record)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	defer file.Close()
	folder := keep
	if folder == "" {
		if folder, err = os.MkdirTemp("", "standin2"); err != nil {
			fmt.Fprintln(os.Stderr, err)
			return 2
		}
		defer func() { _ = os.RemoveAll(folder) }()
	}
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	g := &rig{
		program: program, folder: folder, trouble: os.Getenv("TROUBLE") != "0", record: file, store: newStore(), address: listener.Addr().String(),
		ledger: &ledger{}, clients: &clients{}, began: time.Now(),
	}
	go func() { _ = http.Serve(listener, g.store) }()
	defer g.killRouters()
	// Whatever happens, no router outlives this process.
	stop := make(chan os.Signal, 1)
	signal.Notify(stop, syscall.SIGTERM, syscall.SIGINT)
	go func() {
		select {
		case <-stop:
		case <-time.After(maxTime):
		}
		g.killRouters()
		os.Exit(2)
	}()
	held, err := play(g)
	switch {
	case err != nil:
		g.logf("the case could not run: %v", err)
		fmt.Fprintln(os.Stderr, err)
		return 2
	case !held:
		g.logf("result: the rule was broken")
		return 1
	}
	g.logf("result: the rule held")
	return 0
}

// startClients starts clients at all routers.
func (g *rig) startClients(ctx context.Context, group *sync.WaitGroup, perRouter int, w work) {
	for _, r := range g.routers {
		for range perRouter {
			group.Go(func() { g.clients.run(ctx, r, w) })
		}
	}
}
