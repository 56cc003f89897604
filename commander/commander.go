package commander

import (
	"context"
	"io"
	"time"

	"github.com/integrii/flaggy"
	"github.com/juju/errors"

	"github.com/bergamotdale/bergamotdale/auditor"
	"github.com/bergamotdale/bergamotdale/decoder"
	"github.com/bergamotdale/bergamotdale/loader"
	"github.com/bergamotdale/bergamotdale/operator"
)

// Exit codes of the process.
const (
	ExitSuccess = 0
	ExitFailure = 1
	ExitInvalid = 2
)

// defaultRouter is the address of the operator listener that commands call
// unless --router is given.
const defaultRouter = "127.0.0.1:9090"

// errInvalid marks the errors for which Run returns ExitInvalid.
const errInvalid = errors.ConstError("invalid usage, settings or configuration")

// Commander parses and runs one command. Its exported fields must be set before
// Run is called.
type Commander struct {
	Stdout io.Writer
	Stderr io.Writer
	// RunRouter runs a router until the context is done.
	RunRouter func(ctx context.Context, s *loader.Settings) error
	// RunGateway runs a gateway until the context is done. GatewaySettings is the
	// path of its settings file unless --settings is given.
	RunGateway      func(ctx context.Context, file string, s *loader.GatewaySettings) error
	GatewaySettings string
	// TrafficDialect reads the traffic configuration of gateways, and TrafficBounds are
	// what a gateway accepts whatever it says.
	TrafficDialect TrafficDialect
	TrafficBounds  auditor.Bounds
	// Now returns the current time, which durations in --since and --until are
	// subtracted from.
	Now func() time.Time

	flags flags
	// writeErr is the first error of a write to Stdout.
	writeErr error
}

// flags holds the values of all flags and positional arguments.
type flags struct {
	json     bool
	routers  []string
	file     string
	revision int64
	base     int64
	author   string
	comment  string
	timeout  time.Duration
	request  string
	chat     string
	endpoint string
	since    string
	until    string
	limit    int
	settings string
	gateway  bool
	logs     []string
	inForce  string
	format   string
}

// command is a subcommand and the function that runs it.
type command struct {
	parser *flaggy.Subcommand
	run    func(ctx context.Context) error
}

// Run parses the arguments, which exclude the program name, runs the command and
// returns the exit code. On unknown flags and arguments the flag library itself
// exits the process with code 2.
func (c *Commander) Run(ctx context.Context, args []string) int {
	parser := flaggy.NewParser("bergamotdale")
	parser.Description = "router fleet with chat affinity"
	parser.Version = version()
	// Version is printed by the version command, which supports --json.
	parser.ShowVersionWithVersionFlag = false
	commands := c.addCommands(parser)
	if err := parser.ParseArgs(args); err != nil {
		return c.reportError(errors.WithType(err, errInvalid))
	}
	for _, command := range commands {
		if command.parser.Used {
			err := command.run(ctx)
			if err == nil {
				err = c.writeErr
			}
			return c.reportError(err)
		}
	}
	parser.ShowHelpWithMessage("no command was given")
	return ExitInvalid
}

