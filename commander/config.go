package commander

import (
	"bytes"
	"context"
	"os"
	"regexp"
	"strconv"

	"connectrpc.com/connect"
	"github.com/juju/errors"
	"google.golang.org/protobuf/types/known/durationpb"

	"github.com/bergamotdale/bergamotdale/decoder"
	"github.com/bergamotdale/bergamotdale/operator"
	pb "github.com/bergamotdale/bergamotdale/operatorpb"
	"github.com/bergamotdale/bergamotdale/validator"
)

// unsetBase is the value of --base if the flag is not given. Zero cannot be used,
// because it is the base of the first configuration.
const unsetBase = -1

// revisionHeader matches the first line that the get command prints. The apply
// command reads the base revision of an edited file from it.
var revisionHeader = regexp.MustCompile(`\A# revision (\d+)\s*\n`)

// getConfig prints the configuration in force or the revision that --revision
// names.
func (c *Commander) getConfig(ctx context.Context) error {
	client, err := c.dial(ctx)
	if err != nil {
		return err
	}
	r, err := client.Get(ctx, connect.NewRequest(&pb.GetRequest{Revision: c.flags.revision}))
	if err != nil {
		return err
	}
	if c.flags.json {
		return c.printMessage(r.Msg)
	}
	c.printf("# revision %d\n%s", r.Msg.Revision, r.Msg.Yaml)
	return nil
}

// checkConfig validates a configuration file. With --router a router validates
// the file and also compares it with the configuration in force.
func (c *Commander) checkConfig(ctx context.Context) error {
	data, err := c.readFile()
	if err != nil {
		return err
	}
	if len(c.flags.routers) == 0 {
		return c.checkConfigLocally(data)
	}
	client, err := c.dial(ctx)
	if err != nil {
		return err
	}
	r, err := client.Check(ctx, connect.NewRequest(&pb.CheckRequest{File: c.flags.file, Yaml: string(data)}))
	if err != nil {
		return err
	}
	if c.flags.json {
		err = c.printMessage(r.Msg)
	} else if len(r.Msg.Problems) == 0 {
		c.printf("%s is valid; changes to revision %d:\n", c.flags.file, r.Msg.Revision)
		c.printDifferences(r.Msg.Differences)
	}
	if err != nil {
		return err
	}
	return operator.Problems(r.Msg.Problems)
}

// checkConfigLocally validates a configuration file without a router.
func (c *Commander) checkConfigLocally(data []byte) error {
	_, err := validator.Parse(c.flags.file, data)
	if c.flags.json {
		problems := decoder.Problems{}
		errors.As(err, &problems)
		if err := c.printJSON(map[string]decoder.Problems{"problems": problems}); err != nil {
			return err
		}
		return err
	}
	if err == nil {
		c.printf("%s is valid\n", c.flags.file)
	}
	return err
}

// applyConfig makes a configuration file the next revision.
func (c *Commander) applyConfig(ctx context.Context) error {
	data, err := c.readFile()
	if err != nil {
		return err
	}
	base, err := c.baseRevision(data)
	if err != nil {
		return err
	}
	author := c.flags.author
	if author == "" {
		author = os.Getenv("USER")
	}
	if author == "" {
		return invalidf("--author is missing")
	}
	client, err := c.dial(ctx)
	if err != nil {
		return err
	}
	r, err := client.Apply(ctx, connect.NewRequest(&pb.ApplyRequest{
		File: c.flags.file, Yaml: string(data), Base: base, Author: author, Comment: c.flags.comment,
	}))
	if err != nil {
		return err
	}
	if c.flags.json {
		if err := c.printMessage(r.Msg); err != nil {
			return err
		}
	}
	return c.reportApply(r.Msg)
}

// reportApply prints the outcome of an apply. It returns an error if the file was
// rejected.
func (c *Commander) reportApply(r *pb.ApplyResponse) error {
	switch r.Outcome {
	case pb.ApplyOutcome_APPLY_OUTCOME_ACCEPTED:
		c.printfText("revision %d is accepted; changed: %s\n", r.Revision, formatSections(r.Sections))
		return nil
	case pb.ApplyOutcome_APPLY_OUTCOME_UNCHANGED:
		c.printfText("revision %d already has this content\n", r.Revision)
		return nil
	case pb.ApplyOutcome_APPLY_OUTCOME_INVALID:
		return operator.Problems(r.Problems)
	case pb.ApplyOutcome_APPLY_OUTCOME_CONFLICT:
		c.printConflict(r)
		return errors.Errorf("conflict with revision %d by %s", r.Revision, r.Conflict.GetInForce().GetAuthor())
	default:
		return errors.Errorf("the router returned the unknown outcome %s", r.Outcome)
	}
}

// baseRevision returns the revision that the file was edited from: the value of
// --base or, without the flag, the revision in the first line of the file.
func (c *Commander) baseRevision(data []byte) (int64, error) {
	if c.flags.base != unsetBase {
		return c.flags.base, nil
	}
	match := revisionHeader.FindSubmatch(data)
	if match == nil {
		return 0, invalidf("--base is missing, and the first line of %s is not \"# revision N\"", c.flags.file)
	}
	base, err := strconv.ParseInt(string(match[1]), 10, 64)
	if err != nil {
		return 0, invalidf("invalid revision in the first line of %s: %v", c.flags.file, err)
	}
	return base, nil
}

// listRevisions prints the most recent revisions.
func (c *Commander) listRevisions(ctx context.Context) error {
	client, err := c.dial(ctx)
	if err != nil {
		return err
	}
	r, err := client.History(ctx, connect.NewRequest(&pb.HistoryRequest{}))
	if err != nil {
		return err
	}
	if c.flags.json {
		return c.printMessage(r.Msg)
	}
	t := c.newTable("REVISION", "TIME", "AUTHOR", "SECTIONS", "COMMENT")
	for _, change := range r.Msg.Changes {
		t.row(change.Revision, formatTime(change.Time), change.Author, formatSections(change.Sections), change.Comment)
	}
	return t.flush()
}

// waitForRevision waits until every router has the revision in force. It returns
// an error if the timeout ends the wait.
func (c *Commander) waitForRevision(ctx context.Context) error {
	client, err := c.dial(ctx)
	if err != nil {
		return err
	}
	r, err := client.Wait(ctx, connect.NewRequest(&pb.WaitRequest{
		Revision: c.flags.revision, Timeout: durationpb.New(c.flags.timeout),
	}))
	if err != nil {
		return err
	}
	if err := c.printRouterRevisions(r.Msg); err != nil {
		return err
	}
	if !r.Msg.Complete {
		return errors.Errorf("revision %d is not in force everywhere", r.Msg.Revision)
	}
	return nil
}

// printRouterRevisions prints which revision each router has in force.
func (c *Commander) printRouterRevisions(r *pb.WaitResponse) error {
	if c.flags.json {
		return c.printMessage(r)
	}
	t := c.newTable("ROUTER", "ADDRESS", "REVISION", "SINCE", "ERROR")
	for _, router := range r.Routers {
		t.row(router.Router, router.Address, router.Revision, formatTime(router.Since), router.Error)
	}
	return t.flush()
}

// readFile reads the file argument. The name "-" stands for standard input.
func (c *Commander) readFile() ([]byte, error) {
	if c.flags.file == "-" {
		var b bytes.Buffer
		_, err := b.ReadFrom(os.Stdin)
		return b.Bytes(), errors.Trace(err)
	}
	data, err := os.ReadFile(c.flags.file)
	if err != nil {
		return nil, errors.WithType(err, errInvalid)
	}
	return data, nil
}
