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

// Connection holds the address of the platform and the key to publish with.
type Connection struct {
	Platform string             // ip:port.
	Key      ed25519.PrivateKey // nil for commands that only read.
	Instance string             // ip:port of the operators' listener of an instance; the platform must not be behind the version in force there. Optional.
}

// App is the command jacinthctl. Its fields let tests replace the output streams
// and the platform.
type App struct {
	Out     io.Writer // For results, and for errors with --output json.
	Err     io.Writer // For errors and help texts.
	Connect func(ctx context.Context, c Connection) (Publisher, error)

	ReadBackInterval time.Duration // See Session.
}

const envPrefix = "JACINTHCTL"

// Run executes a command line, given without the program name, and returns the
// exit code.
func (app *App) Run(ctx context.Context, args []string) int {
	inv := &invocation{app: app, usageOutput: &writeRecorder{Writer: app.Err}}
	root := inv.rootCommand()
	if err := root.Parse(args); err != nil {
		return inv.reportParseError(err)
	}
	if err := inv.checkOutput(); err != nil {
		return inv.reportError(err)
	}
	err := root.Run(ctx)
	if errors.Is(err, flag.ErrHelp) {
		return ExitUsage
	}
	if err != nil {
		return inv.reportError(err)
	}
	return ExitOK
}

// reportParseError prints an error of the command line, unless the flag set has
// printed it already, and returns the exit code. A request for help is not an
// error.
func (inv *invocation) reportParseError(err error) int {
	if errors.Is(err, flag.ErrHelp) {
		return ExitOK
	}
	if !inv.usageOutput.written {
		fmt.Fprintf(inv.app.Err, "jacinthctl: %v\n", err)
	}
	return ExitUsage
}

// writeRecorder forwards writes and records whether there were any.
type writeRecorder struct {
	io.Writer
	written bool
}

func (recorder *writeRecorder) Write(p []byte) (int, error) {
	recorder.written = true
	return recorder.Writer.Write(p)
}

// invocation is one execution of jacinthctl with the values of its flags.
type invocation struct {
	app             *App
	output          string
	platform        string
	keyFile         string
	instanceAddress string // See Connection.Instance.

	usageOutput *writeRecorder // Where the flag sets print errors and help texts.
}

func (inv *invocation) rootCommand() *ffcli.Command {
	fs := inv.newFlagSet("jacinthctl")
	return &ffcli.Command{
		Name:       "jacinthctl",
		ShortUsage: "jacinthctl <subcommand> [flags] [arguments]",
		ShortHelp:  "Controls jacinthstall through its published document.",
		LongHelp:   "Controls jacinthstall through its published document.\n\n" + exitHelp,
		FlagSet:    fs,
		Subcommands: []*ffcli.Command{
			inv.validateCommand(), inv.diffCommand(), inv.publishCommand(), inv.showCommand(),
			inv.statusCommand(), inv.drainCommand(), inv.signCommand(), inv.keygenCommand(),
		},
		Exec: func(context.Context, []string) error {
			fmt.Fprintln(inv.app.Err, "jacinthctl: name a subcommand; see jacinthctl --help")
			return flag.ErrHelp
		},
	}
}

// newFlagSet returns a flag set that prints to the App's Err and never exits the
// process.
func (inv *invocation) newFlagSet(name string) *flag.FlagSet {
	fs := flag.NewFlagSet(name, flag.ContinueOnError)
	fs.SetOutput(inv.usageOutput)
	return fs
}

// newCommand returns a subcommand. It adds the flags common to all subcommands.
func (inv *invocation) newCommand(name, arguments, short, long string, fs *flag.FlagSet, exec func(context.Context, []string) error) *ffcli.Command {
	fs.StringVar(&inv.output, "output", "plain", "form of the output: plain or json")
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

func (inv *invocation) addPlatformFlag(fs *flag.FlagSet) {
	fs.StringVar(&inv.platform, "platform", "127.0.0.1:7000", "ip:port of the platform")
}

// addPublishFlags adds the flags of the subcommands that publish and returns the
// value of --merge. The argument merge is the default of that flag.
func (inv *invocation) addPublishFlags(fs *flag.FlagSet, merge bool) *bool {
	inv.addPlatformFlag(fs)
	fs.StringVar(&inv.keyFile, "key", "", "file with the operator's Ed25519 private key, PEM")
	fs.StringVar(&inv.instanceAddress, "in-force-at", "", "ip:port of the operators' listener of an instance; nothing is published while the platform is behind the version in force there")
	return fs.Bool("merge", merge, "after a lost race, merge edits that touch different objects")
}

func (inv *invocation) checkOutput() error {
	switch inv.output {
	case "", "plain", "json":
		return nil
	}
	return newUsageError(fmt.Sprintf("--output %q is neither plain nor json", inv.output))
}

// readSession returns a session that can only read.
func (inv *invocation) readSession(ctx context.Context) (Session, error) {
	return inv.connect(ctx, nil)
}

// publishSession returns a session that can publish. It loads the key before it
// connects.
func (inv *invocation) publishSession(ctx context.Context) (Session, error) {
	if err := inv.checkInstanceAddress(); err != nil {
		return Session{}, err
	}
	key, err := LoadKey(inv.keyFile)
	if err != nil {
		return Session{}, err
	}
	return inv.connect(ctx, key)
}

func (inv *invocation) checkInstanceAddress() error {
	if inv.instanceAddress == "" {
		return nil
	}
	return checkAddresses([]string{inv.instanceAddress})
}

func (inv *invocation) connect(ctx context.Context, key ed25519.PrivateKey) (Session, error) {
	publisher, err := inv.app.Connect(ctx, Connection{Platform: inv.platform, Key: key, Instance: inv.instanceAddress})
	if err != nil {
		return Session{}, err
	}
	return Session{Publisher: publisher, ReadBackInterval: inv.app.ReadBackInterval}, nil
}

// readFile reads a file, or the standard input if file is "-". It reads at most
// one byte more than the maximum size of a document.
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
