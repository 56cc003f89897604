// Package reloader reads a settings file again when a signal asks for it or when
// the file has changed.
package reloader

import (
	"bytes"
	"context"
	"os"
	"time"

	"go.uber.org/zap"

	"github.com/bergamotdale/bergamotdale"
)

// checkInterval is how often the file is read without a signal. It is far below
// the time in which operators expect a change to be in force.
const checkInterval = 2 * time.Second

// Reloader watches one settings file. Exported fields are set before Run.
type Reloader[Settings any] struct {
	File  string
	Parse func(file string, data []byte) (*Settings, error)
	// Apply puts settings into force that Parse accepted.
	Apply  func(*Settings)
	Signal <-chan os.Signal
	Clock  bergamotdale.Clock
	Logger *zap.Logger
}

// Run reads the file until the context is done. Settings with a fault are
// logged, and those in force stay.
func (r *Reloader[Settings]) Run(ctx context.Context) error {
	last, err := os.ReadFile(r.File)
	if err != nil {
		r.Logger.Error("settings file not readable", zap.String("file", r.File), zap.Error(err))
	}
	for {
		signalled := false
		select {
		case <-ctx.Done():
			return nil
		case <-r.Signal:
			signalled = true
		case <-r.Clock.After(checkInterval):
		}
		data, err := os.ReadFile(r.File)
		if err != nil {
			r.Logger.Error("settings file not readable, the settings in force stay", zap.String("file", r.File), zap.Error(err))
			continue
		}
		changed := !bytes.Equal(data, last)
		if !signalled && !changed {
			continue
		}
		last = data
		settings, err := r.Parse(r.File, data)
		if err != nil {
			r.Logger.Error("settings with faults, those in force stay", zap.String("file", r.File), zap.Error(err))
			continue
		}
		r.Logger.Info("settings reloaded", zap.String("file", r.File), zap.Bool("signalled", signalled), zap.Bool("changed", changed))
		r.Apply(settings)
	}
}
