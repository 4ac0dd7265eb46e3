package main

import (
	"encoding/json"
	"errors"
	"flag"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"strconv"
	"time"

	"github.com/jacinthstall/jacinthstall/gateway"
	"github.com/jacinthstall/jacinthstall/node"
)

// Exit codes of the explain command, beside 0 for a request that would be sent to a
// target and 1 for a failure.
const (
	exitUsage   = 2 // Wrong usage, or no request is described.
	exitRefused = 3 // The request would be refused.
)

// exitError is an error with an exit code.
type exitError struct {
	code int
	err  error
}

func (e *exitError) Error() string { return e.err.Error() }

func (e *exitError) Unwrap() error { return e.err }

const (
	explainTimeout = 5 * time.Second
	// maxExplanationBytes limits the response of an instance. A service with 1,000
	// targets needs some 400 KB.
	maxExplanationBytes = 16 << 20
	// defaultShownTargets is the number of targets of each region in the text.
	defaultShownTargets = 8
)

// explainFlags are the flags of the explain command.
type explainFlags struct {
	instance                                     string
	host, path, object, account, service, region string
	bodyBytes                                    uint64
	deadline                                     time.Duration
	json                                         bool
	targets                                      int
}

func parseExplainFlags(args []string) (*explainFlags, error) {
	var f explainFlags
	fs := flag.NewFlagSet("jacinth-node explain", flag.ContinueOnError)
	fs.StringVar(&f.instance, "instance", "", "address of the instance's metrics listener, ip:port")
	fs.StringVar(&f.host, "host", "", "host of the request")
	fs.StringVar(&f.path, "path", "", "path of the request")
	fs.StringVar(&f.object, "object", "", "key of the object")
	fs.StringVar(&f.account, "account", "", "name of the account (not a key)")
	fs.StringVar(&f.service, "service", "", "service of the route's split (default: the next one)")
	fs.StringVar(&f.region, "region", "", "region of the caller (default: that of the instance)")
	fs.Uint64Var(&f.bodyBytes, "body-bytes", 0, "size of the body")
	fs.DurationVar(&f.deadline, "deadline", 0, "deadline that the caller states (default: none)")
	fs.BoolVar(&f.json, "json", false, "print JSON")
	fs.IntVar(&f.targets, "targets", defaultShownTargets, "targets of each region in the text; 0 for all")
	if err := fs.Parse(args); err != nil {
		if errors.Is(err, flag.ErrHelp) {
			return nil, err
		}
		return nil, &exitError{exitUsage, err}
	}
	if f.instance == "" || f.host == "" || f.path == "" || f.deadline < 0 || fs.NArg() > 0 {
		return nil, &exitError{exitUsage, errors.New("explain needs -instance, -host and -path, and takes no other arguments than flags")}
	}
	return &f, nil
}

// url returns the address of the explanation.
func (f *explainFlags) url() string {
	values := url.Values{}
	set := func(name, value string) {
		if value != "" {
			values.Set(name, value)
		}
	}
	set("host", f.host)
	set("path", f.path)
	set("object", f.object)
	set("account", f.account)
	set("service", f.service)
	set("region", f.region)
	if f.bodyBytes > 0 {
		set("bodyBytes", strconv.FormatUint(f.bodyBytes, 10))
	}
	if f.deadline > 0 {
		set("deadlineMs", strconv.FormatInt(f.deadline.Milliseconds(), 10))
	}
	return (&url.URL{Scheme: "http", Host: f.instance, Path: "/explain", RawQuery: values.Encode()}).String()
}

// explain asks an instance how it would route a request, and prints the answer.
func explain(args []string, out io.Writer) error {
	flags, err := parseExplainFlags(args)
	if err != nil {
		return err
	}
	body, err := fetchExplanation(flags.url())
	if err != nil {
		return err
	}
	explanation := node.Explanation{Explanation: &gateway.Explanation{}}
	if err := json.Unmarshal(body, &explanation); err != nil {
		return fmt.Errorf("response of the instance: %w", err)
	}
	if flags.json {
		_, err = out.Write(body)
	} else {
		err = writeExplanation(out, &explanation, flags.targets)
	}
	if err == nil && !explanation.Decision.Sent {
		return &exitError{exitRefused, errors.New("the request would be refused")}
	}
	return err
}

func fetchExplanation(address string) ([]byte, error) {
	client := http.Client{Timeout: explainTimeout}
	resp, err := client.Get(address)
	if err != nil {
		return nil, err
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(io.LimitReader(resp.Body, maxExplanationBytes))
	if err != nil {
		return nil, err
	}
	switch resp.StatusCode {
	case http.StatusOK:
		return body, nil
	case http.StatusBadRequest:
		var refusal node.ExplainError
		if json.Unmarshal(body, &refusal) == nil && refusal.Error != "" {
			return nil, &exitError{exitUsage, errors.New(refusal.Error)}
		}
	}
	return nil, fmt.Errorf("the instance responds with status %d", resp.StatusCode)
}
