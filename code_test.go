package bergamotdale_test

import (
	"errors"
	"net/http"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/bergamotdale/bergamotdale"
)

// Guards against a code without a name or an HTTP status of its own.
func TestEveryCodeIsDescribed(t *testing.T) {
	names := map[string]bergamotdale.Code{}
	for _, c := range bergamotdale.Codes() {
		_, twice := names[c.String()]
		assert.Assert(t, !twice, "two codes are named %s", c)
		names[c.String()] = c
		assert.Assert(t, c.HTTPStatus() >= http.StatusBadRequest)
	}
}

// Guards against a refusal that hides its cause from errors.Is.
func TestRefusalUnwraps(t *testing.T) {
	err := bergamotdale.Refuse(bergamotdale.CodePeer, "no route").WithCause(bergamotdale.ErrUnavailable)
	assert.Assert(t, errors.Is(err, bergamotdale.ErrUnavailable))
	assert.Equal(t, err.Outcome, bergamotdale.OutcomeNotRun)
}
