package responder

import (
	"context"
	"net/http"
	"strconv"

	"github.com/danielgtaylor/huma/v2"
	"go.uber.org/zap"

	"github.com/bergamotdale/bergamotdale"
	"github.com/bergamotdale/bergamotdale/quarantiner"
)

// Identity holds the headers that every client request may carry. It is
// exported because huma does not fill embedded fields of unexported types.
type Identity struct {
	Workspace     string `header:"X-Bergamotdale-Workspace" doc:"workspace; without it the API key names the workspace"`
	RequestID     string `header:"X-Request-Id" doc:"unique id of the request; generated if missing" maxLength:"128"`
	Priority      string `header:"X-Bergamotdale-Priority" doc:"priority class; the workspace's default if missing"`
	Authorization string `header:"Authorization" doc:"Bearer and an API key of the workspace"`
}

// completionInput is the request of POST /v1/chat/completions.
type completionInput struct {
	Identity
	Chat        string `header:"X-Bergamotdale-Chat" doc:"stable id of the chat; derived from the first messages if missing" maxLength:"256"`
	LastEventID string `header:"Last-Event-ID" doc:"id of the last event that the client has read"`
	RawBody     []byte `contentType:"application/json"`
}

func (r *Responder) registerCompletions(api huma.API) {
	installErrorHook()
	huma.Register(api, huma.Operation{
		OperationID:  "create-chat-completion",
		Method:       http.MethodPost,
		Path:         "/v1/chat/completions",
		Summary:      "Create a chat completion",
		MaxBodyBytes: r.MaxBodyBytes,
		// The handler validates the body, so that each fault gets its result code.
		SkipValidateBody: true,
	}, r.complete)
}

// complete handles a completion request. It responds with a stream of events or
// with a single object, as the client asked.
func (r *Responder) complete(ctx context.Context, in *completionInput) (*huma.StreamResponse, error) {
	id := r.requestID(in.RequestID)
	grant, err := r.Backend.Authorize(in.Workspace, bearerKey(in.Authorization))
	if err != nil {
		return nil, r.refuse(err, id, grant)
	}
	body, refusal := parseChatBody(in.RawBody)
	if refusal != nil {
		return nil, r.refuse(refusal, id, grant)
	}
	clientPosition, refusal := parseLastEventID(in.LastEventID)
	if refusal != nil {
		return nil, r.refuse(refusal, id, grant)
	}
	c := newCompletion(id, in, body, grant)
	if clientPosition.Checksum != 0 {
		c.ResumeFrom, c.ResumeChecksum = clientPosition.Offset, clientPosition.Checksum.String()
	}

	// huma cancels ctx when the handler returns, but the stream is written after
	// that. It ends with the client's connection instead.
	streamCtx, cancel := context.WithCancel(context.WithoutCancel(ctx))
	stop := context.AfterFunc(ctx, cancel)
	stream, err := r.Backend.Complete(streamCtx, c)
	if err != nil {
		stop()
		cancel()
		return nil, r.refuse(err, id, grant)
	}
	return r.respond(responseWriter{
		completion:     c,
		body:           body,
		grant:          grant,
		stream:         stream,
		created:        r.Clock.Now(),
		clientPosition: clientPosition,
		close: func() {
			_ = stream.Close()
			stop()
			cancel()
		},
	})
}

// respond writes the response as a stream if the client asked for one, or else as
// a single object.
func (r *Responder) respond(w responseWriter) (*huma.StreamResponse, error) {
	if w.body.Stream {
		return r.respondStream(w)
	}
	return r.respondObject(w)
}

// newCompletion returns the completion for a validated request. A missing chat ID
// is derived from the messages, and a missing priority class is the workspace's
// default.
func newCompletion(id string, in *completionInput, body *chatBody, grant Grant) bergamotdale.Completion {
	chat := in.Chat
	if chat == "" {
		chat = deriveChatID(grant.Workspace, body)
	}
	class := in.Priority
	if class == "" {
		class = grant.DefaultPriorityClass
	}
	return bergamotdale.Completion{
		RequestID:     id,
		Workspace:     grant.Workspace,
		Chat:          chat,
		PriorityClass: class,
		Model:         body.Model,
		Fingerprint:   string(quarantiner.FingerprintOf(grant.Workspace, body.Model, in.RawBody)),
		Body:          in.RawBody,
		PromptTokens:  max(1, len(in.RawBody)/bytesPerToken),
		MaxTokens:     body.maxTokens(),
		Revision:      grant.Revision,
	}
}

// setHeaders sets the headers that every completion response has.
func setHeaders(ctx huma.Context, c bergamotdale.Completion, contentType string) {
	ctx.SetHeader("Content-Type", contentType)
	ctx.SetHeader(HeaderRequestID, c.RequestID)
	ctx.SetHeader(HeaderRevision, strconv.FormatInt(c.Revision, 10))
	ctx.SetHeader(HeaderChat, c.Chat)
}

// logCompleted logs a completed request.
func (r *Responder) logCompleted(w responseWriter, tokens int) {
	r.Logger.Info("request completed",
		zap.String("request-id", w.completion.RequestID),
		zap.String("workspace", w.completion.Workspace),
		zap.String("chat", w.completion.Chat),
		zap.String("priority-class", w.completion.PriorityClass),
		zap.Int("tokens", tokens),
		zap.Duration("duration", r.Clock.Now().Sub(w.created)))
}
