// Command jacinth-platform runs a stand-in for the platform. It can publish a
// policy document at start.
package main

import (
	"context"
	"crypto/ed25519"
	"encoding/json"
	"flag"
	"fmt"
	"os"

	"github.com/cloudwego/hertz/pkg/app/server"
	"github.com/cloudwego/hertz/pkg/common/hlog"
	"github.com/cloudwego/hertz/pkg/network/standard"
	"github.com/peterbourgon/ff/v3"

	"github.com/jacinthstall/jacinthstall/configsync"
	"github.com/jacinthstall/jacinthstall/internal/ctl"
	"github.com/jacinthstall/jacinthstall/kv"
	"github.com/jacinthstall/jacinthstall/standin/platformd"
)

func main() {
	if err := run(os.Args[1:]); err != nil {
		fmt.Fprintln(os.Stderr, "jacinth-platform:", err)
		os.Exit(1)
	}
}

func run(args []string) error {
	flags := flag.NewFlagSet("jacinth-platform", flag.ContinueOnError)
	address := flags.String("address", "127.0.0.1:7000", "ip:port to listen on")
	instancesFile := flags.String("instances", "", "JSON file with the list of instances; empty for none")
	documentFile := flags.String("document", "", "file with the policy document to publish at start; empty for none")
	keyFile := flags.String("key", "", "file with the operator's private key that signs the document")
	if err := ff.Parse(flags, args, ff.WithEnvVarPrefix("JACINTH_PLATFORM")); err != nil {
		return err
	}
	instanceList, err := readInstances(*instancesFile)
	if err != nil {
		return err
	}
	store := platformd.NewStore(instanceList)
	store.SetLimits(platformd.DefaultLimits)
	if err := publishDocument(store, *documentFile, *keyFile); err != nil {
		return err
	}
	hlog.SetLevel(hlog.LevelError)
	httpServer := server.New(
		server.WithHostPorts(*address),
		server.WithTransport(standard.NewTransporter),
		server.WithDisablePrintRoute(true),
	)
	platformd.Register(httpServer, store)
	platformd.RegisterAdmin(httpServer, store)
	return httpServer.Run()
}

func readInstances(file string) ([]kv.Instance, error) {
	if file == "" {
		return nil, nil
	}
	content, err := os.ReadFile(file)
	if err != nil {
		return nil, err
	}
	var instances []kv.Instance
	if err := json.Unmarshal(content, &instances); err != nil {
		return nil, fmt.Errorf("%s: %w", file, err)
	}
	return instances, nil
}

func publishDocument(store *platformd.Store, documentFile, keyFile string) error {
	if documentFile == "" {
		return nil
	}
	content, err := os.ReadFile(documentFile)
	if err != nil {
		return err
	}
	key, err := ctl.LoadKey(keyFile)
	if err != nil {
		return err
	}
	keys := []ed25519.PublicKey{configsync.PublicKey(key)}
	publisher := configsync.Publisher{KV: platformd.Local{Store: store}, Sign: configsync.SignWith(key), Keys: keys}
	_, err = publisher.Publish(context.Background(), content, 0)
	return err
}
