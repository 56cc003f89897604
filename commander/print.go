package commander

import (
	"bytes"
	"encoding/json"
	"fmt"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/juju/errors"
	"google.golang.org/protobuf/encoding/protojson"
	"google.golang.org/protobuf/proto"
	"google.golang.org/protobuf/types/known/timestamppb"

	"github.com/bergamotdale/bergamotdale/operator"
	pb "github.com/bergamotdale/bergamotdale/operatorpb"
)

// table prints rows of cells in aligned columns.
type table struct {
	w *tabwriter.Writer
}

// newTable returns a table on Stdout with a header row of column names.
func (c *Commander) newTable(columns ...any) table {
	t := table{tabwriter.NewWriter(c.Stdout, 0, 0, 2, ' ', 0)}
	t.row(columns...)
	return t
}

// row adds a row. Empty cells are printed as "-".
func (t table) row(cells ...any) {
	texts := make([]string, len(cells))
	for i, cell := range cells {
		// Tabs and line breaks within a cell would misalign the columns.
		texts[i] = strings.Join(strings.Fields(fmt.Sprint(cell)), " ")
		if texts[i] == "" {
			texts[i] = "-"
		}
	}
	// The tabwriter buffers the rows; flush returns the write error.
	_, _ = fmt.Fprintln(t.w, strings.Join(texts, "\t"))
}

// flush writes the buffered rows.
func (t table) flush() error {
	return t.w.Flush()
}

// printf prints to Stdout. It keeps the first write error, which Run reports if
// the command itself succeeds.
func (c *Commander) printf(format string, args ...any) {
	if _, err := fmt.Fprintf(c.Stdout, format, args...); err != nil && c.writeErr == nil {
		c.writeErr = errors.Trace(err)
	}
}

// warnf prints a line to Stderr. Write errors are ignored, because there is no
// other place to report them.
func (c *Commander) warnf(format string, args ...any) {
	_, _ = fmt.Fprintf(c.Stderr, format+"\n", args...)
}

// printfText prints to Stdout unless --json is given.
func (c *Commander) printfText(format string, args ...any) {
	if !c.flags.json {
		c.printf(format, args...)
	}
}

// printDifferences prints the differences between two configurations, one per
// line.
func (c *Commander) printDifferences(differences []*pb.Difference) {
	if len(differences) == 0 {
		c.printf("  none\n")
	}
	for _, difference := range operator.Differences(differences) {
		c.printf("  %s\n", difference)
	}
}

// printConflict prints both sides of a conflict: what has changed since the base
// of the file, and what the file would change.
func (c *Commander) printConflict(r *pb.ApplyResponse) {
	if c.flags.json {
		return
	}
	c.printf("changed in revision %d since the base:\n", r.Revision)
	if r.Conflict.GetBaseKnown() {
		c.printDifferences(r.Conflict.GetSince())
	} else {
		c.printf("  unknown, the history no longer has the base\n")
	}
	c.printf("the file would change in revision %d:\n", r.Revision)
	c.printDifferences(r.Conflict.GetProposed())
}

// printMessage prints a protobuf message as indented JSON. It reformats the
// output of protojson, whose white space deliberately varies between builds.
func (c *Commander) printMessage(message proto.Message) error {
	data, err := protojson.MarshalOptions{EmitUnpopulated: true}.Marshal(message)
	if err != nil {
		return errors.Trace(err)
	}
	var indented bytes.Buffer
	if err := json.Indent(&indented, data, "", "  "); err != nil {
		return errors.Trace(err)
	}
	c.printf("%s\n", indented.String())
	return nil
}

// printJSON prints a value as indented JSON.
func (c *Commander) printJSON(value any) error {
	encoder := json.NewEncoder(c.Stdout)
	encoder.SetIndent("", "  ")
	return errors.Trace(encoder.Encode(value))
}

// formatTime returns a timestamp in RFC 3339, or "" if it is not set.
func formatTime(t *timestamppb.Timestamp) string {
	if t == nil {
		return ""
	}
	return t.AsTime().Format(time.RFC3339)
}

// maxListedSections is the largest number of sections that formatSections lists
// by name.
const maxListedSections = 3

// formatSections lists up to maxListedSections names, and returns only the number
// of sections if there are more.
func formatSections(names []string) string {
	if len(names) > maxListedSections {
		return fmt.Sprintf("%d sections", len(names))
	}
	return strings.Join(names, ", ")
}

// formatList returns the items separated by spaces.
func formatList[T any](items []T) string {
	return strings.Trim(fmt.Sprint(items), "[]")
}
