// Command pistachioctl checks and changes the steering document and shows the
// state of the instances.
package main

import (
	"context"
	"fmt"
	"io"
	"os"
	"os/signal"
	"strings"
	"syscall"

	"github.com/integrii/flaggy"

	"pistachioford.example/pistachioford/operate"
	"pistachioford.example/pistachioford/tables"
)

// Environment variables that replace flags.
const (
	platformVariable = "PISTACHIOCTL_PLATFORM"
	tokenVariable    = "PISTACHIOCTL_TOKEN"
)

// Platform calls per second that one run may make. Few operators work at a time,
// so the limits are above those of an instance, but an upload of client blocks
// must leave capacity for the instances.
const (
	readsPerSecond  = 40
	writesPerSecond = 20
)

const exitCodes = `
Exit codes:
  0  done
  1  the document is not valid, or a rule forbids the change; nothing changed
  2  wrong flags or arguments
  3  conflict: somebody else changed the section; nothing changed
  4  outcome unknown; run again with the --operation that the error names
  5  the platform does not answer as expected, or a file cannot be used; nothing
     changed
  6  status: an instance is stale, cut off or does not answer, or none is listed

The platform's URL is taken from --platform or PISTACHIOCTL_PLATFORM, the team's
token from --token-file or PISTACHIOCTL_TOKEN.`

func main() { os.Exit(run()) }

// run executes one command and returns the exit code.
func run() int {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	o := &options{out: os.Stdout}
	parser, commands := newParser(o)
	if err := parser.ParseArgs(os.Args[1:]); err != nil {
		fmt.Fprintln(os.Stderr, err)
		return operate.ExitUsage
	}
	for _, c := range commands {
		if c.subcommand.Used {
			return o.execute(ctx, c)
		}
	}
	parser.ShowHelp()
	return operate.ExitUsage
}

// options holds the values of the flags and arguments of all commands.
type options struct {
	out       io.Writer
	json      bool
	platform  string
	tokenFile string
	operation string
	base      string
	version   uint64
	limit     int
	seed      uint64
	runs      int
	instances []string
	regions   []string
	args      [maxArguments]string
}

// givenArguments returns the positional arguments up to the first empty one.
func (o *options) givenArguments() []string {
	for i, a := range o.args {
		if a == "" {
			return o.args[:i]
		}
	}
	return o.args[:]
}

// execute runs a command and prints its result.
func (o *options) execute(ctx context.Context, c *command) int {
	result, err := c.run(ctx, o)
	if err != nil {
		o.printError(err)
		return operate.ExitCode(err)
	}
	if err := o.print(result); err != nil {
		fmt.Fprintln(os.Stderr, err)
		return operate.ExitPlatform
	}
	if status, ok := result.(*operate.Status); ok && !status.Healthy() {
		return operate.ExitStale
	}
	return operate.ExitOK
}

// operator returns an Operator for the platform in --platform or the environment.
func (o *options) operator() (*operate.Operator, error) {
	if o.platform == "" {
		o.platform = os.Getenv(platformVariable)
	}
	client, err := tables.NewClient(tables.Config{
		URL: o.platform, Instance: "pistachioctl", WaitForBudget: true,
		ReadsPerSecond: readsPerSecond, WritesPerSecond: writesPerSecond,
	})
	if err != nil {
		return nil, fmt.Errorf("%w; set --platform or %s", err, platformVariable)
	}
	return operate.New(client), nil
}

// token returns the team's token. No flag takes the token itself, since other
// users of the machine can read the arguments of a command.
func (o *options) token() (string, error) {
	if o.tokenFile == "" {
		return os.Getenv(tokenVariable), nil
	}
	text, err := os.ReadFile(o.tokenFile)
	if err != nil {
		return "", fmt.Errorf("step=read-token: %w", err)
	}
	return strings.TrimSpace(string(text)), nil
}

// operatorWithToken returns an Operator and the team's token, which changes
// require.
func (o *options) operatorWithToken() (*operate.Operator, string, error) {
	token, err := o.token()
	if err != nil {
		return nil, "", err
	}
	operator, err := o.operator()
	return operator, token, err
}

// newParser returns the command-line parser and the commands, whose flags it
// stores in o.
func newParser(o *options) (*flaggy.Parser, []*command) {
	parser := flaggy.NewParser("pistachioctl")
	parser.Description = "Checks and changes the steering document."
	parser.AdditionalHelpAppend = exitCodes
	parser.ShowCompletion = false
	parser.ShowVersionWithVersionFlag = false
	commands := newCommands()
	for _, c := range commands {
		c.subcommand = flaggy.NewSubcommand(c.name)
		c.subcommand.Description = c.description
		c.subcommand.AdditionalHelpAppend = exitCodes
		c.subcommand.Bool(&o.json, "j", "json", "Print the result or the error as JSON.")
		c.define(c.subcommand, o)
		parser.AttachSubcommand(c.subcommand, 1)
	}
	return parser, commands
}
