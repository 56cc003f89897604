// Package replier writes the HTTP responses of the fake endpoints that tests and
// demonstrations use: JSON documents and refusals, which are the errors that an
// endpoint returns for a request.
package replier

import (
	"encoding/json"
	"net/http"
	"strconv"
	"time"

	"github.com/bergamotdale/bergamotdale"
)

// JSON writes a response with v as its JSON body. Write errors are
// ignored, because a fake can report them only to its client, which notices the
// broken connection itself.
func JSON(w http.ResponseWriter, status int, v any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(v)
}

// errorBody is the JSON body of a refusal.
type errorBody struct {
	Error bergamotdale.WireRefusal `json:"error"`
}

// Refusal writes a refusal with the HTTP status of its code. A Retry-After header is
// rounded up to whole seconds.
func Refusal(w http.ResponseWriter, refusal *bergamotdale.Refusal) {
	if refusal.RetryAfter > 0 {
		seconds := (refusal.RetryAfter + time.Second - 1) / time.Second
		w.Header().Set("Retry-After", strconv.Itoa(int(seconds)))
	}
	JSON(w, refusal.Code.HTTPStatus(), errorBody{*refusal.Wire("")})
}
