package bergamotdale_test

import (
	"fmt"
	"os"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/bergamotdale/bergamotdale"
)

// Guards against a code that differs from its row in the published table, and
// against rows of codes that do not exist.
func TestResultsPageListsEveryCode(t *testing.T) {
	page, err := os.ReadFile("docs/results.md")
	assert.NilError(t, err)
	rows := map[string]bool{}
	for _, line := range strings.Split(string(page), "\n") {
		cells := strings.Split(line, "|")
		if len(cells) < 7 {
			continue
		}
		rows[strings.Join(trimmed(cells[1:5]), " ")] = true
	}
	codes := bergamotdale.Codes()
	for _, c := range codes {
		retry := "no"
		if c.Retryable() {
			retry = "yes"
		}
		row := fmt.Sprintf("%d %s %d %s", int(c), c, c.HTTPStatus(), retry)
		assert.Assert(t, rows[row], "docs/results.md has no row %q", row)
	}
	// Two rows are not codes: the header and its separator.
	assert.Equal(t, len(rows), len(codes)+2)
}

// trimmed returns the cells without surrounding space.
func trimmed(cells []string) []string {
	out := make([]string, 0, len(cells))
	for _, c := range cells {
		out = append(out, strings.TrimSpace(c))
	}
	return out
}
