// Package replier writes the JSON responses and refusals of the fakes.
package replier

import (
	"encoding/json"
	"net/http"
	"strconv"
	"time"

	"github.com/bergamotdale/bergamotdale"
)

// JSON writes a JSON response. A fake has nobody to report a failed write to:
// its client sees the cut connection.
func JSON(w http.ResponseWriter, status int, v any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(v)
}

// errorBody is the JSON of a refusal by a fake endpoint.
type errorBody struct {
	Error bergamotdale.WireRefusal `json:"error"`
}

// Refusal writes a refusal as an endpoint sends it.
func Refusal(w http.ResponseWriter, r *bergamotdale.Refusal) {
	if r.RetryAfter > 0 {
		seconds := (r.RetryAfter + time.Second - 1) / time.Second
		w.Header().Set("Retry-After", strconv.Itoa(int(seconds)))
	}
	JSON(w, r.Code.HTTPStatus(), errorBody{*r.Wire("")})
}
