// Command bergamotdale runs a router and the operators' commands.
package main

import (
	"context"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/juju/errors"

	"github.com/bergamotdale/bergamotdale/commander"
	"github.com/bergamotdale/bergamotdale/loader"
)

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	c := commander.Commander{Stdout: os.Stdout, Stderr: os.Stderr, RunRouter: runRouter, Now: time.Now}
	code := c.Run(ctx, os.Args[1:])
	stop()
	os.Exit(code)
}

// runRouter runs a router until the context is done.
//
// TODO: call router.Run here once the router package is merged.
func runRouter(_ context.Context, s *loader.Settings) error {
	return errors.NotImplementedf("router %s: package router", s.ID)
}
