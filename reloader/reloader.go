// Package reloader reloads a settings file when the process receives a signal or
// when the contents of the file have changed. Invalid settings are logged and
// leave the current settings in effect.
package reloader

import (
	"bytes"
	"context"
	"os"
	"time"

	"go.uber.org/zap"

	"github.com/bergamotdale/bergamotdale"
)

// pollInterval is the interval at which the file is read without a signal. It is
// far below the time within which operators expect a change to take effect.
const pollInterval = 2 * time.Second

// Reloader reloads one settings file. The exported fields must be set before Run
// is called.
type Reloader[Settings any] struct {
	File  string
	Parse func(file string, data []byte) (*Settings, error)
	// Apply is called with the settings that Parse returned without an error.
	Apply func(*Settings)
	// Signal triggers a reload, also if the file has not changed.
	Signal <-chan os.Signal
	Clock  bergamotdale.Clock
	Logger *zap.Logger
}

// Run watches the file until the context is done. If the file cannot be read or
// parsed, Run logs the error and does not call Apply.
func (r *Reloader[Settings]) Run(ctx context.Context) error {
	lastData, err := os.ReadFile(r.File)
	if err != nil {
		r.Logger.Error("failed to read settings file", zap.String("file", r.File), zap.Error(err))
	}
	for {
		signalled := false
		select {
		case <-ctx.Done():
			return nil
		case <-r.Signal:
			signalled = true
		case <-r.Clock.After(pollInterval):
		}
		data, err := os.ReadFile(r.File)
		if err != nil {
			r.Logger.Error("failed to read settings file, keeping the current settings", zap.String("file", r.File), zap.Error(err))
			continue
		}
		changed := !bytes.Equal(data, lastData)
		if !signalled && !changed {
			continue
		}
		lastData = data
		settings, err := r.Parse(r.File, data)
		if err != nil {
			r.Logger.Error("invalid settings, keeping the current settings", zap.String("file", r.File), zap.Error(err))
			continue
		}
		r.Logger.Info("settings reloaded", zap.String("file", r.File), zap.Bool("signalled", signalled), zap.Bool("changed", changed))
		r.Apply(settings)
	}
}
