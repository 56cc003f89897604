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

// startReloader runs a reloader of the file until the test ends. The returned
// channel receives the text of all applied settings, and "fault" for every
// rejected text.
func startReloader(t *testing.T, file string) (*storetester.Clock, chan os.Signal, chan string) {
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

// replaceFile replaces the file atomically, so that no reader sees part of it.
func replaceFile(t *testing.T, file, text string) {
	assert.NilError(t, os.WriteFile(file+".new", []byte(text), 0o600))
	assert.NilError(t, os.Rename(file+".new", file))
}

// Guards against a signal that terminates the process or does not reload the file,
// and against invalid settings that replace the current ones. A SIGHUP once
// terminated the router and cut off the calls in progress.
func TestReloadOnSignal(t *testing.T) {
	file := filepath.Join(t.TempDir(), "settings")
	replaceFile(t, file, "first")
	_, signals, applied := startReloader(t, file)
	signals <- syscall.SIGHUP
	assert.Equal(t, <-applied, "first")
	replaceFile(t, file, "faulty")
	signals <- syscall.SIGHUP
	assert.Equal(t, <-applied, "fault")
	replaceFile(t, file, "second")
	signals <- syscall.SIGHUP
	assert.Equal(t, <-applied, "second")
	assert.Equal(t, len(applied), 0)
}

// Guards against a changed file that is not reloaded without a signal.
func TestReloadOnChange(t *testing.T) {
	file := filepath.Join(t.TempDir(), "settings")
	replaceFile(t, file, "first")
	clock, signals, applied := startReloader(t, file)
	// Once the first signal is handled, the reloader has read the file.
	signals <- syscall.SIGHUP
	assert.Equal(t, <-applied, "first")
	replaceFile(t, file, "second")
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