// addCommands adds all flags and subcommands to the parser and returns the
// subcommands that can be run.
func (c *Commander) addCommands(parser *flaggy.Parser) []command {
	parser.Bool(&c.flags.json, "j", "json", "print JSON instead of tables")
	parser.StringSlice(&c.flags.routers, "r", "router", "operator address of a router; may be repeated, tried in order (default "+defaultRouter+")")

	config := subcommand("config", "read and change the configuration")
	get := subcommand("get", "print the configuration as YAML")
	get.Int64(&c.flags.revision, "", "revision", "revision to print instead of the one in force")
	check := subcommand("check", "validate a file; with --router also print what it would change")
	check.AddPositionalValue(&c.flags.file, "FILE", 1, true, "configuration file")
	apply := subcommand("apply", "make a file the next revision of the configuration")
	apply.AddPositionalValue(&c.flags.file, "FILE", 1, true, "configuration file")
	c.flags.base = unsetBase
	apply.Int64(&c.flags.base, "", "base", "revision that the file was made from (default: its first line, as printed by get)")
	apply.String(&c.flags.author, "", "author", "author of the change (default: the USER variable)")
	apply.String(&c.flags.comment, "", "comment", "reason for the change")
	history := subcommand("history", "list the most recent revisions")
	c.flags.timeout = 10 * time.Second
	wait := subcommand("wait", "wait until every router has a revision in force")
	wait.Int64(&c.flags.revision, "", "revision", "revision to wait for (default: the one in force)")
	wait.Duration(&c.flags.timeout, "", "timeout", "longest wait")
	for _, sc := range []*flaggy.Subcommand{get, check, apply, history, wait} {
		config.AttachSubcommand(sc, 1)
	}

	status := subcommand("status", "print the status of a router and its view of the fleet")
	timeline := subcommand("timeline", "print the events of all routers")
	timeline.String(&c.flags.request, "", "request", "only events of this request ID")
	timeline.String(&c.flags.chat, "", "chat", "chat")
	timeline.String(&c.flags.endpoint, "", "endpoint", "endpoint")
	timeline.String(&c.flags.since, "", "since", "earliest time, such as 2026-12-04T06:00:00Z, or a duration before now, such as 10m")
	timeline.String(&c.flags.until, "", "until", "latest time, in the same formats")
	timeline.StringSlice(&c.flags.logs, "", "log", "log file of a router to read instead of querying routers; may be repeated")
	timeline.Int(&c.flags.limit, "", "limit", "maximum number of events of each router")
	router := subcommand("router", "run a router")
	router.String(&c.flags.settings, "", "settings", "settings file")
	gateway := subcommand("gateway", "run a router that forwards requests by host and path")
	gateway.String(&c.flags.settings, "", "settings", "settings file (default: the one named by the platform)")
	checkSettings := subcommand("check", "validate a settings file and print every problem")
	checkSettings.AddPositionalValue(&c.flags.file, "FILE", 1, true, "settings file of a router or gateway")
	checkSettings.Bool(&c.flags.gateway, "", "gateway", "the file holds the settings of a gateway")
	checkTraffic := subcommand("check-traffic", "check a traffic configuration document of gateways before it is sent")
	checkTraffic.AddPositionalValue(&c.flags.file, "FILE", 1, true, "document to check")
	checkTraffic.String(&c.flags.inForce, "", "in-force", "document in force, to compare with")
	c.flags.format = formatText
	checkTraffic.String(&c.flags.format, "", "format", "text or json")
	versionCommand := subcommand("version", "print the version")
	for _, sc := range []*flaggy.Subcommand{config, status, timeline, router, gateway, checkSettings, checkTraffic, versionCommand} {
		parser.AttachSubcommand(sc, 1)
	}
	return []command{
		{get, c.getConfig}, {check, c.checkConfig}, {apply, c.applyConfig}, {history, c.listRevisions}, {wait, c.waitForRevision},
		{status, c.showStatus}, {timeline, c.showTimeline}, {router, c.startRouter}, {gateway, c.startGateway},
		{checkSettings, c.checkSettings}, {checkTraffic, c.checkTraffic}, {versionCommand, c.printVersion},
	}
}

// subcommand returns a subcommand with a description for the help text.
func subcommand(name, description string) *flaggy.Subcommand {
	sc := flaggy.NewSubcommand(name)
	sc.Description = description
	return sc
}

// reportError prints the error, if any, and returns the exit code for it. With
// --json the problems of a document are already part of the printed JSON.
func (c *Commander) reportError(err error) int {
	if err == nil {
		return ExitSuccess
	}
	var problems decoder.Problems
	switch {
	case errors.Is(err, errFaults):
		return ExitFailure
	case errors.As(err, &problems):
		if !c.flags.json {
			c.warnf("%s", problems)
		}
		return ExitInvalid
	case errors.Is(err, errInvalid):
		c.warnf("bergamotdale: %v", err)
		return ExitInvalid
	default:
		c.warnf("bergamotdale: %v", err)
		return ExitFailure
	}
}

// dial returns a client of the first router that responds.
func (c *Commander) dial(ctx context.Context) (*operator.Client, error) {
	addresses := c.flags.routers
	if len(addresses) == 0 {
		addresses = []string{defaultRouter}
	}
	return operator.Dial(ctx, addresses)
}

// invalidf returns an error for which Run returns ExitInvalid.
func invalidf(format string, args ...any) error {
	return errors.WithType(errors.Errorf(format, args...), errInvalid)
}

// startRouter reads the settings file and runs a router with it.
func (c *Commander) startRouter(ctx context.Context) error {
	if c.flags.settings == "" {
		return invalidf("--settings is missing")
	}
	s, err := loader.ReadSettings(c.flags.settings)
	if err != nil {
		return errors.WithType(err, errInvalid)
	}
	return c.RunRouter(ctx, s)
}

// startGateway reads the settings file and runs a gateway with it.
func (c *Commander) startGateway(ctx context.Context) error {
	file := c.flags.settings
	if file == "" {
		file = c.GatewaySettings
	}
	if file == "" {
		return invalidf("--settings is missing")
	}
	s, err := loader.ReadGatewaySettings(file)
	if err != nil {
		return errors.WithType(err, errInvalid)
	}
	return c.RunGateway(ctx, file, s)
}

// checkSettings validates a settings file and reports every problem in it.
func (c *Commander) checkSettings(context.Context) error {
	var err error
	if c.flags.gateway {
		_, err = loader.ReadGatewaySettings(c.flags.file)
	} else {
		_, err = loader.ReadSettings(c.flags.file)
	}
	if err != nil {
		return errors.WithType(err, errInvalid)
	}
	c.printf("%s: no faults\n", c.flags.file)
	return nil
}
