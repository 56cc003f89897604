// Command standin runs fakes of the systems that a router fleet depends on, and
// clients that send requests to it, for tests and demonstrations. The fakes are
// "standin platform" (key-value store and VM list), "standin engine" (a model
// engine) and "standin service" (a plain service). The clients are "standin chat",
// "standin call" and "standin load".
package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"github.com/integrii/flaggy"

	"github.com/bergamotdale/bergamotdale/engineserver"
	"github.com/bergamotdale/bergamotdale/injector"
	"github.com/bergamotdale/bergamotdale/platformserver"
	"github.com/bergamotdale/bergamotdale/serviceserver"
)

const (
	exitFailure = 1
	exitUsage   = 2
	// exitCrash is the exit status after an injected crash.
	exitCrash = 3
)

// runner is the fake or client that a subcommand selects.
type runner interface {
	Run(ctx context.Context) error
}

func main() {
	selected := parse()
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	if err := selected.Run(ctx); err != nil {
		fmt.Fprintln(os.Stderr, "standin:", err)
		os.Exit(exitFailure)
	}
}

// parse parses the command line and returns the runner of the subcommand. It exits
// if there is none.
func parse() runner {
	faults := &injector.Injector{OnCrash: func() { os.Exit(exitCrash) }}
	crashMark := ""
	platform := &platformserver.Server{Address: "127.0.0.1:8500", Faults: faults}
	engine := &engineserver.Server{Address: "127.0.0.1:8600", Faults: faults}
	service := &serviceserver.Server{Address: "127.0.0.1:8700", Faults: faults}

	flaggy.SetName("standin")
	flaggy.SetDescription("Fakes of the systems that a router fleet depends on, and clients for tests.")
	flaggy.DefaultParser.ShowVersionWithVersionFlag = false
	flaggy.DefaultParser.ShowCompletion = false
	flaggy.String(&faults.ControlAddress, "c", "control", "host:port of an additional listener that serves only faults and counters")
	flaggy.String(&crashMark, "", "crash-mark", "crash the process when it executes a request whose body contains this text")
	runners := map[*flaggy.Subcommand]runner{
		platformCommand(platform): platform,
		engineCommand(engine):     engine,
		serviceCommand(service):   service,
	}
	chat, chatRunner := newChatCommand()
	call, callRunner := newCallCommand()
	load, loadRunner := newLoadCommand()
	runners[chat], runners[call], runners[load] = chatRunner, callRunner, loadRunner
	for c := range runners {
		flaggy.AttachSubcommand(c, 1)
	}
	flaggy.Parse()
	if crashMark != "" {
		faults.Add(injector.Fault{Kind: injector.Crash, Mark: crashMark})
	}
	for c, r := range runners {
		if c.Used {
			return r
		}
	}
	flaggy.ShowHelp("")
	os.Exit(exitUsage)
	return nil
}

func platformCommand(s *platformserver.Server) *flaggy.Subcommand {
	c := flaggy.NewSubcommand("platform")
	c.Description = "key-value store and VM list"
	c.String(&s.Address, "a", "address", "host:port to listen on")
	c.Duration(&s.Latency, "", "latency", "time added to each call of the store")
	c.Float64(&s.ReadRate, "", "read-rate", "reads per second; 0 is unlimited")
	c.Float64(&s.WriteRate, "", "write-rate", "writes per second; 0 is unlimited")
	c.Duration(&s.VMLagMin, "", "vm-lag-min", "minimum age of the VM list")
	c.Duration(&s.VMLagMax, "", "vm-lag-max", "maximum age of the VM list")
	return c
}

func engineCommand(s *engineserver.Server) *flaggy.Subcommand {
	c := flaggy.NewSubcommand("engine")
	c.Description = "model engine"
	c.String(&s.Address, "a", "address", "host:port to listen on")
	c.String(&s.Name, "n", "name", "name that each response contains")
	c.Int(&s.Slots, "", "slots", "maximum number of requests that run at the same time")
	c.Int(&s.MaxQueue, "", "max-queue", "maximum number of waiting requests; 0 is unlimited")
	c.Float64(&s.TokenRate, "", "token-rate", "tokens per second of a stream that runs alone")
	c.Float64(&s.BatchPenalty, "", "batch-penalty", "fraction by which each additional running request slows a stream down")
	c.Float64(&s.PrefillRate, "", "prefill-rate", "prompt tokens processed per second")
	c.Int(&s.CacheTokens, "", "cache-tokens", "capacity of the prefix cache in tokens")
	c.Duration(&s.Heartbeat, "", "heartbeat", "time between heartbeats")
	c.Duration(&s.LoadLag, "", "load-lag", "age of load reports")
	c.Duration(&s.CacheEventLag, "", "cache-event-lag", "delay until a cache event can be read")
	c.Int64(&s.CacheEventGap, "", "cache-event-gap", "drop every n-th cache event; 0 drops none")
	c.Bool(&s.CheckFencing, "", "check-fencing", "reject commands with a stale fencing token")
	c.StringSlice(&s.Models, "m", "model", "loaded model; repeatable; without it requests for all models are accepted")
	c.String(&s.Role, "", "role", "initial role")
	return c
}

func serviceCommand(s *serviceserver.Server) *flaggy.Subcommand {
	c := flaggy.NewSubcommand("service")
	c.Description = "plain service"
	c.String(&s.Address, "a", "address", "host:port to listen on")
	c.String(&s.Name, "n", "name", "name that each response contains")
	c.Duration(&s.Latency, "", "latency", "execution time of a call")
	return c
}
