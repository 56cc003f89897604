// Package responder implements the HTTP API for clients: the chat completions API
// that common client libraries use, and calls of plain services under a path of
// their own. It validates HTTP requests, passes them to a Backend, and writes
// streams, complete responses and refusals. A refusal is an error response with a
// result code and an outcome, which states whether the request was executed.
//
// Handlers are registered with huma. Bodies are read as raw bytes, because a
// completion request is forwarded to the engine unchanged; only the fields that
// routing needs are decoded.
package responder

import (
	"context"
	"net/http"
	"time"

	"github.com/danielgtaylor/huma/v2"
	"github.com/danielgtaylor/huma/v2/adapters/humago"
	"go.uber.org/zap"

	"github.com/bergamotdale/bergamotdale"
)

// Names of the HTTP headers that clients and routers exchange.
const (
	HeaderWorkspace      = "X-Bergamotdale-Workspace"
	HeaderChat           = "X-Bergamotdale-Chat"
	HeaderPriority       = "X-Bergamotdale-Priority"
	HeaderRevision       = "X-Bergamotdale-Revision"
	HeaderRequestID      = "X-Request-Id"
	HeaderIdempotencyKey = "Idempotency-Key"
	HeaderLastEventID    = "Last-Event-ID"
)

// Grant is the result of the authorization of a client: its workspace, the default
// priority class of the workspace, and the revision of the configuration that was
// used.
type Grant struct {
	Workspace            string
	DefaultPriorityClass string
	Revision             int64
}

// Model is one model in the response of GET /v1/models.
type Model struct {
	ID      string `json:"id"`
	Object  string `json:"object"`
	Created int64  `json:"created"`
	OwnedBy string `json:"owned_by"`
}

// Backend executes validated requests.
type Backend interface {
	// Authorize returns the grant of a client, whose workspace is identified by
	// its name or by an API key. With an error, the grant may hold only Revision.
	Authorize(workspace, apiKey string) (Grant, error)
	// Models lists the models that the workspace may use.
	Models(workspace string) ([]Model, error)
	// Complete starts a completion and returns its response stream.
	Complete(ctx context.Context, c bergamotdale.Completion) (bergamotdale.FrameStream, error)
	// CallService executes a call of a plain service.
	CallService(ctx context.Context, c bergamotdale.ServiceCall) (bergamotdale.ServiceResponse, error)
	// Ready returns nil while the router accepts new requests.
	Ready() error
}

// Responder serves the HTTP API for clients.
type Responder struct {
	// Backend executes the requests. Set before Handler.
	Backend Backend
	// Logger receives one entry for each request. Set before Handler.
	Logger *zap.Logger
	// Clock is the source of time. Set before Handler.
	Clock bergamotdale.Clock
	// NewID returns a unique request ID. Set before Handler.
	NewID func() string
	// MaxBodyBytes is the largest accepted request body. Set before Handler.
	MaxBodyBytes int64
	// StatusWait is the longest time that a response waits for the first data
	// frame of its stream before its status is sent. A refusal before that has
	// its own status; a later one is an event of the stream. Set before Handler.
	StatusWait time.Duration
}

// Handler returns the HTTP handler for clients.
func (r *Responder) Handler() http.Handler {
	mux := http.NewServeMux()
	config := huma.DefaultConfig("bergamotdale", "v1")
	// The default hooks install the schema link transformer, which would add
	// fields to responses whose format is fixed by the chat completions API.
	config.CreateHooks = nil
	api := humago.New(mux, config)
	r.registerCompletions(api)
	r.registerModels(api)
	r.registerServices(api)
	mux.HandleFunc("GET /healthz", func(w http.ResponseWriter, _ *http.Request) {
		_, _ = w.Write([]byte("ok\n"))
	})
	mux.HandleFunc("GET /readyz", r.ready)
	return r.limitBody(mux)
}

// limitBody limits the size of every request body before huma reads it.
func (r *Responder) limitBody(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, req *http.Request) {
		if req.ContentLength > r.MaxBodyBytes {
			r.writeRefusal(w, r.requestID(req.Header.Get(HeaderRequestID)), bergamotdale.Refuse(
				bergamotdale.CodeBodyTooLarge, "body has %d bytes, at most %d are accepted", req.ContentLength, r.MaxBodyBytes))
			return
		}
		req.Body = http.MaxBytesReader(w, req.Body, r.MaxBodyBytes)
		next.ServeHTTP(w, req)
	})
}

func (r *Responder) ready(w http.ResponseWriter, _ *http.Request) {
	if err := r.Backend.Ready(); err != nil {
		http.Error(w, err.Error(), http.StatusServiceUnavailable)
		return
	}
	_, _ = w.Write([]byte("ready\n"))
}

// requestID returns the ID sent by the client, or a new one if there is none.
func (r *Responder) requestID(sent string) string {
	if sent != "" {
		return sent
	}
	return r.NewID()
}
