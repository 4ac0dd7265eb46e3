// Command jacinth-target runs a stand-in for a target.
package main

import (
	"flag"
	"fmt"
	"os"
	"time"

	"github.com/cloudwego/hertz/pkg/app/server"
	"github.com/cloudwego/hertz/pkg/common/hlog"
	"github.com/cloudwego/hertz/pkg/network/standard"
	"github.com/peterbourgon/ff/v3"

	"github.com/jacinthstall/jacinthstall/standin/targetd"
)

func main() {
	if err := run(os.Args[1:]); err != nil {
		fmt.Fprintln(os.Stderr, "jacinth-target:", err)
		os.Exit(1)
	}
}

func run(args []string) error {
	fs := flag.NewFlagSet("jacinth-target", flag.ContinueOnError)
	address := fs.String("address", "127.0.0.1:7100", "ip:port to listen on")
	name := fs.String("name", "target", "name of the target")
	slots := fs.Int("slots", 3, "requests executed at the same time")
	service := fs.Duration("service", 20*time.Millisecond, "execution time of a request")
	if err := ff.Parse(fs, args, ff.WithEnvVarPrefix("JACINTH_TARGET")); err != nil {
		return err
	}
	hlog.SetLevel(hlog.LevelError)
	h := server.New(
		server.WithHostPorts(*address),
		server.WithTransport(standard.NewTransporter),
		server.WithDisablePrintRoute(true),
	)
	targetd.New(targetd.Options{Name: *name, Slots: *slots, Service: *service}).Register(h)
	return h.Run()
}
