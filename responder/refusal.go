package responder

import (
	"encoding/json"
	"math"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/danielgtaylor/huma/v2"
	"go.uber.org/zap"

	"github.com/bergamotdale/bergamotdale"
)

// refusalBody is the JSON body of every refusal, with its status and headers. It
// implements the error interfaces of huma, so that handlers can return it.
type refusalBody struct {
	Err refusalError `json:"error"`

	status  int
	headers http.Header
}

// refusalError holds the fields of a refusal, including those that client
// libraries of the chat completions API expect (message, type).
type refusalError struct {
	Code      bergamotdale.Code    `json:"code"`
	Name      string               `json:"name"`
	Type      string               `json:"type"`
	Message   string               `json:"message"`
	Outcome   bergamotdale.Outcome `json:"outcome"`
	RequestID string               `json:"request-id,omitempty"`
}

// Error implements error.
func (b *refusalBody) Error() string {
	return b.Err.Message
}

// GetStatus implements huma.StatusError.
func (b *refusalBody) GetStatus() int {
	return b.status
}

// GetHeaders implements huma.HeadersError.
func (b *refusalBody) GetHeaders() http.Header {
	return b.headers
}

// newRefusalBody returns the response to a refused request.
func newRefusalBody(r *bergamotdale.Refusal, requestID string, revision int64) *refusalBody {
	b := &refusalBody{
		Err: refusalError{
			Code:      r.Code,
			Name:      r.Code.String(),
			Type:      r.Code.String(),
			Message:   r.Message,
			Outcome:   r.Outcome,
			RequestID: requestID,
		},
		status:  r.Code.HTTPStatus(),
		headers: http.Header{},
	}
	if requestID != "" {
		b.headers.Set(HeaderRequestID, requestID)
	}
	if revision > 0 {
		b.headers.Set(HeaderRevision, strconv.FormatInt(revision, 10))
	}
	if r.RetryAfter > 0 {
		b.headers.Set("Retry-After", retryAfterSeconds(r.RetryAfter))
	}
	return b
}

// retryAfterSeconds formats d as whole seconds. It rounds up, so that a client
// does not retry too early.
func retryAfterSeconds(d time.Duration) string {
	return strconv.Itoa(int(math.Ceil(d.Seconds())))
}

// refuse logs the refusal and returns the response to the client.
func (r *Responder) refuse(err error, requestID string, grant Grant) *refusalBody {
	refusal := bergamotdale.AsRefusal(err)
	r.Logger.Info("request refused",
		zap.String("request-id", requestID),
		zap.String("workspace", grant.Workspace),
		zap.Int("code", int(refusal.Code)),
		zap.String("outcome", string(refusal.Outcome)),
		zap.Duration("retry-after", refusal.RetryAfter),
		zap.Error(refusal))
	return newRefusalBody(refusal, requestID, grant.Revision)
}

// writeRefusal writes a refusal from a handler that is not registered with huma.
func (r *Responder) writeRefusal(w http.ResponseWriter, requestID string, refusal *bergamotdale.Refusal) {
	body := r.refuse(refusal, requestID, Grant{})
	for name, values := range body.headers {
		w.Header()[name] = values
	}
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(body.status)
	_ = json.NewEncoder(w).Encode(body)
}

var installErrorHookOnce sync.Once

// installErrorHook makes huma report its own errors (unreadable bodies, missing
// parameters) in the format of a refusal. The hook is a global variable of huma, so
// it is set only once.
func installErrorHook() {
	installErrorHookOnce.Do(func() {
		huma.NewError = func(status int, message string, errs ...error) huma.StatusError {
			return newRefusalBody(refusalFromStatus(status, message, errs), "", 0)
		}
	})
}

// refusalFromStatus returns the refusal for an error that huma has detected.
func refusalFromStatus(status int, message string, errs []error) *bergamotdale.Refusal {
	for _, err := range errs {
		if err != nil {
			message += ": " + err.Error()
		}
	}
	switch {
	case status == http.StatusRequestEntityTooLarge:
		return bergamotdale.Refuse(bergamotdale.CodeBodyTooLarge, "%s", message)
	case status < http.StatusInternalServerError:
		return bergamotdale.Refuse(bergamotdale.CodeInvalidRequest, "%s", message)
	default:
		return bergamotdale.Refuse(bergamotdale.CodeInternal, "%s", message).WithOutcome(bergamotdale.OutcomeUnknown)
	}
}
