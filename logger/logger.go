// Package logger builds the structured log of a process: one JSON object per
// line, with kebab-case keys. Limited bounds the rate of similar lines, and Queue
// keeps a slow reader of the log from blocking the process.
package logger

import (
	"io"

	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"
)

// New returns a logger that writes entries of the level and above to w as JSON
// lines.
func New(w io.Writer, level string) (*zap.Logger, error) {
	parsed, err := zapcore.ParseLevel(level)
	if err != nil {
		return nil, err
	}
	encoder := zapcore.NewJSONEncoder(zapcore.EncoderConfig{
		TimeKey:        "time",
		LevelKey:       "level",
		NameKey:        "logger",
		MessageKey:     "message",
		EncodeTime:     zapcore.RFC3339NanoTimeEncoder,
		EncodeLevel:    zapcore.LowercaseLevelEncoder,
		EncodeDuration: zapcore.StringDurationEncoder,
	})
	core := zapcore.NewCore(encoder, zapcore.Lock(zapcore.AddSync(w)), parsed)
	return zap.New(plainErrors{core}), nil
}

// plainErrors writes each error as one field with its message. zap would
// otherwise add a second field with the whole trace for errors that carry a
// stack trace.
type plainErrors struct {
	zapcore.Core
}

// With implements zapcore.Core.
func (c plainErrors) With(fields []zapcore.Field) zapcore.Core {
	return plainErrors{c.Core.With(errorsToMessages(fields))}
}

// Check implements zapcore.Core.
func (c plainErrors) Check(e zapcore.Entry, checked *zapcore.CheckedEntry) *zapcore.CheckedEntry {
	if c.Enabled(e.Level) {
		return checked.AddCore(e, c)
	}
	return checked
}

// Write implements zapcore.Core.
func (c plainErrors) Write(e zapcore.Entry, fields []zapcore.Field) error {
	return c.Core.Write(e, errorsToMessages(fields))
}

// errorsToMessages returns the fields with errors replaced by their messages.
func errorsToMessages(fields []zapcore.Field) []zapcore.Field {
	out := make([]zapcore.Field, len(fields))
	for i, f := range fields {
		if err, ok := f.Interface.(error); ok && f.Type == zapcore.ErrorType {
			f = zap.String(f.Key, err.Error())
		}
		out[i] = f
	}
	return out
}
