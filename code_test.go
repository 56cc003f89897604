package bergamotdale_test

import (
	"errors"
	"net/http"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/bergamotdale/bergamotdale"
)

// Guards against two codes with the same name and a code without an HTTP error status.
func TestEveryCodeIsDescribed(t *testing.T) {
	names := map[string]bergamotdale.Code{}
	for _, c := range bergamotdale.Codes() {
		_, duplicate := names[c.String()]
		assert.Assert(t, !duplicate, "two codes are named %s", c)
		names[c.String()] = c
		assert.Assert(t, c.HTTPStatus() >= http.StatusBadRequest)
	}
}

// Guards against a refusal whose cause errors.Is does not find, and against a wrong
// default outcome.
func TestRefusalUnwraps(t *testing.T) {
	err := bergamotdale.Refuse(bergamotdale.CodePeer, "no route").WithCause(bergamotdale.ErrUnavailable)
	assert.Assert(t, errors.Is(err, bergamotdale.ErrUnavailable))
	assert.Equal(t, err.Outcome, bergamotdale.OutcomeNotRun)
}
