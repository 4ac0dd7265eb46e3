// Command publish publishes a policy document for the demo and prints its
// version.
package main

import (
	"context"
	"crypto/ed25519"
	"flag"
	"fmt"
	"os"
	"time"

	"github.com/peterbourgon/ff/v3"

	"github.com/jacinthstall/jacinthstall/configsync"
	"github.com/jacinthstall/jacinthstall/internal/ctl"
	"github.com/jacinthstall/jacinthstall/platform"
)

const timeout = 10 * time.Second

func main() {
	if err := run(os.Args[1:]); err != nil {
		fmt.Fprintln(os.Stderr, "publish:", err)
		os.Exit(1)
	}
}

func run(args []string) error {
	fs := flag.NewFlagSet("publish", flag.ContinueOnError)
	address := fs.String("platform", "127.0.0.1:7000", "ip:port of the platform")
	document := fs.String("document", "", "policy document to publish")
	keyFile := fs.String("key", "", "file with the operator's private key")
	base := fs.Uint64("base", 0, "version that the document was edited from")
	if err := ff.Parse(fs, args); err != nil {
		return err
	}
	doc, err := os.ReadFile(*document)
	if err != nil {
		return err
	}
	key, err := ctl.LoadKey(*keyFile)
	if err != nil {
		return err
	}
	kv, err := platform.NewClient(*address)
	if err != nil {
		return err
	}
	p := configsync.Publisher{KV: kv, Sign: configsync.SignWith(key), Keys: []ed25519.PublicKey{configsync.PublicKey(key)}}
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	version, err := p.Publish(ctx, doc, *base)
	if err != nil {
		return err
	}
	fmt.Println(version)
	return nil
}
