package ctl

import (
	"context"
	"encoding/json"
	"fmt"

	"github.com/peterbourgon/ff/v3/ffcli"

	"github.com/jacinthstall/jacinthstall/policy"
	"github.com/jacinthstall/jacinthstall/settings"
)

func (c *call) validateCommand() *ffcli.Command {
	fs := c.flags("validate")
	kind := fs.String("kind", "policy", "what the files are: policy or settings")
	return c.command("validate", "FILE...", "Checks documents or settings files.",
		"Every problem is reported with its file, line, column and JSON pointer.", fs,
		func(_ context.Context, args []string) error { return c.validate(*kind, args) })
}

func (c *call) validate(kind string, files []string) error {
	if len(files) == 0 {
		return usage("name at least one file")
	}
	if kind != "policy" && kind != "settings" {
		return usage(fmt.Sprintf("--kind %q is neither policy nor settings", kind))
	}
	var all findings
	for _, file := range files {
		if err := all.collect(validateFile(kind, file)); err != nil {
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

func (c *call) diffCommand() *ffcli.Command {
	fs := c.flags("diff")
	c.platformFlag(fs)
	return c.command("diff", "[OLD] NEW", "Shows the changes from one document to another.",
		"With one file, the changes are those from the published document.", fs, c.diff)
}

func (c *call) diff(ctx context.Context, args []string) error {
	if len(args) != 1 && len(args) != 2 {
		return usage("name one or two files")
	}
	after, err := readDocument(args[len(args)-1])
	if err != nil {
		return err
	}
	before, err := c.before(ctx, args)
	if err != nil {
		return err
	}
	changes := policy.Diff(before, after)
	return c.print(map[string]any{"changes": emptyNotNull(changes)}, changesText(changes))
}

func (c *call) before(ctx context.Context, args []string) (*policy.Document, error) {
	if len(args) == 2 {
		return readDocument(args[0])
	}
	s, err := c.session(ctx)
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

func (c *call) showCommand() *ffcli.Command {
	fs := c.flags("show")
	c.platformFlag(fs)
	return c.command("show", "", "Prints the published document.",
		"The field version of the document tells publish which version an edit is based on.", fs, c.show)
}

func (c *call) show(ctx context.Context, args []string) error {
	if len(args) != 0 {
		return usage("show takes no arguments")
	}
	s, err := c.session(ctx)
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
