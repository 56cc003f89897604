package commander

import (
	"context"
	"os"
	"runtime/debug"
	"time"

	"connectrpc.com/connect"
	"github.com/juju/errors"

	"github.com/bergamotdale/bergamotdale/collator"
	pb "github.com/bergamotdale/bergamotdale/operatorpb"
	"github.com/bergamotdale/bergamotdale/recorder"
)

func (c *Commander) status(ctx context.Context) error {
	client, err := c.dial(ctx)
	if err != nil {
		return err
	}
	r, err := client.Status(ctx, connect.NewRequest(&pb.StatusRequest{}))
	if err != nil {
		return err
	}
	if c.flags.json {
		return c.printMessage(r.Msg)
	}
	return c.printStatus(r.Msg)
}

func (c *Commander) printStatus(s *pb.StatusResponse) error {
	t := c.table("ROUTER", "VERSION", "DOMAIN", "REGION", "READY", "REVISION", "SINCE", "STORE SEEN", "SHARDS")
	t.row(s.Router, s.Version, s.FailureDomain, s.Region, s.Ready, s.Revision, stamp(s.Since), stamp(s.StoreSeen), list(s.Shards))
	if err := t.flush(); err != nil {
		return err
	}
	c.printf("\n")
	t = c.table("MEMBER", "ADDRESS", "DOMAIN", "STATE")
	for _, m := range s.Members {
		t.row(m.Router, m.Address, m.FailureDomain, m.State)
	}
	if err := t.flush(); err != nil {
		return err
	}
	c.printf("\n")
	t = c.table("ENDPOINT", "DOMAIN", "OWNER", "EPOCH", "STATE", "RUNNING", "QUEUED", "LIMIT")
	for _, e := range s.Endpoints {
		t.row(e.Endpoint, e.FailureDomain, e.Owner, e.Epoch, e.State, e.Running, e.Queued, e.Limit)
	}
	return t.flush()
}

func (c *Commander) timeline(ctx context.Context) error {
	f, err := c.filter()
	if err != nil {
		return err
	}
	if len(c.flags.logs) > 0 {
		return c.timelineOfLogs(f)
	}
	client, err := c.dial(ctx)
	if err != nil {
		return err
	}
	timeline, err := client.Timeline(ctx, f)
	if err != nil {
		return err
	}
	if c.flags.json {
		return c.printJSON(timeline)
	}
	t := c.table("TIME", "PROCESS", "KIND", "REQUEST", "CHAT", "WORKSPACE", "ENDPOINT", "CODE", "DETAIL")
	for _, e := range timeline.Events {
		code := ""
		if e.Code != 0 {
			code = e.Code.String()
		}
		t.row(e.Time.UTC().Format("2006-01-02T15:04:05.000Z"), e.Process, e.Kind, e.RequestID, e.Chat, e.Workspace, e.Endpoint, code, e.Detail)
	}
	if err := t.flush(); err != nil {
		return err
	}
	for _, r := range timeline.Routers {
		switch {
		case r.Error != "":
			c.warn("%s at %s did not respond: %s", r.Router, r.Address, r.Error)
		case r.Truncated:
			c.warn("%s has more events; narrow the period or raise --limit", r.Router)
		}
	}
	return nil
}

func (c *Commander) filter() (recorder.Filter, error) {
	f := recorder.Filter{
		RequestID: c.flags.request, Chat: c.flags.chat, Endpoint: c.flags.endpoint, Limit: c.flags.limit,
	}
	if f.Limit < 0 || f.Limit > recorder.MaxLimit {
		return f, invalid("--limit %d is out of range; expected 1 to %d", f.Limit, recorder.MaxLimit)
	}
	var err error
	if f.Since, err = c.time("since", c.flags.since); err != nil {
		return f, err
	}
	f.Until, err = c.time("until", c.flags.until)
	return f, err
}

// time parses a time or a duration before now.
func (c *Commander) time(flag, text string) (time.Time, error) {
	if text == "" {
		return time.Time{}, nil
	}
	if d, err := time.ParseDuration(text); err == nil {
		return c.Now().Add(-d), nil
	}
	t, err := time.Parse(time.RFC3339Nano, text)
	if err != nil {
		return time.Time{}, invalid("--%s %q is malformed; expected a time such as 2026-12-04T06:00:00Z or a duration such as 10m", flag, text)
	}
	return t, nil
}

// about prints the version.
func (c *Commander) about(context.Context) error {
	if c.flags.json {
		return c.printJSON(map[string]string{"version": version()})
	}
	c.printf("%s\n", version())
	return nil
}

// version returns the module version and the commit that the binary was built
// from.
func version() string {
	info, ok := debug.ReadBuildInfo()
	if !ok {
		return "unknown"
	}
	for _, s := range info.Settings {
		if s.Key == "vcs.revision" {
			return info.Main.Version + " " + s.Value
		}
	}
	return info.Main.Version
}

// timelineOfLogs prints the lines of log files that the filter selects.
func (c *Commander) timelineOfLogs(f recorder.Filter) error {
	lines := &collator.Collator{Filter: collator.Filter{
		RequestID: f.RequestID, Endpoint: f.Endpoint, Since: f.Since, Until: f.Until,
	}}
	for _, name := range c.flags.logs {
		file, err := os.Open(name)
		if err != nil {
			return errors.Trace(err)
		}
		err = lines.Read(file)
		file.Close()
		if err != nil {
			return errors.Annotatef(err, "reading %s", name)
		}
	}
	for _, l := range lines.Lines() {
		c.printf("%s\n", l)
	}
	if n := lines.Skipped(); n > 0 {
		c.warn("%d lines are no log lines", n)
	}
	return nil
}
