package ctl

import (
	"context"
	"crypto/ed25519"
	"errors"
	"flag"
	"fmt"
	"io"
	"os"
	"time"

	"github.com/peterbourgon/ff/v3"
	"github.com/peterbourgon/ff/v3/ffcli"

	"github.com/jacinthstall/jacinthstall/policy"
)

// Connection tells how to reach the platform and who publishes.
type Connection struct {
	Platform string             // ip:port.
	Key      ed25519.PrivateKey // nil for commands that only read.
	Instance string             // ip:port of the operators' listener of an instance whose version in force is a lower bound; may be empty.
}

// App is the command jacinthctl with its surroundings.
type App struct {
	Out     io.Writer // Results, and errors with --output json.
	Err     io.Writer // Errors and help.
	Connect func(ctx context.Context, c Connection) (Publisher, error)

	ReadBackInterval time.Duration // See Session.
}

const envPrefix = "JACINTHCTL"

// Run executes the command line without the program's name and returns the
// exit code.
func (a *App) Run(ctx context.Context, args []string) int {
	c := &invocation{app: a, usageOutput: &writeRecorder{Writer: a.Err}}
	root := c.rootCommand()
	if err := root.Parse(args); err != nil {
		return c.reportParseError(err)
	}
	if err := c.checkOutput(); err != nil {
		return c.reportError(err)
	}
	err := root.Run(ctx)
	if errors.Is(err, flag.ErrHelp) {
		return ExitUsage
	}
	if err != nil {
		return c.reportError(err)
	}
	return ExitOK
}

// reportParseError reports wrong flags, unless the flag set has done so. Asking for
// help is not a failure.
func (c *invocation) reportParseError(err error) int {
	if errors.Is(err, flag.ErrHelp) {
		return ExitOK
	}
	if !c.usageOutput.written {
		fmt.Fprintf(c.app.Err, "jacinthctl: %v\n", err)
	}
	return ExitUsage
}

// writeRecorder passes writes on and notes whether there was one.
type writeRecorder struct {
	io.Writer
	written bool
}

func (n *writeRecorder) Write(p []byte) (int, error) {
	n.written = true
	return n.Writer.Write(p)
}

// invocation is one execution with the values of its flags.
type invocation struct {
	app             *App
	output          string
	platform        string
	keyFile         string
	instanceAddress string // Address of an instance, see Connection.

	usageOutput *writeRecorder // Output of the flag sets.
}

func (c *invocation) rootCommand() *ffcli.Command {
	fs := c.newFlagSet("jacinthctl")
	return &ffcli.Command{
		Name:       "jacinthctl",
		ShortUsage: "jacinthctl <subcommand> [flags] [arguments]",
		ShortHelp:  "Controls jacinthstall through its published document.",
		LongHelp:   "Controls jacinthstall through its published document.\n\n" + exitHelp,
		FlagSet:    fs,
		Subcommands: []*ffcli.Command{
			c.validateCommand(), c.diffCommand(), c.publishCommand(), c.showCommand(),
			c.statusCommand(), c.drainCommand(), c.signCommand(), c.keygenCommand(),
		},
		Exec: func(context.Context, []string) error {
			fmt.Fprintln(c.app.Err, "jacinthctl: name a subcommand; see jacinthctl --help")
			return flag.ErrHelp
		},
	}
}

// newFlagSet returns a flag set that reports to the App's Err and never exits.
func (c *invocation) newFlagSet(name string) *flag.FlagSet {
	fs := flag.NewFlagSet(name, flag.ContinueOnError)
	fs.SetOutput(c.usageOutput)
	return fs
}

// newCommand builds a subcommand with the flags that all share.
func (c *invocation) newCommand(name, arguments, short, long string, fs *flag.FlagSet, exec func(context.Context, []string) error) *ffcli.Command {
	fs.StringVar(&c.output, "output", "plain", "form of the output: plain or json")
	return &ffcli.Command{
		Name:       name,
		ShortUsage: "jacinthctl " + name + " [flags] " + arguments,
		ShortHelp:  short,
		LongHelp:   short + "\n\n" + long + "\n\n" + exitHelp,
		FlagSet:    fs,
		Options:    []ff.Option{ff.WithEnvVarPrefix(envPrefix)},
		Exec:       exec,
	}
}

func (c *invocation) addPlatformFlag(fs *flag.FlagSet) {
	fs.StringVar(&c.platform, "platform", "127.0.0.1:7000", "ip:port of the platform")
}

// addPublishFlags returns the value of --merge, whose default differs by command.
func (c *invocation) addPublishFlags(fs *flag.FlagSet, merge bool) *bool {
	c.addPlatformFlag(fs)
	fs.StringVar(&c.keyFile, "key", "", "file with the operator's Ed25519 private key, PEM")
	fs.StringVar(&c.instanceAddress, "in-force-at", "", "ip:port of the operators' listener of an instance; nothing is published while the platform is behind the version in force there")
	return fs.Bool("merge", merge, "after a lost race, merge edits that touch different objects")
}

func (c *invocation) checkOutput() error {
	switch c.output {
	case "", "plain", "json":
		return nil
	}
	return newUsageError(fmt.Sprintf("--output %q is neither plain nor json", c.output))
}

// readSession connects for reading.
func (c *invocation) readSession(ctx context.Context) (Session, error) {
	return c.connect(ctx, nil)
}

// publishSession connects for publishing; the key is read first.
func (c *invocation) publishSession(ctx context.Context) (Session, error) {
	if err := c.checkInstanceAddress(); err != nil {
		return Session{}, err
	}
	key, err := LoadKey(c.keyFile)
	if err != nil {
		return Session{}, err
	}
	return c.connect(ctx, key)
}

func (c *invocation) checkInstanceAddress() error {
	if c.instanceAddress == "" {
		return nil
	}
	return checkAddresses([]string{c.instanceAddress})
}

func (c *invocation) connect(ctx context.Context, key ed25519.PrivateKey) (Session, error) {
	publisher, err := c.app.Connect(ctx, Connection{Platform: c.platform, Key: key, Instance: c.instanceAddress})
	if err != nil {
		return Session{}, err
	}
	return Session{Publisher: publisher, ReadBackInterval: c.app.ReadBackInterval}, nil
}

// readFile reads an input; "-" is the standard input. The read is bounded.
func readFile(file string) ([]byte, error) {
	in := os.Stdin
	if file != "-" {
		f, err := os.Open(file)
		if err != nil {
			return nil, err
		}
		defer f.Close()
		in = f
	}
	return io.ReadAll(io.LimitReader(in, policy.MaxDocumentBytes+1))
}

func readDocument(file string) (*policy.Document, error) {
	src, err := readFile(file)
	if err != nil {
		return nil, err
	}
	return policy.Parse(file, src)
}
