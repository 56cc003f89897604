package peerclient

import (
	"encoding/json"
	"math"
	"net/http"
	"strconv"

	"github.com/juju/errors"

	"github.com/bergamotdale/bergamotdale"
)

// WriteRefusal writes the refusal as JSON with the HTTP status of its code. The
// Retry-After header is rounded up to whole seconds.
func WriteRefusal(w http.ResponseWriter, r *bergamotdale.Refusal, requestID string) {
	if r.RetryAfter > 0 {
		seconds := int(math.Ceil(r.RetryAfter.Seconds()))
		w.Header().Set("Retry-After", strconv.Itoa(seconds))
	}
	writeJSON(w, r.Code.HTTPStatus(), r.Wire(requestID))
}

// WriteJSON writes the response to a message as JSON with status 200.
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
	// A failed write needs no handling here: the calling router detects a lost
	// response.
	_, _ = w.Write(body)
}

// decodeRefusal returns the refusal in the body of a response. If the body holds
// none, for example because a proxy between the routers sent the response, it
// returns a refusal with an unknown outcome.
func decodeRefusal(address, path string, status int, body []byte) *bergamotdale.Refusal {
	var w bergamotdale.WireRefusal
	if err := json.Unmarshal(body, &w); err != nil || w.Code == 0 {
		return lostResponse(address, path, errors.Errorf("HTTP status %d without a refusal in the body", status))
	}
	return w.Refusal()
}
