package reloader_test

import (
	"context"
	"os"
	"path/filepath"
	"syscall"
	"testing"
	"time"

	"github.com/juju/errors"
	"go.uber.org/zap"
	"gotest.tools/v3/assert"

	"github.com/bergamotdale/bergamotdale/reloader"
	"github.com/bergamotdale/bergamotdale/storetester"
)

type settings struct{ text string }

// start runs a reloader of a file. What it applies, and "fault" for faulty
// settings, is sent to the returned channel.
func start(t *testing.T, file string) (*storetester.Clock, chan os.Signal, chan string) {
	clock, signals, applied := storetester.NewClock(time.Unix(1000, 0)), make(chan os.Signal), make(chan string, 10)
	parse := func(_ string, data []byte) (*settings, error) {
		if string(data) == "faulty" {
			applied <- "fault"
			return nil, errors.New("faulty")
		}
		return &settings{string(data)}, nil
	}
	r := &reloader.Reloader[settings]{
		File: file, Parse: parse, Apply: func(s *settings) { applied <- s.text },
		Signal: signals, Clock: clock, Logger: zap.NewNop(),
	}
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() { _ = r.Run(ctx); close(done) }()
	t.Cleanup(func() { cancel(); <-done })
	return clock, signals, applied
}

// write replaces the file at once, so that no reader sees a part of it.
func write(t *testing.T, file, text string) {
	assert.NilError(t, os.WriteFile(file+".new", []byte(text), 0o600))
	assert.NilError(t, os.Rename(file+".new", file))
}

// Guards against a signal that ends the process or changes nothing, and against
// faulty settings that replace those in force: a SIGHUP once ended the router
// and cut the calls in progress.
func TestSignal(t *testing.T) {
	file := filepath.Join(t.TempDir(), "settings")
	write(t, file, "first")
	_, signals, applied := start(t, file)
	signals <- syscall.SIGHUP
	assert.Equal(t, <-applied, "first")
	write(t, file, "faulty")
	signals <- syscall.SIGHUP
	assert.Equal(t, <-applied, "fault")
	write(t, file, "second")
	signals <- syscall.SIGHUP
	assert.Equal(t, <-applied, "second")
	assert.Equal(t, len(applied), 0)
}

// Guards against a changed file that goes unnoticed without a signal.
func TestChangedFile(t *testing.T) {
	file := filepath.Join(t.TempDir(), "settings")
	write(t, file, "first")
	clock, signals, applied := start(t, file)
	// The first signal shows that the reloader has read the file.
	signals <- syscall.SIGHUP
	assert.Equal(t, <-applied, "first")
	write(t, file, "second")
	for len(applied) == 0 {
		clock.Advance(time.Second)
		select {
		case <-t.Context().Done():
			t.Fatal("the change was not applied")
		default:
		}
	}
	assert.Equal(t, <-applied, "second")
}
