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

// showStatus prints the status of a router and its view of the fleet.
func (c *Commander) showStatus(ctx context.Context) error {
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

// printStatus prints three tables: the router, the members of the fleet and the
// endpoints.
func (c *Commander) printStatus(s *pb.StatusResponse) error {
	t := c.newTable("ROUTER", "VERSION", "DOMAIN", "REGION", "READY", "REVISION", "SINCE", "STORE SEEN", "SHARDS")
	t.row(s.Router, s.Version, s.FailureDomain, s.Region, s.Ready, s.Revision, formatTime(s.Since), formatTime(s.StoreSeen), formatList(s.Shards))
	if err := t.flush(); err != nil {
		return err
	}
	c.printf("\n")
	t = c.newTable("MEMBER", "ADDRESS", "DOMAIN", "STATE")
	for _, m := range s.Members {
		t.row(m.Router, m.Address, m.FailureDomain, m.State)
	}
	if err := t.flush(); err != nil {
		return err
	}
	c.printf("\n")
	t = c.newTable("ENDPOINT", "DOMAIN", "OWNER", "EPOCH", "STATE", "RUNNING", "QUEUED", "LIMIT")
	for _, e := range s.Endpoints {
		t.row(e.Endpoint, e.FailureDomain, e.Owner, e.Epoch, e.State, e.Running, e.Queued, e.Limit)
	}
	return t.flush()
}

// showTimeline prints the events of all routers, or the lines of log files if
// --log is given.
func (c *Commander) showTimeline(ctx context.Context) error {
	filter, err := c.timelineFilter()
	if err != nil {
		return err
	}
	if len(c.flags.logs) > 0 {
		return c.printLogTimeline(filter)
	}
	client, err := c.dial(ctx)
	if err != nil {
		return err
	}
	timeline, err := client.Timeline(ctx, filter)
	if err != nil {
		return err
	}
	if c.flags.json {
		return c.printJSON(timeline)
	}
	t := c.newTable("TIME", "PROCESS", "KIND", "REQUEST", "CHAT", "WORKSPACE", "ENDPOINT", "CODE", "DETAIL")
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
			c.warnf("%s at %s did not respond: %s", r.Router, r.Address, r.Error)
		case r.Truncated:
			c.warnf("%s has more events; narrow the period or raise --limit", r.Router)
		}
	}
	return nil
}

// timelineFilter returns the filter that the flags describe.
func (c *Commander) timelineFilter() (recorder.Filter, error) {
	filter := recorder.Filter{
		RequestID: c.flags.request, Chat: c.flags.chat, Endpoint: c.flags.endpoint, Limit: c.flags.limit,
	}
	if filter.Limit < 0 || filter.Limit > recorder.MaxLimit {
		return filter, invalidf("--limit %d is out of range; expected 1 to %d", filter.Limit, recorder.MaxLimit)
	}
	var err error
	if filter.Since, err = c.parseTime("since", c.flags.since); err != nil {
		return filter, err
	}
	filter.Until, err = c.parseTime("until", c.flags.until)
	return filter, err
}

// parseTime parses the value of a flag, which is either a time or a duration
// before now. An empty value is the zero time.
func (c *Commander) parseTime(flag, text string) (time.Time, error) {
	if text == "" {
		return time.Time{}, nil
	}
	if d, err := time.ParseDuration(text); err == nil {
		return c.Now().Add(-d), nil
	}
	t, err := time.Parse(time.RFC3339Nano, text)
	if err != nil {
		return time.Time{}, invalidf("--%s %q is malformed; expected a time such as 2026-12-04T06:00:00Z or a duration such as 10m", flag, text)
	}
	return t, nil
}

// printVersion prints the version of the program.
func (c *Commander) printVersion(context.Context) error {
	if c.flags.json {
		return c.printJSON(map[string]string{"version": version()})
	}
	c.printf("%s\n", version())
	return nil
}

// version returns the module version and, if known, the commit that the binary
// was built from.
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

// printLogTimeline prints the log lines that match the filter, merged by time.
func (c *Commander) printLogTimeline(filter recorder.Filter) error {
	logs := &collator.Collator{Filter: collator.Filter{
		RequestID: filter.RequestID, Endpoint: filter.Endpoint, Since: filter.Since, Until: filter.Until,
	}}
	for _, name := range c.flags.logs {
		file, err := os.Open(name)
		if err != nil {
			return errors.Trace(err)
		}
		err = logs.Read(file)
		file.Close()
		if err != nil {
			return errors.Annotatef(err, "reading log file %s", name)
		}
	}
	for _, line := range logs.Lines() {
		c.printf("%s\n", line)
	}
	if skipped := logs.Skipped(); skipped > 0 {
		c.warnf("skipped %d lines that are not log lines", skipped)
	}
	return nil
}
