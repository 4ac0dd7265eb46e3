package ctl

import (
	"context"
	"encoding/base64"
	"encoding/hex"
	"fmt"
	"slices"

	"github.com/peterbourgon/ff/v3/ffcli"

	"github.com/jacinthstall/jacinthstall/configsync"
	"github.com/jacinthstall/jacinthstall/finding"
	"github.com/jacinthstall/jacinthstall/policy"
)

func (c *invocation) publishCommand() *ffcli.Command {
	fs := c.newFlagSet("publish")
	merge := c.addPublishFlags(fs, false)
	base := fs.String("base", "", "file with the document that the edit started from; needed when it is no longer the published one")
	return c.newCommand("publish", "FILE", "Publishes a document.",
		"The field version of the file is the version that the edit started from, as\nprinted by show. When another operator has published since, the command shows\nthe other changes and publishes nothing, unless --merge is given and the edits\ntouch different objects.", fs,
		func(ctx context.Context, args []string) error { return c.publish(ctx, *base, *merge, args) })
}

func (c *invocation) publish(ctx context.Context, baseFile string, merge bool, args []string) error {
	if len(args) != 1 {
		return newUsageError("name one file")
	}
	mine, err := readDocument(args[0])
	if err != nil {
		return err
	}
	s, err := c.publishSession(ctx)
	if err != nil {
		return err
	}
	base, err := s.baseDocument(ctx, mine, baseFile)
	if err != nil {
		return err
	}
	return c.publishEdit(ctx, s, Edit{Base: base, Mine: mine}, merge)
}

// baseDocument returns the document that an edit started from.
func (s Session) baseDocument(ctx context.Context, mine *policy.Document, baseFile string) (*policy.Document, error) {
	if baseFile != "" {
		return readBase(baseFile)
	}
	current, err := s.currentOrEmpty(ctx)
	if err != nil {
		return nil, err
	}
	if current.Version != 0 && current.Version != mine.Version {
		return nil, &staleFileError{File: mine.Version, Published: current.Version, Changes: policy.Diff(mine, current)}
	}
	return current, nil
}

func readBase(file string) (*policy.Document, error) {
	src, err := readFile(file)
	if err != nil {
		return nil, err
	}
	return policy.Decode(file, src)
}

// staleFileError reports a file that is based on another version than the
// published one, without the document of that version to compare with.
type staleFileError struct {
	File, Published uint64 // Versions.
	Changes         []policy.Change
}

func (e *staleFileError) Error() string {
	return fmt.Sprintf("the file is based on version %d, but version %d is published; the changes from the file to the published document:\n%sname the document that the edit started from with --base, so that both edits can be told apart",
		e.File, e.Published, changesText(e.Changes))
}

func (c *invocation) publishEdit(ctx context.Context, s Session, e Edit, merge bool) error {
	if e.Base.Version != 0 && len(policy.Diff(e.Base, e.Mine)) == 0 {
		return c.print(Published{Version: e.Base.Version, Changes: []policy.Change{}}, "no changes; nothing was published\n")
	}
	published, err := s.Publish(ctx, e, merge)
	if err != nil {
		return err
	}
	return c.print(published, publishedText(published))
}

func (c *invocation) drainCommand() *ffcli.Command {
	fs := c.newFlagSet("drain")
	d := &drainOptions{merge: c.addPublishFlags(fs, true)}
	fs.StringVar(&d.target, "target", "", "name of the target that leaves")
	fs.StringVar(&d.instance, "instance", "", "name of the entry instance that leaves")
	fs.BoolVar(&d.undo, "undo", false, "mark it as no longer leaving")
	return c.newCommand("drain", "--target NAME | --instance NAME", "Marks a target or an instance as leaving and publishes the document.",
		"A leaving target or instance gets no new work; requests in flight finish.", fs,
		func(ctx context.Context, args []string) error { return c.drain(ctx, d, args) })
}

type drainOptions struct {
	target, instance string
	undo             bool
	merge            *bool
}

