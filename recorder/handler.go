package recorder

import (
	"encoding/json"
	"net/http"

	"github.com/bergamotdale/bergamotdale"
)

// Handler serves the events of the ring as JSON: GET with the parameters of
// Filter.Query.
func (r *Ring) Handler() http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, request *http.Request) {
		if request.Method != http.MethodGet {
			w.Header().Set("Allow", http.MethodGet)
			respond(w, http.StatusMethodNotAllowed, refusal("only GET is allowed"))
			return
		}
		f, err := ParseQuery(request.URL.Query())
		if err != nil {
			respond(w, http.StatusBadRequest, refusal(err.Error()))
			return
		}
		respond(w, http.StatusOK, r.Select(f))
	})
}

type errorBody struct {
	Error bergamotdale.WireRefusal `json:"error"`
}

func refusal(message string) errorBody {
	code := bergamotdale.CodeInvalidRequest
	return errorBody{bergamotdale.WireRefusal{
		Code: code, Name: code.String(), Message: message, Outcome: bergamotdale.OutcomeNotRun,
	}}
}

func respond(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	// A client that has gone away cannot be told about it.
	_ = json.NewEncoder(w).Encode(body)
}
