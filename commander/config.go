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

// unsetBase is the value of --base where the flag is not given; zero is the
// base of the first configuration.
const unsetBase = -1

// baseLine is the first line that get prints, so that apply finds the base of
// an edited file.
var baseLine = regexp.MustCompile(`\A# revision (\d+)\s*\n`)

func (c *Commander) get(ctx context.Context) error {
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

func (c *Commander) check(ctx context.Context) error {
	data, err := c.readFile()
	if err != nil {
		return err
	}
	if len(c.flags.routers) == 0 {
		return c.checkFile(data)
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

// checkFile checks without a router.
func (c *Commander) checkFile(data []byte) error {
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

func (c *Commander) apply(ctx context.Context) error {
	data, err := c.readFile()
	if err != nil {
		return err
	}
	base, err := c.base(data)
	if err != nil {
		return err
	}
	author := c.flags.author
	if author == "" {
		author = os.Getenv("USER")
	}
	if author == "" {
		return invalid("--author is missing")
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
	return c.applied(r.Msg)
}

// applied prints the outcome and turns a rejection into an error.
func (c *Commander) applied(r *pb.ApplyResponse) error {
	switch r.Outcome {
	case pb.ApplyOutcome_APPLY_OUTCOME_ACCEPTED:
		c.say("revision %d is accepted; changed: %s\n", r.Revision, sections(r.Sections))
		return nil
	case pb.ApplyOutcome_APPLY_OUTCOME_UNCHANGED:
		c.say("revision %d already has this content\n", r.Revision)
		return nil
	case pb.ApplyOutcome_APPLY_OUTCOME_INVALID:
		return operator.Problems(r.Problems)
	case pb.ApplyOutcome_APPLY_OUTCOME_CONFLICT:
		c.printConflict(r)
		return errors.Errorf("conflict with revision %d by %s", r.Revision, r.Conflict.GetInForce().GetAuthor())
	default:
		return errors.Errorf("unknown outcome %s", r.Outcome)
	}
}

// base returns the revision that the file was made from.
func (c *Commander) base(data []byte) (int64, error) {
	if c.flags.base != unsetBase {
		return c.flags.base, nil
	}
	m := baseLine.FindSubmatch(data)
	if m == nil {
		return 0, invalid("--base is missing, and the first line of %s is not \"# revision N\"", c.flags.file)
	}
	base, err := strconv.ParseInt(string(m[1]), 10, 64)
	if err != nil {
		return 0, invalid("the first line of %s: %v", c.flags.file, err)
	}
	return base, nil
}

func (c *Commander) history(ctx context.Context) error {
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
	t := c.table("REVISION", "TIME", "AUTHOR", "SECTIONS", "COMMENT")
	for _, change := range r.Msg.Changes {
		t.row(change.Revision, stamp(change.Time), change.Author, sections(change.Sections), change.Comment)
	}
	return t.flush()
}

func (c *Commander) wait(ctx context.Context) error {
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
	if err := c.printWait(r.Msg); err != nil {
		return err
	}
	if !r.Msg.Complete {
		return errors.Errorf("revision %d is not in force everywhere", r.Msg.Revision)
	}
	return nil
}

func (c *Commander) printWait(r *pb.WaitResponse) error {
	if c.flags.json {
		return c.printMessage(r)
	}
	t := c.table("ROUTER", "ADDRESS", "REVISION", "SINCE", "ERROR")
	for _, router := range r.Routers {
		t.row(router.Router, router.Address, router.Revision, stamp(router.Since), router.Error)
	}
	return t.flush()
}

// readFile reads the file; "-" is the standard input.
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
