// Command standin plays everything outside the fleet in tests and
// demonstrations: the platform ("standin platform"), endpoints ("standin
// engine", "standin service") and clients ("standin chat", "standin call",
// "standin load").
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
	// exitCrash is the status of a process that an injected crash ended.
	exitCrash = 3
)

// runner is a server of one of the fakes.
type runner interface {
	Run(ctx context.Context) error
}

func main() {
	server := parse()
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	if err := server.Run(ctx); err != nil {
		fmt.Fprintln(os.Stderr, "standin:", err)
		os.Exit(exitFailure)
	}
}

// parse returns the server that the command line describes.
func parse() runner {
	faults := &injector.Injector{OnCrash: func() { os.Exit(exitCrash) }}
	crashMark := ""
	platform := &platformserver.Server{Address: "127.0.0.1:8500", Faults: faults}
	engine := &engineserver.Server{Address: "127.0.0.1:8600", Faults: faults}
	service := &serviceserver.Server{Address: "127.0.0.1:8700", Faults: faults}

	flaggy.SetName("standin")
	flaggy.SetDescription("Fakes of the external systems and of clients.")
	flaggy.DefaultParser.ShowVersionWithVersionFlag = false
	flaggy.DefaultParser.ShowCompletion = false
	flaggy.String(&faults.ControlAddress, "c", "control", "host:port of a listener for faults and counters only")
	flaggy.String(&crashMark, "", "crash-mark", "text of a request body that crashes the process")
	servers := map[*flaggy.Subcommand]runner{
		platformCommand(platform): platform,
		engineCommand(engine):     engine,
		serviceCommand(service):   service,
	}
	chat, chatRunner := newChatCommand()
	call, callRunner := newCallCommand()
	load, loadRunner := newLoadCommand()
	servers[chat], servers[call], servers[load] = chatRunner, callRunner, loadRunner
	for c := range servers {
		flaggy.AttachSubcommand(c, 1)
	}
	flaggy.Parse()
	if crashMark != "" {
		faults.Add(injector.Fault{Kind: injector.Crash, Mark: crashMark})
	}
	for c, s := range servers {
		if c.Used {
			return s
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
	c.Duration(&s.VMLagMin, "", "vm-lag-min", "lowest age of the VM list")
	c.Duration(&s.VMLagMax, "", "vm-lag-max", "highest age of the VM list")
	return c
}

func engineCommand(s *engineserver.Server) *flaggy.Subcommand {
	c := flaggy.NewSubcommand("engine")
	c.Description = "model engine"
	c.String(&s.Address, "a", "address", "host:port to listen on")
	c.String(&s.Name, "n", "name", "name in responses")
	c.Int(&s.Slots, "", "slots", "requests batched at once")
	c.Int(&s.MaxQueue, "", "max-queue", "requests that may wait; 0 is unlimited")
	c.Float64(&s.TokenRate, "", "token-rate", "tokens per second of a stream")
	c.Float64(&s.BatchPenalty, "", "batch-penalty", "slowdown per further running request")
	c.Float64(&s.PrefillRate, "", "prefill-rate", "prompt tokens per second")
	c.Int(&s.CacheTokens, "", "cache-tokens", "capacity of the prefix cache")
	c.Duration(&s.Heartbeat, "", "heartbeat", "time between heartbeats")
	c.Duration(&s.LoadLag, "", "load-lag", "age of load reports")
	c.Duration(&s.CacheEventLag, "", "cache-event-lag", "age of cache events")
	c.Int64(&s.CacheEventGap, "", "cache-event-gap", "every n-th cache event is lost; 0 loses none")
	c.Bool(&s.CheckFencing, "", "check-fencing", "reject commands with a stale fencing token")
	c.StringSlice(&s.Models, "m", "model", "model that is loaded; repeatable, none accepts all")
	c.String(&s.Role, "", "role", "initial role")
	return c
}

func serviceCommand(s *serviceserver.Server) *flaggy.Subcommand {
	c := flaggy.NewSubcommand("service")
	c.Description = "plain service"
	c.String(&s.Address, "a", "address", "host:port to listen on")
	c.String(&s.Name, "n", "name", "name in responses")
	c.Duration(&s.Latency, "", "latency", "time that a call takes")
	return c
}
