package commander

import (
	"context"
	"io"
	"time"

	"github.com/integrii/flaggy"
	"github.com/juju/errors"

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

// defaultRouter is the operators' listener that is asked unless --router names
// others.
const defaultRouter = "127.0.0.1:9090"

// errInvalid marks errors that lead to ExitInvalid.
const errInvalid = errors.ConstError("invalid usage, settings or configuration")

// Commander runs one command. Its fields are set before Run.
type Commander struct {
	Stdout io.Writer
	Stderr io.Writer
	// RunRouter runs a router until the context is done.
	RunRouter func(ctx context.Context, s *loader.Settings) error
	// RunGateway runs a gateway until the context is done, and GatewaySettings
	// is its settings file unless --settings names another.
	RunGateway      func(ctx context.Context, file string, s *loader.GatewaySettings) error
	GatewaySettings string
	// Now returns the time that relative times count from.
	Now func() time.Time

	flags flags
	// writeErr is the first error of writing to Stdout.
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
}

// command is a subcommand and what it does.
type command struct {
	parser *flaggy.Subcommand
	run    func(ctx context.Context) error
}

// Run parses the arguments, without the program name, runs the command and
// returns the exit code. The flag library ends the process itself with code 2
// on unknown flags and arguments.
func (c *Commander) Run(ctx context.Context, args []string) int {
	parser := flaggy.NewParser("bergamotdale")
	parser.Description = "router fleet for chats that return"
	parser.Version = version()
	// "version" is a command of its own with --json.
	parser.ShowVersionWithVersionFlag = false
	commands := c.commands(parser)
	if err := parser.ParseArgs(args); err != nil {
		return c.exit(errors.WithType(err, errInvalid))
	}
	for _, command := range commands {
		if command.parser.Used {
			err := command.run(ctx)
			if err == nil {
				err = c.writeErr
			}
			return c.exit(err)
		}
	}
	parser.ShowHelpWithMessage("a command is missing")
	return ExitInvalid
}

func (c *Commander) commands(parser *flaggy.Parser) []command {
	parser.Bool(&c.flags.json, "j", "json", "print JSON instead of tables")
	parser.StringSlice(&c.flags.routers, "r", "router", "operators' address of a router, tried in order (default "+defaultRouter+")")

	config := subcommand("config", "read and change the configuration")
	get := subcommand("get", "print the configuration as YAML")
	get.Int64(&c.flags.revision, "", "revision", "revision to print instead of the one in force")
	check := subcommand("check", "check a file; with --router also print what it would change")
	check.AddPositionalValue(&c.flags.file, "FILE", 1, true, "configuration file")
	apply := subcommand("apply", "make a file the next revision")
	apply.AddPositionalValue(&c.flags.file, "FILE", 1, true, "configuration file")
	c.flags.base = unsetBase
	apply.Int64(&c.flags.base, "", "base", "revision that the file was made from (default: its first line, as printed by get)")
	apply.String(&c.flags.author, "", "author", "author of the change (default: the USER variable)")
	apply.String(&c.flags.comment, "", "comment", "reason for the change")
	history := subcommand("history", "list the last revisions")
	c.flags.timeout = 10 * time.Second
	wait := subcommand("wait", "wait until every router has a revision in force")
	wait.Int64(&c.flags.revision, "", "revision", "revision to wait for (default: the one in force)")
	wait.Duration(&c.flags.timeout, "", "timeout", "longest wait")
	for _, sc := range []*flaggy.Subcommand{get, check, apply, history, wait} {
		config.AttachSubcommand(sc, 1)
	}

	status := subcommand("status", "describe a router and what it knows of the fleet")
	timeline := subcommand("timeline", "print what happened, from all routers")
	timeline.String(&c.flags.request, "", "request", "request id")
	timeline.String(&c.flags.chat, "", "chat", "chat")
	timeline.String(&c.flags.endpoint, "", "endpoint", "endpoint")
	timeline.String(&c.flags.since, "", "since", "earliest time, as 2026-12-04T06:00:00Z or as a duration ago")
	timeline.String(&c.flags.until, "", "until", "latest time, in the same forms")
	timeline.StringSlice(&c.flags.logs, "", "log", "log file of a router; with it no router is asked")
	timeline.Int(&c.flags.limit, "", "limit", "largest number of events of each router")
	router := subcommand("router", "run a router")
	router.String(&c.flags.settings, "", "settings", "settings file")
	gateway := subcommand("gateway", "run a router that forwards requests by host and path")
	gateway.String(&c.flags.settings, "", "settings", "settings file (default: the one that the platform names)")
	checkSettings := subcommand("check", "check a settings file and print every fault")
	checkSettings.AddPositionalValue(&c.flags.file, "FILE", 1, true, "settings file of a router or gateway")
	checkSettings.Bool(&c.flags.gateway, "", "gateway", "the file is that of a gateway")
	about := subcommand("version", "print the version")
	for _, sc := range []*flaggy.Subcommand{config, status, timeline, router, gateway, checkSettings, about} {
		parser.AttachSubcommand(sc, 1)
	}
	return []command{
		{get, c.get}, {check, c.check}, {apply, c.apply}, {history, c.history}, {wait, c.wait},
		{status, c.status}, {timeline, c.timeline}, {router, c.router}, {gateway, c.gateway},
		{checkSettings, c.checkSettings}, {about, c.about},
	}
}

func subcommand(name, description string) *flaggy.Subcommand {
	sc := flaggy.NewSubcommand(name)
	sc.Description = description
	return sc
}

// exit reports the error and returns the exit code.
func (c *Commander) exit(err error) int {
	if err == nil {
		return ExitSuccess
	}
	var problems decoder.Problems
	switch {
	case errors.As(err, &problems):
		if !c.flags.json {
			c.warn("%s", problems)
		}
		return ExitInvalid
	case errors.Is(err, errInvalid):
		c.warn("bergamotdale: %v", err)
		return ExitInvalid
	default:
		c.warn("bergamotdale: %v", err)
		return ExitFailure
	}
}

func (c *Commander) dial(ctx context.Context) (*operator.Client, error) {
	addresses := c.flags.routers
	if len(addresses) == 0 {
		addresses = []string{defaultRouter}
	}
	return operator.Dial(ctx, addresses)
}

// invalid returns an error that leads to ExitInvalid.
func invalid(format string, args ...any) error {
	return errors.WithType(errors.Errorf(format, args...), errInvalid)
}

func (c *Commander) router(ctx context.Context) error {
	if c.flags.settings == "" {
		return invalid("--settings is missing")
	}
	s, err := loader.ReadSettings(c.flags.settings)
	if err != nil {
		return errors.WithType(err, errInvalid)
	}
	return c.RunRouter(ctx, s)
}

func (c *Commander) gateway(ctx context.Context) error {
	file := c.flags.settings
	if file == "" {
		file = c.GatewaySettings
	}
	if file == "" {
		return invalid("--settings is missing")
	}
	s, err := loader.ReadGatewaySettings(file)
	if err != nil {
		return errors.WithType(err, errInvalid)
	}
	return c.RunGateway(ctx, file, s)
}

// checkSettings reads a settings file and reports every fault.
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
