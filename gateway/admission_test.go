package gateway

import (
	"context"
	"encoding/json"
	"strings"
	"testing"
	"time"

	"github.com/samber/do/v2"
	"go.uber.org/zap"
	"gotest.tools/v3/assert"

	"github.com/bergamotdale/bergamotdale"
	"github.com/bergamotdale/bergamotdale/exchanger"
	"github.com/bergamotdale/bergamotdale/loader"
	"github.com/bergamotdale/bergamotdale/platform"
)

// Guards against admission, or a field in the messages to other routers, where the terms
// of a deployment do not call for it, and against none where they do.
func TestAdmissionFollowsTheTerms(t *testing.T) {
	for terms, want := range map[string]bool{"": false, "base": false, "base,pressure": true} {
		settings := &loader.GatewaySettings{Terms: strings.Split(terms, ",")}
		settings.SetDefaults()
		g := &Gateway{
			Settings: settings, Logger: zap.NewNop(), Elapsed: func() time.Duration { return time.Hour },
			Adapters:        NewAdapters(&platform.Store{}, platform.Dialect{}, platform.Layout(), platform.Features),
			OmittedLogLines: func() uint64 { return 0 },
		}
		assert.NilError(t, g.build())
		assert.Equal(t, g.regulator != nil, want, terms)
		assert.Equal(t, g.relayer.Admission != nil, want, terms)
		message, err := g.exchanger.Handle(context.Background(), exchanger.Message{Router: "r2"})
		assert.NilError(t, err)
		data, err := json.Marshal(message)
		assert.NilError(t, err)
		assert.Equal(t, strings.Contains(string(data), "demands"), want, "%s", data)
		assert.Assert(t, do.MustInvoke[bergamotdale.FeatureReader](g.Adapters) != nil)
	}
}
