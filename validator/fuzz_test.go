package validator_test

import (
	"os"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/bergamotdale/bergamotdale/validator"
)

// Guards against documents that make Parse panic, that pass Parse but cannot be
// compiled, and that change when they are written as YAML and parsed again.
func FuzzParse(f *testing.F) {
	for _, file := range []string{"../examples/demo/configuration.yaml", "../examples/hanbit/configuration.yaml"} {
		data, err := os.ReadFile(file)
		assert.NilError(f, err)
		f.Add(data)
	}
	f.Add([]byte("priority-classes: [{name: a, level: 1e9}]\nmodels: &a [*a]"))
	f.Fuzz(func(t *testing.T, data []byte) {
		document, err := validator.Parse("fuzz.yaml", data)
		if err != nil {
			assert.Assert(t, err.Error() != "")
			return
		}
		_, err = validator.Compile(document, 1)
		assert.NilError(t, err)
		text, err := document.YAML()
		assert.NilError(t, err)
		reparsed, err := validator.Parse("again.yaml", text)
		assert.NilError(t, err, "%s", text)
		assert.DeepEqual(t, reparsed, document)
	})
}
