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

// RefusalFromError converts a failure on the way to an endpoint. Its outcome is
// not-run only if the error is an *Error without a written byte.
func RefusalFromError(ctx context.Context, err error, format string, args ...any) *bergamotdale.Refusal {
	where := fmt.Sprintf(format, args...)
	failure := &Error{}
	sent := !errors.As(err, &failure) || failure.Written
	late := errors.Is(ctx.Err(), context.DeadlineExceeded)
	r := &bergamotdale.Refusal{Cause: err, Outcome: bergamotdale.OutcomeUnknown}
	if !sent {
		r.Outcome = bergamotdale.OutcomeNotRun
	}
	switch {
	case late:
		r.Code, r.Message = bergamotdale.CodeDeadlineExceeded, where+": no response in time"
	case sent:
		r.Code, r.Message = bergamotdale.CodeEndpointFailed, where+": the response was lost"
	default:
		r.Code, r.Message = bergamotdale.CodeEndpointRefused, where+": no connection"
	}
	return r
}

// RefusalFromResponse returns the refusal that a response with an error status states,
// or nil. A response counts as not-run only if its body says so in
// error.outcome.
func RefusalFromResponse(resp *http.Response, body []byte) *bergamotdale.Refusal {
	if resp.StatusCode < http.StatusBadRequest {
		return nil
	}
	stated := struct {
		Error bergamotdale.WireRefusal `json:"error"`
	}{}
	parsed := json.Unmarshal(body, &stated) == nil
	if !parsed || stated.Error.Outcome != bergamotdale.OutcomeNotRun {
		return nil
	}
	r := bergamotdale.Refuse(bergamotdale.CodeEndpointRefused, "%s", stated.Error.Message)
	return r.After(ParseRetryAfter(resp))
}

// ParseRetryAfter returns the Retry-After header in its form of seconds, or zero.
func ParseRetryAfter(resp *http.Response) time.Duration {
	seconds, err := strconv.Atoi(resp.Header.Get("Retry-After"))
	if err != nil || seconds < 0 {
		return 0
	}
	return time.Duration(seconds) * time.Second
}
