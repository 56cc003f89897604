package responder

import (
	"context"
	"encoding/json"
	"net/http"
	"strconv"

	"github.com/danielgtaylor/huma/v2"
	"go.uber.org/zap"

	"github.com/bergamotdale/bergamotdale"
)

// serviceInput is the request of POST /v1/services/{service}/{call}.
type serviceInput struct {
	Identity
	Service        string `path:"service"`
	Call           string `path:"call"`
	IdempotencyKey string `header:"Idempotency-Key" doc:"required for calls that are not idempotent" maxLength:"256"`
	RawBody        []byte `contentType:"application/json"`
}

// serviceOutput is the response of a service call. Status and Body are those of
// the service.
type serviceOutput struct {
	Status    int
	RequestID string `header:"X-Request-Id"`
	Revision  string `header:"X-Bergamotdale-Revision"`
	Body      json.RawMessage
}

func (r *Responder) registerServices(api huma.API) {
	huma.Register(api, huma.Operation{
		OperationID:  "call-service",
		Method:       http.MethodPost,
		Path:         "/v1/services/{service}/{call}",
		Summary:      "Call a plain service",
		MaxBodyBytes: r.MaxBodyBytes,
		// The handler validates the body, so that each fault gets its result code.
		SkipValidateBody: true,
	}, r.callService)
}

func (r *Responder) callService(ctx context.Context, in *serviceInput) (*serviceOutput, error) {
	id := r.requestID(in.RequestID)
	grant, err := r.Backend.Authorize(in.Workspace, bearerKey(in.Authorization))
	if err != nil {
		return nil, r.refuse(err, id, grant)
	}
	if len(in.RawBody) > 0 && !json.Valid(in.RawBody) {
		return nil, r.refuse(bergamotdale.Refuse(bergamotdale.CodeInvalidJSON, "the request body is not valid JSON"), id, grant)
	}
	start := r.Clock.Now()
	response, err := r.Backend.CallService(ctx, bergamotdale.ServiceCall{
		RequestID:   id,
		Workspace:   grant.Workspace,
		Service:     in.Service,
		Call:        in.Call,
		Key:         in.IdempotencyKey,
		Fingerprint: fingerprint(grant.Workspace, in.Service, in.Call, string(in.RawBody)),
		Body:        in.RawBody,
		Revision:    grant.Revision,
	})
	if err != nil {
		return nil, r.refuse(err, id, grant)
	}
	r.Logger.Info("service call completed",
		zap.String("request-id", id),
		zap.String("workspace", grant.Workspace),
		zap.String("service", in.Service),
		zap.String("call", in.Call),
		zap.Int("status", response.Status),
		zap.Duration("duration", r.Clock.Now().Sub(start)))
	return &serviceOutput{
		Status:    response.Status,
		RequestID: id,
		Revision:  strconv.FormatInt(grant.Revision, 10),
		Body:      response.Body,
	}, nil
}
