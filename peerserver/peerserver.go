// Package peerserver serves the messages between routers: HTTP with JSON below
// peerclient.BasePath.
package peerserver

import (
	"context"
	"net/http"

	"github.com/danielgtaylor/huma/v2"
	"github.com/danielgtaylor/huma/v2/adapters/humago"

	"github.com/bergamotdale/bergamotdale"
	"github.com/bergamotdale/bergamotdale/peerclient"
)

// New returns an interface without public pages on the mux.
func New(mux *http.ServeMux) huma.API {
	config := huma.DefaultConfig("bergamotdale peers", "v1")
	config.CreateHooks = nil
	config.DocsPath, config.OpenAPIPath, config.SchemasPath = "", "", ""
	return humago.New(mux, config)
}

// peerInput and peerOutput carry a message and its response.
type peerInput[T any] struct {
	Body T
}

type peerOutput[T any] struct {
	Body T
}

// Handle registers the handler of a message between routers.
func Handle[Request, Response any](api huma.API, limit int64, path string, f func(context.Context, Request) (Response, error)) {
	huma.Register(api, huma.Operation{
		OperationID:  "peer-" + path,
		Method:       http.MethodPost,
		Path:         peerclient.BasePath + path,
		MaxBodyBytes: limit,
		// Routers of different versions ignore what they do not know.
		SkipValidateBody: true,
	}, func(ctx context.Context, in *peerInput[Request]) (*peerOutput[Response], error) {
		response, err := f(ctx, in.Body)
		if err != nil {
			return nil, NewError(err)
		}
		return &peerOutput[Response]{Body: response}, nil
	})
}

// Error is a refusal as the body of a response to another router.
type Error struct {
	bergamotdale.WireRefusal
}

// NewError returns the refusal that err stands for.
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
