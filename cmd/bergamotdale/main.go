// Command bergamotdale runs a router, or a gateway on the platform, and provides
// the commands of operators.
package main

import (
	"context"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/juju/errors"
	"go.uber.org/zap"

	"github.com/bergamotdale/bergamotdale"
	"github.com/bergamotdale/bergamotdale/commander"
	"github.com/bergamotdale/bergamotdale/gateway"
	"github.com/bergamotdale/bergamotdale/loader"
	"github.com/bergamotdale/bergamotdale/logger"
	"github.com/bergamotdale/bergamotdale/platform"
	"github.com/bergamotdale/bergamotdale/recorder"
	"github.com/bergamotdale/bergamotdale/router"
)

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	c := commander.Commander{
		Stdout: os.Stdout, Stderr: os.Stderr, Now: time.Now,
		RunRouter: runRouter, RunGateway: runGateway, GatewaySettings: platform.SettingsFile(),
	}
	code := c.Run(ctx, os.Args[1:])
	stop()
	os.Exit(code)
}

// runRouter runs a router until the context is done and its planned stop is
// complete.
func runRouter(ctx context.Context, s *loader.Settings) error {
	log, err := logger.New(os.Stderr, s.LogLevel)
	if err != nil {
		return errors.Trace(err)
	}
	defer log.Sync()
	events := &recorder.Ring{Process: s.ID, Clock: bergamotdale.SystemClock{}}
	r := &router.Router{
		Settings: s,
		Logger:   log.With(zap.String("router", s.ID)),
		Adapters: router.NewAdapters(s, events),
	}
	return errors.Trace(r.Run(ctx))
}

// runGateway runs a gateway on the platform until the context is done and its
// planned stop is complete. SIGHUP makes it reload its settings file.
func runGateway(ctx context.Context, file string, s *loader.GatewaySettings) error {
	queue := logger.NewQueue(os.Stdout, logger.DefaultQueueBytes)
	defer queue.Close()
	base, err := logger.New(queue, s.LogLevel)
	if err != nil {
		return errors.Trace(err)
	}
	log := logger.NewLimited(base)
	reload := make(chan os.Signal, 1)
	signal.Notify(reload, syscall.SIGHUP)
	defer signal.Stop(reload)
	g := &gateway.Gateway{
		Settings:        s,
		Logger:          log.With(zap.String("router", s.ID)),
		Adapters:        gateway.NewAdapters(&platform.Store{Address: s.Store}, platform.Dialect{}, platform.Layout(), platform.Features(s.Terms)),
		Elapsed:         gateway.SinceBoot,
		SettingsFile:    file,
		ReloadSignal:    reload,
		OmittedLogLines: func() uint64 { return log.Omitted() + queue.Dropped() },
	}
	return errors.Trace(g.Run(ctx))
}