func (c *invocation) drain(ctx context.Context, d *drainOptions, args []string) error {
	if len(args) != 0 || (d.target == "") == (d.instance == "") {
		return newUsageError("name either --target or --instance")
	}
	s, err := c.publishSession(ctx)
	if err != nil {
		return err
	}
	base, err := s.Current(ctx)
	if err != nil {
		return err
	}
	if base == nil {
		return fmt.Errorf("nothing has been published")
	}
	mine, err := d.apply(base)
	if err != nil {
		return err
	}
	return c.publishEdit(ctx, s, Edit{Base: base, Mine: mine}, *d.merge)
}

// apply returns a copy of the document with the mark.
func (d *drainOptions) apply(base *policy.Document) (*policy.Document, error) {
	mine := *base
	if d.instance != "" {
		mine.LeavingInstances = slices.DeleteFunc(slices.Clone(base.LeavingInstances), func(name string) bool { return name == d.instance })
		if !d.undo {
			mine.LeavingInstances = append(mine.LeavingInstances, d.instance)
		}
		return &mine, nil
	}
	mine.Targets = slices.Clone(base.Targets)
	i := slices.IndexFunc(mine.Targets, func(t policy.Target) bool { return t.Name == d.target })
	if i < 0 {
		return nil, unknownTarget(base, d.target)
	}
	mine.Targets[i].Leaving = !d.undo
	return &mine, nil
}

func unknownTarget(d *policy.Document, name string) error {
	known := make([]string, len(d.Targets))
	for i, t := range d.Targets {
		known[i] = t.Name
	}
	if fix := finding.SuggestNearest(name, known); fix != "" {
		return fmt.Errorf("there is no target %q (%s)", name, fix)
	}
	return fmt.Errorf("there is no target %q", name)
}

func (c *invocation) signCommand() *ffcli.Command {
	fs := c.newFlagSet("sign")
	fs.StringVar(&c.keyFile, "key", "", "file with the operator's Ed25519 private key, PEM")
	digest := fs.String("digest", "", "digest to sign, hexadecimal, as shown by the console")
	return c.newCommand("sign", "[FILE]", "Prints the signature of a final document.",
		"Signs the digest that the console shows, or that of a file whose field version\nis the version to be published. The signature is in base64.", fs,
		func(_ context.Context, args []string) error { return c.sign(*digest, args) })
}

func (c *invocation) sign(digestText string, args []string) error {
	digest, err := digestToSign(digestText, args)
	if err != nil {
		return err
	}
	key, err := LoadKey(c.keyFile)
	if err != nil {
		return err
	}
	signature := base64.StdEncoding.EncodeToString(Sign(key, digest))
	return c.print(map[string]string{"digest": hex.EncodeToString(digest[:]), "signature": signature}, signature+"\n")
}

func digestToSign(text string, args []string) (digest [32]byte, err error) {
	if (text == "") == (len(args) == 0) || len(args) > 1 {
		return digest, newUsageError("name either one file or --digest")
	}
	if text == "" {
		src, err := readFile(args[0])
		if err != nil {
			return digest, err
		}
		return configsync.Digest(src)
	}
	raw, err := hex.DecodeString(text)
	if err != nil || len(raw) != len(digest) {
		return digest, newUsageError("--digest must have 64 hexadecimal digits")
	}
	return [32]byte(raw), nil
}

func (c *invocation) keygenCommand() *ffcli.Command {
	fs := c.newFlagSet("keygen")
	fs.StringVar(&c.keyFile, "key", "", "file to create for the private key")
	return c.newCommand("keygen", "", "Creates an operator's key and prints the public key.",
		"The public key, in base64, goes into operatorKeys of the settings of every\ninstance.", fs,
		func(context.Context, []string) error { return c.keygen() })
}

func (c *invocation) keygen() error {
	if c.keyFile == "" {
		return newUsageError("name the file with --key")
	}
	public, err := CreateKey(c.keyFile)
	if err != nil {
		return err
	}
	text := base64.StdEncoding.EncodeToString(public)
	return c.print(map[string]string{"publicKey": text}, text+"\n")
}
