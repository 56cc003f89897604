package differ_test

import (
	"os"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/bergamotdale/bergamotdale/differ"
	"github.com/bergamotdale/bergamotdale/validator"
)

// exampleDocument returns the configuration of the hanbit example.
func exampleDocument(t testing.TB) *validator.Document {
	data, err := os.ReadFile("../examples/hanbit/configuration.yaml")
	assert.NilError(t, err)
	d, err := validator.Parse("hanbit", data)
	assert.NilError(t, err)
	return d
}

// Guards against a missed difference and against a changed order that is listed as
// a difference.
func TestCompare(t *testing.T) {
	before, after := exampleDocument(t), exampleDocument(t)
	after.Engines[0], after.Engines[1] = after.Engines[1], after.Engines[0]
	assert.Equal(t, len(differ.Compare(before, after)), 0)

	after.Workspaces[3].Weight = 2.5
	after.Models = append(after.Models[1:], validator.ModelSpec{Name: "model-new"})
	after.PriorityClasses[0].MaxWait = 2 * time.Second
	after.Workspaces[4].Models = nil
	after.Limits.RetryRatio = 0.2
	var lines []string
	for _, d := range differ.Compare(before, after) {
		lines = append(lines, d.String())
	}
	assert.DeepEqual(t, lines, []string{
		"~ priority-classes[urgent].max-wait: 1s -> 2s",
		"- models[hangul-clerk-8b]: {name: hangul-clerk-8b}",
		"+ models[model-new]: {name: model-new}",
		"~ workspaces[suwon-grand-hotel].weight: 4 -> 2.5",
		"- workspaces[gwanggyo-clinic].models: [hangul-clerk-8b, hangul-clerk-8b-clinics]",
		"~ limits.retry-ratio: 0.1 -> 0.2",
	})
}
