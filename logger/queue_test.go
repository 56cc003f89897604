package logger_test

import (
	"bytes"
	"fmt"
	"strings"
	"sync"
	"testing"

	"go.uber.org/zap"
	"gotest.tools/v3/assert"

	"github.com/bergamotdale/bergamotdale/logger"
)

// blockedWriter is a writer that blocks until release is closed. It closes
// entered at the first write.
type blockedWriter struct {
	entered chan struct{}
	release chan struct{}
	once    sync.Once
	out     bytes.Buffer
}

func (b *blockedWriter) Write(p []byte) (int, error) {
	b.once.Do(func() { close(b.entered) })
	<-b.release
	return b.out.Write(p)
}

// Guards against requests that block because the reader of the log is slow, and
// against lines that are dropped without being counted.
func TestQueueNeverBlocks(t *testing.T) {
	b := &blockedWriter{entered: make(chan struct{}), release: make(chan struct{})}
	q := logger.NewQueue(b, 100)
	_, _ = q.Write([]byte("first\n"))
	<-b.entered
	for i := range 50 {
		n, err := fmt.Fprintf(q, "line %02d\n", i)
		assert.NilError(t, err)
		assert.Equal(t, n, 8)
	}
	assert.Equal(t, q.Dropped(), uint64(50-100/8))
	close(b.release)
	q.Close()
	assert.Equal(t, strings.Count(b.out.String(), "\n"), 1+100/8)
}

// Guards against a log that grows without bound under load, and against leaving
// out the lines of failures as early as those of completed requests.
func TestLimited(t *testing.T) {
	var out bytes.Buffer
	base, err := logger.New(&out, "info")
	assert.NilError(t, err)
	l := logger.NewLimited(base)
	for range 350 {
		l.Info("request", zap.String("outcome", "complete"))
		l.Warn("request", zap.String("outcome", "refused"))
	}
	// A new second may begin while the loop runs, which allows twice as many
	// lines.
	complete := strings.Count(out.String(), "complete")
	assert.Assert(t, complete >= 100 && complete <= 200, "%d lines", complete)
	assert.Equal(t, strings.Count(out.String(), "refused"), 350)
	assert.Equal(t, l.Omitted(), uint64(350-complete))
}
