package logger_test

import (
	"bytes"
	"strings"
	"testing"

	"github.com/juju/errors"
	"go.uber.org/zap"
	"gotest.tools/v3/assert"

	"github.com/bergamotdale/bergamotdale/logger"
)

// Guards against stack traces in log lines, against entries below the level, and
// against an error for an unknown level that does not name it.
func TestErrorsAreOneField(t *testing.T) {
	var out bytes.Buffer
	log, err := logger.New(&out, "info")
	assert.NilError(t, err)
	cause := errors.Annotate(errors.New("refused"), "dialing")
	log.With(zap.Error(cause)).Named("router").Warn("no route", zap.String("request-id", "r1"))
	log.Debug("hidden")
	line := out.String()
	assert.Assert(t, strings.Contains(line, `"error":"dialing: refused"`), line)
	assert.Assert(t, strings.Contains(line, `"request-id":"r1"`), line)
	assert.Assert(t, !strings.Contains(line, "Verbose") && !strings.Contains(line, "hidden"), line)
	_, err = logger.New(&out, "loud")
	assert.ErrorContains(t, err, "loud")
}
