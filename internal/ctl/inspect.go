package ctl

import (
	"context"
	"encoding/json"
	"fmt"

	"github.com/peterbourgon/ff/v3/ffcli"

	"github.com/jacinthstall/jacinthstall/policy"
	"github.com/jacinthstall/jacinthstall/settings"
)

func (c *invocation) validateCommand() *ffcli.Command {
	fs := c.newFlagSet("validate")
	kind := fs.String("kind", "policy", "what the files are: policy or settings")
	return c.newCommand("validate", "FILE...", "Checks documents or settings files.",
		"Every problem is reported with its file, line, column and JSON pointer.", fs,
		func(_ context.Context, args []string) error { return c.validate(*kind, args) })
}

func (c *invocation) validate(kind string, files []string) error {
	if len(files) == 0 {
		return newUsageError("name at least one file")
	}
	if kind != "policy" && kind != "settings" {
		return newUsageError(fmt.Sprintf("--kind %q is neither policy nor settings", kind))
	}
	var all findingCollector
	for _, file := range files {
		if err := all.add(validateFile(kind, file)); err != nil {
			return err
		}
	}
	if err := all.err(); err != nil {
		return err
	}
	return c.print(map[string]any{"valid": files}, fmt.Sprintf("%d files are valid\n", len(files)))
}

func validateFile(kind, file string) error {
	src, err := readFile(file)
	if err != nil {
		return err
	}
	if kind == "settings" {
		_, err = settings.Parse(file, src)
	} else {
		_, err = policy.Parse(file, src)
	}
	return err
}

func (c *invocation) diffCommand() *ffcli.Command {
	fs := c.newFlagSet("diff")
	c.addPlatformFlag(fs)
	return c.newCommand("diff", "[OLD] NEW", "Shows the changes from one document to another.",
		"With one file, the changes are those from the published document.", fs, c.diff)
}

func (c *invocation) diff(ctx context.Context, args []string) error {
	if len(args) != 1 && len(args) != 2 {
		return newUsageError("name one or two files")
	}
	after, err := readDocument(args[len(args)-1])
	if err != nil {
		return err
	}
	before, err := c.oldDocument(ctx, args)
	if err != nil {
		return err
	}
	changes := policy.Diff(before, after)
	return c.print(map[string]any{"changes": nonNilChanges(changes)}, changesText(changes))
}

func (c *invocation) oldDocument(ctx context.Context, args []string) (*policy.Document, error) {
	if len(args) == 2 {
		return readDocument(args[0])
	}
	s, err := c.readSession(ctx)
	if err != nil {
		return nil, err
	}
	return s.currentOrEmpty(ctx)
}

// currentOrEmpty returns an empty document of version 0 when nothing has been
// published.
func (s Session) currentOrEmpty(ctx context.Context) (*policy.Document, error) {
	d, err := s.Current(ctx)
	if d == nil && err == nil {
		d = &policy.Document{}
	}
	return d, err
}

func (c *invocation) showCommand() *ffcli.Command {
	fs := c.newFlagSet("show")
	c.addPlatformFlag(fs)
	return c.newCommand("show", "", "Prints the published document.",
		"The field version of the document tells publish which version an edit is based on.", fs, c.show)
}

func (c *invocation) show(ctx context.Context, args []string) error {
	if len(args) != 0 {
		return newUsageError("show takes no arguments")
	}
	s, err := c.readSession(ctx)
	if err != nil {
		return err
	}
	d, err := s.Current(ctx)
	if err != nil {
		return err
	}
	if d == nil {
		return fmt.Errorf("nothing has been published")
	}
	src, err := d.Encode()
	if err != nil {
		return err
	}
	return c.print(map[string]any{"version": d.Version, "document": json.RawMessage(src)}, string(src))
}
