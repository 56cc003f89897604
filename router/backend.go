package router

import (
	"context"

	"github.com/samber/lo"

	"github.com/bergamotdale/bergamotdale"
	"github.com/bergamotdale/bergamotdale/responder"
	"github.com/bergamotdale/bergamotdale/validator"
)

// backend implements responder.Backend: it checks client requests against the
// configuration and executes them.
type backend struct {
	router *Router
}

// config returns the configuration in force, or a refusal if none is known.
func (b *backend) config() (*validator.Config, error) {
	v := b.router.views.Current()
	if v.Config() == nil {
		return nil, bergamotdale.Refuse(bergamotdale.CodeNoConfiguration, "no configuration is known yet").After(controlInterval)
	}
	return v.Config(), nil
}

// Authorize implements responder.Backend.
func (b *backend) Authorize(workspace, apiKey string) (responder.Grant, error) {
	config, err := b.config()
	if err != nil {
		return responder.Grant{}, err
	}
	w, err := findWorkspace(config, workspace, apiKey)
	if err != nil {
		return responder.Grant{Revision: config.Revision()}, err
	}
	return responder.Grant{
		Workspace:            w.Name(),
		DefaultPriorityClass: w.DefaultPriorityClass().Name(),
		Revision:             config.Revision(),
	}, nil
}

// findWorkspace returns the workspace of a request: the named one, or that of
// the API key if the request names none. A request that names a workspace with
// API keys must present one of them.
func findWorkspace(config *validator.Config, name, apiKey string) (*validator.Workspace, error) {
	byKey, keyKnown := config.WorkspaceByAPIKey(apiKey)
	if name == "" {
		if keyKnown {
			return byKey, nil
		}
		if apiKey == "" {
			return nil, bergamotdale.Refuse(bergamotdale.CodeUnknownWorkspace, "the request names no workspace and has no API key")
		}
		return nil, bergamotdale.Refuse(bergamotdale.CodeInvalidCredentials, "the API key belongs to no workspace")
	}
	w, ok := config.Workspace(name)
	if !ok {
		return nil, bergamotdale.Refuse(bergamotdale.CodeUnknownWorkspace, "workspace %q does not exist", name)
	}
	if w.HasAPIKeys() && (!keyKnown || byKey.Name() != name) {
		return nil, bergamotdale.Refuse(bergamotdale.CodeInvalidCredentials, "the API key does not belong to workspace %q", name)
	}
	return w, nil
}

// Models implements responder.Backend.
func (b *backend) Models(workspace string) ([]responder.Model, error) {
	config, err := b.config()
	if err != nil {
		return nil, err
	}
	w, ok := config.Workspace(workspace)
	if !ok {
		return nil, bergamotdale.Refuse(bergamotdale.CodeUnknownWorkspace, "workspace %q does not exist", workspace)
	}
	return lo.FilterMap(config.Models(), func(m *validator.Model, _ int) (responder.Model, bool) {
		return responder.Model{ID: m.Name(), Object: "model", OwnedBy: "bergamotdale"}, w.Allows(m)
	}), nil
}

// Complete implements responder.Backend.
func (b *backend) Complete(ctx context.Context, c bergamotdale.Completion) (bergamotdale.FrameStream, error) {
	config, err := b.config()
	if err != nil {
		return nil, err
	}
	model, ok := config.Model(c.Model)
	if !ok {
		return nil, bergamotdale.Refuse(bergamotdale.CodeUnknownModel, "model %q does not exist", c.Model)
	}
	if w, ok := config.Workspace(c.Workspace); ok && !w.Allows(model) {
		return nil, bergamotdale.Refuse(bergamotdale.CodeModelNotAllowed, "workspace %q may not use model %q", c.Workspace, c.Model)
	}
	if _, ok := config.PriorityClass(c.PriorityClass); !ok {
		return nil, bergamotdale.Refuse(bergamotdale.CodeUnknownPriorityClass, "priority class %q does not exist", c.PriorityClass)
	}
	if refusal := b.router.isolator.Refusal(c.Fingerprint); refusal != nil {
		return nil, refusal
	}
	admission, err := b.router.quotas.Admit(ctx, c)
	if err != nil {
		return nil, err
	}
	b.router.recorder.Record(c.Event(b.router.clock.Now(), "request-accepted", "model "+c.Model+", class "+c.PriorityClass))
	stream, err := b.router.forwarder.Complete(ctx, c)
	if err != nil {
		admission.Refund()
		return nil, err
	}
	return admission.Stream(stream), nil
}

// CallService implements responder.Backend.
func (b *backend) CallService(ctx context.Context, c bergamotdale.ServiceCall) (bergamotdale.ServiceResponse, error) {
	config, err := b.config()
	if err != nil {
		return bergamotdale.ServiceResponse{}, err
	}
	service, ok := config.Service(c.Service)
	if !ok {
		return bergamotdale.ServiceResponse{}, bergamotdale.Refuse(bergamotdale.CodeUnknownService, "service %q does not exist", c.Service)
	}
	call, ok := service.Call(c.Call)
	if !ok {
		return bergamotdale.ServiceResponse{}, bergamotdale.Refuse(bergamotdale.CodeUnknownService, "service %q has no call %q", c.Service, c.Call)
	}
	b.router.recorder.Record(c.Event(b.router.clock.Now(), "service-call-accepted", "", c.Service+"/"+c.Call))
	if call.Idempotent() {
		b.router.forwarder.Budget.AddRequest()
		return b.router.caller.Call(ctx, c, true)
	}
	if c.Key == "" {
		return bergamotdale.ServiceResponse{}, bergamotdale.Refuse(bergamotdale.CodeMissingKey,
			"service call %s/%s is not idempotent and needs an Idempotency-Key header", c.Service, c.Call)
	}
	return b.router.forwarder.Commit(ctx, c, b.router.shards)
}

// Ready implements responder.Backend.
func (b *backend) Ready() error {
	if b.router.stopping.Load() {
		return bergamotdale.Refuse(bergamotdale.CodeStopping, "this router is stopping")
	}
	if _, err := b.config(); err != nil {
		return err
	}
	if !b.router.serving.Load() {
		return bergamotdale.Refuse(bergamotdale.CodeNoEndpoint, "this router does not know the owners of endpoints and shards yet")
	}
	return nil
}
