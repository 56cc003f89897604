package recorder

import (
	"encoding/json"
	"net/http"

	"github.com/bergamotdale/bergamotdale"
)

// Handler serves the events of the ring as JSON. It accepts GET requests with
// the URL parameters of Filter.Query and responds with a Page.
func (r *Ring) Handler() http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, request *http.Request) {
		if request.Method != http.MethodGet {
			w.Header().Set("Allow", http.MethodGet)
			writeJSON(w, http.StatusMethodNotAllowed, invalidRequest("only GET is allowed"))
			return
		}
		f, err := ParseQuery(request.URL.Query())
		if err != nil {
			writeJSON(w, http.StatusBadRequest, invalidRequest(err.Error()))
			return
		}
		writeJSON(w, http.StatusOK, r.Select(f))
	})
}

type errorBody struct {
	Error bergamotdale.WireRefusal `json:"error"`
}

// invalidRequest returns the body of an error response to a malformed query.
func invalidRequest(message string) errorBody {
	code := bergamotdale.CodeInvalidRequest
	return errorBody{bergamotdale.WireRefusal{
		Code: code, Name: code.String(), Message: message, Outcome: bergamotdale.OutcomeNotRun,
	}}
}

func writeJSON(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	// Encoding fails only if the client has disconnected, so there is nobody to
	// report the error to.
	_ = json.NewEncoder(w).Encode(body)
}
