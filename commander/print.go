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

// table prints aligned columns.
type table struct {
	w *tabwriter.Writer
}

func (c *Commander) table(columns ...any) table {
	t := table{tabwriter.NewWriter(c.Stdout, 0, 0, 2, ' ', 0)}
	t.row(columns...)
	return t
}

func (t table) row(cells ...any) {
	texts := make([]string, len(cells))
	for i, cell := range cells {
		// Tabs and line breaks would shift the columns.
		texts[i] = strings.Join(strings.Fields(fmt.Sprint(cell)), " ")
		if texts[i] == "" {
			texts[i] = "-"
		}
	}
	// flush reports the error of the writer.
	_, _ = fmt.Fprintln(t.w, strings.Join(texts, "\t"))
}

func (t table) flush() error {
	return t.w.Flush()
}

// printf prints to the standard output. The first error is kept and becomes
// the error of the command.
func (c *Commander) printf(format string, args ...any) {
	if _, err := fmt.Fprintf(c.Stdout, format, args...); err != nil && c.writeErr == nil {
		c.writeErr = errors.Trace(err)
	}
}

// warn prints a line to the standard error. There is nowhere left to report a
// failure to.
func (c *Commander) warn(format string, args ...any) {
	_, _ = fmt.Fprintf(c.Stderr, format+"\n", args...)
}

// say prints a line unless JSON was asked for.
func (c *Commander) say(format string, args ...any) {
	if !c.flags.json {
		c.printf(format, args...)
	}
}

func (c *Commander) printDifferences(all []*pb.Difference) {
	if len(all) == 0 {
		c.printf("  none\n")
	}
	for _, d := range operator.Differences(all) {
		c.printf("  %s\n", d)
	}
}

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

// printMessage prints a message as indented JSON. The output of protojson
// varies in white space on purpose, so it is formatted again.
func (c *Commander) printMessage(m proto.Message) error {
	data, err := protojson.MarshalOptions{EmitUnpopulated: true}.Marshal(m)
	if err != nil {
		return errors.Trace(err)
	}
	var b bytes.Buffer
	if err := json.Indent(&b, data, "", "  "); err != nil {
		return errors.Trace(err)
	}
	c.printf("%s\n", b.String())
	return nil
}

func (c *Commander) printJSON(v any) error {
	e := json.NewEncoder(c.Stdout)
	e.SetIndent("", "  ")
	return errors.Trace(e.Encode(v))
}

func stamp(t *timestamppb.Timestamp) string {
	if t == nil {
		return ""
	}
	return t.AsTime().Format(time.RFC3339)
}

// maxListed is the number of sections that are named in a line.
const maxListed = 3

// sections names a few sections and counts many.
func sections(names []string) string {
	if len(names) > maxListed {
		return fmt.Sprintf("%d sections", len(names))
	}
	return strings.Join(names, ", ")
}

func list[T any](items []T) string {
	return strings.Trim(fmt.Sprint(items), "[]")
}
