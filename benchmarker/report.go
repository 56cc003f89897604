package benchmarker

import (
	"encoding/csv"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"strings"
	"text/tabwriter"

	"github.com/juju/errors"
)

// verdict returns "met" or "MISSED" for a row with a goal, and otherwise "".
func (r Row) verdict() string {
	switch {
	case r.Goal == "":
		return ""
	case r.Met:
		return "met"
	default:
		return "MISSED"
	}
}

// Print writes the rows as a table.
func Print(w io.Writer, seed uint64, rows []Row) error {
	if _, err := fmt.Fprintf(w, "seed %d\n", seed); err != nil {
		return errors.Trace(err)
	}
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	for _, r := range rows {
		_, err := fmt.Fprintf(t, "%s\t%s\t%s\t%s\t%s\t%s\t%s\n",
			r.Measure, r.Shape, r.Variant, r.Metric, r.formatValue(), r.Goal, r.verdict())
		if err != nil {
			return errors.Trace(err)
		}
	}
	return errors.Trace(t.Flush())
}

// formatValue returns the value with its unit.
func (r Row) formatValue() string {
	if r.Unit == "ms" {
		return fmt.Sprintf("%.0f %s", r.Value, r.Unit)
	}
	return strings.TrimSpace(fmt.Sprintf("%.4g %s", r.Value, r.Unit))
}

// WriteCSV writes the rows to measures.csv in the directory.
func WriteCSV(directory string, seed uint64, rows []Row) (err error) {
	if err := os.MkdirAll(directory, 0o755); err != nil {
		return errors.Trace(err)
	}
	f, err := os.Create(filepath.Join(directory, "measures.csv"))
	if err != nil {
		return errors.Trace(err)
	}
	defer func() {
		if e := f.Close(); err == nil {
			err = errors.Trace(e)
		}
	}()
	records := [][]string{{"seed", "measure", "shape", "variant", "metric", "value", "unit", "goal", "verdict"}}
	for _, r := range rows {
		records = append(records, []string{
			fmt.Sprint(seed), r.Measure, r.Shape, r.Variant, r.Metric, fmt.Sprintf("%.4f", r.Value), r.Unit, r.Goal, r.verdict(),
		})
	}
	return errors.Trace(csv.NewWriter(f).WriteAll(records))
}
