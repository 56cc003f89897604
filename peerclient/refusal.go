package peerclient

import (
	"encoding/json"
	"math"
	"net/http"
	"strconv"

	"github.com/juju/errors"

	"github.com/bergamotdale/bergamotdale"
)

// WriteRefusal writes the refusal as JSON with its status.
func WriteRefusal(w http.ResponseWriter, r *bergamotdale.Refusal, requestID string) {
	if r.RetryAfter > 0 {
		seconds := int(math.Ceil(r.RetryAfter.Seconds()))
		w.Header().Set("Retry-After", strconv.Itoa(seconds))
	}
	writeJSON(w, r.Code.HTTPStatus(), r.Wire(requestID))
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
	return w.Refusal()
}
