package server_test

import (
	"bufio"
	"io"
	"net/http"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// Guards against an idle timeout of the configuration that is not obeyed: connections
// that clients no longer use hold descriptors, and those that clients may still use are
// closed.
func TestIdleTimeoutIsObeyed(t *testing.T) {
	const timeout, longer = 200 * time.Millisecond, 10 * time.Minute
	listener, longerListener := listen(t), listen(t)
	s, _ := start(t, listener, answerOK)
	s.SetIdleTimeout(timeout)
	l, _ := start(t, longerListener, answerOK)
	l.SetIdleTimeout(longer)
	kept, keptReader := keep(t, longerListener)
	idle, reader := keep(t, listener)
	began := time.Now()
	assert.NilError(t, idle.SetReadDeadline(began.Add(5*time.Second)))
	_, err := reader.ReadByte()
	assert.Equal(t, err, io.EOF)
	assert.Assert(t, time.Since(began) > timeout/2, "closed after %s", time.Since(began))
	_, err = io.WriteString(kept, keptRequest)
	assert.NilError(t, err)
	checkAnswer(t, keptReader, http.StatusOK, "ok")
}

// Guards against an idle timeout that is applied to a request that is being read.
func TestIdleTimeoutSparesRequests(t *testing.T) {
	const timeout = 500 * time.Millisecond
	listener := listen(t)
	s, _ := start(t, listener, answerOK)
	s.SetIdleTimeout(timeout)
	c, reader := keep(t, listener)
	_, err := io.WriteString(c, keptRequest[:20])
	assert.NilError(t, err)
	first := connect(t, listener.Addr(), keptRequest[:10])
	<-time.After(2 * timeout)
	_, err = io.WriteString(c, keptRequest[20:])
	assert.NilError(t, err)
	checkAnswer(t, reader, http.StatusOK, "ok")
	_, err = io.WriteString(first, keptRequest[10:])
	assert.NilError(t, err)
	checkAnswer(t, bufio.NewReader(first), http.StatusOK, "ok")
}
