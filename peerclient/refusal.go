package peerclient

import (
	"encoding/json"
	"fmt"
	"math"
	"net/http"
	"strconv"
	"time"

	"github.com/juju/errors"

	"github.com/bergamotdale/bergamotdale"
)

// NotOwnerError is the cause of a refusal with CodeNotOwner. It names the
// owner that the refusing router knows.
type NotOwnerError struct {
	Owner string
	Epoch int64
}

// Error implements error.
func (e *NotOwnerError) Error() string {
	return fmt.Sprintf("owner is %q with epoch %d", e.Owner, e.Epoch)
}

// NotOwner returns a refusal that sends the caller to the owner.
func NotOwner(name, owner string, epoch int64) *bergamotdale.Refusal {
	return bergamotdale.Refuse(bergamotdale.CodeNotOwner, "not the owner of %s", name).
		WithCause(&NotOwnerError{Owner: owner, Epoch: epoch})
}

// ToWire returns the JSON form of the refusal. The cause stays behind, except
// for the owner and epoch of a NotOwnerError.
func ToWire(r *bergamotdale.Refusal, requestID string) bergamotdale.WireRefusal {
	w := bergamotdale.WireRefusal{
		Code:         r.Code,
		Name:         r.Code.String(),
		Message:      r.Message,
		Outcome:      r.Outcome,
		RequestID:    requestID,
		RetryAfterMS: r.RetryAfter.Milliseconds(),
	}
	var owner *NotOwnerError
	if errors.As(r.Cause, &owner) {
		w.Owner = owner.Owner
		w.Epoch = owner.Epoch
	}
	return w
}

// FromWire returns the refusal of its JSON form. A missing or undefined
// outcome is unknown.
func FromWire(w bergamotdale.WireRefusal) *bergamotdale.Refusal {
	r := &bergamotdale.Refusal{
		Code:       w.Code,
		Message:    w.Message,
		Outcome:    w.Outcome,
		RetryAfter: time.Duration(w.RetryAfterMS) * time.Millisecond,
	}
	if w.Outcome != bergamotdale.OutcomeNotRun && w.Outcome != bergamotdale.OutcomeRun {
		r.Outcome = bergamotdale.OutcomeUnknown
	}
	if w.Code == bergamotdale.CodeNotOwner {
		r.Cause = &NotOwnerError{Owner: w.Owner, Epoch: w.Epoch}
	}
	return r
}

// AsRefusal returns the refusal in err, or wraps err as an internal failure
// whose outcome is unknown.
func AsRefusal(err error) *bergamotdale.Refusal {
	var r *bergamotdale.Refusal
	if errors.As(err, &r) {
		return r
	}
	return bergamotdale.Refuse(bergamotdale.CodeInternal, "internal failure").
		WithOutcome(bergamotdale.OutcomeUnknown).WithCause(err)
}

// WriteRefusal writes the refusal as JSON with its status.
func WriteRefusal(w http.ResponseWriter, r *bergamotdale.Refusal, requestID string) {
	if r.RetryAfter > 0 {
		seconds := int(math.Ceil(r.RetryAfter.Seconds()))
		w.Header().Set("Retry-After", strconv.Itoa(seconds))
	}
	writeJSON(w, r.Code.HTTPStatus(), ToWire(r, requestID))
}

// WriteJSON writes the response to a message with status 200.
func WriteJSON(w http.ResponseWriter, response any) {
	writeJSON(w, http.StatusOK, response)
}

func writeJSON(w http.ResponseWriter, status int, value any) {
	body, err := json.Marshal(value)
	if err != nil {
		http.Error(w, err.Error(), http.StatusInternalServerError)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Content-Length", strconv.Itoa(len(body)))
	w.WriteHeader(status)
	// A failed write is seen by the caller as a lost response.
	_, _ = w.Write(body)
}

// decodeRefusal returns the refusal in the body. A response that holds none,
// for example from something between the routers, has an unknown outcome.
func decodeRefusal(address, path string, status int, body []byte) *bergamotdale.Refusal {
	var w bergamotdale.WireRefusal
	if err := json.Unmarshal(body, &w); err != nil || w.Code == 0 {
		return lost(address, path, errors.Errorf("status %d without a refusal", status))
	}
	return FromWire(w)
}
