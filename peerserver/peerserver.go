// Package peerserver registers the handlers of the messages that routers send to
// each other with package peerclient. A message is an HTTP POST request with a JSON
// body to a path below peerclient.BasePath, and its response is a JSON value.
package peerserver

import (
	"context"
	"net/http"

	"github.com/danielgtaylor/huma/v2"
	"github.com/danielgtaylor/huma/v2/adapters/humago"

	"github.com/bergamotdale/bergamotdale"
	"github.com/bergamotdale/bergamotdale/peerclient"
)

// New returns a huma API on the mux that serves no documentation, OpenAPI or schema
// pages.
func New(mux *http.ServeMux) huma.API {
	config := huma.DefaultConfig("bergamotdale peers", "v1")
	config.CreateHooks = nil
	config.DocsPath, config.OpenAPIPath, config.SchemasPath = "", "", ""
	api := humago.New(mux, config)
	api.UseMiddleware(func(ctx huma.Context, next func(huma.Context)) {
		// Routers do not read the header Date, which is a tenth of a short message.
		_, w := humago.Unwrap(ctx)
		w.Header()["Date"] = nil
		next(ctx)
	})
	return api
}

// peerInput is the huma input struct whose body is the message.
type peerInput[T any] struct {
	Body T
}

// peerOutput is the huma output struct whose body is the response.
type peerOutput[T any] struct {
	Body T
}

// Handle registers the handler of the message with the path. Request bodies may
// have at most maxBodyBytes. An error of the handler is sent as a refusal.
func Handle[Request, Response any](api huma.API, maxBodyBytes int64, path string, handle func(context.Context, Request) (Response, error)) {
	huma.Register(api, huma.Operation{
		OperationID:  "peer-" + path,
		Method:       http.MethodPost,
		Path:         peerclient.BasePath + path,
		MaxBodyBytes: maxBodyBytes,
		// Routers of different versions exchange messages, so bodies are not
		// validated and unknown fields are ignored.
		SkipValidateBody: true,
	}, func(ctx context.Context, in *peerInput[Request]) (*peerOutput[Response], error) {
		response, err := handle(ctx, in.Body)
		if err != nil {
			return nil, NewError(err)
		}
		return &peerOutput[Response]{Body: response}, nil
	})
}

// Error is a refusal that huma writes as the body of a response to another router.
type Error struct {
	bergamotdale.WireRefusal
}

// NewError returns the refusal in the chain of err as an Error. Any other error
// becomes a refusal with an unknown outcome.
func NewError(err error) *Error {
	return &Error{*bergamotdale.AsRefusal(err).Wire("")}
}

// Error implements error.
func (e *Error) Error() string {
	return e.Message
}

// GetStatus implements huma.StatusError.
func (e *Error) GetStatus() int {
	return e.Code.HTTPStatus()
}
