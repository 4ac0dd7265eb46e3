// Command jacinth-capacity prints the resource cost of each role of an instance
// for several system sizes, and the figures of look-ups and control traffic with
// the bounds that they must meet.
package main

import (
	"fmt"
	"os"

	"github.com/jacinthstall/jacinthstall/internal/capacity"
	"github.com/jacinthstall/jacinthstall/internal/figures"
)

func main() {
	if err := run(); err != nil {
		fmt.Fprintln(os.Stderr, "jacinth-capacity:", err)
		os.Exit(1)
	}
}

func run() error {
	if err := capacity.Run(os.Stdout); err != nil {
		return err
	}
	results, err := capacity.Figures()
	if err != nil {
		return err
	}
	figures.Print(os.Stdout, results)
	return nil
}
