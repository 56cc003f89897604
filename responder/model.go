package responder

import (
	"context"
	"net/http"
	"strconv"

	"github.com/danielgtaylor/huma/v2"
)

// modelsOutput is the response of GET /v1/models.
type modelsOutput struct {
	RequestID string `header:"X-Request-Id"`
	Revision  string `header:"X-Bergamotdale-Revision"`
	Body      struct {
		Object string  `json:"object"`
		Data   []Model `json:"data"`
	}
}

func (r *Responder) registerModels(api huma.API) {
	huma.Register(api, huma.Operation{
		OperationID: "list-models",
		Method:      http.MethodGet,
		Path:        "/v1/models",
		Summary:     "List the models that the workspace may use",
	}, r.listModels)
}

func (r *Responder) listModels(_ context.Context, in *Identity) (*modelsOutput, error) {
	id := r.requestID(in.RequestID)
	grant, err := r.Backend.Authorize(in.Workspace, bearerKey(in.Authorization))
	if err != nil {
		return nil, r.refuse(err, id, grant)
	}
	models, err := r.Backend.Models(grant.Workspace)
	if err != nil {
		return nil, r.refuse(err, id, grant)
	}
	out := &modelsOutput{RequestID: id, Revision: strconv.FormatInt(grant.Revision, 10)}
	out.Body.Object = "list"
	out.Body.Data = models
	return out, nil
}
