package collator_test

import (
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/bergamotdale/bergamotdale/collator"
)

const firstLog = `  20.1 node-1 {"level":"info","time":"2026-05-06T10:25:52.2Z","message":"request retried","router":"r1","request-id":"a","endpoint":"e1"}
not a log line
{"level":"warn","time":"2026-05-06T10:25:52.9Z","message":"request","router":"r1","request-id":"a","endpoint":"e2","status":502}
{"level":"warn","time":"2026-05-06T10:25:52.9Z","message":"request","router":"r1","request-id":"b","endpoint":"e2"}
{"broken"
`

const secondLog = `{"level":"info","time":"2026-05-06T10:25:52.5Z","message":"endpoint suspended","router":"r2","request-id":"a","endpoint":"e1"}`

// Guards against including lines of other requests, against lines out of order,
// and against a prefix or an incomplete line that stops the reading of a file.
func TestCollate(t *testing.T) {
	c := &collator.Collator{Filter: collator.Filter{RequestID: "a"}}
	assert.NilError(t, c.Read(strings.NewReader(firstLog)))
	assert.NilError(t, c.Read(strings.NewReader(secondLog)))
	var messages []string
	for _, l := range c.Lines() {
		messages = append(messages, l.Process+" "+l.Message)
	}
	assert.DeepEqual(t, messages, []string{"r1 request retried", "r2 endpoint suspended", "r1 request"})
	assert.Equal(t, c.Skipped(), 2)
	assert.Equal(t, c.Lines()[2].String(), "10:25:52.900 warn  r1: request endpoint=e2 request-id=a status=502")
}

// Guards against a filter that ignores the endpoint.
func TestFilter(t *testing.T) {
	c := &collator.Collator{Filter: collator.Filter{Endpoint: "e2"}}
	assert.NilError(t, c.Read(strings.NewReader(firstLog)))
	assert.Equal(t, len(c.Lines()), 2)
}
