package logger

import (
	"sync/atomic"
	"time"

	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"
)

const (
	// infoPerSecond and failurePerSecond bound the lines per second that have
	// the same message and level. Lines of level warn and above have the larger
	// limit, so that a flooded router drops the lines of completed requests
	// first.
	infoPerSecond    = 100
	failurePerSecond = 400
	limitPeriod      = time.Second
)

// Limited is a logger that limits the rate of lines with the same message and
// level.
type Limited struct {
	*zap.Logger
	omitted atomic.Uint64
}

// NewLimited returns a logger that writes to l and limits its lines. Lines of the
// same message and level beyond the limit of a second are left out and counted.
func NewLimited(l *zap.Logger) *Limited {
	limited := &Limited{}
	hook := zapcore.SamplerHook(func(_ zapcore.Entry, d zapcore.SamplingDecision) {
		if d&zapcore.LogDropped != 0 {
			limited.omitted.Add(1)
		}
	})
	limited.Logger = l.WithOptions(zap.WrapCore(func(core zapcore.Core) zapcore.Core {
		return byLevel{
			Core:     core,
			info:     zapcore.NewSamplerWithOptions(core, limitPeriod, infoPerSecond, 0, hook),
			failures: zapcore.NewSamplerWithOptions(core, limitPeriod, failurePerSecond, 0, hook),
		}
	}))
	return limited
}

// Omitted returns the number of lines that the limits have left out.
func (l *Limited) Omitted() uint64 { return l.omitted.Load() }

// byLevel passes lines of level warn and above to failures and the others to
// info. Each has a limit of its own.
type byLevel struct {
	zapcore.Core
	info     zapcore.Core
	failures zapcore.Core
}

// With implements zapcore.Core.
func (c byLevel) With(fields []zapcore.Field) zapcore.Core {
	return byLevel{Core: c.Core.With(fields), info: c.info.With(fields), failures: c.failures.With(fields)}
}

// Check implements zapcore.Core.
func (c byLevel) Check(e zapcore.Entry, checked *zapcore.CheckedEntry) *zapcore.CheckedEntry {
	if e.Level >= zapcore.WarnLevel {
		return c.failures.Check(e, checked)
	}
	return c.info.Check(e, checked)
}
