package requester

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"strconv"
	"time"

	"github.com/juju/errors"

	"github.com/bergamotdale/bergamotdale"
)

// RefusalFromError converts the error of a request to an endpoint to a refusal. The
// format and args name the endpoint in the message. The outcome is not-run only if
// the error is an *Error that states that no byte was written.
func RefusalFromError(ctx context.Context, err error, format string, args ...any) *bergamotdale.Refusal {
	target := fmt.Sprintf(format, args...)
	requestError := &Error{}
	mayBeWritten := !errors.As(err, &requestError) || requestError.Written
	deadlineExceeded := errors.Is(ctx.Err(), context.DeadlineExceeded)
	r := &bergamotdale.Refusal{Cause: err, Outcome: bergamotdale.OutcomeUnknown}
	if !mayBeWritten {
		r.Outcome = bergamotdale.OutcomeNotRun
	}
	switch {
	case deadlineExceeded:
		r.Code, r.Message = bergamotdale.CodeDeadlineExceeded, target+": no response before the deadline"
	case mayBeWritten:
		r.Code, r.Message = bergamotdale.CodeEndpointFailed, target+": the response was lost"
	default:
		r.Code, r.Message = bergamotdale.CodeEndpointRefused, target+": the request could not be sent"
	}
	return r
}

// RefusalFromResponse returns the refusal in the body of a response with an error
// status. It returns nil unless the body states in error.outcome that the request
// was not executed: an error status alone does not tell.
func RefusalFromResponse(resp *http.Response, body []byte) *bergamotdale.Refusal {
	if resp.StatusCode < http.StatusBadRequest {
		return nil
	}
	response := struct {
		Error bergamotdale.WireRefusal `json:"error"`
	}{}
	parsed := json.Unmarshal(body, &response) == nil
	if !parsed || response.Error.Outcome != bergamotdale.OutcomeNotRun {
		return nil
	}
	r := bergamotdale.Refuse(bergamotdale.CodeEndpointRefused, "%s", response.Error.Message)
	return r.After(ParseRetryAfter(resp))
}

// ParseRetryAfter returns the value of a Retry-After header that is a number of
// seconds. It returns zero for a missing header and for the date form.
func ParseRetryAfter(resp *http.Response) time.Duration {
	seconds, err := strconv.Atoi(resp.Header.Get("Retry-After"))
	if err != nil || seconds < 0 {
		return 0
	}
	return time.Duration(seconds) * time.Second
}
